/** @file Call.cpp A call before its first attempt: checks, body, admission and claim. */
#include "Call.h"

#include "kingcup/FailPoint.h"
#include "kingcup/JsonLog.h"

#include <algorithm>

namespace kingcup {

namespace {

constexpr size_t bodyChunkBytes = 64u << 10;
constexpr size_t heldBodyBytes = 256u << 10; ///< Bodies up to this size are held, so that an attempt can be repeated; larger ones are streamed.
constexpr Milliseconds defaultRetryAfter { 1000 };
constexpr Milliseconds stoppingRetryAfter { 10 }; ///< Other VMs serve as usual.
constexpr Milliseconds isolatedRetryAfter { 250 }; ///< Other VMs may know the configuration, and this one gets it as soon as there is a leader.

/** Returns when a caller should come back that was refused before its request was looked at. */
Milliseconds retryAfterOf(ResultCode code)
{
    if (code == ResultCode::Stopping)
        return stoppingRetryAfter;
    return code == ResultCode::Isolated ? isolatedRetryAfter : defaultRetryAfter;
}

} // namespace

Call::Call(Gateway& gateway, std::shared_ptr<HttpExchange> exchange)
    : gateway(gateway)
    , exchange(std::move(exchange))
    , id(++gateway.lastCallId)
    , arrived(MillisecondClock::now())
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
    this->serial.post([self = this->shared_from_this()] { self->begin(); });
}

/** Matches and checks the request, then reads its body. */
void Call::begin()
{
    const HttpRequestHead& head = this->exchange->head();
    {
        RcuReadGuard guard;
        const RequestTable& table = this->gateway.table.read(guard);
        this->match = table.match(head.headers.find("Host").value_or(""), head.method, head.path);
        this->manifestNumber = table.configuration->manifestNumber;
    }
    this->parameters = parseCallParameters(head.headers, this->gateway.edge.headers);
    this->setExchangeHooks();
    ResultCode code = this->check();
    if (code != ResultCode::Ok) {
        this->refuse(code, retryAfterOf(code));
        return;
    }
    this->readBody();
}

/** Returns why the call is refused at once, or Ok. */
ResultCode Call::check()
{
    if (this->gateway.stopping.load())
        return ResultCode::Stopping;
    bool isolated = !this->gateway.leaseValid();
    if (!this->match.service)
        return isolated ? ResultCode::Isolated : ResultCode::NoService;
    if (!this->match.kind)
        return isolated ? ResultCode::Isolated : ResultCode::NoKind;
    const Kind& kind = *this->match.kind;
    if (isolated && kind.whenIsolated == WhenIsolated::Refuse)
        return ResultCode::Isolated;
    if (this->parameters.code != ResultCode::Ok)
        return this->parameters.code;
    if (kind.keyRequired && this->parameters.idempotencyKey.empty())
        return ResultCode::KeyRequired;
    if (this->exchange->head().contentLength.value_or(0) > this->match.service->limits.maxBodyBytes)
        return ResultCode::BodyTooLarge;
    Milliseconds allowed = std::min(kind.deadline, this->parameters.deadline.value_or(kind.deadline));
    this->deadline = this->arrived + allowed;
    if (!this->gateway.endsBeforeStop(this->deadline))
        return ResultCode::Stopping;
    return allowed.count() > 0 ? ResultCode::Ok : ResultCode::DeadlineBeforeSend;
}

void Call::setExchangeHooks()
{
    auto self = this->shared_from_this();
    this->exchange->setReadableHook([self] {
        self->serial.post([self] { self->readBody(); });
    });
    this->exchange->setWritableHook([self] {
        self->serial.post([self] {
            self->answerBlocked.store(false);
            if (self->winner)
                self->gateway.upstream.resume(self->winner->handle);
        });
    });
    this->exchange->setClosedHook([self](bool completed) {
        self->serial.post([self, completed] {
            if (!completed)
                self->callerGone();
        });
    });
}

/** Takes what has arrived of the body, until it is complete or large enough to be streamed. */
void Call::readBody()
{
    if (this->over)
        return;
    if (this->bodyStarted) {
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
        if (state == HttpExchange::BodyState::Wait)
            return;
        if (state == HttpExchange::BodyState::Broken) {
            this->refuse(ResultCode::BadRequest, defaultRetryAfter);
            return;
        }
        this->bodyComplete = state == HttpExchange::BodyState::End;
        if (this->bodyComplete || (!needsWholeBody && this->body->size() > heldBodyBytes)) {
            this->bodyReady();
            return;
        }
    }
}

/** Checks the quarantine and asks for admission. */
void Call::bodyReady()
{
    this->bodyStarted = true;
    const HttpRequestHead& head = this->exchange->head();
    this->fingerprint = requestFingerprint(this->match.service->name, head.method, head.target, *this->body);
    if (this->gateway.containment.verdict(this->match.service->name, this->fingerprint, this->gateway.logTimeMs()) == ContainmentVerdict::Refuse) {
        this->refuse(ResultCode::Quarantined, this->match.service->limits.quarantine);
        return;
    }
    AdmissionRequest request;
    request.id = this->id;
    request.priority = this->match.kind->priority;
    request.deadline = this->deadline;
    request.maxWait = this->match.kind->mayWait;
    request.mayBeRefused = this->match.kind->mayRefuse;
    this->admissionPending = true;
    this->match.runtime->admit(request, [self = this->shared_from_this()](const AdmissionDecision& decision) {
        self->serial.post([self, decision] { self->admitted(decision); });
    });
}

void Call::admitted(const AdmissionDecision& decision)
{
    this->admissionPending = false;
    if (decision.code == ResultCode::Ok)
        this->isAdmitted = true;
    if (this->over) {
        if (this->isAdmitted)
            this->match.runtime->finish(Milliseconds(0), false);
        return;
    }
    if (decision.code != ResultCode::Ok) {
        this->refuse(decision.code, decision.retryAfter);
        return;
    }
    this->match.runtime->retries.countCall(MillisecondClock::now());
    if (!this->match.kind->repeatable && !this->parameters.idempotencyKey.empty())
        this->claimKey();
    else if (!this->startAttempt(false))
        this->refuse(ResultCode::NoTarget, defaultRetryAfter);
}

/** Claims the idempotency key; no byte goes to a target before the claim is committed. */
void Call::claimKey()
{
    const ServiceLimits& limits = this->match.service->limits;
    this->ticket = this->gateway.claims.ticket(this->match.service->name, this->parameters.idempotencyKey);
    Milliseconds remaining = this->deadline - MillisecondClock::now();
    Milliseconds timeout = std::min(remaining, this->match.kind->mayWait);
    auto done = [self = this->shared_from_this()](const wire::CommandResult& result) {
        self->serial.post([self, result] { self->claimAnswered(result); });
    };
    checkFailPoint("claim.before_send");
    this->gateway.claims.claim(this->ticket, this->fingerprint, limits.claimRetention, timeout, done);
}

void Call::claimAnswered(const wire::CommandResult& result)
{
    ResultCode code = static_cast<ResultCode>(result.result_code());
    this->claimed = code == ResultCode::Ok;
    if (this->over) {
        if (this->claimed)
            this->gateway.claims.finish(this->ticket, wire::OUTCOME_NOT_RUN, {});
        return;
    }
    switch (code) {
    case ResultCode::Ok:
        checkFailPoint("claim.granted");
        if (!this->startAttempt(false))
            this->refuse(ResultCode::NoTarget, defaultRetryAfter);
        return;
    case ResultCode::KeyFinished:
        this->replayRecorded(result);
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
        // The claim may still be granted after this VM gave up on it, so it is released.
        this->gateway.claims.finish(this->ticket, wire::OUTCOME_NOT_RUN, {});
        this->refuse(ResultCode::ClaimUnavailable, defaultRetryAfter);
    }
}

/** Answers with what was recorded of the request that ran. */
void Call::replayRecorded(const wire::CommandResult& result)
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
    this->conclude(ResultCode::KeyFinished);
}

/** The caller went away. A claimed request that is running goes on, so that its outcome is recorded for a repetition. */
void Call::callerGone()
{
    this->callerPresent = false;
    if (this->over)
        return;
    if (this->admissionPending && this->match.runtime->cancelAdmission(this->id))
        this->admissionPending = false;
    if (this->claimed && this->anyActive()) {
        // Nobody drains the caller's buffer any more, so a paused answer would wait until its deadline.
        this->answerBlocked.store(false);
        if (this->winner)
            this->gateway.upstream.resume(this->winner->handle);
        return;
    }
    this->conclude(ResultCode::ConnectionLost);
}

} // namespace kingcup
