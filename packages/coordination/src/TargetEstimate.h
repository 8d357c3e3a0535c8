/** @file TargetEstimate.h What one entry VM knows about one target. */
#pragma once

#include "kingcup/Router.h"

#include <atomic>
#include <limits>
#include <string>

namespace kingcup {

constexpr double neverMs = -std::numeric_limits<double>::infinity(); ///< A time before all others, milliseconds.

/**
 * Estimates of one incarnation of a target, shared by successive routing tables.
 * Fields are independent atomics: a reader that mixes two updates gets a slightly older estimate, which is harmless.
 */
class alignas(64) TargetEstimate {
public:
    /** @param serial Unique number of this object within its router. @param coldSinceMs Start of the ramp; neverMs: warm. */
    TargetEstimate(const wire::TargetRecord& record, uint32_t serial, double coldSinceMs);

    /** Counts a new attempt. */
    void started(double nowMs);

    /** Ends an attempt and learns from its outcome. @param fleetLatencyMs Typical latency of the service; 0: unknown. */
    void finished(AttemptOutcome outcome, double latencyMs, double fleetLatencyMs, double nowMs);

    /** Takes over a load report, unless a newer one is known. @param observedMs When the target made it. */
    void reported(const LoadReport& load, double observedMs);

    /** Returns whether the target has failed so that it should be ejected. */
    bool shouldEject() const;

    /** Ejects the target; each ejection in a row lasts twice as long. */
    void eject(double nowMs);

    /** Notes that another instance has the address: this one does not come back. */
    void lose();

    /** Returns whether another instance has the address. */
    bool lost() const { return this->ejectedUntilMs.load(std::memory_order_relaxed) == forEverMs; }

    /** Returns whether the target is ejected. */
    bool ejected(double nowMs) const { return nowMs < this->ejectedUntilMs.load(std::memory_order_relaxed); }

    /** Returns the share of its slots that a cold target is trusted with, in (0, 1]. */
    double ramp(double nowMs) const;

    /** Sets until when the target itself says that it is slow after its start. */
    void setColdUntil(double untilMs) { this->coldUntilMs.store(untilMs, std::memory_order_relaxed); }

    /** Returns how many times longer work takes because the target has just started. */
    double coldFactor(double nowMs) const;

    /** Returns the latency that the next request has to expect before queueing. @param fleetLatencyMs Used while nothing is known. */
    double latency(double fleetLatencyMs, double nowMs) const;

    /** Returns the share of recent attempts that failed; it fades while there are no further failures. */
    double recentFailures(double nowMs) const;

    /** Returns the estimated calls of other VMs on the target. @param fleetOthers What is assumed of a target without report. */
    double others(double fleetOthers, double nowMs) const;

    /** Returns the calls of other VMs by the newest report. */
    double reportedOthers() const;

    /** Returns the latency estimate that jumps to peaks and decays slowly. */
    double peakLatency(double nowMs) const;

    const std::string address; ///< host:port.
    const uint64_t incarnation; ///< Incarnation of the target.
    const std::string instance; ///< Name of the incarnation; empty: none.
    const uint32_t serial; ///< Names this object in tickets.
    std::atomic<int32_t> outstanding { 0 }; ///< Own calls in flight.
    std::atomic<double> logLatency { 0 }; ///< Moving average of the logarithm of the latency in milliseconds.
    std::atomic<uint32_t> answers { 0 }; ///< Latencies seen.
    std::atomic<double> answeredMs { neverMs }; ///< When the last of them was seen.
    std::atomic<double> reportedMs { neverMs }; ///< When the newest report was made.
    std::atomic<double> observedMs { neverMs }; ///< Newest report or answer.
    std::atomic<int32_t> reportedInFlight { 0 }; ///< From the newest report.
    std::atomic<int32_t> ownAtReport { 0 }; ///< Own calls in flight when it arrived.
    std::atomic<double> reportedSlowdown { 1 }; ///< From the newest report.
    std::atomic<double> reportedLatency { 0 }; ///< From the newest report; 0: not stated.
    std::atomic<uint32_t> picksSinceReport { 0 }; ///< Own attempts started after it arrived.

private:
    static constexpr double forEverMs = std::numeric_limits<double>::infinity(); ///< End of an ejection that does not end.

    void ejectUntil(double untilMs);
    void learnLatency(double latencyMs, double nowMs);
    void learnFailure(bool failed, double nowMs);

    std::atomic<double> failureShare { 0 }; ///< Moving average of failed attempts.
    std::atomic<double> failedMs { neverMs }; ///< Last failure.
    std::atomic<double> peakLatencyMs { 0 };
    std::atomic<double> peakUpdatedMs { 0 };
    std::atomic<double> progressMs { neverMs }; ///< When an attempt last ended, or the first one in flight started.
    std::atomic<uint32_t> connectionFailures { 0 }; ///< In a row.
    std::atomic<uint32_t> failures { 0 }; ///< In a row.
    std::atomic<uint32_t> ejections { 0 }; ///< In a row.
    std::atomic<double> ejectedUntilMs { neverMs };
    std::atomic<double> coldUntilMs { neverMs };
    std::atomic<double> coldSinceMs;
};

} // namespace kingcup
