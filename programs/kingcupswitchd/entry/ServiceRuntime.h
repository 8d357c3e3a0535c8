/** @file ServiceRuntime.h The queues, budgets and estimates of one service on this entry VM. */
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

/** Joins the decision classes of one service and makes them thread-safe. Lives on across configurations. */
class ServiceRuntime : public std::enable_shared_from_this<ServiceRuntime> {
public:
    using AdmissionHook = std::function<void(const AdmissionDecision&)>;

    /** @param entryVm Own name. @param zone Own availability zone. @param retryBudget Budget shared by all entry VMs, if there is one. @param assumedVms Divisor of the probe budget while the number of entry VMs is unknown. */
    ServiceRuntime(const Service& service, const std::string& entryVm, const std::string& zone, const std::optional<RetryBudgetLimits>& retryBudget, uint32_t assumedVms, uint64_t seed, TimerQueue& timers);

    /** Takes over a new configuration. */
    void update(const Service& service, const MeasuringBudget& measuringBudget, const std::vector<wire::TargetRecord>& targets, TimePoint now, uint64_t logTimeMs);

    /** Adapts the concurrency limit to the slots that are usable now, which ejections and load reports change. */
    void refreshLimits(const Service& service, TimePoint now);

    /** Asks for admission; the hook is called once, now or later, unless cancelAdmission() returns true. */
    void admit(AdmissionRequest request, AdmissionHook hook);

    /** Takes back a request that waits. Returns whether it was waiting. */
    bool cancelAdmission(uint64_t id);

    /** Ends an admitted call. */
    void finish(Milliseconds latency, bool overloaded);

    /** Records the time of a whole answer to a request of a kind, without what queues and slow machines added. */
    void recordTime(const std::string& kind, Milliseconds time, TimePoint now);

    /** Returns the time that work of a kind takes on a target that is neither slow nor full; empty while it is not known. */
    std::optional<Milliseconds> usualTime(const std::string& kind, TimePoint now);

    /** Records what a target told when it was asked. */
    void recordLoad(const LoadReport& load, TimePoint now);

    /** Returns what targets told a moment ago. */
    std::optional<TypicalLoad> typicalLoad(TimePoint now);

    /** Takes one probe from the budget. */
    bool takeProbe(const std::string& address, size_t bytes, TimePoint now);

    /** Sets the number of live entry VMs that share the budgets. */
    void setLiveVms(uint32_t liveVms, Milliseconds leaseTerm, TimePoint now);

    /** Sets the gauges of the service. */
    void report(const std::string& service, Metrics& metrics, TimePoint now);

    /** Returns the state as JSON. */
    nlohmann::json dump(TimePoint now);

    Router router; ///< Thread-safe.
    RetryPolicy retries; ///< Thread-safe.

private:
    void dispatch(const std::vector<AdmissionDecision>& decisions, std::unique_lock<std::mutex> lock);
    void scheduleTick();

    TimerQueue& timers; ///< For waiting requests.
    std::mutex mutex; ///< Guards all below.
    Admission admission; ///< Queue and limit.
    ProbeBudget probeBudget; ///< Of this VM.
    RecentLoad recentLoad; ///< Of targets that were asked.
    std::map<std::string, std::unique_ptr<LatencySketch>> times; ///< Of whole answers, by kind.
    std::map<uint64_t, AdmissionHook> waiting; ///< Undecided requests.
    TimerId tickTimer = 0; ///< Pending tick.
    TimePoint tickTime {}; ///< Its time.
};

} // namespace kingcup
