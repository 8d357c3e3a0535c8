/** @file ConcurrencyLimit.cpp Additive increase and multiplicative decrease of the concurrency limit. */
#include "ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace kingcup {

namespace {

constexpr double maxLimitPerSlot = 2; ///< Upper bound of the limit per usable slot.
constexpr double minLimitPerSlot = 0.125; ///< Lower bound of the limit per usable slot.
constexpr double decreaseFactor = 0.9;
constexpr double congestionRatio = 2; ///< Ratio of recent to baseline latency above which calls count as congested.
constexpr double latencyWeight = 0.05;
constexpr double baselineRiseWeight = 0.0005; ///< Small, so that the baseline does not adopt lasting congestion within minutes.
constexpr double baselineFallWeight = 0.05;
constexpr uint64_t minObservations = 50;

} // namespace

void ConcurrencyLimit::setBounds(uint32_t usableSlots, uint32_t maxInFlight, TimePoint now)
{
    bool areSlotsNew = this->slots == 0 && usableSlots > 0;
    this->slots = usableSlots;
    this->minLimit = std::max(1.0, usableSlots * minLimitPerSlot);
    this->maxLimit = std::max(1.0, usableSlots * maxLimitPerSlot);
    if (maxInFlight)
        this->maxLimit = std::min<double>(this->maxLimit, maxInFlight);
    this->minLimit = std::min(this->minLimit, this->maxLimit);
    if (areSlotsNew) {
        this->currentLimit = usableSlots;
        this->slotsReached = usableSlots;
        this->restartEstimates(now);
    } else if (usableSlots > this->slotsReached) {
        // Targets usually return one by one, and growth by finished calls alone takes seconds. Slots that were counted before add nothing,
        // so that targets which come and go under congestion don't raise the limit.
        double limitPerSlot = std::min(1.0, this->currentLimit / this->slotsReached);
        this->currentLimit = std::max(this->currentLimit, limitPerSlot * usableSlots);
        this->slotsReached = usableSlots;
    }
    this->clampLimit();
}

/** Drops what the calls before an outage tell about waiting times, since an idle service would otherwise refuse callers by it. The baseline stays, so that congestion is still recognized. */
void ConcurrencyLimit::restartEstimates(TimePoint now)
{
    this->slotsReturnedAt = now;
    this->observationsSinceReturn = 0;
    this->meanLatencyMs = initialLatencyMs;
    this->recentLogLatency = std::min(this->recentLogLatency, this->baselineLogLatency);
}

void ConcurrencyLimit::recordCall(Milliseconds latency, bool overloaded, uint32_t inFlight, TimePoint now)
{
    if (now - latency < this->slotsReturnedAt)
        return; // The call began before the outage and tells nothing about the targets after it.
    double latencyMs = std::max(latency.count(), 0.001);
    double logLatency = std::log(latencyMs);
    ++this->observations;
    ++this->observationsSinceReturn;
    // The first observations are averaged with equal weight, since a single one is a poor estimate of the baseline latency.
    double weight = std::max(latencyWeight, 1 / static_cast<double>(this->observations));
    double meanWeight = std::max(latencyWeight, 1 / static_cast<double>(this->observationsSinceReturn));
    this->meanLatencyMs += meanWeight * (latencyMs - this->meanLatencyMs);
    this->recentLogLatency += weight * (logLatency - this->recentLogLatency);
    bool isWarmingUp = this->observations <= minObservations;
    double baselineWeight = this->recentLogLatency < this->baselineLogLatency ? baselineFallWeight : baselineRiseWeight;
    this->baselineLogLatency += (isWarmingUp ? 1 : baselineWeight) * (this->recentLogLatency - this->baselineLogLatency);

    bool isCongested = this->recentLogLatency > this->baselineLogLatency + std::log(congestionRatio);
    if (overloaded || isCongested) {
        // At most one decrease per round trip, since calls sent before the last decrease do not show its effect.
        if (now - this->decreasedAt < Milliseconds(this->meanLatencyMs))
            return;
        this->decreasedAt = now;
        this->currentLimit *= decreaseFactor;
    } else if (inFlight * 2 >= this->currentLimit)
        this->currentLimit += 1 / this->currentLimit;
    this->clampLimit();
}

uint32_t ConcurrencyLimit::limit() const
{
    return static_cast<uint32_t>(std::max(1.0, this->currentLimit));
}

void ConcurrencyLimit::clampLimit()
{
    this->currentLimit = std::clamp(this->currentLimit, this->minLimit, this->maxLimit);
}

} // namespace kingcup
