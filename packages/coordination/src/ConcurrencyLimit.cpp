/** @file ConcurrencyLimit.cpp Additive increase and multiplicative decrease of the calls in flight. */
#include "ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace kingcup {

namespace {

constexpr double slotsHeadroom = 2; ///< Highest limit in usable slots.
constexpr double lowestShare = 0.125; ///< Lowest limit in usable slots.
constexpr double decrease = 0.9;
constexpr double congestedRatio = 2; ///< Latency in multiples of the normal one that counts as congestion.
constexpr double averageWeight = 0.05;
constexpr double normalRise = 0.0005; ///< Slow, so that lasting congestion does not become normal within minutes.
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
    // The first observations are averaged: one of them alone would be a poor idea of the normal latency.
    double weight = std::max(averageWeight, 1 / static_cast<double>(this->observations));
    this->meanMs += weight * (ms - this->meanMs);
    this->recentLog += weight * (log - this->recentLog);
    bool starting = this->observations <= fewestObservations;
    double normalWeight = this->recentLog < this->normalLog ? normalFall : normalRise;
    this->normalLog += (starting ? 1 : normalWeight) * (this->recentLog - this->normalLog);

    bool slow = this->recentLog > this->normalLog + std::log(congestedRatio);
    if (overloaded || slow) {
        // One decrease per round trip: calls that were sent before the last decrease say nothing about it.
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
