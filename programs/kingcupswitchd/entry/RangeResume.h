/** @file RangeResume.h Rules for going on with an interrupted download on another target (RFC 9110, sections 13 and 14). */
#pragma once

#include "kingcup/HttpTypes.h"

#include <cstdint>
#include <optional>
#include <string>

namespace kingcup {

/** What has to be known of a download so that another target can go on with it. */
struct ResumePoint {
    std::string etag; ///< Strong entity tag.
    uint64_t length = 0; ///< Bytes of the whole representation.
};

/** Returns the resume point of an answer, if it has a strong ETag and a length and the request was a plain GET without a range. */
std::optional<ResumePoint> resumePoint(const HttpRequestHead& request, const HttpAnswerHead& answer);

/** Adds Range and If-Range. @param offset Bytes that the caller already has. */
void addRangeHeaders(HttpHeaders& headers, const ResumePoint& point, uint64_t offset);

/** Returns whether an answer is exactly the rest of the representation. */
bool continuesAt(const HttpAnswerHead& answer, const ResumePoint& point, uint64_t offset);

} // namespace kingcup
