/** @file Call.cpp A call before its first attempt: checks, body, admission and claim. */
#include "Call.h"

#include "kingcup/FailPoint.h"
#include "kingcup/JsonLog.h"

#include <algorithm>
#include <cmath>

namespace kingcup {

namespace {

constexpr size_t bodyChunkBytes = 64u << 10;
constexpr size_t maxBufferedBodyBytes = 256u << 10; ///< Bodies up to this size are buffered so that the request can be retried; larger ones are streamed.
constexpr Milliseconds defaultRetryAfter { 1000 };
constexpr Milliseconds assumedCallDuration { 5000 }; ///< Of a caller that states no deadline, before its kind is known.
constexpr Milliseconds stoppingRetryAfter { 10 }; ///< Short, since the other VMs serve as usual.

} // namespace

Milliseconds retryAfterOf(ResultCode code)
{
    if (code == ResultCode::Stopping)
        return stoppingRetryAfter;
    return code == ResultCode::Isolated ? isolatedRetryAfter : defaultRetryAfter;
}

Call::Call(Gateway& gateway, std::shared_ptr<HttpExchange> exchange)
    : gateway(gateway)
    , exchange(std::move(exchange))
    , id(++gateway.lastCallId)
    , arrivalTime(MillisecondClock::now())
    , body(std::make_shared<std::string>())
{
    this->gateway.activeCalls++;
}

Call::~Call()
{
    this->gateway.activeCalls--;
}

void Call::start()
{
    this->executor.post([self = this->shared_from_this()] { self->processRequest(); });
}

/** Parses the request header and matches the request. */
void Call::processRequest()
{
    this->parameters = parseCallParameters(this->exchange->head().headers, this->gateway.edge.headers);
    this->setExchangeHooks();
    this->matchRequest();
}

/** Matches and checks the request, then reads its body. Without a configuration the call may wait for it. */
void Call::matchRequest()
{
    if (this->hasEnded)
        return;
    const HttpRequestHead& head = this->exchange->head();
    {
        RcuReadGuard guard;
        const RequestTable& table = this->gateway.requestTable.read(guard);
        this->match = table.match(head.headers.find("Host").value_or(""), head.method, head.path);
        this->manifestNumber = table.configuration->manifestNumber;
    }
    ResultCode code = this->checkRequest();
    bool lacksConfiguration = code == ResultCode::Isolated && !this->manifestNumber;
    if (lacksConfiguration && this->waitForConfiguration())
        return;
    if (code != ResultCode::Ok) {
        this->refuse(code, lacksConfiguration ? this->gateway.startupRetryAfter() : retryAfterOf(code));
        return;
    }
    if (this->takeUsagePermit())
        this->readBody();
}

/** Waits for the first configuration of this VM. Returns false if the call may not wait. */
bool Call::waitForConfiguration()
{
    TimePoint assumedDeadline = this->arrivalTime + this->parameters.deadline.value_or(assumedCallDuration);
    return this->gateway.waitForConfiguration(this->id, assumedDeadline, [self = this->shared_from_this()](bool isConfigured) {
        self->executor.post([self, isConfigured] {
            if (isConfigured)
                self->matchRequest();
            else
                self->refuse(ResultCode::Isolated, self->gateway.startupRetryAfter());
        });
    });
}

/** Returns the reason for an immediate refusal, or Ok. Sets the deadline. */
ResultCode Call::checkRequest()
{
    if (this->gateway.isStopping.load())
        return ResultCode::Stopping;
    // Without any manifest, nothing can be said about the services. A lease may come before the first one.
    bool isIsolated = !this->gateway.isLeaseValid() || !this->manifestNumber;
    if (!this->match.service)
        return isIsolated ? ResultCode::Isolated : ResultCode::NoService;
    if (!this->match.kind)
        return isIsolated ? ResultCode::Isolated : ResultCode::NoKind;
    const Kind& kind = *this->match.kind;
    if (isIsolated && kind.whenIsolated == WhenIsolated::Refuse)
        return ResultCode::Isolated;
    if (ResultCode code = this->checkKey(); code != ResultCode::Ok)
        return code;
    if (this->parameters.code != ResultCode::Ok)
        return this->parameters.code;
    if (kind.keyRequired && this->parameters.idempotencyKey.empty())
        return ResultCode::KeyRequired;
    if (this->exchange->head().contentLength.value_or(0) > this->match.service->limits.maxBodyBytes)
        return ResultCode::BodyTooLarge;
    Milliseconds allowedTime = std::min(kind.deadline, this->parameters.deadline.value_or(kind.deadline));
    this->deadline = this->arrivalTime + allowedTime;
    if (!this->gateway.endsBeforeStop(this->deadline))
        return ResultCode::Stopping;
    return allowedTime.count() > 0 ? ResultCode::Ok : ResultCode::DeadlineBeforeSend;
}

void Call::setExchangeHooks()
{
    auto self = this->shared_from_this();
    this->exchange->setReadableHook([self] {
        self->executor.post([self] { self->readBody(); });
    });
    this->exchange->setWritableHook([self] {
        self->executor.post([self] {
            self->isAnswerBlocked.store(false);
            if (self->selectedAttempt)
                self->gateway.upstream.resume(self->selectedAttempt->handle);
        });
    });
    this->exchange->setCutOffHook([self] {
        self->executor.post([self] { self->cutOff(); });
    });
    this->exchange->setClosedHook([self](bool completed) {
        self->executor.post([self, completed] {
            if (!completed)
                self->handleCallerDisconnect();
        });
    });
}

/** Reads the available body bytes until the body is complete or too large to be buffered. After that, resumes the attempts that stream the body. */
void Call::readBody()
{
    if (this->hasEnded || !this->match.service)
        return;
    if (this->isBodyReady) {
        for (const AttemptPointer& attempt : this->attempts)
            this->gateway.upstream.resumeBody(attempt->handle);
        return;
    }
    const ServiceLimits& limits = this->match.service->limits;
    bool needsWholeBody = !this->match.kind->repeatable && !this->parameters.idempotencyKey.empty();
    for (;;) {
        std::string chunk;
        HttpExchange::BodyState state = this->exchange->readBody(chunk, bodyChunkBytes);
        this->body->append(chunk);
        if (this->body->size() > limits.maxBodyBytes) {
            this->refuse(ResultCode::BodyTooLarge, defaultRetryAfter);
            return;
        }
        if (state == HttpExchange::BodyState::Pending)
            return;
        if (state == HttpExchange::BodyState::Failed) {
            this->refuse(ResultCode::BadRequest, defaultRetryAfter);
            return;
        }
        this->isBodyComplete = state == HttpExchange::BodyState::End;
        if (this->isBodyComplete || (!needsWholeBody && this->body->size() > maxBufferedBodyBytes)) {
            this->requestAdmission();
            return;
        }
    }
}

/** Checks the quarantine and requests admission. */
void Call::requestAdmission()
{
    this->isBodyReady = true;
    const HttpRequestHead& head = this->exchange->head();
    this->fingerprint = requestFingerprint(this->match.service->name, head.method, head.target, *this->body);
    if (this->gateway.containment.verdict(this->match.service->name, this->fingerprint, this->gateway.logTimeMs()) == ContainmentVerdict::Refuse) {
        this->refuse(ResultCode::Quarantined, this->match.service->limits.quarantine);
        return;
    }
    AdmissionRequest request;
    request.id = this->id;
    const std::shared_ptr<const Organisation>& organisation = this->match.organisation;
    request.priority = organisation ? organisation->priority.value_or(this->match.kind->priority) : this->match.kind->priority;
    request.deadline = this->deadline;
    request.maxWait = this->match.kind->mayWait;
    request.mayBeRefused = this->match.kind->mayRefuse;
    this->isAdmissionPending = true;
    this->match.runtime->admit(request, [self = this->shared_from_this()](const AdmissionDecision& decision) {
        self->executor.post([self, decision] { self->handleAdmission(decision); });
    });
}

void Call::handleAdmission(const AdmissionDecision& decision)
{
    this->isAdmissionPending = false;
    if (decision.code == ResultCode::Ok)
        this->isAdmitted = true;
    if (this->hasEnded) {
        if (this->isAdmitted)
            this->match.runtime->finishCall(Milliseconds(0), false);
        return;
    }
    if (decision.code != ResultCode::Ok) {
        this->refuse(decision.code, decision.retryAfter);
        return;
    }
    this->match.runtime->retryPolicy.countCall(MillisecondClock::now());
    if (!this->match.kind->repeatable && !this->parameters.idempotencyKey.empty())
        this->claimKey();
    else if (!this->startAttempt(false))
        this->refuseWithoutTarget();
}

/** Claims the idempotency key. No byte is sent to a target before the claim is committed. */
void Call::claimKey()
{
    const ServiceLimits& limits = this->match.service->limits;
    this->claimTicket = this->gateway.claims.createTicket(this->match.service->name, this->parameters.idempotencyKey);
    Milliseconds remaining = this->deadline - MillisecondClock::now();
    Milliseconds timeout = std::min(remaining, this->match.kind->mayWait);
    auto onResult = [self = this->shared_from_this()](const wire::CommandResult& result) {
        self->executor.post([self, result] { self->handleClaimResult(result); });
    };
    checkFailPoint("claim.before_send");
    this->gateway.claims.claimKey(this->claimTicket, this->claimFingerprint(), limits.claimRetention, timeout, onResult);
}

void Call::handleClaimResult(const wire::CommandResult& result)
{
    ResultCode code = static_cast<ResultCode>(result.result_code());
    this->hasClaim = code == ResultCode::Ok;
    if (this->hasEnded) {
        if (this->hasClaim)
            this->gateway.claims.finishClaim(this->claimTicket, wire::OUTCOME_NOT_RUN, {});
        return;
    }
    switch (code) {
    case ResultCode::Ok:
        checkFailPoint("claim.granted");
        if (!this->startAttempt(false))
            this->refuseWithoutTarget();
        return;
    case ResultCode::KeyFinished:
        this->sendRecordedAnswer(result);
        return;
    case ResultCode::KeyRunning:
    case ResultCode::KeyOutcomeUnknown:
    case ResultCode::KeyMismatch:
        this->refuse(code, defaultRetryAfter);
        return;
    case ResultCode::OldIncarnation:
        this->gateway.claims.renewIncarnation();
        this->refuse(ResultCode::ClaimUnavailable, defaultRetryAfter);
        return;
    default:
        // The claim may still be granted after the timeout, so it is released.
        this->gateway.claims.finishClaim(this->claimTicket, wire::OUTCOME_NOT_RUN, {});
        this->refuse(ResultCode::ClaimUnavailable, defaultRetryAfter);
    }
}

/** Answers with the recorded answer of the finished request, if it was recorded completely. */
void Call::sendRecordedAnswer(const wire::CommandResult& result)
{
    const wire::RecordedAnswer& recorded = result.answer();
    if (!recorded.complete()) {
        this->refuse(ResultCode::KeyFinished, defaultRetryAfter);
        return;
    }
    HttpAnswerHead stored;
    stored.status = static_cast<int>(recorded.status());
    if (!recorded.content_type().empty())
        stored.headers.add("Content-Type", recorded.content_type());
    HttpAnswerHead head = callerHead(stored, this->gateway.edge.headers, ResultCode::KeyFinished, RunState::Ran);
    this->exchange->answer(std::move(head), recorded.body());
    this->endCall(ResultCode::KeyFinished);
}

/** Handles the caller's disconnect. A claimed request that is running continues, so that its outcome is recorded for a repeated request. */
void Call::handleCallerDisconnect()
{
    this->isCallerPresent = false;
    if (this->hasEnded)
        return;
    if (this->isAdmissionPending && this->match.runtime->cancelAdmission(this->id))
        this->isAdmissionPending = false;
    if (this->hasClaim && this->hasActiveAttempt()) {
        // The caller's buffer is no longer drained, so a paused answer would wait until its deadline.
        this->isAnswerBlocked.store(false);
        if (this->selectedAttempt)
            this->gateway.upstream.resume(this->selectedAttempt->handle);
        return;
    }
    this->endCall(ResultCode::ConnectionLost);
}

/** Ends the call because this VM stops. Without an answer the caller could not tell whether the request has run. */
void Call::cutOff()
{
    if (this->hasEnded)
        return;
    // Searches end first, since the attempts for which they search were not sent.
    this->cancelOtherAttempts(nullptr);
    this->mayHaveRun = this->mayHaveRun || this->mayRunAtTarget();
    TimePoint now = MillisecondClock::now();
    logLine(LogLevel::Warning, "call_cut_off",
        { { "request", this->parameters.requestId }, { "call", this->id }, { "service", this->match.service ? this->match.service->name : "" }, { "route", this->match.kind ? this->match.kind->name : "" },
            { "sent", this->mayHaveRun }, { "ageMs", std::round((now - this->arrivalTime).count()) }, { "limitMs", std::round((this->deadline - this->arrivalTime).count()) } });
    if (this->isAdmissionPending && this->match.runtime->cancelAdmission(this->id))
        this->isAdmissionPending = false;
    if (this->selectedAttempt) {
        if (this->isCallerPresent)
            this->exchange->abort();
        this->endCall(ResultCode::AnswerTruncated);
        return;
    }
    // A target's error answer serves as the result only if all of it has arrived.
    if (this->fallback && !this->fallback->isComplete)
        this->fallback.reset();
    this->lastFailure.code = this->mayHaveRun ? ResultCode::StoppedAfterSend : ResultCode::Stopping;
    this->lastFailure.retryAfter = stoppingRetryAfter;
    this->answerFailure();
}

} // namespace kingcup
