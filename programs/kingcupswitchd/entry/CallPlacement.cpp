/** @file CallPlacement.cpp Searches for a target with free capacity by probing the load of several targets. */
#include "Call.h"

#include "kingcup/JsonLog.h"

#include <algorithm>
#include <cmath>

namespace kingcup {

namespace {

constexpr size_t probeBytes = 400; ///< Estimated size of a probe: request and answer with their headers.
constexpr size_t maxPicksBeforeUnprobed = 8; ///< If the probe budget is exhausted, a round with this many candidates picks no further one and may use a target without a probe.
constexpr Milliseconds probeTimeout { 100 };
constexpr Milliseconds pathRetryAfter { 20 }; ///< Short, since the caller comes to another VM.
constexpr double minRetryAfterMs = 20; ///< With a shorter delay, a caller would retry before the load has changed.

} // namespace

/** Returns whether an attempt probes targets before it is sent: only for routes of a service with a health path, with several candidates, and not for a resumed download. */
bool Call::usesTargetSearch(const AttemptPointer& attempt) const
{
    return this->match.route && !this->match.service->healthPath.empty() && !attempt->resumeOffset && attempt->pick.reason.candidates > 1;
}

TargetSearchLimits Call::searchLimits() const
{
    const Kind& kind = *this->match.kind;
    std::optional<Milliseconds> usualTime = this->match.runtime->typicalProcessingTime(kind.name, MillisecondClock::now());
    return limitsOfSearch({ this->arrivalTime, this->searchStartTime.value_or(MillisecondClock::now()), this->deadline, kind.objective, usualTime });
}

/** Starts the search with a probe of the target that the router picked. */
void Call::startSearch(const AttemptPointer& attempt)
{
    this->searchStartTime = this->searchStartTime.value_or(MillisecondClock::now());
    attempt->searchRound = std::make_shared<TargetSearchRound>(this->searchLimits());
    this->probeTarget(attempt, attempt->pick);
}

/** Probes the load of a target. If the probe budget is exhausted, the target is recorded as a candidate without a probe. */
void Call::probeTarget(const AttemptPointer& attempt, const Pick& pick)
{
    TimePoint now = MillisecondClock::now();
    TargetSearchRound& searchRound = *attempt->searchRound;
    size_t position = searchRound.search.addTarget(now);
    searchRound.picks.push_back(pick);
    searchRound.probeHandles.push_back(0);
    if (!this->match.runtime->takeProbe(pick.address, probeBytes, now)) {
        bool mayProbeOther = searchRound.picks.size() < maxPicksBeforeUnprobed;
        searchRound.search.skipProbe(position, this->match.runtime->typicalLoad(now));
        this->performSearchStep(attempt, mayProbeOther ? searchRound.search.nextStep(now) : searchRound.search.markExhausted(now));
        return;
    }
    auto self = this->shared_from_this();
    UpstreamRequest probe;
    probe.address = pick.address;
    probe.relay = this->gateway.relays.hopTo(pick.address);
    probe.method = "GET";
    probe.target = this->match.service->healthPath;
    probe.isRepeatable = true;
    probe.connectTimeout = probeTimeout;
    probe.deadline = now + probeTimeout;
    probe.headers = probeHeaders(this->gateway.edge.headers, pick.address, pick.instance);
    probe.isExpectedAnswer = [self](const HttpAnswerHead& head) { return isProbeAnswer(head, self->gateway.edge.headers); };
    probe.mayKeepConnection = [self](const HttpAnswerHead& head) { return mayKeepConnection(head, self->gateway.edge.headers, head.status >= firstRedirectStatus); };
    std::shared_ptr<TargetSearchRound> round = attempt->searchRound;
    probe.onHead = [self, attempt, round, position](const HttpAnswerHead& head) {
        self->executor.post([self, attempt, round, position, head] { self->handleProbeHead(attempt, round, position, head); });
    };
    probe.onData = [](std::string_view) { return true; };
    probe.onEnd = [self, attempt, round, position, address = pick.address, relay = probe.relay](const UpstreamResult& result) {
        self->gateway.recordExchange(address, relay, result);
        if (result.outcome != UpstreamOutcome::Complete)
            self->executor.post([self, attempt, round, position] { self->handleProbeResult(attempt, round, position, std::nullopt); });
    };
    attempt->probeCount++;
    this->gateway.metrics.incrementCounter("kingcup_probes_total", this->match.service->name);
    searchRound.probeHandles.back() = this->gateway.upstream.start(std::move(probe));
    this->performSearchStep(attempt, searchRound.search.nextStep(now));
}

/** Picks another target and probes it. */
void Call::probeNextTarget(const AttemptPointer& attempt)
{
    TimePoint now = MillisecondClock::now();
    ContainmentVerdict verdict = this->gateway.containment.verdict(this->match.service->name, this->fingerprint, this->gateway.logTimeMs());
    std::optional<Pick> pick = verdict == ContainmentVerdict::Refuse ? std::nullopt : this->pickTarget(verdict, now);
    if (pick)
        this->probeTarget(attempt, *pick);
    else
        this->performSearchStep(attempt, attempt->searchRound->search.markExhausted(now));
}

/** Handles the head of the answer to a probe, with the load report and the statements of the target. */
void Call::handleProbeHead(const AttemptPointer& attempt, const std::shared_ptr<TargetSearchRound>& round, size_t position, const HttpAnswerHead& head)
{
    constexpr int statusOk = 200;
    TimePoint now = MillisecondClock::now();
    TargetNotice notice = this->gateway.parseNotice(head);
    this->recordTargetNotice(round->picks[position], notice, now);
    if (notice.coldLeft)
        this->match.runtime->router.recordCold(round->picks[position].address, round->picks[position].incarnation, *notice.coldLeft, now);
    if (this->isMisdirectedAnswer(head))
        this->removeReplacedTarget(attempt, round->picks[position]);
    if (notice.isUnavailable()) {
        if (attempt->searchRound == round)
            this->performSearchStep(attempt, round->search.recordUnavailable(position, now));
        return;
    }
    std::optional<std::string_view> value = head.headers.find(this->gateway.edge.headers.load);
    this->handleProbeResult(attempt, round, position, value && head.status == statusOk ? this->gateway.edge.parseLoad(*value) : std::nullopt);
}

/** Handles the result of a probe. @param load Empty when the target gave no usable answer. */
void Call::handleProbeResult(const AttemptPointer& attempt, const std::shared_ptr<TargetSearchRound>& round, size_t position, const std::optional<LoadReport>& load)
{
    TimePoint now = MillisecondClock::now();
    TargetSearchRound& searchRound = *round;
    if (load) {
        this->match.runtime->recordLoad(*load, now);
        this->match.runtime->router.recordReport(searchRound.picks[position].address, *load, Milliseconds(0), now);
    }
    // A probe may be answered after its round has ended.
    if (attempt->searchRound != round)
        return;
    if (!this->match.runtime->router.takeColdPermit(searchRound.picks[position], now)) {
        this->performSearchStep(attempt, this->skipColdTarget(attempt, position));
        return;
    }
    this->performSearchStep(attempt, load ? searchRound.search.recordAnswer(position, *load, searchRound.picks[position].reason.coldFactor, now) : searchRound.search.recordFailure(position, now));
}

/** Performs the next step of the search. */
void Call::performSearchStep(const AttemptPointer& attempt, SearchStep step)
{
    if (!attempt->searchRound)
        return;
    TargetSearchRound& searchRound = *attempt->searchRound;
    this->gateway.timers.cancel(searchRound.timer);
    searchRound.timer = 0;
    switch (step) {
    case SearchStep::Wait:
        searchRound.timer = this->gateway.timers.schedule(searchRound.search.nextEventTime(MillisecondClock::now()), [self = this->shared_from_this(), attempt] {
            self->executor.post([self, attempt] {
                if (attempt->searchRound)
                    self->performSearchStep(attempt, attempt->searchRound->search.nextStep(MillisecondClock::now()));
            });
        });
        return;
    case SearchStep::Probe:
        this->probeNextTarget(attempt);
        return;
    case SearchStep::NextRound:
        this->startSearchRound(attempt);
        return;
    case SearchStep::Send:
        this->sendToBestTarget(attempt);
        return;
    case SearchStep::Refuse:
        this->refuseForLoad(attempt, searchRound.search.bestCost());
        return;
    }
}

/** Excludes a cold target from the round, because no permit is due. Returns the next step. */
SearchStep Call::skipColdTarget(const AttemptPointer& attempt, size_t position)
{
    if (!attempt->hasSkippedColdTarget)
        this->gateway.metrics.incrementCounter("kingcup_cold_refusals_total", this->match.service->name);
    attempt->hasSkippedColdTarget = true;
    return attempt->searchRound->search.recordColdTarget(position, MillisecondClock::now());
}

/** Sends the request to the best target of the round. A target that has become cold since it was probed or skipped by the probe budget needs a permit. */
void Call::sendToBestTarget(const AttemptPointer& attempt)
{
    TargetSearchRound& searchRound = *attempt->searchRound;
    size_t best = searchRound.search.best();
    if (!this->match.runtime->router.takeColdPermit(searchRound.picks[best], MillisecondClock::now())) {
        this->performSearchStep(attempt, this->skipColdTarget(attempt, best));
        return;
    }
    attempt->searchCost = searchRound.search.bestCost();
    this->endSearch(attempt, best);
    this->sendAttempt(attempt);
}

/** Starts another round, in which every target may be probed again. */
void Call::startSearchRound(const AttemptPointer& attempt)
{
    this->releasePicks(*attempt->searchRound, std::nullopt);
    attempt->searchRound = std::make_shared<TargetSearchRound>(this->searchLimits(), attempt->searchRound->search.unprobedRounds());
    attempt->searchRoundCount++;
    this->probeNextTarget(attempt);
}

/** Releases the targets that were not chosen in the router and in crash containment. */
void Call::releasePicks(TargetSearchRound& searchRound, std::optional<size_t> chosen)
{
    TimePoint now = MillisecondClock::now();
    for (size_t position = 0; position < searchRound.picks.size(); position++) {
        if (position == chosen)
            continue;
        this->gateway.containment.recordEnd(this->match.service->name, this->fingerprint, searchRound.picks[position].address);
        this->match.runtime->router.abandon(searchRound.picks[position], now);
    }
}

/** Ends a search and releases the targets that were not chosen. @param chosen Position of the target that gets the request; empty when there is none, which ends the attempt. */
void Call::endSearch(const AttemptPointer& attempt, std::optional<size_t> chosen)
{
    std::shared_ptr<TargetSearchRound> searchRound = std::move(attempt->searchRound);
    attempt->searchRound.reset();
    this->gateway.timers.cancel(searchRound->timer);
    this->releasePicks(*searchRound, chosen);
    if (chosen)
        attempt->pick = searchRound->picks[*chosen];
    else
        attempt->hasEnded = true;
    attempt->mayHaveArrived = chosen.has_value();
}

/**
 * Picks another target for an attempt whose target has gone out of use since it was picked, for instance with its availability zone. The
 * attempt has not been sent, and nothing is recorded against the target. Returns false if no other target may get the request.
 */
bool Call::replacePick(const AttemptPointer& attempt)
{
    TimePoint now = MillisecondClock::now();
    const std::string& service = this->match.service->name;
    this->gateway.containment.recordEnd(service, this->fingerprint, attempt->pick.address);
    this->match.runtime->router.abandon(attempt->pick, now);
    this->gateway.metrics.incrementCounter("kingcup_picks_replaced_total", service);
    ContainmentVerdict verdict = this->gateway.containment.verdict(service, this->fingerprint, this->gateway.logTimeMs());
    std::optional<Pick> pick = verdict == ContainmentVerdict::Refuse ? std::nullopt : this->pickTarget(verdict, now);
    if (!pick)
        return false;
    attempt->pick = *pick;
    return true;
}

/**
 * Ends an attempt that was not sent because no target may get the request. The call ends in a later step, since the caller of startAttempt()
 * records the attempt after it returns.
 */
void Call::endUnsentAttempt(const AttemptPointer& attempt)
{
    attempt->hasEnded = true;
    attempt->mayHaveArrived = false;
    this->executor.post([self = this->shared_from_this(), attempt] { self->endWithoutTarget(attempt); });
}

/** Ends the call after an attempt that was not sent, unless another attempt is active or gives the answer. */
void Call::endWithoutTarget(const AttemptPointer& attempt)
{
    if (this->hasEnded)
        return;
    if (this->selectedAttempt == attempt) {
        if (this->isCallerPresent)
            this->exchange->abort();
        this->endCall(ResultCode::AnswerTruncated);
        return;
    }
    if (this->selectedAttempt || this->hasActiveAttempt() || this->pendingSuspicionReports > 0)
        return;
    if (this->fallback)
        this->answerFailure();
    else
        this->refuseWithoutTarget();
}

/** Refuses a request whose answer would come after its objective because all targets are full. This attempt was not sent. */
void Call::refuseForLoad(const AttemptPointer& attempt, double cost)
{
    TimePoint now = MillisecondClock::now();
    if (!attempt->searchRound->search.hasAvailableTarget()) {
        this->endSearch(attempt, std::nullopt);
        if (!this->hasActiveAttempt())
            this->refuseWithoutTarget();
        return;
    }
    TargetSearchLimits limits = this->searchLimits();
    Milliseconds usualTime = limits.usualServiceTime.value_or(Milliseconds(0));
    Milliseconds remaining = limits.objectiveEnd - now;
    Milliseconds excess = usualTime * cost - remaining;
    logLine(LogLevel::Info, "call_refused_for_load",
        { { "request", this->parameters.requestId }, { "call", this->id }, { "service", this->match.service->name }, { "probes", attempt->probeCount }, { "rounds", attempt->searchRoundCount },
            { "bestCost", cost }, { "usualMs", std::round(usualTime.count()) }, { "leftMs", std::round(remaining.count()) } });
    this->endSearch(attempt, std::nullopt);
    this->isOverloaded = true;
    this->lastFailure.code = ResultCode::QueueFull;
    if (this->hasActiveAttempt())
        return;
    if (this->mayHaveRun) {
        this->refuse(this->match.kind->repeatable ? ResultCode::ConnectionLost : this->lastFailure.code, Milliseconds(0));
        return;
    }
    this->refuse(ResultCode::QueueFull, Milliseconds(std::max(excess.count(), minRetryAfterMs)));
}

/** Refuses a request because no target may get it, with the time until the first target accepts requests again. */
void Call::refuseWithoutTarget()
{
    if (this->mayHaveRun) {
        this->refuse(this->match.kind->repeatable ? ResultCode::ConnectionLost : this->lastFailure.code, Milliseconds(0));
        return;
    }
    TimePoint now = MillisecondClock::now();
    if (!this->gateway.hasPathToTargets(now)) {
        this->refuse(ResultCode::NoTarget, pathRetryAfter);
        return;
    }
    std::optional<Milliseconds> delay = this->match.runtime->router.timeUntilAccepted(now);
    this->refuse(ResultCode::NoTarget, delay ? Milliseconds(std::max(delay->count(), minRetryAfterMs)) : AttemptFailure().retryAfter);
}

} // namespace kingcup
