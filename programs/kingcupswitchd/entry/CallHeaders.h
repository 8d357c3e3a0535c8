/** @file CallHeaders.h Header fields that an entry VM forwards, adds and removes. */
#pragma once

#include "Edge.h"

#include "kingcup/HttpTypes.h"
#include "kingcup/MillisecondClock.h"
#include "kingcup/ResultCode.h"

#include <optional>
#include <string>

namespace kingcup {

/** What the caller's header fields say about the call. */
struct CallParameters {
    ResultCode code = ResultCode::Ok; ///< BadRequest or DepthExceeded when a field is malformed or too large.
    std::optional<Milliseconds> deadline; ///< Remaining time that the caller states.
    uint32_t depth = 0; ///< Call depth.
    std::string idempotencyKey; ///< Empty: none.
    std::string requestId; ///< Empty: none.
};

/** Reads the deadline, depth and idempotency key of a request. */
CallParameters parseCallParameters(const HttpHeaders& headers, const HeaderNames& names);

/** Returns the fields for the target: end-to-end fields of the caller, remaining deadline, the next depth and the expected instance. */
HttpHeaders targetHeaders(const HttpRequestHead& head, const HeaderNames& names, Milliseconds remaining, uint32_t depth, const std::string& instance);

/** Returns the fields of a question for a target's load. It names the instance, since the next user of the address must not answer for it. */
HttpHeaders probeHeaders(const HeaderNames& names, const std::string& address, const std::string& instance);

/** Returns the answer's head for the caller: end-to-end fields of the target and the result. */
HttpAnswerHead callerHead(const HttpAnswerHead& targetHead, const HeaderNames& names, ResultCode result, RunState run);

/** Returns the head and JSON body of an answer that this VM gives itself. @param retryAfter When the caller should come back; used by codes that ask for it. */
std::pair<HttpAnswerHead, std::string> ownAnswer(ResultCode code, Milliseconds retryAfter, const Edge& edge);

} // namespace kingcup
