/** @file ConcurrencyLimit.cpp Additive increase and multiplicative decrease of the concurrency limit. */
#include "ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace kingcup {

namespace {

constexpr double slotsHeadroom = 2; ///< Upper bound of the limit per usable slot.
constexpr double lowestShare = 0.125; ///< Lower bound of the limit per usable slot.
constexpr double decrease = 0.9;
constexpr double congestedRatio = 2; ///< Ratio of recent to baseline latency above which calls count as congested.
constexpr double averageWeight = 0.05;
constexpr double normalRise = 0.0005; ///< Small, so that the baseline does not adopt lasting congestion within minutes.
constexpr double normalFall = 0.05;
constexpr uint64_t fewestObservations = 50;

} // namespace

void ConcurrencyLimit::setBounds(uint32_t usableSlots, uint32_t maxInFlight)
{
    bool firstSlots = this->slots == 0 && usableSlots > 0;
    this->slots = usableSlots;
    this->lowest = std::max(1.0, usableSlots * lowestShare);
    this->highest = std::max(1.0, usableSlots * slotsHeadroom);
    if (maxInFlight)
        this->highest = std::min<double>(this->highest, maxInFlight);
    this->lowest = std::min(this->lowest, this->highest);
    if (firstSlots)
        this->current = usableSlots;
    this->clampLimit();
}

void ConcurrencyLimit::observe(Milliseconds latency, bool overloaded, uint32_t inFlight, TimePoint now)
{
    double ms = std::max(latency.count(), 0.001);
    double log = std::log(ms);
    ++this->observations;
    // The first observations are averaged with equal weight, since a single one is a poor estimate of the baseline latency.
    double weight = std::max(averageWeight, 1 / static_cast<double>(this->observations));
    this->meanMs += weight * (ms - this->meanMs);
    this->recentLog += weight * (log - this->recentLog);
    bool starting = this->observations <= fewestObservations;
    double normalWeight = this->recentLog < this->normalLog ? normalFall : normalRise;
    this->normalLog += (starting ? 1 : normalWeight) * (this->recentLog - this->normalLog);

    bool slow = this->recentLog > this->normalLog + std::log(congestedRatio);
    if (overloaded || slow) {
        // At most one decrease per round trip, since calls sent before the last decrease do not show its effect.
        if (now - this->decreasedAt < Milliseconds(this->meanMs))
            return;
        this->decreasedAt = now;
        this->current *= decrease;
    } else if (inFlight * 2 >= this->current)
        this->current += 1 / this->current;
    this->clampLimit();
}

uint32_t ConcurrencyLimit::limit() const
{
    return static_cast<uint32_t>(std::max(1.0, this->current));
}

void ConcurrencyLimit::clampLimit()
{
    this->current = std::clamp(this->current, this->lowest, this->highest);
}

} // namespace kingcup
