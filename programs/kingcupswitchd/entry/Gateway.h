/** @file Gateway.h State shared by all calls of an entry VM: the request table, the client for targets, timers and claims. */
#pragma once

#include "ClaimClient.h"
#include "Edge.h"
#include "PathMonitor.h"
#include "RelayClient.h"
#include "RelayGate.h"
#include "RequestTable.h"
#include "TimerQueue.h"

#include "kingcup/CrashContainment.h"
#include "kingcup/HttpListener.h"
#include "kingcup/Metrics.h"
#include "kingcup/Rcu.h"
#include "kingcup/Settings.h"
#include "kingcup/StartupQueue.h"
#include "kingcup/TargetNotice.h"
#include "kingcup/UpstreamClient.h"
#include "kingcup/UsageShare.h"

#include <atomic>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

namespace kingcup {

/** Serves callers' requests, one Call for each. Thread-safe. */
class Gateway {
public:
    /** @param gate Told of the targets. @param pathHook Called on any thread when the path to the targets is lost or found again. @param seed Seed of the random numbers. */
    Gateway(const Settings& settings, const Edge& edge, LeaderClient& leader, ClaimClient& claims, Metrics& metrics, RelayGate& gate, std::function<void(PathState)> pathHook, uint64_t seed);

    /** Starts a call for a request that the listener received. */
    void handleRequest(std::shared_ptr<HttpExchange> exchange);

    /** Puts a configuration in force for new calls. Calls in flight keep the one they started with, except for the API keys. @param keyLeaseEnd End of the key lease with this configuration. */
    void applyConfiguration(std::shared_ptr<const ConfigurationSnapshot> configuration, TimePoint keyLeaseEnd);

    /**
     * Makes a call wait for the first configuration of this VM. Returns false if the call must be refused at once.
     * @param resume Called once from any thread: true when there is a configuration, false when the wait has ended without one.
     */
    bool waitForConfiguration(uint64_t callId, TimePoint callDeadline, std::function<void(bool isConfigured)> resume);

    /** Returns the delay after which a caller may return that was refused for lack of a configuration. */
    Milliseconds startupRetryAfter();

    /** Sets the end of the lease and the number of live entry VMs, 0 if unknown. */
    void setLease(TimePoint end, uint32_t liveVms);

    /** Returns whether this VM holds a lease that has not expired. */
    bool isLeaseValid() const { return MillisecondClock::now().time_since_epoch().count() < this->leaseEndMs.load(); }

    /** Sets the end of the key lease. The configuration that it covers must be in force. */
    void setKeyLease(TimePoint end) { this->keyLeaseEndMs.store(end.time_since_epoch().count()); }

    /** Returns the end of the key lease. It must be read before the table from keys(), which is then at least as recent as the configuration that the lease covers. */
    TimePoint keyLeaseEnd() const { return TimePoint(Milliseconds(this->keyLeaseEndMs.load())); }

    /** Returns the API keys in force. */
    std::shared_ptr<const KeyTable> keys() const;

    /** Sets the clock of the replicated log, by which quarantines expire. */
    void setLogClock(const LogClock& clock);

    /** Returns the log time in milliseconds. */
    int64_t logTimeMs() const;

    /** Sets the latest deadline of calls when a stop begins. Calls with a later one are refused, also those that have not been sent to a target yet. */
    void setLatestDeadline(TimePoint latest) { this->latestDeadlineMs.store(latest.time_since_epoch().count()); }

    /** Returns whether a call with this deadline ends before this VM stops. */
    bool endsBeforeStop(TimePoint deadline) const { return deadline.time_since_epoch().count() <= this->latestDeadlineMs.load(); }

    /** Refuses all further calls. */
    void stopServing() { this->isStopping.store(true); }

    /** Returns the rows of all services in force. */
    std::vector<RequestTableRow> services() const;

    /** Records load reports of targets that other VMs observed. Reports for unknown services are ignored. */
    void recordLoads(const std::vector<wire::TargetLoad>& loads);

    /** Parses the statements of a target in an answer to a call or a probe. */
    TargetNotice parseNotice(const HttpAnswerHead& head) const;

    /**
     * Records the statements of a target in an answer. Its first statement that it leaves is also reported to control, from which the
     * target may be cut off. Returns whether this was such a statement.
     */
    bool recordTargetNotice(const RequestTableRow& service, const std::string& address, uint64_t incarnation, const TargetNotice& notice, TimePoint now);

    /** Records what the end of an exchange with a target shows about the path to it. @param relay VM through which it was reached; empty: directly. */
    void recordExchange(const std::string& address, const std::optional<RelayHop>& relay, const UpstreamResult& result);

    /** Returns whether a request may reach a target: over an own connection or through another VM. */
    bool hasPathToTargets(TimePoint now) const { return !this->paths.isCut() || this->relays.hasRelay(now); }

    /** Updates the gauges of all services. */
    void updateGauges() const;

    /** Stops the client for targets and the timers; what is in flight or scheduled is cancelled. */
    void stop();

    /** Returns the state for diagnosis. */
    nlohmann::json dump() const;

    std::string entryVm; ///< Name of this VM.
    const Edge& edge; ///< Interface to callers and targets.
    Milliseconds maxConnectionIdle; ///< Longest idle time of a connection for a request that must not be repeated; 0: each opens a connection.
    Milliseconds suspicionWait; ///< Longest wait of a retry for the leader's record of a suspicion.
    LeaderClient& leader; ///< Reports suspicions to the leader.
    ClaimClient& claims; ///< Claims idempotency keys.
    Metrics& metrics; ///< Metrics of this process.
    PathMonitor paths; ///< Watches whether targets are reachable. Outlives the client, whose callbacks use it.
    RelayClient relays; ///< VMs through which targets are reached while the path is cut.
    UpstreamClient upstream; ///< Sends requests to targets.
    TimerQueue timers; ///< Runs hedges, queue timeouts, stall timeouts and probes.
    CrashContainment containment; ///< Suspected and quarantined requests.
    RelayGate& gate; ///< Decides on connections that other VMs want relayed.
    UsageShare usage; ///< Shares of this VM in the usage caps of organisations.
    RcuPointer<RequestTable> requestTable; ///< Request table in force; never null.
    std::atomic<bool> isStopping { false }; ///< Whether all further calls are refused.
    std::atomic<uint64_t> lastCallId { 0 }; ///< Identifier of the latest call.
    std::atomic<uint64_t> activeCalls { 0 }; ///< Number of calls that have not ended.

private:
    /** Call that waits for the first configuration. */
    struct WaitingCall {
        std::function<void(bool)> resume;
        TimerId timer = 0; ///< Timer of the end of the wait.
    };
    void endWait(uint64_t callId);
    void releaseWaitingCalls();

    std::string availabilityZone; ///< Availability zone of this VM.
    Milliseconds leaseTerm; ///< Duration of an entry VM's lease.
    void reportZones(const ConfigurationSnapshot& configuration) const;
    void addServices(const ConfigurationSnapshot& configuration, RequestTable& next);
    void addRoutes(const ConfigurationSnapshot& configuration, RequestTable& next) const;
    void reportDeparture(const std::string& service, const std::string& address, uint64_t incarnation);

    uint64_t seed; ///< Seed of the random numbers.
    std::optional<RetryBudgetLimits> retryBudget; ///< Retry budget shared by all entry VMs; empty if none is set.
    std::optional<ZoneTransferCosts> zoneTransfer; ///< Cost of leaving the zone; empty: a fixed penalty applies.
    MeasuringBudget routeMeasuringBudget; ///< Probe budget of services that have no kinds, which only routes lead to.
    mutable std::mutex logClockMutex; ///< Guards `logClock`.
    LogClock logClock; ///< Clock of the replicated log.
    std::atomic<double> latestDeadlineMs { std::numeric_limits<double>::infinity() }; ///< Latest deadline of a call, in milliseconds of the monotonic clock; infinite while no stop has begun.
    std::atomic<double> leaseEndMs { 0 }; ///< End of the lease, in milliseconds of the monotonic clock; 0: no lease yet.
    std::atomic<double> keyLeaseEndMs { 0 }; ///< End of the key lease, in milliseconds of the monotonic clock; 0: none yet.
    mutable std::mutex configurationMutex; ///< Serialises applyConfiguration().
    std::mutex startupMutex; ///< Guards the members below.
    StartupQueue startupQueue; ///< Decides which calls wait for the first configuration.
    std::map<uint64_t, WaitingCall> waitingCalls; ///< Calls that wait, by id.
    bool isConfigured = false; ///< Whether a manifest is in force.
};

} // namespace kingcup
