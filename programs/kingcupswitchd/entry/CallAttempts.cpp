/** @file CallAttempts.cpp The attempts of a call: placing, hedging, retrying and crash containment. */
#include "Call.h"

#include "kingcup/FailPoint.h"
#include "kingcup/HttpRules.h"
#include "kingcup/JsonLog.h"

#include <algorithm>

namespace kingcup {

namespace {

constexpr Milliseconds maxConnectTimeout { 250 }; ///< A lost first packet is sent again after a second; another target is tried before.
constexpr Milliseconds suspicionTimeout { 500 }; ///< With control unreachable, the local count of suspicions decides after this time.
constexpr Milliseconds misdirectedRetryAfter { 20 }; ///< The address is out of use by then, so the next try meets another target.

} // namespace

/** Places an attempt on a target. Returns false when there is none, or the request must not run again. */
bool Call::startAttempt(bool hedge, std::optional<uint64_t> resumeOffset)
{
    TimePoint now = MillisecondClock::now();
    const std::string& service = this->match.service->name;
    ContainmentVerdict verdict = this->gateway.containment.verdict(service, this->fingerprint, this->gateway.logTimeMs());
    if (verdict == ContainmentVerdict::Refuse)
        return false;
    std::optional<Pick> pick = this->pickTarget(verdict, now);
    if (!pick)
        return false;
    auto attempt = std::make_shared<CallAttempt>();
    attempt->pick = *pick;
    attempt->started = now;
    attempt->hedge = hedge;
    attempt->resumeOffset = resumeOffset;
    this->attempts.push_back(attempt);
    if (this->searchesTarget(attempt))
        this->beginSearch(attempt);
    else
        this->send(attempt);
    return true;
}

/** Sends the request to the target of an attempt. */
void Call::send(const AttemptPointer& attempt)
{
    attempt->started = MillisecondClock::now();
    attempt->handle = this->gateway.upstream.start(this->upstreamRequest(attempt));
    if (this->claimed)
        checkFailPoint("attempt.started");
    if (this->attempts.size() == 1)
        this->scheduleHedge();
}

/** Picks a target and registers the attempt with crash containment, which refuses a second suspect on one target. */
std::optional<Pick> Call::pickTarget(ContainmentVerdict verdict, TimePoint now)
{
    const std::string& service = this->match.service->name;
    std::vector<std::string> excluded = this->excludedTargets(verdict);
    for (;;) {
        std::optional<Pick> pick = this->match.runtime->router.pick(excluded, now);
        if (!pick || this->gateway.containment.recordStart(service, this->fingerprint, pick->address))
            return pick;
        this->gateway.containment.recordEnd(service, this->fingerprint, pick->address);
        this->match.runtime->router.finish(*pick, AttemptOutcome::Cancelled, Milliseconds(0), now);
        excluded.push_back(pick->address);
    }
}

/** Returns the targets that this call used, and for a suspect those on which other suspects run. */
std::vector<std::string> Call::excludedTargets(ContainmentVerdict verdict) const
{
    std::vector<std::string> excluded;
    if (verdict == ContainmentVerdict::RunAlone)
        excluded = this->gateway.containment.targetsWithSuspects(this->match.service->name);
    for (const AttemptPointer& attempt : this->attempts) {
        excluded.push_back(attempt->pick.address);
        if (!attempt->search)
            continue;
        for (const Pick& pick : attempt->search->picks)
            excluded.push_back(pick.address);
    }
    return excluded;
}

UpstreamRequest Call::upstreamRequest(const AttemptPointer& attempt)
{
    const HttpRequestHead& head = this->exchange->head();
    Milliseconds remaining = this->deadline - attempt->started;
    UpstreamRequest request;
    request.address = attempt->pick.address;
    request.method = head.method;
    request.target = head.target;
    request.headers = targetHeaders(head, this->gateway.edge.headers, remaining, this->parameters.depth, attempt->pick.instance);
    if (attempt->resumeOffset)
        addRangeHeaders(request.headers, *this->resume, *attempt->resumeOffset);
    request.repeatable = this->match.kind->repeatable;
    request.connectTimeout = std::min(maxConnectTimeout, remaining);
    request.deadline = this->deadline;
    request.hasBody = !this->body->empty() || head.contentLength.has_value() || !this->bodyComplete;
    auto self = this->shared_from_this();
    if (this->bodyComplete) {
        request.body = this->body;
    } else {
        request.bodyLength = head.contentLength;
        request.bodySource = [self](char* buffer, size_t size) { return self->nextBodyBytes(buffer, size); };
    }
    request.takesUnframedAnswer = this->gateway.edge.takesUnframedAnswers;
    request.acceptsAnswer = [self](const HttpAnswerHead& answer) { return self->isOwnAnswer(answer); };
    request.onHead = [self, attempt](const HttpAnswerHead& answer) {
        self->serial.post([self, attempt, answer] { self->headArrived(attempt, answer); });
    };
    request.onData = [self, attempt](std::string_view data) {
        self->serial.post([self, attempt, bytes = std::string(data)] { self->dataArrived(attempt, bytes); });
        return !self->answerBlocked.load();
    };
    request.onEnd = [self, attempt](const UpstreamResult& result) {
        self->serial.post([self, attempt, result] { self->attemptEnded(attempt, result); });
    };
    return request;
}

/** Gives the next bytes of a streamed body: first what was read before the attempt, then what arrives. */
int Call::nextBodyBytes(char* buffer, size_t size)
{
    this->bodyConsumed.store(true);
    if (this->bodySent < this->body->size()) {
        size_t count = std::min(size, this->body->size() - this->bodySent);
        std::copy_n(this->body->data() + this->bodySent, count, buffer);
        this->bodySent += count;
        return static_cast<int>(count);
    }
    std::string chunk;
    switch (this->exchange->readBody(chunk, size)) {
    case HttpExchange::BodyState::Wait:
        return bodyPause;
    case HttpExchange::BodyState::Broken:
        return bodyAbort;
    default:
        std::copy_n(chunk.data(), chunk.size(), buffer);
        return static_cast<int>(chunk.size());
    }
}

/**
 * Returns whether an answer repeats the id of this request. A refusal may come without one, a success may not: it can be a
 * second answer to an earlier request of the connection. Reads what is fixed before the first attempt.
 */
bool Call::isOwnAnswer(const HttpAnswerHead& head) const
{
    constexpr int firstRedirectStatus = 300;
    const std::string& field = this->gateway.edge.headers.requestId;
    if (field.empty() || this->parameters.requestId.empty())
        return true;
    std::optional<std::string_view> id = head.headers.find(field);
    return id ? *id == this->parameters.requestId : head.status >= firstRedirectStatus;
}

void Call::scheduleHedge()
{
    const Kind& kind = *this->match.kind;
    if (!kind.repeatable || !kind.hedge || !this->bodyComplete || this->parameters.depth > 0)
        return;
    TimePoint now = MillisecondClock::now();
    std::optional<Milliseconds> delay = this->match.runtime->retries.hedgeDelay(kind, now);
    if (!delay || now + *delay >= this->deadline)
        return;
    this->hedgeTimer = this->gateway.timers.schedule(now + *delay, [self = this->shared_from_this()] {
        self->serial.post([self] { self->hedgeDue(); });
    });
}

/** Starts a second attempt when the first has not begun to answer. */
void Call::hedgeDue()
{
    this->hedgeTimer = 0;
    bool waiting = this->attempts.size() == 1 && !this->attempts[0]->headSeen && !this->attempts[0]->ended;
    if (this->over || this->winner || !waiting)
        return;
    if (!this->match.runtime->retries.takeHedge(*this->match.kind, MillisecondClock::now()))
        return;
    if (this->startAttempt(true))
        this->gateway.metrics.count("kingcup_hedges_total", this->match.service->name);
}

void Call::headArrived(const AttemptPointer& attempt, const HttpAnswerHead& head)
{
    attempt->head = head;
    attempt->headSeen = true;
    TimePoint now = MillisecondClock::now();
    if (std::optional<std::string_view> value = head.headers.find(this->gateway.edge.headers.load)) {
        if (std::optional<LoadReport> load = this->gateway.edge.parseLoad(*value))
            this->match.runtime->router.recordReport(attempt->pick.address, *load, Milliseconds(0), now);
    }
    attempt->misdirected = this->isRejectedByInstance(head);
    if (attempt->misdirected)
        this->instanceGone(attempt, attempt->pick);
    if (this->over || attempt->discarded)
        return;
    if (attempt->misdirected && !this->winner) {
        attempt->discarded = true;
        this->goOnAfter({ ResultCode::ConnectFailed, AttemptOutcome::ConnectFailed, false, misdirectedRetryAfter });
        return;
    }
    if (attempt->resumeOffset) {
        // Bytes that already wait behind this event are dropped, since cancelling takes effect later.
        attempt->rejected = !continuesAt(head, *this->resume, *attempt->resumeOffset);
        if (attempt->rejected)
            this->gateway.upstream.cancel(attempt->handle);
        return;
    }
    if (this->retryAfterStatus(attempt))
        return;
    uint64_t heldLimit = this->match.service->limits.maxHeldAnswerBytes;
    if (!this->winner && head.contentLength.value_or(0) > heldLimit)
        this->streamFrom(attempt);
}

/** Takes out a target whose address another instance has. */
void Call::instanceGone(const AttemptPointer& attempt, const Pick& pick)
{
    logLine(LogLevel::Info, "target_instance_gone",
        { { "request", this->parameters.requestId }, { "call", this->id }, { "service", this->match.service->name }, { "target", pick.address },
            { "instance", pick.instance }, { "incarnation", pick.incarnation }, { "asked", attempt->search != nullptr } });
    this->match.runtime->router.markInstanceGone(pick);
}

/** Tries another target when this one says that it is overloaded and the request may run again. Returns whether the answer is discarded. */
bool Call::retryAfterStatus(const AttemptPointer& attempt)
{
    bool notRun = this->promisedNotRun(attempt->head);
    if (this->winner || !(notRun || (isServerFailure(attempt->head.status) && this->match.kind->repeatable)))
        return false;
    this->overloaded = true;
    attempt->discarded = true;
    if (this->anyActive() || this->retryAllowed(!notRun, AttemptOutcome::ServerError)) {
        if (this->anyActive() || this->startAttempt(false)) {
            this->fallback = attempt;
            this->anySent = this->anySent || !notRun;
            return true;
        }
    }
    attempt->discarded = false;
    return false;
}

void Call::dataArrived(const AttemptPointer& attempt, const std::string& data)
{
    bool unwanted = attempt->discarded && attempt != this->fallback;
    if (this->over || unwanted || attempt->ended || attempt->rejected)
        return;
    if (this->winner == attempt) {
        this->deliver(data);
        return;
    }
    if (this->winner)
        return;
    attempt->held += data;
    if (attempt->held.size() <= this->match.service->limits.maxHeldAnswerBytes)
        return;
    if (!attempt->discarded) {
        this->streamFrom(attempt);
        return;
    }
    this->fallback.reset();
    this->gateway.upstream.cancel(attempt->handle);
}

/** Tells router, retry policy and containment of the end of an attempt, once. */
void Call::noteEnd(const AttemptPointer& attempt, const UpstreamResult& result)
{
    attempt->ended = true;
    attempt->complete = result.outcome == UpstreamOutcome::Complete;
    TimePoint now = MillisecondClock::now();
    AttemptOutcome outcome = routerOutcome(result, *attempt);
    this->logAttempt(attempt, result);
    this->match.runtime->router.finish(attempt->pick, outcome, result.firstByte, now);
    const std::string& service = this->match.service->name;
    if (result.outcome == UpstreamOutcome::Complete && !attempt->misdirected) {
        this->match.runtime->retries.recordLatency(result.total, now);
        if (outcome == AttemptOutcome::Answered)
            this->match.runtime->recordTime(this->match.kind->name, result.firstByte / std::max(attempt->searchCost, 1.0), now);
        if (this->gateway.containment.recordSuccess(service, this->fingerprint, attempt->pick.address)) {
            wire::Command command;
            command.mutable_clear_suspicion()->set_service(service);
            command.mutable_clear_suspicion()->set_fingerprint(this->fingerprint);
            this->gateway.leader.command(std::move(command), suspicionTimeout, [](const wire::CommandResult&) {});
        }
        return;
    }
    bool lostUnanswered = result.outcome == UpstreamOutcome::ConnectionLost && result.maybeSent;
    if (!lostUnanswered)
        this->gateway.containment.recordEnd(service, this->fingerprint, attempt->pick.address);
    else if (this->gateway.containment.recordConnectionLoss(service, this->fingerprint, attempt->pick.address))
        this->reportSuspicion(attempt);
}

/** Has the leader record that a target was lost while it ran this request; the call goes on when that is done. */
void Call::reportSuspicion(const AttemptPointer& attempt)
{
    bool waits = this->gateway.suspicionWait.count() > 0;
    this->pendingSuspicions += waits ? 1 : 0;
    wire::Command command;
    wire::Suspicion* suspicion = command.mutable_suspicion();
    suspicion->set_service(this->match.service->name);
    suspicion->set_fingerprint(this->fingerprint);
    suspicion->set_target(attempt->pick.address);
    suspicion->set_target_incarnation(attempt->pick.incarnation);
    suspicion->set_quarantine_ms(static_cast<uint64_t>(this->match.service->limits.quarantine.count()));
    this->gateway.metrics.count("kingcup_suspicions_total", this->match.service->name);
    logLine(LogLevel::Warning, "request_suspected",
        { { "request", this->parameters.requestId }, { "call", this->id }, { "service", this->match.service->name }, { "target", attempt->pick.address },
            { "incarnation", attempt->pick.incarnation }, { "waits", waits } });
    Milliseconds limit = waits ? this->gateway.suspicionWait : suspicionTimeout;
    this->gateway.leader.command(std::move(command), limit, [self = this->shared_from_this(), waits](const wire::CommandResult& result) {
        self->serial.post([self, result, waits] {
            self->logSuspicion(result);
            if (!waits)
                return;
            self->pendingSuspicions--;
            self->quarantined = self->quarantined || result.suspected_targets() >= 2;
            if (!self->over && !self->winner)
                self->retryOrFail();
        });
    });
}

/** Logs what control answered to a suspicion. */
void Call::logSuspicion(const wire::CommandResult& result) const
{
    logLine(LogLevel::Info, "suspicion_answered",
        { { "request", this->parameters.requestId }, { "call", this->id }, { "service", this->match.service->name },
            { "result", resultCodeRow(static_cast<ResultCode>(result.result_code())).name }, { "lostTargets", result.suspected_targets() } });
}

void Call::attemptEnded(const AttemptPointer& attempt, const UpstreamResult& result)
{
    if (attempt->ended)
        return;
    this->noteEnd(attempt, result);
    if (this->over || attempt->discarded)
        return;
    if (this->winner == attempt) {
        this->streamEnded(attempt, result);
        return;
    }
    if (this->winner)
        return;
    if (result.outcome == UpstreamOutcome::Complete) {
        if (this->claimed)
            checkFailPoint("answer.arrived");
        this->targetTime = result.total;
        this->answerWhole(attempt);
        return;
    }
    this->attemptFailed(attempt, result);
}

void Call::attemptFailed(const AttemptPointer& attempt, const UpstreamResult& result)
{
    this->overloaded = this->overloaded || result.outcome == UpstreamOutcome::TimedOut;
    AttemptFailure failure;
    failure.code = failureCode(result);
    failure.outcome = routerOutcome(result, *attempt);
    failure.sent = result.maybeSent;
    this->goOnAfter(failure);
}

/** Notes a failure and goes on: with another attempt, or with the answer that there is none. */
void Call::goOnAfter(const AttemptFailure& failure)
{
    ResultCode before = this->lastFailure.code;
    this->lastFailure = failure;
    // "Not run" of a later attempt must not hide that an earlier one may have run.
    if (this->anySent && !failure.sent)
        this->lastFailure.code = before;
    this->anySent = this->anySent || failure.sent;
    this->retryOrFail();
}

/** Starts another attempt if policy, budget and containment allow it; otherwise answers at once. */
void Call::retryOrFail()
{
    if (this->anyActive() || this->pendingSuspicions > 0)
        return;
    if (this->retryAllowed(this->lastFailure.sent, this->lastFailure.outcome) && this->startAttempt(false))
        return;
    // A target's promise that it did not run the request says nothing about an attempt that was sent elsewhere.
    bool staleNotRun = this->fallback && this->anySent && this->promisedNotRun(this->fallback->head);
    if (!this->fallback || staleNotRun) {
        this->refuse(this->lastFailure.code, this->lastFailure.retryAfter);
        return;
    }
    AttemptPointer answer = this->fallback;
    this->fallback.reset();
    answer->discarded = false;
    if (answer->complete)
        this->answerWhole(answer);
    else if (answer->ended)
        this->refuse(ResultCode::ConnectionLost, this->lastFailure.retryAfter);
}

/** Asks policy, budget and containment whether the request may run on another target. */
bool Call::retryAllowed(bool sent, AttemptOutcome outcome)
{
    bool bodyGone = this->bodyConsumed.load();
    // Without a lease, a service's own kinds get a single attempt; routes are served as usual.
    bool singleAttempt = !this->gateway.leaseValid() && !this->match.route;
    if (this->quarantined || bodyGone || singleAttempt || !this->callerPresent)
        return false;
    RetryContext question;
    question.isRepeatable = this->match.kind->repeatable;
    question.mayHaveBeenSent = sent;
    question.attempts = static_cast<uint32_t>(this->attempts.size());
    question.maxAttempts = this->match.kind->maxAttempts;
    question.depth = this->parameters.depth;
    question.outcome = outcome;
    question.deadline = this->deadline;
    if (!this->match.runtime->retries.takeRetry(question, MillisecondClock::now()))
        return false;
    this->gateway.metrics.count("kingcup_retries_total", this->match.service->name);
    return true;
}

bool Call::anyActive() const
{
    return std::any_of(this->attempts.begin(), this->attempts.end(), [](const AttemptPointer& attempt) { return !attempt->ended && !attempt->discarded; });
}

/** Cancels all attempts but one. */
void Call::cancelOthers(const AttemptPointer& keep)
{
    for (const AttemptPointer& attempt : this->attempts) {
        if (attempt != keep && attempt->search)
            this->endSearch(attempt, std::nullopt);
        else if (attempt != keep && !attempt->ended)
            this->gateway.upstream.cancel(attempt->handle);
    }
}

} // namespace kingcup
