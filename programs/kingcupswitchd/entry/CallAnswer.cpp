/** @file CallAnswer.cpp Sends the answer of a call, buffered or streamed, and ends the call. */
#include "Call.h"

#include "kingcup/FailPoint.h"
#include "kingcup/JsonLog.h"

#include <algorithm>
#include <cmath>

namespace kingcup {

namespace {

constexpr Milliseconds stallCheckInterval { 500 };
constexpr int stallIntervals = 4; ///< Number of intervals without a byte after which a download is resumed on another target.
constexpr double maxLoggedAgeMs = 1e6; ///< Upper limit of the age in the log; also logged when there is no load report.

} // namespace

/** Streams the answer of an attempt to the caller, beginning with the bytes that were buffered, and cancels the other attempts. */
void Call::streamAnswer(const AttemptPointer& attempt)
{
    this->selectedAttempt = attempt;
    this->selectedAttemptStart = attempt->startTime;
    this->cancelOtherAttempts(attempt);
    if (this->match.kind->repeatable)
        this->downloadResumePoint = findResumePoint(this->exchange->head(), attempt->head);
    // libcurl sends no more of a body after such a status, and closes the connection.
    if (attempt->head.status >= firstRedirectStatus)
        this->exchange->discardBody();
    bool isNotRun = this->isReportedNotRun(attempt->head);
    this->exchange->startAnswer(callerHead(attempt->head, this->gateway.edge.headers, isNotRun ? ResultCode::NotRunByTarget : ResultCode::Ok, isNotRun ? RunState::NotRun : RunState::Ran));
    std::string bufferedBytes;
    bufferedBytes.swap(attempt->bufferedBody);
    if (!bufferedBytes.empty())
        this->writeAnswerBytes(bufferedBytes);
    if (this->downloadResumePoint)
        this->scheduleStallCheck();
}

void Call::writeAnswerBytes(const std::string& data)
{
    this->deliveredBytes += data.size();
    if (!this->isCallerPresent)
        return;
    if (!this->exchange->write(data))
        this->isAnswerBlocked.store(true);
}

/** Sends the complete, buffered answer of an attempt and ends the call. */
void Call::sendBufferedAnswer(const AttemptPointer& attempt)
{
    this->selectedAttempt = attempt;
    this->cancelOtherAttempts(attempt);
    bool isNotRun = this->isReportedNotRun(attempt->head) && !this->mayHaveRun;
    ResultCode code = isNotRun ? ResultCode::NotRunByTarget : ResultCode::Ok;
    if (this->isCallerPresent)
        this->exchange->answer(callerHead(attempt->head, this->gateway.edge.headers, code, isNotRun ? RunState::NotRun : RunState::Ran), attempt->bufferedBody);
    this->endCall(code);
}

/** Handles the end of the attempt that streams the answer: finishes the answer, resumes the download on another target or aborts the caller's connection. */
void Call::handleStreamEnd(const AttemptPointer& attempt, const UpstreamResult& result)
{
    bool hasWholeLength = !this->downloadResumePoint || this->deliveredBytes == this->downloadResumePoint->length;
    if (result.outcome == UpstreamOutcome::Complete && hasWholeLength) {
        this->targetTime = MillisecondClock::now() - this->selectedAttemptStart;
        if (this->isCallerPresent)
            this->exchange->finish();
        bool isNotRun = this->isReportedNotRun(attempt->head);
        this->endCall(isNotRun ? ResultCode::NotRunByTarget : ResultCode::Ok);
        return;
    }
    this->mayHaveRun = true;
    if (this->resumeDownload())
        return;
    if (this->isCallerPresent)
        this->exchange->abort();
    this->endCall(ResultCode::AnswerTruncated);
}

/** Takes the attempt that resumes the download from the retry budget, unless it was taken before. Returns false if the download may not be resumed. */
bool Call::takeResume(AttemptOutcome outcome)
{
    bool canResume = this->downloadResumePoint && this->deliveredBytes < this->downloadResumePoint->length;
    this->hasTakenResume = this->hasTakenResume || (canResume && this->takeRetry(true, outcome));
    return this->hasTakenResume;
}

/** Resumes the download on another target. Returns false when that is not possible. */
bool Call::resumeDownload()
{
    if (!this->isCallerPresent || !this->takeResume(AttemptOutcome::ConnectionLost))
        return false;
    this->hasTakenResume = false;
    if (!this->startAttempt(false, this->deliveredBytes))
        return false;
    this->selectedAttempt = this->attempts.back();
    this->gateway.metrics.incrementCounter("kingcup_resumes_total", this->match.service->name);
    this->scheduleStallCheck();
    return true;
}

void Call::scheduleStallCheck()
{
    this->gateway.timers.cancel(this->stallTimer);
    uint64_t previousBytes = this->deliveredBytes;
    TimePoint when = MillisecondClock::now() + stallCheckInterval * stallIntervals;
    this->stallTimer = this->gateway.timers.schedule(when, [self = this->shared_from_this(), previousBytes] {
        self->executor.post([self, previousBytes] { self->checkStall(previousBytes); });
    });
}

/** Cancels the attempt of a download that has delivered no byte since the last check, unless the caller's full buffer is the cause or the download may not be resumed. */
void Call::checkStall(uint64_t previousBytes)
{
    this->stallTimer = 0;
    if (this->hasEnded || !this->selectedAttempt)
        return;
    bool isStalled = this->deliveredBytes == previousBytes && !this->isAnswerBlocked.load();
    if (isStalled && this->takeResume(AttemptOutcome::TimedOut)) {
        this->selectedAttempt->isStalled = true;
        this->gateway.upstream.cancel(this->selectedAttempt->handle);
        return;
    }
    this->scheduleStallCheck();
}

/** Sends an answer that this VM generates and ends the call. @param code Must state that the request may have run if an attempt was sent. */
void Call::refuse(ResultCode code, Milliseconds retryAfter)
{
    if (this->hasEnded)
        return;
    if (this->isCallerPresent) {
        auto [head, answerBody] = createRefusalAnswer(code, retryAfter, this->gateway.edge);
        this->exchange->answer(std::move(head), std::move(answerBody));
    }
    this->endCall(code);
}

/** Ends the call: releases its admission, reports the claim's outcome, cancels the remaining attempts, writes the log and the metrics. */
void Call::endCall(ResultCode code)
{
    if (this->hasEnded)
        return;
    this->hasEnded = true;
    this->gateway.timers.cancel(this->hedgeTimer);
    this->gateway.timers.cancel(this->stallTimer);
    Milliseconds total = MillisecondClock::now() - this->arrivalTime;
    if (this->isAdmitted)
        this->match.runtime->finishCall(this->targetTime.count() > 0 ? this->targetTime : total, this->isOverloaded);
    if (this->hasClaim) {
        checkFailPoint("answer.given");
        this->finishClaim(code);
        checkFailPoint("finish.sent");
    }
    this->returnUsagePermit();
    this->cancelOtherAttempts(nullptr);
    this->logCallEnd(code, total);
    std::string service = this->match.service ? this->match.service->name : "";
    this->gateway.metrics.countCall(service, this->match.kind ? this->match.kind->name : "", code);
    if (this->targetTime.count() > 0)
        this->gateway.metrics.recordCallDuration(service, total.count(), (total - this->targetTime).count());
}

/** Logs the reason for the choice of the target, and the outcome of the attempt. */
void Call::logAttemptEnd(const AttemptPointer& attempt, const UpstreamResult& result) const
{
    const PickReason& reason = attempt->pick.reason;
    std::string load(attempt->head.headers.find(this->gateway.edge.headers.load).value_or(""));
    logLine(LogLevel::Info, "attempt_ended",
        { { "request", this->parameters.requestId }, { "call", this->id }, { "service", this->match.service->name }, { "target", attempt->pick.address },
            { "instance", attempt->pick.instance }, { "hedge", attempt->isHedge }, { "probes", attempt->probeCount }, { "rounds", attempt->searchRoundCount }, { "searchCost", attempt->searchCost }, { "costMs", std::round(reason.costMs) }, { "slowdown", reason.slowdown },
            { "reportAgeMs", std::round(std::min(reason.reportAgeMs, maxLoggedAgeMs)) }, { "outstanding", reason.outstanding }, { "candidates", reason.candidates },
            { "outcome", nameOf(upstreamOutcomeNames, result.outcome) }, { "status", attempt->head.status }, { "sent", result.maybeSent },
            { "newConnection", result.newConnection }, { "connected", result.isConnected }, { "relay", attempt->relay ? attempt->relay->address : "" }, { "firstByteMs", std::round(result.timeToFirstByte.count()) }, { "totalMs", std::round(result.duration.count()) }, { "load", load } });
}

/** Logs the result of the call and the manifest by which it was matched. */
void Call::logCallEnd(ResultCode code, Milliseconds total) const
{
    const ResultCodeRow& row = resultCodeRow(code);
    logLine(LogLevel::Info, "call_ended",
        { { "request", this->parameters.requestId }, { "call", this->id }, { "route", this->match.kind ? this->match.kind->name : "" },
            { "service", this->match.service ? this->match.service->name : "" }, { "manifest", this->manifestNumber }, { "attempts", this->attempts.size() },
            { "result", row.name }, { "run", runStateName(row.runState) }, { "leaseValid", this->gateway.isLeaseValid() }, { "callerPresent", this->isCallerPresent },
            { "totalMs", std::round(total.count()) }, { "limitMs", std::round((this->deadline - this->arrivalTime).count()) } });
}

/** Reports the outcome of a claimed request, with the answer if it is small enough to be recorded. */
void Call::finishClaim(ResultCode code)
{
    RunState run = resultCodeRow(code).runState;
    if (code == ResultCode::Ok && this->selectedAttempt) {
        wire::RecordedAnswer answer;
        answer.set_status(static_cast<uint32_t>(this->selectedAttempt->head.status));
        answer.set_content_type(recordedContentType(this->selectedAttempt->head.headers));
        bool isRecordable = !this->deliveredBytes && this->selectedAttempt->bufferedBody.size() <= this->match.service->limits.maxRecordedAnswerBytes;
        answer.set_complete(isRecordable);
        if (isRecordable)
            answer.set_body(this->selectedAttempt->bufferedBody);
        this->gateway.claims.finishClaim(this->claimTicket, wire::OUTCOME_FINISHED, std::move(answer));
        return;
    }
    bool isNotRun = run == RunState::NotRun && !this->mayHaveRun && !this->hasActiveAttempt();
    this->gateway.claims.finishClaim(this->claimTicket, isNotRun ? wire::OUTCOME_NOT_RUN : wire::OUTCOME_UNKNOWN, {});
}

/** Returns whether the target states by its status or a header field that it did not run the request. */
bool Call::isReportedNotRun(const HttpAnswerHead& head) const
{
    const std::string& field = this->gateway.edge.headers.notRun;
    if (this->isMisdirectedAnswer(head) || (!field.empty() && head.headers.find(field)))
        return true;
    const std::vector<int>& statuses = this->match.kind->notRunStatuses;
    return std::find(statuses.begin(), statuses.end(), head.status) != statuses.end();
}

/** Returns whether an instance other than the expected one answered on the target's address (status 421). */
bool Call::isMisdirectedAnswer(const HttpAnswerHead& head) const
{
    constexpr int statusMisdirected = 421;
    return head.status == statusMisdirected && !this->gateway.edge.headers.expectedInstance.empty();
}

} // namespace kingcup
