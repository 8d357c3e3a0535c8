/** @file Admission.cpp Request queue and concurrency limit of one service on one entry VM. */
#include "kingcup/Admission.h"

#include "ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>
#include <unordered_map>

namespace kingcup {

namespace {

constexpr double ageingStepMs = 1000; ///< Queueing time that raises a request by one priority level.
constexpr uint32_t startsPerOldestRequest = 16; ///< One in this many starts from the queue takes the oldest request, so that none starves.
constexpr double arrivalGapWeight = 0.05;
constexpr double maxArrivalGapMs = 100;
constexpr double minRetryShare = 0.25; ///< Share of the starts reserved for retries of refused callers even under overload.
constexpr Milliseconds minRetryAfter { 10 };
constexpr Milliseconds maxRetryAfter { 60000 };

/** Position in the queue. It does not change while a request is queued, so the queue stays sorted. */
struct QueueKey {
    int64_t agedPriority; ///< Priority plus the number of the ageing step at arrival, so that an old request of low priority eventually precedes newer ones.
    TimePoint deadline; ///< Earlier deadlines come first.
    uint64_t id; ///< Makes keys unique.
    bool operator<(const QueueKey& other) const { return std::tie(this->agedPriority, this->deadline, this->id) < std::tie(other.agedPriority, other.deadline, other.id); }
};

/** A request with the time by which it is sorted. */
struct TimedId {
    TimePoint time; ///< Time of arrival or of expiry.
    uint64_t id; ///< Identifier of the request.
    bool operator<(const TimedId& other) const { return std::tie(this->time, this->id) < std::tie(other.time, other.id); }
};

/** A request in the queue. */
struct QueuedRequest {
    AdmissionRequest request;
    TimePoint arrival; ///< Time of submission.
    TimePoint expiry; ///< Time at which it is refused if it has not started.
    QueueKey key;
};

} // namespace

struct Admission::State {
    explicit State(const ServiceLimits& limits)
        : limits(limits)
    {
    }

    QueueKey keyOf(const AdmissionRequest& request, TimePoint now) const;
    bool wouldStartTooLate(const AdmissionRequest& request, TimePoint now) const;
    void enqueue(const AdmissionRequest& request, TimePoint now);
    QueuedRequest dequeue(uint64_t id);
    void startQueuedRequests(std::vector<AdmissionDecision>& decisions);
    void refuseExpired(TimePoint now, std::vector<AdmissionDecision>& decisions);
    AdmissionDecision refuseRequest(uint64_t id, ResultCode code, TimePoint now);
    bool ensureQueueSpace(const QueueKey& key, TimePoint now, std::vector<AdmissionDecision>& decisions);
    Milliseconds expectedWait(const QueueKey& key) const;
    Milliseconds timePerStart() const;
    Milliseconds timePerRetry() const;
    void recordArrival(TimePoint now);

    ServiceLimits limits; ///< Limits from the manifest.
    ConcurrencyLimit concurrency;
    uint32_t inFlight = 0; ///< Admitted calls that have not finished.
    uint32_t startCount = 0; ///< Requests admitted from the queue.
    std::unordered_map<uint64_t, QueuedRequest> queued; ///< Queued requests by identifier.
    std::set<QueueKey> startOrder; ///< Queued requests in the order in which they start.
    std::set<TimedId> arrivals; ///< Queued requests by arrival, oldest first.
    std::set<TimedId> expiries; ///< Queued requests by expiry, next to expire first.
    TimePoint queueingSince {}; ///< Last time at which a request found the queue empty.
    TimePoint lastArrival {}; ///< Time of the last submission.
    double meanArrivalGapMs = maxArrivalGapMs; ///< Moving average of the time between submissions.
    TimePoint retriesScheduledUntil {}; ///< Latest retry time given to a refused caller.
};

QueueKey Admission::State::keyOf(const AdmissionRequest& request, TimePoint now) const
{
    auto step = static_cast<int64_t>(std::floor(now.time_since_epoch().count() / ageingStepMs));
    return { step + request.priority, request.deadline, request.id };
}

bool Admission::State::wouldStartTooLate(const AdmissionRequest& request, TimePoint now) const
{
    if (std::min(request.maxWait, request.deadline - now) <= Milliseconds(0))
        return true;
    Milliseconds wait = this->expectedWait(this->keyOf(request, now));
    bool wouldEndTooLate = now + wait + this->concurrency.meanLatency() > request.deadline;
    return request.mayBeRefused && (wait > request.maxWait || wouldEndTooLate);
}

void Admission::State::enqueue(const AdmissionRequest& request, TimePoint now)
{
    QueueKey key = this->keyOf(request, now);
    TimePoint expiry = std::min(now + request.maxWait, request.deadline);
    this->queued.emplace(request.id, QueuedRequest { request, now, expiry, key });
    this->startOrder.insert(key);
    this->arrivals.insert({ now, request.id });
    this->expiries.insert({ expiry, request.id });
}

QueuedRequest Admission::State::dequeue(uint64_t id)
{
    QueuedRequest found = this->queued.at(id);
    this->queued.erase(id);
    this->startOrder.erase(found.key);
    this->arrivals.erase({ found.arrival, id });
    this->expiries.erase({ found.expiry, id });
    return found;
}

void Admission::State::startQueuedRequests(std::vector<AdmissionDecision>& decisions)
{
    while (!this->queued.empty() && this->inFlight < this->concurrency.limit()) {
        bool startsOldest = ++this->startCount % startsPerOldestRequest == 0;
        uint64_t id = startsOldest ? this->arrivals.begin()->id : this->startOrder.begin()->id;
        this->dequeue(id);
        ++this->inFlight;
        decisions.push_back({ id, ResultCode::Ok, Milliseconds(0) });
    }
}

void Admission::State::refuseExpired(TimePoint now, std::vector<AdmissionDecision>& decisions)
{
    while (!this->expiries.empty() && this->expiries.begin()->time <= now) {
        QueuedRequest expired = this->dequeue(this->expiries.begin()->id);
        bool isPastDeadline = expired.expiry == expired.request.deadline;
        ResultCode code = isPastDeadline ? ResultCode::DeadlineBeforeSend : ResultCode::WaitTooLong;
        decisions.push_back(this->refuseRequest(expired.request.id, code, now));
    }
}

Milliseconds Admission::State::timePerStart() const
{
    return this->concurrency.meanLatency() / std::max(this->concurrency.limit(), 1u);
}

Milliseconds Admission::State::timePerRetry() const
{
    double usedShare = this->timePerStart().count() / std::max(this->meanArrivalGapMs, 1e-6);
    return this->timePerStart() / std::clamp(1 - usedShare, minRetryShare, 1.0);
}

void Admission::State::recordArrival(TimePoint now)
{
    double gapMs = std::max(0.0, (now - this->lastArrival).count());
    this->meanArrivalGapMs += arrivalGapWeight * (std::min(gapMs, maxArrivalGapMs) - this->meanArrivalGapMs);
    this->lastArrival = now;
}

Milliseconds Admission::State::expectedWait(const QueueKey& key) const
{
    auto ahead = std::distance(this->startOrder.begin(), this->startOrder.lower_bound(key));
    return this->timePerStart() * static_cast<double>(ahead + 1);
}

AdmissionDecision Admission::State::refuseRequest(uint64_t id, ResultCode code, TimePoint now)
{
    // Every refused caller gets a retry time of its own, after the queue has drained and after the callers refused before it.
    TimePoint earliestRetry = now + this->timePerStart() * static_cast<double>(this->queued.size() + 1);
    earliestRetry += now - this->queueingSince; // An overload is expected to last as long again as it already has.
    this->retriesScheduledUntil = std::max(this->retriesScheduledUntil + this->timePerRetry(), earliestRetry);
    this->retriesScheduledUntil = std::min(this->retriesScheduledUntil, now + maxRetryAfter);
    return { id, code, std::max(this->retriesScheduledUntil - now, minRetryAfter) };
}

bool Admission::State::ensureQueueSpace(const QueueKey& key, TimePoint now, std::vector<AdmissionDecision>& decisions)
{
    if (this->queued.size() < this->limits.queueLength)
        return true;
    for (auto last = this->startOrder.rbegin(); last != this->startOrder.rend() && key < *last; ++last) {
        if (!this->queued.at(last->id).request.mayBeRefused)
            continue;
        uint64_t id = last->id;
        this->dequeue(id);
        decisions.push_back(this->refuseRequest(id, ResultCode::QueueFull, now));
        return true;
    }
    return false;
}

Admission::Admission(const ServiceLimits& limits)
    : state(std::make_unique<State>(limits))
{
}

Admission::~Admission() = default;

void Admission::setLimits(const ServiceLimits& limits, uint32_t usableSlots, TimePoint now)
{
    this->state->limits = limits;
    this->state->concurrency.setBounds(usableSlots, limits.maxInFlight, now);
}

std::vector<AdmissionDecision> Admission::submitRequest(const AdmissionRequest& request, TimePoint now)
{
    std::vector<AdmissionDecision> decisions = this->tick(now);
    State& state = *this->state;
    state.recordArrival(now);
    if (state.queued.empty())
        state.queueingSince = now;
    if (request.deadline <= now) {
        decisions.push_back(state.refuseRequest(request.id, ResultCode::DeadlineBeforeSend, now));
        return decisions;
    }
    if (state.queued.empty() && state.inFlight < state.concurrency.limit()) {
        ++state.inFlight;
        decisions.push_back({ request.id, ResultCode::Ok, Milliseconds(0) });
        return decisions;
    }
    if (state.wouldStartTooLate(request, now)) {
        decisions.push_back(state.refuseRequest(request.id, ResultCode::WaitTooLong, now));
        return decisions;
    }
    if (!state.ensureQueueSpace(state.keyOf(request, now), now, decisions)) {
        decisions.push_back(state.refuseRequest(request.id, ResultCode::QueueFull, now));
        return decisions;
    }
    state.enqueue(request, now);
    return decisions;
}

std::vector<AdmissionDecision> Admission::finishCall(Milliseconds latency, bool overloaded, TimePoint now)
{
    State& state = *this->state;
    state.concurrency.recordCall(latency, overloaded, state.inFlight, now);
    state.inFlight -= state.inFlight > 0;
    return this->tick(now);
}

std::vector<AdmissionDecision> Admission::tick(TimePoint now)
{
    std::vector<AdmissionDecision> decisions;
    this->state->refuseExpired(now, decisions);
    this->state->startQueuedRequests(decisions);
    return decisions;
}

bool Admission::cancel(uint64_t id)
{
    if (!this->state->queued.contains(id))
        return false;
    this->state->dequeue(id);
    return true;
}

TimePoint Admission::nextEvent() const
{
    return this->state->expiries.empty() ? TimePoint::max() : this->state->expiries.begin()->time;
}

uint32_t Admission::inFlight() const
{
    return this->state->inFlight;
}

uint32_t Admission::queueLength() const
{
    return static_cast<uint32_t>(this->state->queued.size());
}

uint32_t Admission::limit() const
{
    return this->state->concurrency.limit();
}

} // namespace kingcup
