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

/** Returns the retry delay for a call that is refused before it is sent to a target. */
Milliseconds retryAfterOf(ResultCode code);

constexpr Milliseconds isolatedRetryAfter { 250 }; ///< Short, since other VMs may have the configuration, and this VM receives it as soon as there is a leader.

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
    void processRequest();
    void matchRequest();
    bool waitForConfiguration();
    ResultCode checkRequest();
    void setExchangeHooks();
    void readBody();
    void requestAdmission();
    void handleAdmission(const AdmissionDecision& decision);
    void claimKey();
    void handleClaimResult(const wire::CommandResult& result);
    void sendRecordedAnswer(const wire::CommandResult& result);
    void handleCallerDisconnect();
    void cutOff();

    // API keys (CallKeys.cpp).
    ResultCode checkKey();
    std::function<bool()> createSendCheck() const;
    Fingerprint claimFingerprint() const;
    // Usage cap of the organisation (CallUsage.cpp).
    bool takeUsagePermit();
    void returnUsagePermit();
    bool hasReachedTarget() const;

    // Attempts (CallAttempts.cpp).
    bool startAttempt(bool isHedge, std::optional<uint64_t> resumeOffset = std::nullopt);
    void sendAttempt(const AttemptPointer& attempt);
    bool replacePick(const AttemptPointer& attempt);
    ResultCode checkSend();
    void abandonUnsent(const AttemptPointer& attempt, ResultCode code);
    void endUnsentCall(const AttemptPointer& attempt, ResultCode code);
    void endUnsentAttempt(const AttemptPointer& attempt);
    void endWithoutTarget(const AttemptPointer& attempt);
    std::optional<Pick> pickTarget(ContainmentVerdict verdict, TimePoint now);
    std::vector<std::string> excludedTargets(ContainmentVerdict verdict) const;
    UpstreamRequest createUpstreamRequest(const AttemptPointer& attempt);
    int copyNextBodyBytes(char* buffer, size_t size);
    bool hasMatchingRequestId(const HttpAnswerHead& head) const;
    void scheduleHedge();
    void startHedge();
    void handleHead(const AttemptPointer& attempt, const HttpAnswerHead& head);
    void handleData(const AttemptPointer& attempt, const std::string& data);
    void handleAttemptEnd(const AttemptPointer& attempt, const UpstreamResult& result);
    void handleAttemptFailure(const AttemptPointer& attempt, const UpstreamResult& result);
    uint64_t transferredBytes(const AttemptPointer& attempt) const;
    void recordAttemptEnd(const AttemptPointer& attempt, const UpstreamResult& result);
    void reportSuspicion(const AttemptPointer& attempt);
    void logSuspicion(const wire::CommandResult& result) const;
    void retryOrFail();
    void recordFailure(const AttemptFailure& failure);
    void answerFailure();
    bool takeRetry(bool mayHaveBeenSent, AttemptOutcome outcome);
    bool retryAfterErrorStatus(const AttemptPointer& attempt);
    bool hasActiveAttempt() const;
    bool mayRunAtTarget() const;
    void cancelOtherAttempts(const AttemptPointer& keptAttempt);

    // Target search by load probes (CallPlacement.cpp).
    bool usesTargetSearch(const AttemptPointer& attempt) const;
    void startSearch(const AttemptPointer& attempt);
    void probeTarget(const AttemptPointer& attempt, const Pick& pick);
    void probeNextTarget(const AttemptPointer& attempt);
    void handleProbeHead(const AttemptPointer& attempt, const std::shared_ptr<TargetSearchRound>& round, size_t position, const HttpAnswerHead& head);
    void handleProbeResult(const AttemptPointer& attempt, const std::shared_ptr<TargetSearchRound>& round, size_t position, const std::optional<LoadReport>& load);
    void performSearchStep(const AttemptPointer& attempt, SearchStep step);
    SearchStep skipColdTarget(const AttemptPointer& attempt, size_t position);
    void sendToBestTarget(const AttemptPointer& attempt);
    void startSearchRound(const AttemptPointer& attempt);
    void releasePicks(TargetSearchRound& searchRound, std::optional<size_t> chosen);
    void endSearch(const AttemptPointer& attempt, std::optional<size_t> chosen);
    void refuseForLoad(const AttemptPointer& attempt, double cost);
    TargetSearchLimits searchLimits() const;
    void recordTargetNotice(const Pick& pick, const TargetNotice& notice, TimePoint now);
    void refuseWithoutTarget();
    void removeReplacedTarget(const AttemptPointer& attempt, const Pick& pick);
    void continueAfterFailure(const AttemptFailure& failure);

    // The answer (CallAnswer.cpp).
    void streamAnswer(const AttemptPointer& attempt);
    void writeAnswerBytes(const std::string& data);
    void sendBufferedAnswer(const AttemptPointer& attempt);
    void handleStreamEnd(const AttemptPointer& attempt, const UpstreamResult& result);
    bool takeResume(AttemptOutcome outcome);
    bool resumeDownload();
    void scheduleStallCheck();
    void checkStall(uint64_t previousBytes);
    void refuse(ResultCode code, Milliseconds retryAfter);
    void endCall(ResultCode code);
    void logAttemptEnd(const AttemptPointer& attempt, const UpstreamResult& result) const;
    void logCallEnd(ResultCode code, Milliseconds total) const;
    void finishClaim(ResultCode code);
    bool isReportedNotRun(const HttpAnswerHead& head) const;
    bool isMisdirectedAnswer(const HttpAnswerHead& head) const;

    Gateway& gateway; ///< Shared by all calls; outlives them.
    std::shared_ptr<HttpExchange> exchange; ///< Request and answer on the caller's connection.
    SerialExecutor executor; ///< Runs the events of this call one after another.
    uint64_t id; ///< Identifies the call in the admission queue and in the log.
    TimePoint arrivalTime; ///< When the call was created, which is once the request header is complete.
    std::optional<TimePoint> searchStartTime; ///< Start of the first target search; empty: none yet.
    TimePoint deadline {}; ///< Deadline of the whole call, set by checkRequest().
    RequestMatch match; ///< Service and kind of the request; empty when none matches.
    uint64_t manifestNumber = 0; ///< Number of the manifest by which the request was matched.
    std::shared_ptr<const KeyTable> keys; ///< API keys of the last check; null before it.
    std::optional<ApiKeyHash> apiKey; ///< Hash of the caller's key, read by checkKey(); empty: none.
    CallParameters parameters; ///< Parsed from the request header.
    Fingerprint fingerprint; ///< Identifies the request for crash containment and claims.
    std::shared_ptr<std::string> body; ///< Body bytes that were read before the first attempt.
    bool isBodyComplete = false; ///< Whether `body` is the whole body; otherwise the rest is streamed.
    std::atomic<bool> isBodyConsumed { false }; ///< Whether bytes of a streamed body were passed to an attempt, so that no other attempt can send the body.
    size_t sentBodyBytes = 0; ///< Bytes of `body` passed to the streaming attempt. Accessed only on that attempt's event loop.
    bool isBodyReady = false; ///< Whether reading before admission is done; later readable events resume sending by the attempts.
    bool isAdmissionPending = false; ///< Whether the admission decision is outstanding.
    bool isAdmitted = false; ///< Whether the call counts against the concurrency limit until it ends.
    std::shared_ptr<const Organisation> usagePermitHolder; ///< Organisation against whose usage cap the call counts; null: none. A later check of the key may change the organisation of the match.
    bool hasClaim = false; ///< Whether the claim of the idempotency key was granted to this call.
    ClaimTicket claimTicket; ///< Ticket of the claim, set by claimKey().
    std::vector<AttemptPointer> attempts; ///< All attempts in the order in which they started.
    AttemptPointer fallback; ///< Attempt whose answer reports an error or overload; its answer is used when no other attempt gives a better one.
    AttemptPointer selectedAttempt; ///< Attempt whose answer is sent to the caller.
    TimePoint selectedAttemptStart {}; ///< Start of the first streamed attempt, to separate the target's time from the time added by this VM.
    Milliseconds targetTime { 0 }; ///< Time that the target took to answer; 0 when there is no complete answer.
    bool mayHaveRun = false; ///< Whether some attempt may have reached its target and may have run there.
    bool isOverloaded = false; ///< Whether a target reported an error or overload, an attempt timed out or all targets were full; reported to the concurrency limit.
    AttemptFailure lastFailure; ///< Failure of the last attempt that failed.
    int pendingSuspicionReports = 0; ///< Suspicion reports for whose result a retry waits.
    bool isQuarantined = false; ///< Whether the leader has recorded that two targets were lost while they ran this request.
    TimerId hedgeTimer = 0; ///< Timer that starts the hedged attempt; 0 when none is pending.
    TimerId stallTimer = 0; ///< Timer of the next stall check; 0 when none is pending.
    std::optional<ResumePoint> downloadResumePoint; ///< Resume point of a streamed answer; empty when the download cannot be resumed.
    uint64_t deliveredBytes = 0; ///< Body bytes written to the caller; while a claimed request runs on, also those after the caller disconnected.
    bool hasTakenResume = false; ///< Whether the next attempt that resumes the download was taken from the retry budget.
    std::atomic<bool> isAnswerBlocked { false }; ///< Whether the caller's write buffer is full, which pauses the upstream transfer.
    bool isCallerPresent = true; ///< Whether the caller is still connected.
    bool hasEnded = false; ///< Whether the call has ended; later events are ignored.
};

} // namespace kingcup
