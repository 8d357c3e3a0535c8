/** @file CallAnswer.cpp The answer of a call: whole or streamed, and the end of the call. */
#include "Call.h"

#include "kingcup/FailPoint.h"
#include "kingcup/JsonLog.h"

#include <algorithm>
#include <cmath>

namespace kingcup {

namespace {

constexpr Milliseconds stallCheckInterval { 500 };
constexpr int stallChecks = 4; ///< Checks without a byte after which a download goes on elsewhere.
constexpr int maxResumes = 3;
constexpr double maxLoggedAgeMs = 1e6; ///< Stands for a report that never came.

} // namespace

/** Makes an attempt the source of the answer and sends what was held so far. */
void Call::streamFrom(const AttemptPointer& attempt)
{
    this->winner = attempt;
    this->winnerStarted = attempt->started;
    this->cancelOthers(attempt);
    if (this->match.kind->repeatable)
        this->resume = resumePoint(this->exchange->head(), attempt->head);
    bool notRun = this->promisedNotRun(attempt->head);
    this->exchange->startAnswer(callerHead(attempt->head, this->gateway.edge.headers, notRun ? ResultCode::NotRunByTarget : ResultCode::Ok, notRun ? RunState::NotRun : RunState::Ran));
    std::string held;
    held.swap(attempt->held);
    if (!held.empty())
        this->deliver(held);
    if (this->resume)
        this->scheduleStallCheck();
}

void Call::deliver(const std::string& data)
{
    this->delivered += data.size();
    if (!this->callerPresent)
        return;
    if (!this->exchange->write(data))
        this->answerBlocked.store(true);
}

/** Answers with an attempt's whole answer. */
void Call::answerWhole(const AttemptPointer& attempt)
{
    this->winner = attempt;
    this->cancelOthers(attempt);
    bool notRun = this->promisedNotRun(attempt->head) && !this->anySent;
    ResultCode code = notRun ? ResultCode::NotRunByTarget : ResultCode::Ok;
    if (this->callerPresent)
        this->exchange->answer(callerHead(attempt->head, this->gateway.edge.headers, code, notRun ? RunState::NotRun : RunState::Ran), attempt->held);
    this->conclude(code);
}

/** The source of a streamed answer ended: cleanly, or the download goes on elsewhere, or the caller sees an error. */
void Call::streamEnded(const AttemptPointer& attempt, const UpstreamResult& result)
{
    bool wholeLength = !this->resume || this->delivered == this->resume->length;
    if (result.outcome == UpstreamOutcome::Complete && wholeLength) {
        this->targetTime = MillisecondClock::now() - this->winnerStarted;
        if (this->callerPresent)
            this->exchange->finish();
        bool notRun = this->promisedNotRun(attempt->head);
        this->conclude(notRun ? ResultCode::NotRunByTarget : ResultCode::Ok);
        return;
    }
    this->anySent = true;
    if (this->resumeElsewhere())
        return;
    if (this->callerPresent)
        this->exchange->abort();
    this->conclude(ResultCode::AnswerTruncated);
}

/** Goes on with a download on another target. Returns false when that cannot be done. */
bool Call::resumeElsewhere()
{
    bool possible = this->resume && this->callerPresent && this->resumes < maxResumes && this->delivered < this->resume->length;
    if (!possible || MillisecondClock::now() >= this->deadline)
        return false;
    if (!this->startAttempt(false, this->delivered))
        return false;
    this->resumes++;
    this->winner = this->attempts.back();
    this->gateway.metrics.count("kingcup_resumes_total", this->match.service->name);
    this->scheduleStallCheck();
    return true;
}

void Call::scheduleStallCheck()
{
    this->gateway.timers.cancel(this->stallTimer);
    uint64_t seen = this->delivered;
    TimePoint when = MillisecondClock::now() + stallCheckInterval * stallChecks;
    this->stallTimer = this->gateway.timers.schedule(when, [self = this->shared_from_this(), seen] {
        self->serial.post([self, seen] { self->stallCheck(seen); });
    });
}

/** Ends the source of a download that has brought no byte since the last check, unless the caller is the slow side. */
void Call::stallCheck(uint64_t seenBytes)
{
    this->stallTimer = 0;
    if (this->over || !this->winner)
        return;
    bool stalled = this->delivered == seenBytes && !this->answerBlocked.load();
    if (stalled && this->resumes < maxResumes) {
        this->winner->stalled = true;
        this->gateway.upstream.cancel(this->winner->handle);
        return;
    }
    this->scheduleStallCheck();
}

/** Answers with a result of this VM. When some attempt may have run, the code says so. */
void Call::refuse(ResultCode code, Milliseconds retryAfter)
{
    if (this->over)
        return;
    if (this->callerPresent) {
        auto [head, text] = ownAnswer(code, retryAfter, this->gateway.edge);
        this->exchange->answer(std::move(head), std::move(text));
    }
    this->conclude(code);
}

/** Ends the call: gives back its place, reports the claim's outcome, counts. */
void Call::conclude(ResultCode code)
{
    if (this->over)
        return;
    this->over = true;
    this->gateway.timers.cancel(this->hedgeTimer);
    this->gateway.timers.cancel(this->stallTimer);
    Milliseconds total = MillisecondClock::now() - this->arrived;
    if (this->isAdmitted)
        this->match.runtime->finish(this->targetTime.count() > 0 ? this->targetTime : total, this->overloaded);
    if (this->claimed) {
        checkFailPoint("answer.given");
        this->finishClaim(code);
        checkFailPoint("finish.sent");
    }
    this->cancelOthers(nullptr);
    this->logEnd(code, total);
    std::string service = this->match.service ? this->match.service->name : "";
    this->gateway.metrics.call(service, this->match.kind ? this->match.kind->name : "", code);
    if (this->targetTime.count() > 0)
        this->gateway.metrics.callDuration(service, total.count(), (total - this->targetTime).count());
}

/** Logs on what an attempt was placed and how it ended. */
void Call::logAttempt(const AttemptPointer& attempt, const UpstreamResult& result) const
{
    const PickReason& reason = attempt->pick.reason;
    std::string load(attempt->head.headers.find(this->gateway.edge.headers.load).value_or(""));
    logLine(LogLevel::Info, "attempt_ended",
        { { "request", this->parameters.requestId }, { "call", this->id }, { "service", this->match.service->name }, { "target", attempt->pick.address },
            { "instance", attempt->pick.instance }, { "hedge", attempt->hedge }, { "probes", attempt->probes }, { "rounds", attempt->searchRounds }, { "searchCost", attempt->searchCost }, { "costMs", std::round(reason.costMs) }, { "slowdown", reason.slowdown },
            { "reportAgeMs", std::round(std::min(reason.reportAgeMs, maxLoggedAgeMs)) }, { "outstanding", reason.outstanding }, { "candidates", reason.candidates },
            { "outcome", nameOf(upstreamOutcomeNames, result.outcome) }, { "status", attempt->head.status }, { "sent", result.maybeSent },
            { "newConnection", result.newConnection }, { "firstByteMs", std::round(result.firstByte.count()) }, { "totalMs", std::round(result.total.count()) }, { "load", load } });
}

/** Logs how a call ended, with the configuration it was decided by. */
void Call::logEnd(ResultCode code, Milliseconds total) const
{
    const ResultCodeRow& row = resultCodeRow(code);
    logLine(LogLevel::Info, "call_ended",
        { { "request", this->parameters.requestId }, { "call", this->id }, { "route", this->match.kind ? this->match.kind->name : "" },
            { "service", this->match.service ? this->match.service->name : "" }, { "manifest", this->manifestNumber }, { "attempts", this->attempts.size() },
            { "result", row.name }, { "run", runStateName(row.runState) }, { "leaseValid", this->gateway.leaseValid() }, { "callerPresent", this->callerPresent },
            { "totalMs", std::round(total.count()) }, { "limitMs", std::round((this->deadline - this->arrived).count()) } });
}

/** Reports the outcome of a claimed request. */
void Call::finishClaim(ResultCode code)
{
    RunState run = resultCodeRow(code).runState;
    if (code == ResultCode::Ok && this->winner) {
        wire::RecordedAnswer answer;
        answer.set_status(static_cast<uint32_t>(this->winner->head.status));
        answer.set_content_type(std::string(this->winner->head.headers.find("Content-Type").value_or("")));
        bool small = !this->delivered && this->winner->held.size() <= this->match.service->limits.maxRecordedAnswerBytes;
        answer.set_complete(small);
        if (small)
            answer.set_body(this->winner->held);
        this->gateway.claims.finish(this->ticket, wire::OUTCOME_FINISHED, std::move(answer));
        return;
    }
    bool notRun = run == RunState::NotRun && !this->anySent && !this->anyActive();
    this->gateway.claims.finish(this->ticket, notRun ? wire::OUTCOME_NOT_RUN : wire::OUTCOME_UNKNOWN, {});
}

/** Returns whether the target promises by its status or a header field that it did not run the request. */
bool Call::promisedNotRun(const HttpAnswerHead& head) const
{
    const std::string& field = this->gateway.edge.headers.notRun;
    if (this->isRejectedByInstance(head) || (!field.empty() && head.headers.find(field)))
        return true;
    const std::vector<int>& statuses = this->match.kind->notRunStatuses;
    return std::find(statuses.begin(), statuses.end(), head.status) != statuses.end();
}

/** Returns whether another instance than the expected one has the target's address. */
bool Call::isRejectedByInstance(const HttpAnswerHead& head) const
{
    constexpr int statusMisdirected = 421;
    return head.status == statusMisdirected && !this->gateway.edge.headers.expectedInstance.empty();
}

} // namespace kingcup
