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
constexpr uint32_t startsPerOldest = 16; ///< One in this many starts from the queue takes the oldest request, so that none starves.
constexpr double gapWeight = 0.05;
constexpr double longestGapMs = 100;
constexpr double lowestReturnShare = 0.25; ///< Share of the starts reserved for retries of refused callers even under overload.
constexpr Milliseconds shortestRetryAfter { 10 };
constexpr Milliseconds longestRetryAfter { 60000 };

/** Position in the queue. It does not change while a request is queued, so the queue stays sorted. */
struct QueueKey {
    int64_t level; ///< Priority plus the number of the ageing step at arrival, so that an old request of low priority eventually precedes newer ones.
    TimePoint deadline; ///< Earlier deadlines come first.
    uint64_t id; ///< Makes keys unique.
    bool operator<(const QueueKey& other) const { return std::tie(this->level, this->deadline, this->id) < std::tie(other.level, other.deadline, other.id); }
};

/** A request with the time by which it is sorted. */
struct TimedId {
    TimePoint time; ///< Time of arrival or of expiry.
    uint64_t id; ///< Identifier of the request.
    bool operator<(const TimedId& other) const { return std::tie(this->time, this->id) < std::tie(other.time, other.id); }
};

/** A request in the queue. */
struct Waiting {
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
    bool startsTooLate(const AdmissionRequest& request, TimePoint now) const;
    void enqueue(const AdmissionRequest& request, TimePoint now);
    Waiting remove(uint64_t id);
    void startWaiting(std::vector<AdmissionDecision>& decisions);
    void refuseExpired(TimePoint now, std::vector<AdmissionDecision>& decisions);
    AdmissionDecision refusal(uint64_t id, ResultCode code, TimePoint now);
    bool makeRoom(const QueueKey& key, TimePoint now, std::vector<AdmissionDecision>& decisions);
    Milliseconds expectedWait(const QueueKey& key) const;
    Milliseconds timePerStart() const;
    Milliseconds timePerReturn() const;
    void countArrival(TimePoint now);

    ServiceLimits limits; ///< Limits from the manifest.
    ConcurrencyLimit concurrency;
    uint32_t inFlight = 0; ///< Admitted calls that have not finished.
    uint32_t starts = 0; ///< Requests admitted from the queue.
    std::unordered_map<uint64_t, Waiting> waiting; ///< Queued requests by identifier.
    std::set<QueueKey> order; ///< Queued requests in the order in which they start.
    std::set<TimedId> arrivals; ///< Queued requests by arrival, oldest first.
    std::set<TimedId> expiries; ///< Queued requests by expiry, next to expire first.
    TimePoint queueingSince {}; ///< Last time at which a request found the queue empty.
    TimePoint lastArrival {}; ///< Time of the last submission.
    double meanGapMs = longestGapMs; ///< Moving average of the time between submissions.
    TimePoint returnsBookedUntil {}; ///< Latest retry time given to a refused caller.
};

QueueKey Admission::State::keyOf(const AdmissionRequest& request, TimePoint now) const
{
    auto step = static_cast<int64_t>(std::floor(now.time_since_epoch().count() / ageingStepMs));
    return { step + request.priority, request.deadline, request.id };
}

bool Admission::State::startsTooLate(const AdmissionRequest& request, TimePoint now) const
{
    if (std::min(request.mayWait, request.deadline - now) <= Milliseconds(0))
        return true;
    Milliseconds wait = this->expectedWait(this->keyOf(request, now));
    bool endsTooLate = now + wait + this->concurrency.typicalLatency() > request.deadline;
    return request.mayRefuse && (wait > request.mayWait || endsTooLate);
}

void Admission::State::enqueue(const AdmissionRequest& request, TimePoint now)
{
    QueueKey key = this->keyOf(request, now);
    TimePoint expiry = std::min(now + request.mayWait, request.deadline);
    this->waiting.emplace(request.id, Waiting { request, now, expiry, key });
    this->order.insert(key);
    this->arrivals.insert({ now, request.id });
    this->expiries.insert({ expiry, request.id });
}

Waiting Admission::State::remove(uint64_t id)
{
    Waiting found = this->waiting.at(id);
    this->waiting.erase(id);
    this->order.erase(found.key);
    this->arrivals.erase({ found.arrival, id });
    this->expiries.erase({ found.expiry, id });
    return found;
}

void Admission::State::startWaiting(std::vector<AdmissionDecision>& decisions)
{
    while (!this->waiting.empty() && this->inFlight < this->concurrency.limit()) {
        bool oldestFirst = ++this->starts % startsPerOldest == 0;
        uint64_t id = oldestFirst ? this->arrivals.begin()->id : this->order.begin()->id;
        this->remove(id);
        ++this->inFlight;
        decisions.push_back({ id, ResultCode::Ok, Milliseconds(0) });
    }
}

void Admission::State::refuseExpired(TimePoint now, std::vector<AdmissionDecision>& decisions)
{
    while (!this->expiries.empty() && this->expiries.begin()->time <= now) {
        Waiting expired = this->remove(this->expiries.begin()->id);
        bool byDeadline = expired.expiry == expired.request.deadline;
        ResultCode code = byDeadline ? ResultCode::DeadlineBeforeSend : ResultCode::WaitTooLong;
        decisions.push_back(this->refusal(expired.request.id, code, now));
    }
}

Milliseconds Admission::State::timePerStart() const
{
    return this->concurrency.typicalLatency() / std::max(this->concurrency.limit(), 1u);
}

Milliseconds Admission::State::timePerReturn() const
{
    double used = this->timePerStart().count() / std::max(this->meanGapMs, 1e-6);
    return this->timePerStart() / std::clamp(1 - used, lowestReturnShare, 1.0);
}

void Admission::State::countArrival(TimePoint now)
{
    double gapMs = std::max(0.0, (now - this->lastArrival).count());
    this->meanGapMs += gapWeight * (std::min(gapMs, longestGapMs) - this->meanGapMs);
    this->lastArrival = now;
}

Milliseconds Admission::State::expectedWait(const QueueKey& key) const
{
    auto ahead = std::distance(this->order.begin(), this->order.lower_bound(key));
    return this->timePerStart() * static_cast<double>(ahead + 1);
}

AdmissionDecision Admission::State::refusal(uint64_t id, ResultCode code, TimePoint now)
{
    // Every refused caller gets a retry time of its own, after the queue has drained and after the callers refused before it.
    TimePoint free = now + this->timePerStart() * static_cast<double>(this->waiting.size() + 1);
    free += now - this->queueingSince; // An overload is expected to last as long again as it already has.
    this->returnsBookedUntil = std::max(this->returnsBookedUntil + this->timePerReturn(), free);
    this->returnsBookedUntil = std::min(this->returnsBookedUntil, now + longestRetryAfter);
    return { id, code, std::max(this->returnsBookedUntil - now, shortestRetryAfter) };
}

bool Admission::State::makeRoom(const QueueKey& key, TimePoint now, std::vector<AdmissionDecision>& decisions)
{
    if (this->waiting.size() < this->limits.queueLength)
        return true;
    for (auto last = this->order.rbegin(); last != this->order.rend() && key < *last; ++last) {
        if (!this->waiting.at(last->id).request.mayRefuse)
            continue;
        uint64_t id = last->id;
        this->remove(id);
        decisions.push_back(this->refusal(id, ResultCode::QueueFull, now));
        return true;
    }
    return false;
}

Admission::Admission(const ServiceLimits& limits)
    : state(std::make_unique<State>(limits))
{
}

Admission::~Admission() = default;

void Admission::setLimits(const ServiceLimits& limits, uint32_t usableSlots)
{
    this->state->limits = limits;
    this->state->concurrency.setBounds(usableSlots, limits.maxInFlight);
}

std::vector<AdmissionDecision> Admission::request(const AdmissionRequest& request, TimePoint now)
{
    std::vector<AdmissionDecision> decisions = this->tick(now);
    State& state = *this->state;
    state.countArrival(now);
    if (state.waiting.empty())
        state.queueingSince = now;
    if (request.deadline <= now) {
        decisions.push_back(state.refusal(request.id, ResultCode::DeadlineBeforeSend, now));
        return decisions;
    }
    if (state.waiting.empty() && state.inFlight < state.concurrency.limit()) {
        ++state.inFlight;
        decisions.push_back({ request.id, ResultCode::Ok, Milliseconds(0) });
        return decisions;
    }
    if (state.startsTooLate(request, now)) {
        decisions.push_back(state.refusal(request.id, ResultCode::WaitTooLong, now));
        return decisions;
    }
    if (!state.makeRoom(state.keyOf(request, now), now, decisions)) {
        decisions.push_back(state.refusal(request.id, ResultCode::QueueFull, now));
        return decisions;
    }
    state.enqueue(request, now);
    return decisions;
}

std::vector<AdmissionDecision> Admission::finish(Milliseconds latency, bool overloaded, TimePoint now)
{
    State& state = *this->state;
    state.concurrency.observe(latency, overloaded, state.inFlight, now);
    state.inFlight -= state.inFlight > 0;
    return this->tick(now);
}

std::vector<AdmissionDecision> Admission::tick(TimePoint now)
{
    std::vector<AdmissionDecision> decisions;
    this->state->refuseExpired(now, decisions);
    this->state->startWaiting(decisions);
    return decisions;
}

bool Admission::cancel(uint64_t id)
{
    if (!this->state->waiting.contains(id))
        return false;
    this->state->remove(id);
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

uint32_t Admission::waiting() const
{
    return static_cast<uint32_t>(this->state->waiting.size());
}

uint32_t Admission::limit() const
{
    return this->state->concurrency.limit();
}

} // namespace kingcup
