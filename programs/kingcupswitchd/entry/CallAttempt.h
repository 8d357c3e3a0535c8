/** @file CallAttempt.h One attempt of a call on one target. */
#pragma once

#include "TimerQueue.h"

#include "kingcup/HttpTypes.h"
#include "kingcup/ResultCode.h"
#include "kingcup/Router.h"
#include "kingcup/TargetSearch.h"
#include "kingcup/UpstreamClient.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kingcup {

/** One round of the search for an attempt's target, with its probes. */
struct TargetSearchRound {
    explicit TargetSearchRound(const TargetSearchLimits& limits, uint32_t unprobedRounds = 0)
        : search(limits, unprobedRounds)
    {
    }

    TargetSearch search; ///< Decides on the next step of the round.
    std::vector<Pick> picks; ///< Candidates in the order in which they were picked; the position in the search is the index.
    std::vector<UpstreamClient::AttemptHandle> probeHandles; ///< Handle of the probe of each candidate; 0 when it was not probed.
    TimerId timer = 0; ///< Timer of the next step; 0 when none is pending.
};

/** One attempt of a call on one target. */
struct CallAttempt {
    Pick pick; ///< The target; while a search is active, the first candidate.
    std::shared_ptr<TargetSearchRound> searchRound; ///< Current search round; null when no search is active.
    double searchCost = 0; ///< Expected time as a multiple of the usual time, as computed by the search; 0 without a search.
    size_t probeCount = 0; ///< Number of probes sent, in all rounds.
    bool hasSkippedColdTarget = false; ///< Whether the search excluded a cold target, for which no permit was due.
    size_t searchRoundCount = 1; ///< Number of search rounds; 1 also without a search.
    UpstreamClient::AttemptHandle handle = 0; ///< Handle in the upstream client; 0 before the request is sent.
    TimePoint startTime {}; ///< When the request was sent to the upstream client.
    std::optional<RelayHop> relay; ///< VM through which the target is reached; empty: directly.
    HttpAnswerHead head; ///< Head of the answer, valid once it has arrived.
    bool hasHead = false; ///< Whether `head` is set.
    bool hasEnded = false; ///< Whether the attempt has ended and its end is recorded in the router.
    bool mayHaveArrived = true; ///< Whether the request may have arrived at the target; false once it is known that it was not sent.
    bool isComplete = false; ///< Whether the attempt ended with a complete answer.
    bool isDiscarded = false; ///< Whether the answer is not sent to the caller, unless the attempt becomes the fallback.
    bool isHedge = false; ///< Whether the attempt was started in parallel to a slow one.
    bool isStalled = false; ///< Whether the attempt was cancelled because its download stalled.
    bool isPathFailure = false; ///< Whether the request was not sent because of the path to the target, which says nothing about the target.
    bool isMisdirected = false; ///< Whether another instance has the address; it did not run the request, and its answer is no sign of the target's health.
    std::optional<uint64_t> resumeOffset; ///< Bytes that the caller already has when this attempt resumes a download; otherwise empty.
    bool isResumeRejected = false; ///< Whether the answer does not continue the download, so that its bytes must not be sent to the caller.
    std::string bufferedBody; ///< Buffered body bytes of an answer that is not yet streamed to the caller.
};

/** Failure of an attempt: decides whether a retry follows, and which result the caller gets otherwise. */
struct AttemptFailure {
    ResultCode code = ResultCode::NoTarget; ///< Result for the caller. After an attempt that may have run, a later one that was not sent does not replace it.
    AttemptOutcome outcome = AttemptOutcome::ConnectFailed; ///< Input of the retry policy.
    bool mayHaveBeenSent = false; ///< Whether the target may have run the request.
    Milliseconds retryAfter { 1000 }; ///< Delay after which the caller may retry; by default long enough for a lost target to be out of use.
};

/** Returns the outcome that is recorded in the router for an ended attempt. */
AttemptOutcome routerOutcome(const UpstreamResult& result, const CallAttempt& attempt);

/** Returns the result code for the caller when an attempt failed; it depends on whether the request may have been sent. */
ResultCode failureCode(const UpstreamResult& result);

/** Returns whether a status (429, 500 and above) reports that the target failed or is overloaded, so that another target may succeed. */
bool isServerFailure(int status);

} // namespace kingcup
