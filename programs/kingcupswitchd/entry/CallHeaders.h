/** @file CallHeaders.h Header fields that an entry VM forwards, adds and removes. */
#pragma once

#include "Edge.h"

#include "kingcup/ApiKey.h"
#include "kingcup/HttpTypes.h"
#include "kingcup/MillisecondClock.h"
#include "kingcup/ResultCode.h"

#include <optional>
#include <string>

namespace kingcup {

/** Call parameters from the caller's header fields. */
struct CallParameters {
    ResultCode code = ResultCode::Ok; ///< BadRequest or DepthExceeded when a field is malformed or too large.
    std::optional<Milliseconds> deadline; ///< Remaining time stated by the caller; empty when not stated.
    uint32_t depth = 0; ///< Number of calls through entry VMs that led to this one.
    std::string idempotencyKey; ///< Empty when the caller sent none.
    std::string requestId; ///< Empty when the caller sent none.
};

constexpr int firstRedirectStatus = 300; ///< Lowest status that is not a success.

/** Parses the deadline, depth, idempotency key and request id of a request. Errors are returned in `code`. */
CallParameters parseCallParameters(const HttpHeaders& headers, const HeaderNames& names);

/** Identity of the caller that a target receives with a request. */
struct CallerIdentity {
    bool hidesAuthorization = false; ///< Whether the Authorization field holds an API key, which targets do not get.
    std::string organisation; ///< Organisation that holds the key; empty: none.
};

/** Returns the Content-Type of an answer that is recorded with a claim; empty if it is no valid text, which the log cannot hold. */
std::string recordedContentType(const HttpHeaders& headers);

/** Returns the hash of the API key in `Authorization: Bearer KEY`; empty if there is none, or more than one such field. */
std::optional<ApiKeyHash> parseApiKey(const HttpHeaders& headers);

/** Returns the header fields for the target: the caller's end-to-end fields, the remaining deadline, the depth plus one, the expected instance and the organisation. */
HttpHeaders targetHeaders(const HttpRequestHead& head, const HeaderNames& names, Milliseconds remaining, uint32_t depth, const std::string& instance, const CallerIdentity& caller = {});

/** Returns the header fields of a load probe. They name the expected instance, because a later instance on the same address must not answer in its place. */
HttpHeaders probeHeaders(const HeaderNames& names, const std::string& address, const std::string& instance);

/**
 * Returns whether an answer to a load probe can belong to it. A probe has no request id, so an answer that repeats one is a late copy of an answer to an
 * earlier request on the connection; if it counted as that of the probe, the next request would get the probe's own answer.
 */
bool isProbeAnswer(const HttpAnswerHead& head, const HeaderNames& names);

/**
 * Returns whether the connection may be used again after an answer. A target may send a late copy of an answer, which arrives where the next one is due. If it does not
 * name its request, it would be taken for the answer to that of the next one, and a rejection would say of a request that runs that it does not.
 * @param isNotRun Whether the answer states that its request was not run; for a probe, whether it is no success. Without request ids only such answers end the connection.
 */
bool mayKeepConnection(const HttpAnswerHead& answer, const HeaderNames& names, bool isNotRun);

/** Returns the answer head for the caller: the target's status and end-to-end fields, the result and the run state. */
HttpAnswerHead callerHead(const HttpAnswerHead& targetHead, const HeaderNames& names, ResultCode result, RunState run);

/** Returns the head and JSON body of an answer that this VM generates. @param retryAfter Delay after which the caller may retry; used only by result codes with a Retry-After field. */
std::pair<HttpAnswerHead, std::string> createRefusalAnswer(ResultCode code, Milliseconds retryAfter, const Edge& edge);

} // namespace kingcup
