/** @file TargetEstimate.cpp Estimates the latency, load and health of a target from answers, failures and load reports. */
#include "TargetEstimate.h"

#include <algorithm>
#include <cmath>

namespace kingcup {

namespace {

constexpr auto relaxed = std::memory_order_relaxed;
constexpr double latencyWeight = 0.2;
constexpr double failureWeight = 0.2;
constexpr double failureDecayMs = 2000;
constexpr double peakDecayMs = 10000;
constexpr double reportDecayMs = 20; ///< The load of a target changes within a few service times, so reports lose their value quickly.
constexpr double latencyDecayMs = 1000;
constexpr double stallFactor = 2; ///< An attempt that has lasted for some time is expected to last as long again.
constexpr double logLatencyDeadBand = 0.3; ///< Smaller differences of the logarithm of the latency are noise.
constexpr double reportedLatencyWeight = 0.5; ///< Reports only raise the estimate: if they can lower it, stragglers that report 1 ms raise p99 from 43 to 280 ms.
constexpr double slowStartMs = 3000;
constexpr double minSlowStartShare = 0.1;
constexpr double coldStartFactor = 2; ///< Requests to a target that has just started take about twice as long.
constexpr double slowdownDecayMs = 75; ///< Half of the 150 ms for which the speed of a machine typically stays the same.
constexpr double minEjectionMs = 1000;
constexpr double maxEjectionMs = 30000;
constexpr double leavingLastResortMs = 1000; ///< Well below the shortest time for which a leaving target goes on serving.
constexpr double leavingRetentionMs = 300000; ///< A target that left has ended by then.
constexpr double limitRetentionMs = 60000; ///< A target that is listed again after this time has got no request for as long.
constexpr uint32_t minFailuresForEjection = 5;
constexpr double minFailureShareForEjection = 0.6;

} // namespace

TargetEstimate::TargetEstimate(const wire::TargetRecord& record, uint32_t serial, double coldSinceMs)
    : address(record.address())
    , incarnation(record.incarnation())
    , instance(record.instance())
    , serial(serial)
    , coldSinceMs(coldSinceMs)
{
}

void TargetEstimate::recordStart(double nowMs)
{
    if (this->outstanding.fetch_add(1, relaxed) == 0)
        this->lastProgressMs.store(nowMs, relaxed);
    this->picksSinceReport.fetch_add(1, relaxed);
}

void TargetEstimate::recordEnd(AttemptOutcome outcome, double latencyMs, double fleetLatencyMs, double nowMs)
{
    this->outstanding.fetch_sub(1, relaxed);
    if (outcome == AttemptOutcome::Cancelled)
        return;
    this->lastProgressMs.store(nowMs, relaxed);
    this->observedAtMs.store(nowMs, relaxed);
    bool isAnswered = outcome == AttemptOutcome::Answered;
    this->updateFailureShare(!isAnswered, nowMs);
    bool isConnected = isAnswered || outcome == AttemptOutcome::ServerError || outcome == AttemptOutcome::TimedOut;
    this->consecutiveConnectionFailures.store(isConnected ? 0 : this->consecutiveConnectionFailures.load(relaxed) + 1, relaxed);
    if (isAnswered || outcome == AttemptOutcome::TimedOut)
        this->updateLatency(latencyMs, nowMs);
    else if (fleetLatencyMs > 0)
        this->updateLatency(std::max(latencyMs, fleetLatencyMs), nowMs); // A target that fails fast must not look fast.
}

void TargetEstimate::recordReport(const LoadReport& load, double madeAtMs)
{
    if (madeAtMs < this->reportedAtMs.load(relaxed))
        return;
    this->reportedInFlight.store(static_cast<int32_t>(load.inFlight + load.waiting), relaxed);
    this->reportedSlowdown.store(load.slowdown, relaxed);
    this->ownCallsAtReport.store(this->outstanding.load(relaxed), relaxed);
    this->reportedLatencyMs.store(load.latencyMs, relaxed);
    this->picksSinceReport.store(0, relaxed);
    this->reportedAtMs.store(madeAtMs, relaxed);
    this->observedAtMs.store(std::max(madeAtMs, this->observedAtMs.load(relaxed)), relaxed);
}

bool TargetEstimate::shouldEject() const
{
    if (this->consecutiveConnectionFailures.load(relaxed) > 0)
        return true;
    uint32_t failures = this->consecutiveFailures.load(relaxed);
    if (failures > 0 && this->consecutiveEjections.load(relaxed) > 0)
        return true; // The target failed again after its last ejection ended.
    bool hasHighFailureShare = this->failureShare.load(relaxed) > minFailureShareForEjection;
    return hasHighFailureShare && failures >= minFailuresForEjection;
}

void TargetEstimate::eject(double nowMs)
{
    uint32_t earlierEjections = this->consecutiveEjections.fetch_add(1, relaxed);
    double durationMs = minEjectionMs * std::exp2(std::min(earlierEjections, 10u));
    this->ejectUntil(nowMs + std::min(durationMs, maxEjectionMs));
}

void TargetEstimate::ejectUntil(double untilMs)
{
    this->ejectedUntilMs.store(untilMs, relaxed);
    this->coldSinceMs.store(untilMs, relaxed);
}

void TargetEstimate::markReplaced()
{
    this->ejectUntil(foreverMs);
}

bool TargetEstimate::recordLeaving(double nowMs)
{
    double expected = neverMs;
    return this->leavingSinceMs.compare_exchange_strong(expected, nowMs, relaxed);
}

bool TargetEstimate::isLeavingLastResort(double nowMs) const
{
    return nowMs < this->leavingSinceMs.load(relaxed) + leavingLastResortMs;
}

void TargetEstimate::recordRetryAfter(double untilMs)
{
    double current = this->declinedUntilMs.load(relaxed);
    while (current < untilMs && !this->declinedUntilMs.compare_exchange_weak(current, untilMs, relaxed)) { }
}

bool TargetEstimate::hasCurrentStatement(double nowMs) const
{
    return this->isDeclining(nowMs) || this->rateLimit.isNamedSince(limitRetentionMs, nowMs) || nowMs < this->leavingSinceMs.load(relaxed) + leavingRetentionMs;
}

double TargetEstimate::slowStartShare(double nowMs) const
{
    double elapsedMs = nowMs - this->coldSinceMs.load(relaxed);
    return std::clamp(elapsedMs / slowStartMs, minSlowStartShare, 1.0);
}

void TargetEstimate::recordCold(double untilMs, double phase, double nowMs)
{
    if (!this->isCold(nowMs))
        this->coldPermits.start(phase, nowMs);
    this->coldUntilMs.store(untilMs, relaxed);
}

double TargetEstimate::coldFactor(double nowMs) const
{
    return this->isCold(nowMs) ? coldStartFactor : 1;
}

double TargetEstimate::latency(double fleetLatencyMs, double nowMs) const
{
    double baseline = std::log(std::max(fleetLatencyMs, 0.001));
    double own = this->latencyCount.load(relaxed) ? this->logLatency.load(relaxed) - baseline : 0;
    double reported = this->reportedLatencyMs.load(relaxed) > 0 ? std::log(this->reportedLatencyMs.load(relaxed)) - baseline : 0;
    // An avoided target gives no answers, so its estimate returns to the fleet latency over time.
    own *= std::exp(-std::max(0.0, nowMs - this->latencyUpdatedMs.load(relaxed)) / latencyDecayMs);
    reported *= std::exp(-std::max(0.0, nowMs - this->reportedAtMs.load(relaxed)) / latencyDecayMs);
    double excess = own + reportedLatencyWeight * std::max(0.0, reported - own);
    // The speed of a machine changes many times a second, so a reported slowdown is soon outdated.
    double slowdown = std::log(std::max(this->reportedSlowdown.load(relaxed), 1.0)) * std::exp(-std::max(0.0, nowMs - this->reportedAtMs.load(relaxed)) / slowdownDecayMs);
    baseline += slowdown + std::log(this->coldFactor(nowMs));
    double significant = excess > 0 ? std::max(0.0, excess - logLatencyDeadBand) : std::min(0.0, excess + logLatencyDeadBand);
    double estimate = std::exp(baseline + significant);
    if (this->outstanding.load(relaxed) <= 0)
        return estimate;
    return std::max(estimate, stallFactor * (nowMs - this->lastProgressMs.load(relaxed)));
}

double TargetEstimate::recentFailures(double nowMs) const
{
    // An avoided target has no successes, so its failure share decays over time.
    double age = std::max(0.0, nowMs - this->lastFailureMs.load(relaxed));
    return this->failureShare.load(relaxed) * std::exp(-age / failureDecayMs);
}

double TargetEstimate::otherCalls(double fleetOtherCalls, double nowMs) const
{
    double reported = this->reportedAtMs.load(relaxed);
    if (reported == neverMs)
        return fleetOtherCalls;
    double reportWeight = std::exp(-std::max(0.0, nowMs - reported) / reportDecayMs);
    return reportWeight * this->reportedOtherCalls() + (1 - reportWeight) * fleetOtherCalls;
}

double TargetEstimate::reportedOtherCalls() const
{
    return std::max(0, this->reportedInFlight.load(relaxed) - this->ownCallsAtReport.load(relaxed));
}

double TargetEstimate::peakLatency(double nowMs) const
{
    double age = std::max(0.0, nowMs - this->peakUpdatedMs.load(relaxed));
    return this->peakLatencyMs.load(relaxed) * std::exp(-age / peakDecayMs);
}

void TargetEstimate::updateLatency(double latencyMs, double nowMs)
{
    double log = std::log(std::max(latencyMs, 0.001));
    double previous = this->logLatency.load(relaxed);
    bool isFirst = this->latencyCount.fetch_add(1, relaxed) == 0;
    this->logLatency.store(isFirst ? log : previous + latencyWeight * (log - previous), relaxed);

    this->latencyUpdatedMs.store(nowMs, relaxed);

    double age = std::max(0.0, nowMs - this->peakUpdatedMs.load(relaxed));
    double decay = std::exp(-age / peakDecayMs);
    double peak = this->peakLatencyMs.load(relaxed);
    this->peakLatencyMs.store(latencyMs > peak ? latencyMs : peak * decay + latencyMs * (1 - decay), relaxed);
    this->peakUpdatedMs.store(nowMs, relaxed);
}

void TargetEstimate::updateFailureShare(bool hasFailed, double nowMs)
{
    double share = this->failureShare.load(relaxed);
    this->failureShare.store(share + failureWeight * ((hasFailed ? 1 : 0) - share), relaxed);
    if (hasFailed) {
        this->lastFailureMs.store(nowMs, relaxed);
        this->consecutiveFailures.fetch_add(1, relaxed);
        return;
    }
    this->consecutiveFailures.store(0, relaxed);
    if (this->failureShare.load(relaxed) < 0.1)
        this->consecutiveEjections.store(0, relaxed);
}

} // namespace kingcup
