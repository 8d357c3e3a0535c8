/** @file Gateway.h What all calls of an entry VM share: the table of services, targets' client, timers and claims. */
#pragma once

#include "ClaimClient.h"
#include "Edge.h"
#include "RequestTable.h"
#include "TimerQueue.h"

#include "kingcup/CrashContainment.h"
#include "kingcup/HttpListener.h"
#include "kingcup/Metrics.h"
#include "kingcup/Rcu.h"
#include "kingcup/Settings.h"
#include "kingcup/UpstreamClient.h"

#include <atomic>
#include <limits>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

namespace kingcup {

/** Serves callers' requests. Thread-safe. */
class Gateway {
public:
    /** @param seed Of random numbers. */
    Gateway(const Settings& settings, const Edge& edge, LeaderClient& leader, ClaimClient& claims, Metrics& metrics, uint64_t seed);

    /** Starts a call for a request of the listener. */
    void handle(std::shared_ptr<HttpExchange> exchange);

    /** Puts a configuration in force. */
    void configure(std::shared_ptr<const ConfigurationSnapshot> configuration);

    /** Sets the end of the lease and the number of live entry VMs. */
    void setLease(TimePoint end, uint32_t liveVms);

    /** Returns whether the lease is valid. */
    bool leaseValid() const { return MillisecondClock::now().time_since_epoch().count() < this->leaseEndMs.load(); }

    /** Takes over the time of the log, by which quarantines end. */
    void setLogClock(const LogClock& clock);

    /** Returns the time of the log in milliseconds. */
    int64_t logTimeMs() const;

    /** From now on only calls that end by this time are taken: this VM is stopping. */
    void setStopEnd(TimePoint end) { this->stopEndMs.store(end.time_since_epoch().count()); }

    /** Returns whether a call with a deadline ends before this VM stops. */
    bool endsBeforeStop(TimePoint deadline) const { return deadline.time_since_epoch().count() <= this->stopEndMs.load(); }

    /** Refuses further calls. */
    void stopServing() { this->stopping.store(true); }

    /** Returns the services in force. */
    std::vector<RequestTableRow> services() const;

    /** Takes load reports of targets that other VMs observed. */
    void reportLoads(const std::vector<wire::TargetLoad>& loads);

    /** Sets the gauges of all services. */
    void report() const;

    /** Cancels everything. */
    void stop();

    /** Returns the state as JSON. */
    nlohmann::json dump() const;

    std::string entryVm; ///< Own name.
    const Edge& edge; ///< Interface towards callers and targets.
    Milliseconds suspicionWait; ///< Longest wait of a retry for the leader's record of a suspicion.
    LeaderClient& leader; ///< For suspicions.
    ClaimClient& claims; ///< For keys.
    Metrics& metrics; ///< Counts.
    UpstreamClient upstream; ///< Towards targets.
    TimerQueue timers; ///< For hedges, queues and stalls.
    CrashContainment containment; ///< Suspects.
    RcuPointer<RequestTable> table; ///< In force.
    std::atomic<bool> stopping { false }; ///< Whether calls are refused.
    std::atomic<uint64_t> lastCallId { 0 }; ///< Ids of calls.
    std::atomic<uint64_t> activeCalls { 0 }; ///< Calls that are not over.

private:
    std::string zone; ///< Own availability zone.
    Milliseconds leaseTerm; ///< Of entry VMs.
    uint32_t assumedVms; ///< Divisor of probe budgets while the number of entry VMs is unknown.
    void addServices(const ConfigurationSnapshot& configuration, RequestTable& next);
    void addRoutes(const ConfigurationSnapshot& configuration, RequestTable& next) const;

    uint64_t seed; ///< Of random numbers.
    std::optional<RetryBudgetLimits> retryBudget; ///< Shared by all entry VMs.
    MeasuringBudget routeMeasuringBudget; ///< Of services that only routes lead to.
    mutable std::mutex logClockMutex; ///< Guards the clock.
    LogClock logClock; ///< Time of the log.
    std::atomic<double> stopEndMs { std::numeric_limits<double>::infinity() }; ///< When this VM stops, on the monotonic clock.
    std::atomic<double> leaseEndMs { 0 }; ///< End of the lease on the monotonic clock.
    mutable std::mutex configureMutex; ///< Serialises configure().
};

} // namespace kingcup
