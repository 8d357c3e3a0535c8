/** @file Call.h The life of one caller's request on an entry VM. */
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
 * One call: check, read the body, admission, claim, attempts, answer. All events are serialised; the listener's and
 * the upstream client's hooks keep the call alive. Nothing is sent to the caller after the call is over.
 */
class Call : public std::enable_shared_from_this<Call> {
public:
    Call(Gateway& gateway, std::shared_ptr<HttpExchange> exchange);
    ~Call();

    /** Starts the call. */
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

    // Search for a target (CallPlacement.cpp).
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

    Gateway& gateway; ///< Shared by all calls.
    std::shared_ptr<HttpExchange> exchange; ///< The caller.
    SerialExecutor serial; ///< Orders the events of this call.
    uint64_t id; ///< In the admission queue.
    TimePoint arrived; ///< When the header was complete.
    TimePoint deadline {}; ///< Of the whole call.
    RequestMatch match; ///< Service and kind.
    uint64_t manifestNumber = 0; ///< Manifest by which it was matched.
    CallParameters parameters; ///< From the header.
    Fingerprint fingerprint; ///< Names the request.
    std::shared_ptr<std::string> body; ///< Bytes read so far.
    bool bodyComplete = false; ///< Whether `body` is the whole body.
    std::atomic<bool> bodyConsumed { false }; ///< Bytes of a streamed body were handed on, so no other attempt can send it.
    size_t bodySent = 0; ///< Bytes of `body` handed to the streaming attempt. Used on its event loop only.
    bool bodyStarted = false; ///< The body was handed to the attempts; later readable events resume sending.
    bool admissionPending = false; ///< Waits in the queue.
    bool isAdmitted = false; ///< Holds a place.
    bool claimed = false; ///< Holds a claim.
    ClaimTicket ticket; ///< Of the claim.
    std::vector<AttemptPointer> attempts; ///< In order of start.
    AttemptPointer fallback; ///< Its answer says that the target is overloaded; used when no other attempt gives a better one.
    AttemptPointer winner; ///< Its answer goes to the caller.
    TimePoint winnerStarted {}; ///< For the added time.
    Milliseconds targetTime { 0 }; ///< Time that the winner took.
    bool anySent = false; ///< Some attempt may have reached its target.
    bool overloaded = false; ///< A target shed the call or it timed out.
    AttemptFailure lastFailure; ///< Of the last attempt that failed.
    int pendingSuspicions = 0; ///< Reports to the leader under way.
    bool quarantined = false; ///< The leader said that this request crashed two targets.
    TimerId hedgeTimer = 0; ///< Pending hedge.
    TimerId stallTimer = 0; ///< Pending check.
    std::optional<ResumePoint> resume; ///< Of a streamed answer.
    uint64_t delivered = 0; ///< Body bytes given to the caller.
    int resumes = 0; ///< Times that a download went on elsewhere.
    std::atomic<bool> answerBlocked { false }; ///< The caller's buffer is full.
    bool callerPresent = true; ///< The caller still listens.
    bool over = false; ///< Concluded.
};

} // namespace kingcup
