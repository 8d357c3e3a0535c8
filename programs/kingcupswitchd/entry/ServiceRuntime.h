/** @file ServiceRuntime.h Queue, budgets and estimates of one service on this entry VM. */
#pragma once

#include "TimerQueue.h"

#include "kingcup/Admission.h"
#include "kingcup/LatencySketch.h"
#include "kingcup/Metrics.h"
#include "kingcup/ProbeBudget.h"
#include "kingcup/RecentLoad.h"
#include "kingcup/RetryPolicy.h"
#include "kingcup/Router.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace kingcup {

/** Runtime state of one service: combines routing, retries, admission and probing and makes them thread-safe. Kept when the configuration changes. */
class ServiceRuntime : public std::enable_shared_from_this<ServiceRuntime> {
public:
    using AdmissionCallback = std::function<void(const AdmissionDecision&)>;

    /** @param entryVm Name of this VM. @param availabilityZone Availability zone of this VM. @param retryBudget Budget shared by all entry VMs; empty if none is set. @param assumedVms Number of entry VMs that the probe budget and limits of targets assume while the number of live ones is unknown. */
    ServiceRuntime(const Service& service, const std::string& entryVm, const std::string& availabilityZone, const std::optional<RetryBudgetLimits>& retryBudget, uint32_t assumedVms, uint64_t seed, TimerQueue& timers);

    /** Lets ZoneTransfer decide which requests leave the zone. Must precede the first request. */
    void setZoneTransfer(const ZoneTransferCosts& costs) { this->router.setZoneTransfer(costs); }

    /** Counts a request that is sent to a target, by the reason for the zone. */
    void countZone(const std::string& service, ZoneReason reason, Metrics& metrics) const;

    /** Applies a new configuration. @param logTimeMs Log time in milliseconds. */
    void applyConfiguration(const Service& service, const MeasuringBudget& measuringBudget, const std::vector<wire::TargetRecord>& targets, TimePoint now, uint64_t logTimeMs);

    /**
     * Sets whether all targets of the service are in availability zones out of use. Until they are not, requests are refused with NoTarget
     * without waiting; those that wait are refused at once.
     */
    void setOnlyTargetsOutOfUse(bool areOutOfUse);

    /** Adjusts the concurrency limit to the number of usable slots, which ejections and load reports change. */
    void refreshLimits(const Service& service, TimePoint now);

    /** Submits a request for admission. The callback is called once, during this call or later on any thread, unless cancelAdmission() returns true. */
    void admit(AdmissionRequest request, AdmissionCallback callback);

    /** Removes a queued request. Returns whether it was queued. */
    bool cancelAdmission(uint64_t id);

    /** Records the end of an admitted call. @param overloaded Whether the target shed the call or it timed out. */
    void finishCall(Milliseconds latency, bool overloaded);

    /** Records how long a target took for a request of a kind, without the time added by queueing and by a slow machine. */
    void recordProcessingTime(const std::string& kind, Milliseconds time, TimePoint now);

    /** Returns how long a request of a kind takes on a target that is neither slow nor full; empty while there are too few records. */
    std::optional<Milliseconds> typicalProcessingTime(const std::string& kind, TimePoint now);

    /** Records the load in the answer to a probe. */
    void recordLoad(const LoadReport& load, TimePoint now);

    /** Returns the typical load in recent answers to probes; empty without any. */
    std::optional<TypicalLoad> typicalLoad(TimePoint now);

    /** Takes one probe of a target from the budget. Returns false if the budget is used up. @param bytes Expected traffic in both directions. */
    bool takeProbe(const std::string& address, size_t bytes, TimePoint now);

    /** Sets the number of live entry VMs that share the budgets, 0 if unknown, and the number to assume while it is. */
    void setLiveVms(uint32_t liveVms, uint32_t assumedVms, Milliseconds leaseTerm, TimePoint now);

    /** Updates the gauges of the service. */
    void updateGauges(const std::string& service, Metrics& metrics, TimePoint now);

    /** Returns the state for diagnosis. */
    nlohmann::json dump(TimePoint now);

    Router router; ///< Chooses targets; thread-safe.
    RetryPolicy retryPolicy; ///< Limits retries and hedges; thread-safe.

private:
    void dispatchDecisions(const std::vector<AdmissionDecision>& decisions, std::unique_lock<std::mutex> lock);
    void scheduleTick();

    TimerQueue& timers; ///< Runs the timeouts of queued requests.
    std::mutex mutex; ///< Guards all members below.
    Admission admission; ///< Request queue and concurrency limit.
    ProbeBudget probeBudget; ///< Limits the probes that this VM sends.
    bool hasKnownLiveVms = false; ///< Whether the number of live entry VMs was ever known.
    RecentLoad recentLoad; ///< Load in recent answers to probes.
    std::map<std::string, std::unique_ptr<LatencySketch>> processingTimes; ///< Time that targets took for requests, by kind.
    bool hasOnlyTargetsOutOfUse = false; ///< Whether all targets are in availability zones out of use.
    std::map<uint64_t, AdmissionCallback> callbacks; ///< Callbacks of requests without a decision, by request id.
    TimerId tickTimer = 0; ///< Timer of the next admission tick; 0: none.
    TimePoint tickTime {}; ///< Time of that tick.
};

} // namespace kingcup
