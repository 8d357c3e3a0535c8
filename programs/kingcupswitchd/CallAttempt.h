/** @file CallAttempt.h One attempt of a call on one target. */
#pragma once

#include "kingcup/HttpTypes.h"
#include "kingcup/ResultCode.h"
#include "kingcup/Router.h"
#include "kingcup/UpstreamClient.h"

#include <optional>
#include <string>

namespace kingcup {

/** One attempt of a call on one target. */
struct CallAttempt {
    Pick pick; ///< The target.
    UpstreamClient::AttemptHandle handle = 0; ///< Names it in the upstream client.
    TimePoint started {}; ///< When it was sent.
    HttpAnswerHead head; ///< Of the answer.
    bool headSeen = false; ///< Whether `head` is set.
    bool ended = false; ///< The router was told of its end.
    bool complete = false; ///< Ended with a whole answer.
    bool discarded = false; ///< Its answer is of no more interest.
    bool hedge = false; ///< Started beside another attempt.
    bool stalled = false; ///< Cancelled because no bytes came.
    std::optional<uint64_t> resumeOffset; ///< Bytes that the caller already has, when this attempt goes on with a download.
    bool rejected = false; ///< Its answer does not continue the download, so its bytes must not reach the caller.
    std::string held; ///< Bytes of an answer that is not yet being sent.
};

/** Returns how the router sees an end. */
AttemptOutcome routerOutcome(const UpstreamResult& result, const CallAttempt& attempt);

/** Returns the result code of a failed attempt. */
ResultCode failureCode(const UpstreamResult& result);

/** Returns whether a status says that the target is overloaded or not ready, so that another target may do better. */
bool isOverloadStatus(int status);

} // namespace kingcup
