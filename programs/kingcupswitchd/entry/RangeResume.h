/** @file RangeResume.h Rules for resuming an interrupted download on another target (RFC 9110, sections 13 and 14). */
#pragma once

#include "kingcup/HttpTypes.h"

#include <cstdint>
#include <optional>
#include <string>

namespace kingcup {

/** Validator and length of a download, needed to resume it on another target. */
struct ResumePoint {
    std::string etag; ///< Strong entity tag, with its quotes.
    uint64_t length = 0; ///< Length of the whole representation in bytes.
};

/** Returns the resume point of an answer; empty unless it has status 200, a strong ETag and a length, and the request is a GET without a range. */
std::optional<ResumePoint> findResumePoint(const HttpRequestHead& request, const HttpAnswerHead& answer);

/** Adds the fields Range and If-Range. @param offset Number of bytes that the caller already has. */
void addRangeHeaders(HttpHeaders& headers, const ResumePoint& point, uint64_t offset);

/** Returns whether an answer is exactly the rest of the same representation from an offset on. */
bool isContinuation(const HttpAnswerHead& answer, const ResumePoint& point, uint64_t offset);

} // namespace kingcup
