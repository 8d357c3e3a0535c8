/** @file CallAttempts.cpp Attempts of a call: target selection, hedging, retries and crash containment. */
#include "Call.h"

#include "kingcup/FailPoint.h"
#include "kingcup/HttpRules.h"
#include "kingcup/JsonLog.h"

#include <algorithm>

namespace kingcup {

namespace {

constexpr Milliseconds maxConnectTimeout { 250 }; ///< Shorter than the one second after which a lost first packet is sent again, so that another target is tried before.
constexpr Milliseconds suspicionTimeout { 500 }; ///< When control is unreachable, the local count of suspicions decides after this time.
constexpr Milliseconds misdirectedRetryAfter { 20 }; ///< The address is no longer picked by then, so a retry reaches another target.

} // namespace

/** Starts an attempt. Returns false when there is no target or the request must not run again. */
bool Call::startAttempt(bool isHedge, std::optional<uint64_t> resumeOffset)
{
    TimePoint now = MillisecondClock::now();
    const std::string& service = this->match.service->name;
    ContainmentVerdict verdict = this->gateway.containment.verdict(service, this->fingerprint, this->gateway.logTimeMs());
    if (verdict == ContainmentVerdict::Refuse || !this->gateway.hasPathToTargets(now))
        return false;
    std::optional<Pick> pick = this->pickTarget(verdict, now);
    if (!pick)
        return false;
    auto attempt = std::make_shared<CallAttempt>();
    attempt->pick = *pick;
    attempt->startTime = now;
    attempt->isHedge = isHedge;
    attempt->resumeOffset = resumeOffset;
    this->attempts.push_back(attempt);
    if (this->usesTargetSearch(attempt))
        this->startSearch(attempt);
    else
        this->sendAttempt(attempt);
    return true;
}

/** Sends the request to the target of an attempt; the first attempt also schedules the hedge. */
void Call::sendAttempt(const AttemptPointer& attempt)
{
    if (ResultCode code = this->checkSend(); code != ResultCode::Ok) {
        this->abandonUnsent(attempt, code);
        return;
    }
    if (!this->match.runtime->router.isInUse(attempt->pick)) {
        if (!this->replacePick(attempt)) {
            this->endUnsentAttempt(attempt);
            return;
        }
        if (this->usesTargetSearch(attempt)) {
            this->startSearch(attempt);
            return;
        }
    }
    attempt->startTime = MillisecondClock::now();
    attempt->relay = this->gateway.relays.hopTo(attempt->pick.address);
    this->match.runtime->countZone(this->match.service->name, attempt->pick.reason.zone, this->gateway.metrics);
    attempt->handle = this->gateway.upstream.start(this->createUpstreamRequest(attempt));
    if (this->hasClaim)
        checkFailPoint("attempt.started");
    if (this->attempts.size() == 1)
        this->scheduleHedge();
}

/**
 * Returns Ok if the request may be sent to a target, or the reason for a refusal: it may have waited since its key was checked last, or since before
 * a stop began. A request that may have run is sent again also if the stop may cut it off, since it can no longer be refused as not run.
 */
ResultCode Call::checkSend()
{
    if (ResultCode code = this->checkKey(); code != ResultCode::Ok)
        return code;
    bool mayBeRefused = !this->mayHaveRun && !this->mayRunAtTarget();
    return mayBeRefused && !this->gateway.endsBeforeStop(this->deadline) ? ResultCode::Stopping : ResultCode::Ok;
}

/** Ends an attempt that may not be sent, and after that the call. */
void Call::abandonUnsent(const AttemptPointer& attempt, ResultCode code)
{
    attempt->hasEnded = true;
    attempt->mayHaveArrived = false;
    this->gateway.containment.recordEnd(this->match.service->name, this->fingerprint, attempt->pick.address);
    this->match.runtime->router.abandon(attempt->pick, MillisecondClock::now());
    // Only after the function that started the attempt has recorded what became of the attempts before.
    this->executor.post([self = this->shared_from_this(), attempt, code] { self->endUnsentCall(attempt, code); });
}

/** Ends the call because its request may not be sent. An attempt that was sent before still decides its result. */
void Call::endUnsentCall(const AttemptPointer& attempt, ResultCode code)
{
    if (this->hasEnded)
        return;
    if (this->selectedAttempt == attempt) {
        // The attempt was to resume a download of which the caller has a part.
        if (this->isCallerPresent)
            this->exchange->abort();
        this->endCall(ResultCode::AnswerTruncated);
        return;
    }
    if (this->selectedAttempt || this->hasActiveAttempt())
        return;
    this->recordFailure({ code, AttemptOutcome::Cancelled, false, retryAfterOf(code) });
    if (this->mayHaveRun && resultCodeRow(this->lastFailure.code).runState == RunState::NotRun)
        this->lastFailure.code = ResultCode::ConnectionLost;
    this->answerFailure();
}

/** Picks a target and records the start in crash containment, which refuses a second suspect on the same target. */
std::optional<Pick> Call::pickTarget(ContainmentVerdict verdict, TimePoint now)
{
    const std::string& service = this->match.service->name;
    std::vector<std::string> excluded = this->excludedTargets(verdict);
    for (;;) {
        std::optional<Pick> pick = this->match.runtime->router.pick(excluded, now);
        if (!pick || this->gateway.containment.recordStart(service, this->fingerprint, pick->address))
            return pick;
        this->gateway.containment.recordEnd(service, this->fingerprint, pick->address);
        this->match.runtime->router.abandon(*pick, now);
        excluded.push_back(pick->address);
    }
}

/** Returns the targets that this call has already used or probed and, for a suspect, those on which other suspects run. */
std::vector<std::string> Call::excludedTargets(ContainmentVerdict verdict) const
{
    std::vector<std::string> excluded;
    if (verdict == ContainmentVerdict::RunAlone)
        excluded = this->gateway.containment.targetsWithSuspects(this->match.service->name);
    for (const AttemptPointer& attempt : this->attempts) {
        if (attempt->isPathFailure)
            continue;
        excluded.push_back(attempt->pick.address);
        if (!attempt->searchRound)
            continue;
        for (const Pick& pick : attempt->searchRound->picks)
            excluded.push_back(pick.address);
    }
    return excluded;
}

UpstreamRequest Call::createUpstreamRequest(const AttemptPointer& attempt)
{
    const HttpRequestHead& head = this->exchange->head();
    Milliseconds remaining = this->deadline - attempt->startTime;
    UpstreamRequest request;
    request.address = attempt->pick.address;
    request.relay = attempt->relay;
    request.method = head.method;
    request.target = head.target;
    CallerIdentity caller { this->keys->isKeyRequired(), this->match.organisation ? this->match.organisation->name : "" };
    request.headers = targetHeaders(head, this->gateway.edge.headers, remaining, this->parameters.depth, attempt->pick.instance, caller);
    request.maySend = this->createSendCheck();
    if (attempt->resumeOffset)
        addRangeHeaders(request.headers, *this->downloadResumePoint, *attempt->resumeOffset);
    request.isRepeatable = this->match.kind->repeatable;
    request.maxConnectionIdle = this->gateway.maxConnectionIdle;
    request.connectTimeout = std::min(maxConnectTimeout, remaining);
    request.deadline = this->deadline;
    request.hasBody = !this->body->empty() || head.contentLength.has_value() || !this->isBodyComplete;
    auto self = this->shared_from_this();
    if (this->isBodyComplete) {
        request.body = this->body;
    } else {
        request.bodyLength = head.contentLength;
        request.bodySource = [self](char* buffer, size_t size) { return self->copyNextBodyBytes(buffer, size); };
    }
    request.acceptsUnframedAnswer = this->gateway.edge.acceptsCloseDelimitedAnswers;
    request.isExpectedAnswer = [self](const HttpAnswerHead& answer) { return self->hasMatchingRequestId(answer); };
    request.mayKeepConnection = [self](const HttpAnswerHead& answer) { return mayKeepConnection(answer, self->gateway.edge.headers, self->isReportedNotRun(answer)); };
    request.onHead = [self, attempt](const HttpAnswerHead& answer) {
        self->executor.post([self, attempt, answer] { self->handleHead(attempt, answer); });
    };
    request.onData = [self, attempt](std::string_view data) {
        self->executor.post([self, attempt, bytes = std::string(data)] { self->handleData(attempt, bytes); });
        return !self->isAnswerBlocked.load();
    };
    request.onEnd = [self, attempt](const UpstreamResult& result) {
        self->executor.post([self, attempt, result] { self->handleAttemptEnd(attempt, result); });
    };
    return request;
}

/** Copies the next bytes of a streamed body: first the bytes read before the attempt, then those that arrive from the caller. */
int Call::copyNextBodyBytes(char* buffer, size_t size)
{
    this->isBodyConsumed.store(true);
    if (this->sentBodyBytes < this->body->size()) {
        size_t count = std::min(size, this->body->size() - this->sentBodyBytes);
        std::copy_n(this->body->data() + this->sentBodyBytes, count, buffer);
        this->sentBodyBytes += count;
        return static_cast<int>(count);
    }
    std::string chunk;
    switch (this->exchange->readBody(chunk, size)) {
    case HttpExchange::BodyState::Pending:
        return bodyPause;
    case HttpExchange::BodyState::Failed:
        return bodyAbort;
    default:
        std::copy_n(chunk.data(), chunk.size(), buffer);
        return static_cast<int>(chunk.size());
    }
}

/**
 * Returns whether an answer repeats the id of this request. An error answer or redirect may lack the id. A success without
 * it is rejected, since it can be a second answer to an earlier request on the same connection. Runs outside the
 * serial executor, so it reads only fields that do not change after the first attempt has started.
 */
bool Call::hasMatchingRequestId(const HttpAnswerHead& head) const
{
    const std::string& field = this->gateway.edge.headers.requestId;
    if (field.empty() || this->parameters.requestId.empty())
        return true;
    std::optional<std::string_view> answerId = head.headers.find(field);
    return answerId ? *answerId == this->parameters.requestId : head.status >= firstRedirectStatus;
}

void Call::scheduleHedge()
{
    const Kind& kind = *this->match.kind;
    if (!kind.repeatable || !kind.hedge || !this->isBodyComplete || this->parameters.depth > 0)
        return;
    TimePoint now = MillisecondClock::now();
    std::optional<Milliseconds> delay = this->match.runtime->retryPolicy.hedgeDelay(kind, now);
    if (!delay || now + *delay >= this->deadline)
        return;
    this->hedgeTimer = this->gateway.timers.schedule(now + *delay, [self = this->shared_from_this()] {
        self->executor.post([self] { self->startHedge(); });
    });
}

/** Starts a second, parallel attempt if the head of the first one's answer has not arrived yet. */
void Call::startHedge()
{
    this->hedgeTimer = 0;
    bool isWaiting = this->attempts.size() == 1 && !this->attempts[0]->hasHead && !this->attempts[0]->hasEnded;
    if (this->hasEnded || this->selectedAttempt || !isWaiting)
        return;
    if (!this->match.runtime->retryPolicy.takeHedge(*this->match.kind, MillisecondClock::now()))
        return;
    if (this->startAttempt(true))
        this->gateway.metrics.incrementCounter("kingcup_hedges_total", this->match.service->name);
}

void Call::handleHead(const AttemptPointer& attempt, const HttpAnswerHead& head)
{
    attempt->head = head;
    attempt->hasHead = true;
    TimePoint now = MillisecondClock::now();
    if (std::optional<std::string_view> value = head.headers.find(this->gateway.edge.headers.load)) {
        if (std::optional<LoadReport> load = this->gateway.edge.parseLoad(*value))
            this->match.runtime->router.recordReport(attempt->pick.address, *load, Milliseconds(0), now);
    }
    TargetNotice notice = this->gateway.parseNotice(head);
    this->recordTargetNotice(attempt->pick, notice, now);
    // An answer to a probe does not end a limit, since it need not name one.
    if (notice.isWithoutLimit)
        this->match.runtime->router.clearLimit(attempt->pick.address, attempt->pick.incarnation);
    attempt->isMisdirected = this->isMisdirectedAnswer(head);
    if (attempt->isMisdirected)
        this->removeReplacedTarget(attempt, attempt->pick);
    if (this->hasEnded || attempt->isDiscarded)
        return;
    if (attempt->isMisdirected && !this->selectedAttempt) {
        attempt->isDiscarded = true;
        this->continueAfterFailure({ ResultCode::ConnectFailed, AttemptOutcome::ConnectFailed, false, misdirectedRetryAfter });
        return;
    }
    if (attempt->resumeOffset) {
        // Data events that are already queued behind this one must be dropped, since cancelling takes effect later.
        attempt->isResumeRejected = !isContinuation(head, *this->downloadResumePoint, *attempt->resumeOffset);
        if (attempt->isResumeRejected)
            this->gateway.upstream.cancel(attempt->handle);
        return;
    }
    if (this->retryAfterErrorStatus(attempt))
        return;
    uint64_t maxHeldBytes = this->match.service->limits.maxHeldAnswerBytes;
    if (!this->selectedAttempt && head.contentLength.value_or(0) > maxHeldBytes)
        this->streamAnswer(attempt);
}

/** Records the statements of a target in an answer to this call or to a probe for it. */
void Call::recordTargetNotice(const Pick& pick, const TargetNotice& notice, TimePoint now)
{
    if (this->gateway.recordTargetNotice({ this->match.service, this->match.runtime }, pick.address, pick.incarnation, notice, now))
        logLine(LogLevel::Info, "target_leaving",
            { { "request", this->parameters.requestId }, { "call", this->id }, { "service", this->match.service->name }, { "target", pick.address }, { "instance", pick.instance } });
}

/** Removes a target from the router because another instance has its address. */
void Call::removeReplacedTarget(const AttemptPointer& attempt, const Pick& pick)
{
    logLine(LogLevel::Info, "target_instance_gone",
        { { "request", this->parameters.requestId }, { "call", this->id }, { "service", this->match.service->name }, { "target", pick.address },
            { "instance", pick.instance }, { "incarnation", pick.incarnation }, { "asked", attempt->searchRound != nullptr } });
    this->match.runtime->router.markInstanceGone(pick);
}

/** Tries another target when the status reports an error or overload and the request may run again. Returns whether the answer is set aside. */
bool Call::retryAfterErrorStatus(const AttemptPointer& attempt)
{
    bool isNotRun = this->isReportedNotRun(attempt->head);
    if (this->selectedAttempt || !(isNotRun || (isServerFailure(attempt->head.status) && this->match.kind->repeatable)))
        return false;
    this->isOverloaded = true;
    attempt->isDiscarded = true;
    if (this->hasActiveAttempt() || this->takeRetry(!isNotRun, AttemptOutcome::ServerError)) {
        if (this->hasActiveAttempt() || this->startAttempt(false)) {
            this->fallback = attempt;
            this->mayHaveRun = this->mayHaveRun || !isNotRun;
            return true;
        }
    }
    attempt->isDiscarded = false;
    return false;
}

void Call::handleData(const AttemptPointer& attempt, const std::string& data)
{
    bool isUnwanted = attempt->isDiscarded && attempt != this->fallback;
    if (this->hasEnded || isUnwanted || attempt->hasEnded || attempt->isResumeRejected)
        return;
    if (this->selectedAttempt == attempt) {
        this->writeAnswerBytes(data);
        return;
    }
    if (this->selectedAttempt)
        return;
    attempt->bufferedBody += data;
    if (attempt->bufferedBody.size() <= this->match.service->limits.maxHeldAnswerBytes)
        return;
    if (!attempt->isDiscarded) {
        this->streamAnswer(attempt);
        return;
    }
    this->fallback.reset();
    this->gateway.upstream.cancel(attempt->handle);
}

/** Returns the bytes of a request and its answer, with an estimate for their headers. */
uint64_t Call::transferredBytes(const AttemptPointer& attempt) const
{
    constexpr uint64_t headerBytes = 1000;
    uint64_t requestBytes = std::max<uint64_t>(this->exchange->head().contentLength.value_or(0), this->body->size());
    uint64_t answerBytes = this->selectedAttempt == attempt ? this->deliveredBytes : 0;
    return headerBytes + requestBytes + std::max<uint64_t>(answerBytes, attempt->bufferedBody.size());
}

/** Records the end of an attempt in the router, the retry policy and crash containment. Must be called once per attempt. */
void Call::recordAttemptEnd(const AttemptPointer& attempt, const UpstreamResult& result)
{
    attempt->hasEnded = true;
    attempt->mayHaveArrived = result.maybeSent;
    attempt->isComplete = result.outcome == UpstreamOutcome::Complete;
    attempt->isPathFailure = result.relayFailure != RelayFailure::None || (!result.isConnected && !attempt->relay && this->gateway.paths.isCut());
    TimePoint now = MillisecondClock::now();
    AttemptOutcome outcome = attempt->isPathFailure ? AttemptOutcome::Cancelled : routerOutcome(result, *attempt);
    this->logAttemptEnd(attempt, result);
    this->gateway.recordExchange(attempt->pick.address, attempt->relay, result);
    this->match.runtime->router.finish(attempt->pick, outcome, result.timeToFirstByte, now);
    const std::string& service = this->match.service->name;
    if (result.outcome == UpstreamOutcome::Complete && !attempt->isMisdirected) {
        this->match.runtime->router.recordTransferBytes(this->transferredBytes(attempt));
        this->match.runtime->retryPolicy.recordLatency(result.duration, now);
        if (outcome == AttemptOutcome::Answered)
            this->match.runtime->recordProcessingTime(this->match.kind->name, result.timeToFirstByte / std::max(attempt->searchCost, 1.0), now);
        if (this->gateway.containment.recordSuccess(service, this->fingerprint, attempt->pick.address)) {
            wire::Command command;
            command.mutable_clear_suspicion()->set_service(service);
            command.mutable_clear_suspicion()->set_fingerprint(this->fingerprint);
            this->gateway.leader.sendCommand(std::move(command), suspicionTimeout, [](const wire::CommandResult&) {});
        }
        return;
    }
    bool wasLostUnanswered = result.outcome == UpstreamOutcome::ConnectionLost && result.maybeSent;
    if (!wasLostUnanswered)
        this->gateway.containment.recordEnd(service, this->fingerprint, attempt->pick.address);
    else if (this->gateway.containment.recordConnectionLoss(service, this->fingerprint, attempt->pick.address))
        this->reportSuspicion(attempt);
}

/** Reports to the leader that a target was lost while it ran this request. If a wait is configured, the call continues after the result or the timeout. */
void Call::reportSuspicion(const AttemptPointer& attempt)
{
    bool mustWait = this->gateway.suspicionWait.count() > 0;
    this->pendingSuspicionReports += mustWait ? 1 : 0;
    wire::Command command;
    wire::Suspicion* suspicion = command.mutable_suspicion();
    suspicion->set_service(this->match.service->name);
    suspicion->set_fingerprint(this->fingerprint);
    suspicion->set_target(attempt->pick.address);
    suspicion->set_target_incarnation(attempt->pick.incarnation);
    suspicion->set_quarantine_ms(static_cast<uint64_t>(this->match.service->limits.quarantine.count()));
    this->gateway.metrics.incrementCounter("kingcup_suspicions_total", this->match.service->name);
    logLine(LogLevel::Warning, "request_suspected",
        { { "request", this->parameters.requestId }, { "call", this->id }, { "service", this->match.service->name }, { "target", attempt->pick.address },
            { "incarnation", attempt->pick.incarnation }, { "waits", mustWait } });
    Milliseconds timeout = mustWait ? this->gateway.suspicionWait : suspicionTimeout;
    this->gateway.leader.sendCommand(std::move(command), timeout, [self = this->shared_from_this(), mustWait](const wire::CommandResult& result) {
        self->executor.post([self, result, mustWait] {
            self->logSuspicion(result);
            if (!mustWait)
                return;
            self->pendingSuspicionReports--;
            self->isQuarantined = self->isQuarantined || result.suspected_targets() >= 2;
            if (!self->hasEnded && !self->selectedAttempt)
                self->retryOrFail();
        });
    });
}

/** Logs the leader's result for a reported suspicion. */
void Call::logSuspicion(const wire::CommandResult& result) const
{
    logLine(LogLevel::Info, "suspicion_answered",
        { { "request", this->parameters.requestId }, { "call", this->id }, { "service", this->match.service->name },
            { "result", resultCodeRow(static_cast<ResultCode>(result.result_code())).name }, { "lostTargets", result.suspected_targets() } });
}

void Call::handleAttemptEnd(const AttemptPointer& attempt, const UpstreamResult& result)
{
    if (attempt->hasEnded)
        return;
    this->recordAttemptEnd(attempt, result);
    if (this->hasEnded || attempt->isDiscarded)
        return;
    if (this->selectedAttempt == attempt) {
        this->handleStreamEnd(attempt, result);
        return;
    }
    if (this->selectedAttempt)
        return;
    if (result.outcome == UpstreamOutcome::Complete) {
        if (this->hasClaim)
            checkFailPoint("answer.arrived");
        this->targetTime = result.duration;
        this->sendBufferedAnswer(attempt);
        return;
    }
    this->handleAttemptFailure(attempt, result);
}

void Call::handleAttemptFailure(const AttemptPointer& attempt, const UpstreamResult& result)
{
    this->isOverloaded = this->isOverloaded || result.outcome == UpstreamOutcome::TimedOut;
    if (result.outcome == UpstreamOutcome::Cancelled && !result.maybeSent) {
        if (ResultCode code = this->checkKey(); code != ResultCode::Ok) {
            this->endUnsentCall(attempt, code);
            return;
        }
    }
    AttemptFailure failure;
    failure.code = failureCode(result);
    failure.outcome = routerOutcome(result, *attempt);
    failure.mayHaveBeenSent = result.maybeSent;
    this->continueAfterFailure(failure);
}

/** Records a failure, then retries or answers with an error. */
void Call::continueAfterFailure(const AttemptFailure& failure)
{
    this->recordFailure(failure);
    this->retryOrFail();
}

void Call::recordFailure(const AttemptFailure& failure)
{
    ResultCode previousCode = this->lastFailure.code;
    this->lastFailure = failure;
    // A later attempt that was not sent must not hide that an earlier one may have run.
    if (this->mayHaveRun && !failure.mayHaveBeenSent)
        this->lastFailure.code = previousCode;
    this->mayHaveRun = this->mayHaveRun || failure.mayHaveBeenSent;
}

/** Starts another attempt if retry policy, retry budget and containment allow it; otherwise answers at once. Waits for active attempts and pending suspicion reports. */
void Call::retryOrFail()
{
    if (this->hasActiveAttempt() || this->pendingSuspicionReports > 0)
        return;
    if (this->takeRetry(this->lastFailure.mayHaveBeenSent, this->lastFailure.outcome) && this->startAttempt(false))
        return;
    this->answerFailure();
}

/** Ends the call with the answer of an earlier attempt, if there is one, or with the last failure. */
void Call::answerFailure()
{
    // A target's statement that it did not run the request does not cover an attempt that was sent to another target.
    bool isStaleNotRun = this->fallback && this->mayHaveRun && this->isReportedNotRun(this->fallback->head);
    if (!this->fallback || isStaleNotRun) {
        this->refuse(this->lastFailure.code, this->lastFailure.retryAfter);
        return;
    }
    AttemptPointer fallbackAnswer = this->fallback;
    this->fallback.reset();
    fallbackAnswer->isDiscarded = false;
    if (fallbackAnswer->isComplete)
        this->sendBufferedAnswer(fallbackAnswer);
    else if (fallbackAnswer->hasEnded)
        this->refuse(ResultCode::ConnectionLost, this->lastFailure.retryAfter);
}

/** Returns whether retry policy, retry budget and containment allow another attempt. Takes it from the budget and counts it if so. */
bool Call::takeRetry(bool mayHaveBeenSent, AttemptOutcome outcome)
{
    bool hasConsumedBody = this->isBodyConsumed.load();
    // Without a valid lease, the kinds of a service get a single attempt; routes are served as usual.
    bool hasSingleAttempt = !this->gateway.isLeaseValid() && !this->match.route;
    if (this->isQuarantined || hasConsumedBody || hasSingleAttempt || !this->isCallerPresent)
        return false;
    RetryContext context;
    context.isRepeatable = this->match.kind->repeatable;
    context.mayHaveBeenSent = mayHaveBeenSent;
    context.attempts = static_cast<uint32_t>(this->attempts.size());
    context.arrivals = static_cast<uint32_t>(std::count_if(this->attempts.begin(), this->attempts.end(), [](const AttemptPointer& attempt) { return attempt->mayHaveArrived; }));
    context.maxAttempts = this->match.kind->maxAttempts;
    context.depth = this->parameters.depth;
    context.outcome = outcome;
    context.deadline = this->deadline;
    if (!this->match.runtime->retryPolicy.takeRetry(context, MillisecondClock::now()))
        return false;
    this->gateway.metrics.incrementCounter("kingcup_retries_total", this->match.service->name);
    return true;
}

bool Call::hasActiveAttempt() const
{
    return std::any_of(this->attempts.begin(), this->attempts.end(), [](const AttemptPointer& attempt) { return !attempt->hasEnded && !attempt->isDiscarded; });
}

/** Returns whether an attempt was sent to a target that has not stated that it did not run the request. */
bool Call::mayRunAtTarget() const
{
    return std::any_of(this->attempts.begin(), this->attempts.end(), [this](const AttemptPointer& attempt) {
        bool isTurnedAway = attempt->hasHead && this->isReportedNotRun(attempt->head);
        return attempt->handle && attempt->mayHaveArrived && !isTurnedAway;
    });
}

/** Cancels all attempts but one. @param keptAttempt Null to cancel all. */
void Call::cancelOtherAttempts(const AttemptPointer& keptAttempt)
{
    for (const AttemptPointer& attempt : this->attempts) {
        if (attempt != keptAttempt && attempt->searchRound)
            this->endSearch(attempt, std::nullopt);
        else if (attempt != keptAttempt && !attempt->hasEnded)
            this->gateway.upstream.cancel(attempt->handle);
    }
}

} // namespace kingcup
