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

/** Search for the target of an attempt. */
struct CallSearch {
    explicit CallSearch(const TargetSearchLimits& limits, uint32_t unaskedBefore = 0)
        : search(limits, unaskedBefore)
    {
    }

    TargetSearch search; ///< Decides.
    std::vector<Pick> picks; ///< Targets asked, in the order of the search.
    std::vector<UpstreamClient::AttemptHandle> probes; ///< Of the targets asked.
    TimerId timer = 0; ///< Next step by time.
};

/** One attempt of a call on one target. */
struct CallAttempt {
    Pick pick; ///< The target.
    std::shared_ptr<CallSearch> search; ///< Set while the target is being searched for.
    double searchCost = 0; ///< Expected time in usual times, by the search; 0: there was none.
    size_t probes = 0; ///< Targets that the search asked.
    size_t searchRounds = 1; ///< Rounds of the search.
    UpstreamClient::AttemptHandle handle = 0; ///< Names it in the upstream client.
    TimePoint started {}; ///< When it was sent.
    HttpAnswerHead head; ///< Of the answer.
    bool headSeen = false; ///< Whether `head` is set.
    bool ended = false; ///< The router was told of its end.
    bool complete = false; ///< Ended with a whole answer.
    bool discarded = false; ///< Its answer is of no more interest.
    bool hedge = false; ///< Started beside another attempt.
    bool stalled = false; ///< Cancelled because no bytes came.
    bool misdirected = false; ///< Another instance has the address; it ran nothing and its answer says nothing about the target.
    std::optional<uint64_t> resumeOffset; ///< Bytes that the caller already has, when this attempt goes on with a download.
    bool rejected = false; ///< Its answer does not continue the download, so its bytes must not reach the caller.
    std::string held; ///< Bytes of an answer that is not yet being sent.
};

/** How an attempt failed, for the decision whether another one follows and what the caller is told otherwise. */
struct AttemptFailure {
    ResultCode code = ResultCode::NoTarget; ///< For the caller. That an attempt was sent outlasts later ones that were not.
    AttemptOutcome outcome = AttemptOutcome::ConnectFailed; ///< For the retry policy.
    bool sent = false; ///< Whether the target may have run it.
    Milliseconds retryAfter { 1000 }; ///< When the caller should come back; by default once a lost target is out of use.
};

/** Returns how the router sees an end. */
AttemptOutcome routerOutcome(const UpstreamResult& result, const CallAttempt& attempt);

/** Returns the result code of a failed attempt. */
ResultCode failureCode(const UpstreamResult& result);

/** Returns whether a status says that the target failed or is overloaded, so that another target may do better. */
bool isServerFailure(int status);

} // namespace kingcup
