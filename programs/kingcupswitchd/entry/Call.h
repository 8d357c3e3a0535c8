/** @file Call.h Processing of one caller's request on an entry VM. */
#pragma once

#include "CallAttempt.h"
#include "CallHeaders.h"
#include "Gateway.h"
#include "RangeResume.h"
#include "SerialExecutor.h"

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kingcup {

/**
 * One call: checks, request body, admission, claim, attempts, answer. All events of a call run one after another in its
 * serial executor. The hooks of the listener and of the upstream client own a reference to the call, so it lives until they
 * are released. Nothing is sent to the caller after the call has ended.
 */
class Call : public std::enable_shared_from_this<Call> {
public:
    Call(Gateway& gateway, std::shared_ptr<HttpExchange> exchange);
    ~Call();

    /** Posts the start of the call to its serial executor and returns. */
    void start();

private:
    using AttemptPointer = std::shared_ptr<CallAttempt>;

    // Before the first attempt (Call.cpp).
    void begin();
    ResultCode check();
    void setExchangeHooks();
    void readBody();
    void bodyReady();
    void admitted(const AdmissionDecision& decision);
    void claimKey();
    void claimAnswered(const wire::CommandResult& result);
    void replayRecorded(const wire::CommandResult& result);
    void callerGone();

    // Attempts (CallAttempts.cpp).
    bool startAttempt(bool hedge, std::optional<uint64_t> resumeOffset = std::nullopt);
    void send(const AttemptPointer& attempt);
    std::optional<Pick> pickTarget(ContainmentVerdict verdict, TimePoint now);
    std::vector<std::string> excludedTargets(ContainmentVerdict verdict) const;
    UpstreamRequest upstreamRequest(const AttemptPointer& attempt);
    int nextBodyBytes(char* buffer, size_t size);
    bool isOwnAnswer(const HttpAnswerHead& head) const;
    void scheduleHedge();
    void hedgeDue();
    void headArrived(const AttemptPointer& attempt, const HttpAnswerHead& head);
    void dataArrived(const AttemptPointer& attempt, const std::string& data);
    void attemptEnded(const AttemptPointer& attempt, const UpstreamResult& result);
    void attemptFailed(const AttemptPointer& attempt, const UpstreamResult& result);
    void noteEnd(const AttemptPointer& attempt, const UpstreamResult& result);
    void reportSuspicion(const AttemptPointer& attempt);
    void logSuspicion(const wire::CommandResult& result) const;
    void retryOrFail();
    bool retryAllowed(bool sent, AttemptOutcome outcome);
    bool retryAfterStatus(const AttemptPointer& attempt);
    bool anyActive() const;
    void cancelOthers(const AttemptPointer& keep);

    // Target search by load probes (CallPlacement.cpp).
    bool searchesTarget(const AttemptPointer& attempt) const;
    void beginSearch(const AttemptPointer& attempt);
    void askTarget(const AttemptPointer& attempt, const Pick& pick);
    void askNextTarget(const AttemptPointer& attempt);
    void targetAnswered(const AttemptPointer& attempt, const std::shared_ptr<CallSearch>& round, size_t position, const std::optional<LoadReport>& load);
    void stepSearch(const AttemptPointer& attempt, SearchStep step);
    void searchAgain(const AttemptPointer& attempt);
    void releasePicks(CallSearch& search, std::optional<size_t> chosen);
    void endSearch(const AttemptPointer& attempt, std::optional<size_t> chosen);
    void refuseForLoad(const AttemptPointer& attempt, double cost);
    TargetSearchLimits searchLimits() const;
    void instanceGone(const AttemptPointer& attempt, const Pick& pick);
    void goOnAfter(const AttemptFailure& failure);

    // The answer (CallAnswer.cpp).
    void streamFrom(const AttemptPointer& attempt);
    void deliver(const std::string& data);
    void answerWhole(const AttemptPointer& attempt);
    void streamEnded(const AttemptPointer& attempt, const UpstreamResult& result);
    bool resumeElsewhere();
    void scheduleStallCheck();
    void stallCheck(uint64_t seenBytes);
    void refuse(ResultCode code, Milliseconds retryAfter);
    void conclude(ResultCode code);
    void logAttempt(const AttemptPointer& attempt, const UpstreamResult& result) const;
    void logEnd(ResultCode code, Milliseconds total) const;
    void finishClaim(ResultCode code);
    bool promisedNotRun(const HttpAnswerHead& head) const;
    bool isRejectedByInstance(const HttpAnswerHead& head) const;

    Gateway& gateway; ///< Shared by all calls; outlives them.
    std::shared_ptr<HttpExchange> exchange; ///< Request and answer on the caller's connection.
    SerialExecutor serial; ///< Runs the events of this call one after another.
    uint64_t id; ///< Identifies the call in the admission queue and in the log.
    TimePoint arrived; ///< When the call was created, which is once the request header is complete.
    TimePoint deadline {}; ///< Deadline of the whole call, set by check().
    RequestMatch match; ///< Service and kind of the request; empty when none matches.
    uint64_t manifestNumber = 0; ///< Number of the manifest by which the request was matched.
    CallParameters parameters; ///< Parsed from the request header.
    Fingerprint fingerprint; ///< Identifies the request for crash containment and claims.
    std::shared_ptr<std::string> body; ///< Body bytes that were read before the first attempt.
    bool bodyComplete = false; ///< Whether `body` is the whole body; otherwise the rest is streamed.
    std::atomic<bool> bodyConsumed { false }; ///< Whether bytes of a streamed body were passed to an attempt, so that no other attempt can send the body.
    size_t bodySent = 0; ///< Bytes of `body` passed to the streaming attempt. Accessed only on that attempt's event loop.
    bool bodyStarted = false; ///< Whether reading before admission is done; later readable events resume sending by the attempts.
    bool admissionPending = false; ///< Whether the admission decision is outstanding.
    bool isAdmitted = false; ///< Whether the call counts against the concurrency limit until it ends.
    bool claimed = false; ///< Whether the claim of the idempotency key was granted to this call.
    ClaimTicket ticket; ///< Ticket of the claim, set by claimKey().
    std::vector<AttemptPointer> attempts; ///< All attempts in the order in which they started.
    AttemptPointer fallback; ///< Attempt whose answer reports an error or overload; its answer is used when no other attempt gives a better one.
    AttemptPointer winner; ///< Attempt whose answer is sent to the caller.
    TimePoint winnerStarted {}; ///< Start of the first streamed attempt, to separate the target's time from the time added by this VM.
    Milliseconds targetTime { 0 }; ///< Time that the target took to answer; 0 when there is no complete answer.
    bool anySent = false; ///< Whether some attempt may have reached its target and may have run there.
    bool overloaded = false; ///< Whether a target reported an error or overload, an attempt timed out or all targets were full; reported to the concurrency limit.
    AttemptFailure lastFailure; ///< Failure of the last attempt that failed.
    int pendingSuspicions = 0; ///< Suspicion reports for whose result a retry waits.
    bool quarantined = false; ///< Whether the leader has recorded that two targets were lost while they ran this request.
    TimerId hedgeTimer = 0; ///< Timer that starts the hedged attempt; 0 when none is pending.
    TimerId stallTimer = 0; ///< Timer of the next stall check; 0 when none is pending.
    std::optional<ResumePoint> resume; ///< Resume point of a streamed answer; empty when the download cannot be resumed.
    uint64_t delivered = 0; ///< Body bytes written to the caller; while a claimed request runs on, also those after the caller disconnected.
    int resumes = 0; ///< Number of times that the download was resumed on another target.
    std::atomic<bool> answerBlocked { false }; ///< Whether the caller's write buffer is full, which pauses the upstream transfer.
    bool callerPresent = true; ///< Whether the caller is still connected.
    bool over = false; ///< Whether the call has ended; later events are ignored.
};

} // namespace kingcup
