/** @file ServiceRuntime.cpp Implementation of the runtime state of a service. */
#include "ServiceRuntime.h"

#include "kingcup/TargetSearch.h"

namespace kingcup {

namespace {

constexpr double subsetUnevenness = 2; ///< Rendezvous hashing gives a target to at most about this many times the mean number of VMs.
constexpr double usualQuantile = 0.4; ///< Below the slower targets, above the shorter half of the work.
constexpr uint64_t fewestTimes = 10;
constexpr Milliseconds farAway { 60000 }; ///< Events later than this need no timer.

} // namespace

ServiceRuntime::ServiceRuntime(const Service& service, const std::string& entryVm, const std::string& zone, const std::optional<RetryBudgetLimits>& retryBudget, uint32_t assumedVms, uint64_t seed, TimerQueue& timers)
    : router(RoutingPolicy::Adaptive, entryVm, zone, RandomSource(seed))
    , retries(service.limits)
    , timers(timers)
    , admission(service.limits)
    , probeBudget(service.measuringBudget, assumedVms)
{
    if (retryBudget)
        this->retries.setBudget(*retryBudget, MillisecondClock::now());
}

void ServiceRuntime::update(const Service& service, const MeasuringBudget& measuringBudget, const std::vector<wire::TargetRecord>& targets, TimePoint now, uint64_t logTimeMs)
{
    this->router.update(service, targets, now, logTimeMs);
    this->retries.setLimits(service.limits);
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->probeBudget.setBudget(measuringBudget);
    }
    this->refreshLimits(service, now);
}

void ServiceRuntime::refreshLimits(const Service& service, TimePoint now)
{
    uint32_t usableSlots = this->router.usableSlots(now);
    std::unique_lock<std::mutex> lock(this->mutex);
    this->admission.setLimits(service.limits, usableSlots);
    this->dispatch(this->admission.tick(now), std::move(lock));
}

void ServiceRuntime::admit(AdmissionRequest request, AdmissionHook hook)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    this->waiting.emplace(request.id, std::move(hook));
    this->dispatch(this->admission.submitRequest(request, MillisecondClock::now()), std::move(lock));
}

bool ServiceRuntime::cancelAdmission(uint64_t id)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->admission.cancel(id))
        return false;
    this->waiting.erase(id);
    return true;
}

void ServiceRuntime::finish(Milliseconds latency, bool overloaded)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    this->dispatch(this->admission.finishCall(latency, overloaded, MillisecondClock::now()), std::move(lock));
}

void ServiceRuntime::recordTime(const std::string& kind, Milliseconds time, TimePoint now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::unique_ptr<LatencySketch>& sketch = this->times[kind];
    if (!sketch)
        sketch = std::make_unique<LatencySketch>();
    sketch->add(time, now);
}

std::optional<Milliseconds> ServiceRuntime::usualTime(const std::string& kind, TimePoint now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto found = this->times.find(kind);
    return found == this->times.end() ? std::nullopt : found->second->quantile(usualQuantile, fewestTimes, now);
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

void ServiceRuntime::setLiveVms(uint32_t liveVms, Milliseconds leaseTerm, TimePoint now)
{
    this->retries.setLiveVms(liveVms);
    std::lock_guard<std::mutex> lock(this->mutex);
    this->probeBudget.setLiveVms(liveVms, leaseTerm, now);
    this->probeBudget.setTargetVmShare(std::min(1.0, subsetUnevenness * this->router.subsetShare()));
}

/** Calls the hooks of decided requests without the lock. */
void ServiceRuntime::dispatch(const std::vector<AdmissionDecision>& decisions, std::unique_lock<std::mutex> lock)
{
    std::vector<std::pair<AdmissionHook, AdmissionDecision>> calls;
    for (const AdmissionDecision& decision : decisions) {
        auto entry = this->waiting.find(decision.id);
        if (entry == this->waiting.end())
            continue;
        calls.emplace_back(std::move(entry->second), decision);
        this->waiting.erase(entry);
    }
    this->scheduleTick();
    lock.unlock();
    for (auto& [hook, decision] : calls)
        hook(decision);
}

/** Makes sure that a timer runs for the next event of the queue. Called with the lock held. */
void ServiceRuntime::scheduleTick()
{
    if (this->waiting.empty())
        return;
    TimePoint now = MillisecondClock::now();
    TimePoint when = std::min(this->admission.nextEvent(), now + farAway);
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
        runtime->dispatch(runtime->admission.tick(MillisecondClock::now()), std::move(lock));
    });
}

void ServiceRuntime::report(const std::string& service, Metrics& metrics, TimePoint now)
{
    metrics.setGauge("kingcup_usable_slots", this->router.usableSlots(now), service);
    metrics.setGauge("kingcup_outstanding_attempts", this->router.outstanding(), service);
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
