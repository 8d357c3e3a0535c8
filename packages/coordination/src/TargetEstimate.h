/** @file TargetEstimate.h Estimates of one entry VM about one target. */
#pragma once

#include "TargetRateLimit.h"
#include "placement/ColdPermits.h"

#include "kingcup/Router.h"

#include <atomic>
#include <limits>
#include <string>

namespace kingcup {

constexpr double neverMs = -std::numeric_limits<double>::infinity(); ///< Time of an event that has not happened.

/**
 * Load, latency and health estimates of one incarnation of a target, shared by successive routing tables.
 * Fields are independent atomics. A reader may see part of an update, which only makes the estimate slightly older.
 */
class alignas(64) TargetEstimate {
public:
    /** @param serial Unique number of this object within its router. @param coldSinceMs Start of the slow start; neverMs: the target is warm. */
    TargetEstimate(const wire::TargetRecord& record, uint32_t serial, double coldSinceMs);

    /** Records the start of an attempt. */
    void recordStart(double nowMs);

    /** Records the end of an attempt and updates latency and failure estimates. @param fleetLatencyMs Typical latency of the service; 0: unknown. */
    void recordEnd(AttemptOutcome outcome, double latencyMs, double fleetLatencyMs, double nowMs);

    /** Stores a load report, unless a newer one is stored. @param madeAtMs Time at which the target made it. */
    void recordReport(const LoadReport& load, double madeAtMs);

    /** Returns whether recent failures call for an ejection: a failed or lost connection, many failures in a row or a failure after an ejection. */
    bool shouldEject() const;

    /** Ejects the target for 1 s; each consecutive ejection lasts twice as long, up to 30 s. */
    void eject(double nowMs);

    /** Ejects the target for good, because another instance answers at its address. */
    void markReplaced();

    /** Returns whether another instance answers at the address. */
    bool isReplaced() const { return this->ejectedUntilMs.load(std::memory_order_relaxed) == foreverMs; }

    bool isEjected(double nowMs) const { return nowMs < this->ejectedUntilMs.load(std::memory_order_relaxed); }

    /** Records that the target stated that it leaves. @return Whether this was its first statement. */
    bool recordLeaving(double nowMs);

    /** Returns whether the target stated that it leaves. */
    bool isLeaving() const { return this->leavingSinceMs.load(std::memory_order_relaxed) != neverMs; }

    /** Returns whether a leaving target is still a last resort: its first statement is recent, so it still accepts requests. */
    bool isLeavingLastResort(double nowMs) const;

    /** Records that the target wants no request before a time. An earlier statement is not shortened. */
    void recordRetryAfter(double untilMs);

    /** Returns the time before which the target wants no request; neverMs: none stated. */
    double declinedUntil() const { return this->declinedUntilMs.load(std::memory_order_relaxed); }

    bool isDeclining(double nowMs) const { return nowMs < this->declinedUntil(); }

    /** Returns whether the target made a statement that still holds, so that the estimate must be kept while the target is out of use. */
    bool hasCurrentStatement(double nowMs) const;

    /** Returns the share of its slots that a target may use during the slow start after it joined or was ejected, in (0, 1]. */
    double slowStartShare(double nowMs) const;

    /**
     * Records that the target stated that it is cold, so that it is slow and may get few requests. A time that is not after `nowMs` ends the cold state.
     * @param phase Random number in [0, 1) for the first permit of a cold period.
     */
    void recordCold(double untilMs, double phase, double nowMs);

    bool isCold(double nowMs) const { return nowMs < this->coldUntilMs.load(std::memory_order_relaxed); }

    /** Returns the end of the cold state; neverMs: none stated. */
    double coldUntil() const { return this->coldUntilMs.load(std::memory_order_relaxed); }

    /** Returns whether a request may be sent as far as the cold state is concerned. @param coldIntervalMs As by RoutingTable::coldIntervalMs(). */
    bool hasColdPermit(double coldIntervalMs, double nowMs) const { return coldIntervalMs <= 0 || !this->isCold(nowMs) || this->coldPermits.hasPermit(coldIntervalMs, nowMs); }

    /** Returns the time per request relative to the usual one, because the target has just started. */
    double coldFactor(double nowMs) const;

    /** Returns the expected latency of the next request without queueing, in milliseconds. @param fleetLatencyMs Latency of the service, the default without own figures. */
    double latency(double fleetLatencyMs, double nowMs) const;

    /** Returns the share of recent attempts that failed; it decays over time without further failures. */
    double recentFailures(double nowMs) const;

    /** Returns the estimated calls of other VMs on the target. @param fleetOtherCalls Assumed for a target without a recent report. */
    double otherCalls(double fleetOtherCalls, double nowMs) const;

    /** Returns the calls of other VMs on the target at the newest report. */
    double reportedOtherCalls() const;

    /** Returns the peak-sensitive latency estimate in milliseconds: it rises at once and decays slowly. */
    double peakLatency(double nowMs) const;

    const std::string address; ///< host:port.
    const uint64_t incarnation;
    const std::string instance; ///< Name of the incarnation; empty: it has none.
    const uint32_t serial; ///< Identifies this object in Pick::ticket.
    std::atomic<int32_t> outstanding { 0 }; ///< Own calls in flight.
    std::atomic<double> logLatency { 0 }; ///< Moving average of the logarithm of the latency in milliseconds.
    std::atomic<uint32_t> latencyCount { 0 }; ///< Latencies recorded, also of failed attempts.
    std::atomic<double> latencyUpdatedMs { neverMs };
    std::atomic<double> reportedAtMs { neverMs }; ///< Time at which the target made the newest report.
    std::atomic<double> observedAtMs { neverMs }; ///< Time of the newest report or end of an attempt.
    std::atomic<int32_t> reportedInFlight { 0 }; ///< Requests in flight and in the queue by the newest report.
    std::atomic<int32_t> ownCallsAtReport { 0 }; ///< Own calls in flight when the newest report arrived.
    std::atomic<double> reportedSlowdown { 1 }; ///< From the newest report.
    std::atomic<double> reportedLatencyMs { 0 }; ///< Milliseconds, from the newest report; 0: not stated.
    std::atomic<uint32_t> picksSinceReport { 0 }; ///< Own attempts started since the newest report arrived.
    TargetRateLimit rateLimit; ///< Limit that the target named in its answers.
    ColdPermits coldPermits; ///< Permits while the target is cold, if its service limits the requests to cold targets.
    uint64_t recordedColdUntilMs = 0; ///< End of the cold state in the latest record that was applied, in log time. Accessed by Router::update() only.

private:
    static constexpr double foreverMs = std::numeric_limits<double>::infinity(); ///< End of a permanent ejection.

    void ejectUntil(double untilMs);
    void updateLatency(double latencyMs, double nowMs);
    void updateFailureShare(bool hasFailed, double nowMs);

    std::atomic<double> failureShare { 0 }; ///< Exponentially weighted share of failed attempts.
    std::atomic<double> lastFailureMs { neverMs };
    std::atomic<double> peakLatencyMs { 0 };
    std::atomic<double> peakUpdatedMs { 0 };
    std::atomic<double> lastProgressMs { neverMs }; ///< Time at which an attempt last ended, or started while none was in flight.
    std::atomic<uint32_t> consecutiveConnectionFailures { 0 }; ///< Consecutive failed or lost connections.
    std::atomic<uint32_t> consecutiveFailures { 0 };
    std::atomic<uint32_t> consecutiveEjections { 0 }; ///< Consecutive ejections, reset once the failure share is low.
    std::atomic<double> ejectedUntilMs { neverMs };
    std::atomic<double> coldUntilMs { neverMs };
    std::atomic<double> leavingSinceMs { neverMs }; ///< Time of the first statement that it leaves.
    std::atomic<double> declinedUntilMs { neverMs };
    std::atomic<double> coldSinceMs;
};

} // namespace kingcup
