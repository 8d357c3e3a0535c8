/** @file ServiceRuntime.cpp Implementation of the runtime state of a service. */
#include "ServiceRuntime.h"

#include "kingcup/TargetSearch.h"

namespace kingcup {

namespace {

constexpr double maxSubsetImbalance = 2; ///< With rendezvous hashing, a target is in the subsets of at most about this many times the mean number of VMs.
constexpr double typicalTimeQuantile = 0.4; ///< Low enough to leave out slow targets, high enough to leave out the shorter part of the work.
constexpr Milliseconds outOfUseRetryAfter { 1000 }; ///< Zones are restored by operators, so an earlier retry has no better chance.
constexpr uint64_t minTimeSamples = 10;
constexpr Milliseconds maxTickDelay { 60000 }; ///< The timer runs at the latest after this time, also when the next event of the queue is later.

} // namespace

ServiceRuntime::ServiceRuntime(const Service& service, const std::string& entryVm, const std::string& availabilityZone, const std::optional<RetryBudgetLimits>& retryBudget, uint32_t assumedVms, uint64_t seed, TimerQueue& timers)
    : router(RoutingPolicy::Adaptive, entryVm, availabilityZone, RandomSource(seed))
    , retryPolicy(service.limits)
    , timers(timers)
    , admission(service.limits)
    , probeBudget(service.measuringBudget, assumedVms)
{
    this->router.setVmsPerTarget(assumedVms);
    if (retryBudget)
        this->retryPolicy.setBudget(*retryBudget, MillisecondClock::now());
}

void ServiceRuntime::countZone(const std::string& service, ZoneReason reason, Metrics& metrics) const
{
    metrics.incrementReasonCounter("kingcup_requests_by_zone_total", service, zoneReasonName(reason));
}

void ServiceRuntime::applyConfiguration(const Service& service, const MeasuringBudget& measuringBudget, const std::vector<wire::TargetRecord>& targets, TimePoint now, uint64_t logTimeMs)
{
    this->router.update(service, targets, now, logTimeMs);
    this->retryPolicy.setLimits(service.limits);
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->probeBudget.setBudget(measuringBudget);
    }
    this->refreshLimits(service, now);
}

void ServiceRuntime::setOnlyTargetsOutOfUse(bool areOutOfUse)
{
    // Without usable slots the concurrency limit is 1, so that requests would wait for the calls in flight.
    std::map<uint64_t, AdmissionCallback> refused;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->hasOnlyTargetsOutOfUse = areOutOfUse;
        if (!areOutOfUse)
            return;
        refused.swap(this->callbacks);
        for (const auto& [id, callback] : refused)
            this->admission.cancel(id);
    }
    for (const auto& [id, callback] : refused)
        callback({ id, ResultCode::NoTarget, outOfUseRetryAfter });
}

void ServiceRuntime::refreshLimits(const Service& service, TimePoint now)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    uint32_t usableSlots = this->router.usableSlots(now); // Counted under the lock, so that no older count replaces a newer one.
    this->admission.setLimits(service.limits, usableSlots, now);
    this->dispatchDecisions(this->admission.tick(now), std::move(lock));
}

void ServiceRuntime::admit(AdmissionRequest request, AdmissionCallback callback)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    if (this->hasOnlyTargetsOutOfUse) {
        lock.unlock();
        callback({ request.id, ResultCode::NoTarget, outOfUseRetryAfter });
        return;
    }
    this->callbacks.emplace(request.id, std::move(callback));
    this->dispatchDecisions(this->admission.submitRequest(request, MillisecondClock::now()), std::move(lock));
}

bool ServiceRuntime::cancelAdmission(uint64_t id)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->admission.cancel(id))
        return false;
    this->callbacks.erase(id);
    return true;
}

void ServiceRuntime::finishCall(Milliseconds latency, bool overloaded)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    this->dispatchDecisions(this->admission.finishCall(latency, overloaded, MillisecondClock::now()), std::move(lock));
}

void ServiceRuntime::recordProcessingTime(const std::string& kind, Milliseconds time, TimePoint now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::unique_ptr<LatencySketch>& sketch = this->processingTimes[kind];
    if (!sketch)
        sketch = std::make_unique<LatencySketch>();
    sketch->add(time, now);
}

std::optional<Milliseconds> ServiceRuntime::typicalProcessingTime(const std::string& kind, TimePoint now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto found = this->processingTimes.find(kind);
    return found == this->processingTimes.end() ? std::nullopt : found->second->quantile(typicalTimeQuantile, minTimeSamples, now);
}

void ServiceRuntime::recordLoad(const LoadReport& load, TimePoint now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->recentLoad.add(TargetSearch::costOf(load), TargetSearch::isFull(load), now);
}

std::optional<TypicalLoad> ServiceRuntime::typicalLoad(TimePoint now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->recentLoad.typicalLoad(now);
}

bool ServiceRuntime::takeProbe(const std::string& address, size_t bytes, TimePoint now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->probeBudget.takeProbe(address, bytes, now);
}

void ServiceRuntime::setLiveVms(uint32_t liveVms, uint32_t assumedVms, Milliseconds leaseTerm, TimePoint now)
{
    this->retryPolicy.setLiveVms(liveVms, leaseTerm, now);
    double targetVmShare = std::min(1.0, maxSubsetImbalance * this->router.subsetShare());
    std::lock_guard<std::mutex> lock(this->mutex);
    this->hasKnownLiveVms = this->hasKnownLiveVms || liveVms;
    // Before the first known number, the assumed one may be too small and is not reduced to a part of the VMs.
    this->router.setVmsPerTarget(std::max(1.0, (liveVms ? liveVms : assumedVms) * (this->hasKnownLiveVms ? targetVmShare : 1)));
    this->probeBudget.setAssumedVms(assumedVms);
    this->probeBudget.setLiveVms(liveVms, leaseTerm, now);
    this->probeBudget.setTargetVmShare(targetVmShare);
}

/** Releases the lock and then calls the callbacks of the requests that were decided. */
void ServiceRuntime::dispatchDecisions(const std::vector<AdmissionDecision>& decisions, std::unique_lock<std::mutex> lock)
{
    std::vector<std::pair<AdmissionCallback, AdmissionDecision>> decidedCalls;
    for (const AdmissionDecision& decision : decisions) {
        auto entry = this->callbacks.find(decision.id);
        if (entry == this->callbacks.end())
            continue;
        decidedCalls.emplace_back(std::move(entry->second), decision);
        this->callbacks.erase(entry);
    }
    this->scheduleTick();
    lock.unlock();
    for (auto& [callback, decision] : decidedCalls)
        callback(decision);
}

/** Schedules a timer for the next event of the queue unless an earlier one is pending. The lock must be held. */
void ServiceRuntime::scheduleTick()
{
    if (this->callbacks.empty())
        return;
    TimePoint now = MillisecondClock::now();
    TimePoint when = std::min(this->admission.nextEvent(), now + maxTickDelay);
    if (this->tickTimer && this->tickTime <= when)
        return;
    this->timers.cancel(this->tickTimer);
    this->tickTime = when;
    this->tickTimer = this->timers.schedule(when, [weak = this->weak_from_this()] {
        std::shared_ptr<ServiceRuntime> runtime = weak.lock();
        if (!runtime)
            return;
        std::unique_lock<std::mutex> lock(runtime->mutex);
        runtime->tickTimer = 0;
        runtime->dispatchDecisions(runtime->admission.tick(MillisecondClock::now()), std::move(lock));
    });
}

void ServiceRuntime::updateGauges(const std::string& service, Metrics& metrics, TimePoint now)
{
    metrics.setGauge("kingcup_usable_slots", this->router.usableSlots(now), service);
    metrics.setGauge("kingcup_cold_targets", this->router.coldTargets(now), service);
    metrics.setGauge("kingcup_outstanding_attempts", this->router.outstanding(), service);
    if (std::optional<ZoneTransferState> transfer = this->router.zoneTransfer())
        metrics.setGauge("kingcup_zone_transfer_share", transfer->share, service);
    if (std::optional<double> left = this->retryPolicy.remainingBudget(now))
        metrics.setGauge("kingcup_retry_budget_left", *left, service);
    std::lock_guard<std::mutex> lock(this->mutex);
    metrics.setGauge("kingcup_queue_length", this->admission.queueLength(), service);
    metrics.setGauge("kingcup_calls_in_flight", this->admission.inFlight(), service);
    metrics.setGauge("kingcup_concurrency_limit", this->admission.limit(), service);
    metrics.setGauge("kingcup_probes_denied", static_cast<double>(this->probeBudget.denied()), service);
}

nlohmann::json ServiceRuntime::dump(TimePoint now)
{
    nlohmann::json result;
    result["targets"] = nlohmann::json::parse(this->router.dump(now));
    result["outstanding"] = this->router.outstanding();
    std::lock_guard<std::mutex> lock(this->mutex);
    result["inFlight"] = this->admission.inFlight();
    result["waiting"] = this->admission.queueLength();
    result["limit"] = this->admission.limit();
    result["probesGranted"] = this->probeBudget.granted();
    result["probesDenied"] = this->probeBudget.denied();
    return result;
}

} // namespace kingcup
