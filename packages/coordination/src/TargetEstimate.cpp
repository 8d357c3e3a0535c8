/** @file TargetEstimate.cpp Estimates the latency, load and health of a target from answers, failures and load reports. */
#include "TargetEstimate.h"

#include <algorithm>
#include <cmath>

namespace kingcup {

namespace {

constexpr auto relaxed = std::memory_order_relaxed;
constexpr double latencyWeight = 0.2;
constexpr double failureWeight = 0.2;
constexpr double failureForgetMs = 2000;
constexpr double peakDecayMs = 10000;
constexpr double reportDecayMs = 20; ///< The load of a target changes within a few service times, so reports lose their value quickly.
constexpr double latencyForgetMs = 1000;
constexpr double stallWeight = 2; ///< An attempt that has lasted for some time is expected to last as long again.
constexpr double noiseBand = 0.3; ///< Smaller differences of the logarithm of the latency are noise.
constexpr double reportedLatencyWeight = 0.5; ///< Reports only raise the estimate: if they can lower it, stragglers that report 1 ms raise p99 from 43 to 280 ms.
constexpr double coldRampMs = 3000;
constexpr double coldRampStart = 0.1;
constexpr double coldWorkFactor = 2; ///< Requests to a target that has just started take about twice as long.
constexpr double slowdownForgetMs = 75; ///< Half of the 150 ms for which the speed of a machine typically stays the same.
constexpr double shortestEjectionMs = 1000;
constexpr double longestEjectionMs = 30000;
constexpr uint32_t failuresBeforeEjection = 5;
constexpr double failureShareBeforeEjection = 0.6;

} // namespace

TargetEstimate::TargetEstimate(const wire::TargetRecord& record, uint32_t serial, double coldSinceMs)
    : address(record.address())
    , incarnation(record.incarnation())
    , instance(record.instance())
    , serial(serial)
    , coldSinceMs(coldSinceMs)
{
}

void TargetEstimate::started(double nowMs)
{
    if (this->outstanding.fetch_add(1, relaxed) == 0)
        this->progressMs.store(nowMs, relaxed);
    this->picksSinceReport.fetch_add(1, relaxed);
}

void TargetEstimate::finished(AttemptOutcome outcome, double latencyMs, double fleetLatencyMs, double nowMs)
{
    this->outstanding.fetch_sub(1, relaxed);
    if (outcome == AttemptOutcome::Cancelled)
        return;
    this->progressMs.store(nowMs, relaxed);
    this->observedMs.store(nowMs, relaxed);
    bool answered = outcome == AttemptOutcome::Answered;
    this->learnFailure(!answered, nowMs);
    bool connected = answered || outcome == AttemptOutcome::ServerError || outcome == AttemptOutcome::TimedOut;
    this->connectionFailures.store(connected ? 0 : this->connectionFailures.load(relaxed) + 1, relaxed);
    if (answered || outcome == AttemptOutcome::TimedOut)
        this->learnLatency(latencyMs, nowMs);
    else if (fleetLatencyMs > 0)
        this->learnLatency(std::max(latencyMs, fleetLatencyMs), nowMs); // A target that fails fast must not look fast.
}

void TargetEstimate::reported(const LoadReport& load, double observedMs)
{
    if (observedMs < this->reportedMs.load(relaxed))
        return;
    this->reportedInFlight.store(static_cast<int32_t>(load.inFlight + load.waiting), relaxed);
    this->reportedSlowdown.store(load.slowdown, relaxed);
    this->ownAtReport.store(this->outstanding.load(relaxed), relaxed);
    this->reportedLatency.store(load.latencyMs, relaxed);
    this->picksSinceReport.store(0, relaxed);
    this->reportedMs.store(observedMs, relaxed);
    this->observedMs.store(std::max(observedMs, this->observedMs.load(relaxed)), relaxed);
}

bool TargetEstimate::shouldEject() const
{
    if (this->connectionFailures.load(relaxed) > 0)
        return true;
    uint32_t inARow = this->failures.load(relaxed);
    if (inARow > 0 && this->ejections.load(relaxed) > 0)
        return true; // The target failed again after its last ejection ended.
    bool mostlyFails = this->failureShare.load(relaxed) > failureShareBeforeEjection;
    return mostlyFails && inARow >= failuresBeforeEjection;
}

void TargetEstimate::eject(double nowMs)
{
    uint32_t before = this->ejections.fetch_add(1, relaxed);
    double period = shortestEjectionMs * std::exp2(std::min(before, 10u));
    this->ejectUntil(nowMs + std::min(period, longestEjectionMs));
}

void TargetEstimate::ejectUntil(double untilMs)
{
    this->ejectedUntilMs.store(untilMs, relaxed);
    this->coldSinceMs.store(untilMs, relaxed);
}

void TargetEstimate::lose()
{
    this->ejectUntil(forEverMs);
}

double TargetEstimate::ramp(double nowMs) const
{
    double since = nowMs - this->coldSinceMs.load(relaxed);
    return std::clamp(since / coldRampMs, coldRampStart, 1.0);
}

double TargetEstimate::coldFactor(double nowMs) const
{
    return nowMs < this->coldUntilMs.load(relaxed) ? coldWorkFactor : 1;
}

double TargetEstimate::latency(double fleetLatencyMs, double nowMs) const
{
    double normal = std::log(std::max(fleetLatencyMs, 0.001));
    double own = this->answers.load(relaxed) ? this->logLatency.load(relaxed) - normal : 0;
    double reported = this->reportedLatency.load(relaxed) > 0 ? std::log(this->reportedLatency.load(relaxed)) - normal : 0;
    // An avoided target gives no answers, so its estimate returns to the fleet latency over time.
    own *= std::exp(-std::max(0.0, nowMs - this->answeredMs.load(relaxed)) / latencyForgetMs);
    reported *= std::exp(-std::max(0.0, nowMs - this->reportedMs.load(relaxed)) / latencyForgetMs);
    double excess = own + reportedLatencyWeight * std::max(0.0, reported - own);
    // The speed of a machine changes many times a second, so a reported slowdown is soon outdated.
    double slowdown = std::log(std::max(this->reportedSlowdown.load(relaxed), 1.0)) * std::exp(-std::max(0.0, nowMs - this->reportedMs.load(relaxed)) / slowdownForgetMs);
    normal += slowdown + std::log(this->coldFactor(nowMs));
    double significant = excess > 0 ? std::max(0.0, excess - noiseBand) : std::min(0.0, excess + noiseBand);
    double estimate = std::exp(normal + significant);
    if (this->outstanding.load(relaxed) <= 0)
        return estimate;
    return std::max(estimate, stallWeight * (nowMs - this->progressMs.load(relaxed)));
}

double TargetEstimate::recentFailures(double nowMs) const
{
    // An avoided target has no successes, so its failure share decays over time.
    double age = std::max(0.0, nowMs - this->failedMs.load(relaxed));
    return this->failureShare.load(relaxed) * std::exp(-age / failureForgetMs);
}

double TargetEstimate::others(double fleetOthers, double nowMs) const
{
    double reported = this->reportedMs.load(relaxed);
    if (reported == neverMs)
        return fleetOthers;
    double trust = std::exp(-std::max(0.0, nowMs - reported) / reportDecayMs);
    return trust * this->reportedOthers() + (1 - trust) * fleetOthers;
}

double TargetEstimate::reportedOthers() const
{
    return std::max(0, this->reportedInFlight.load(relaxed) - this->ownAtReport.load(relaxed));
}

double TargetEstimate::peakLatency(double nowMs) const
{
    double age = std::max(0.0, nowMs - this->peakUpdatedMs.load(relaxed));
    return this->peakLatencyMs.load(relaxed) * std::exp(-age / peakDecayMs);
}

void TargetEstimate::learnLatency(double latencyMs, double nowMs)
{
    double log = std::log(std::max(latencyMs, 0.001));
    double old = this->logLatency.load(relaxed);
    bool first = this->answers.fetch_add(1, relaxed) == 0;
    this->logLatency.store(first ? log : old + latencyWeight * (log - old), relaxed);

    this->answeredMs.store(nowMs, relaxed);

    double age = std::max(0.0, nowMs - this->peakUpdatedMs.load(relaxed));
    double keep = std::exp(-age / peakDecayMs);
    double peak = this->peakLatencyMs.load(relaxed);
    this->peakLatencyMs.store(latencyMs > peak ? latencyMs : peak * keep + latencyMs * (1 - keep), relaxed);
    this->peakUpdatedMs.store(nowMs, relaxed);
}

void TargetEstimate::learnFailure(bool failed, double nowMs)
{
    double share = this->failureShare.load(relaxed);
    this->failureShare.store(share + failureWeight * ((failed ? 1 : 0) - share), relaxed);
    if (failed) {
        this->failedMs.store(nowMs, relaxed);
        this->failures.fetch_add(1, relaxed);
        return;
    }
    this->failures.store(0, relaxed);
    if (this->failureShare.load(relaxed) < 0.1)
        this->ejections.store(0, relaxed);
}

} // namespace kingcup
