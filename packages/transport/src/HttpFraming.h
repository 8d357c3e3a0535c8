/** @file HttpFraming.h Strict checks of the framing of requests and answers. */
#pragma once

#include "kingcup/HttpTypes.h"
#include "kingcup/ResultCode.h"

#include <optional>
#include <string_view>
#include <vector>

namespace kingcup {

/** Where libmicrohttpd found the parts of a request header, as views into its receive buffer. */
struct RawHead {
    std::string_view method; ///< Start of the header.
    std::string_view target; ///< Undecoded.
    const char* targetStart = nullptr; ///< Place of the target in the buffer.
    std::string_view version; ///< HTTP/1.0 or HTTP/1.1.
    std::vector<std::pair<std::string_view, std::string_view>> fields; ///< Names and values.
    size_t size = 0; ///< Bytes of the header with its empty line.
};

/** How the body of a message is delimited. */
struct BodyFraming {
    bool chunked = false; ///< Transfer-Encoding: chunked.
    std::optional<uint64_t> contentLength; ///< Content-Length.
};

/** Returns whether the text is a token (RFC 9110, 5.6.2). */
bool isToken(std::string_view text);

/** Returns whether a field value holds no control character but the tab. */
bool isFieldValue(std::string_view value);

/** Returns whether the text is a path with optional query, without blanks, control characters or a fragment. */
bool isOriginForm(std::string_view target);

/** Returns whether answers with this status never have a body, whatever their Content-Length. */
constexpr bool isBodylessStatus(int status)
{
    return status == 204 || status == 304;
}

/** Returns the framing that the fields state, or nothing if it is ambiguous or malformed. */
std::optional<BodyFraming> bodyFraming(const HttpHeaders& headers);

/**
 * Returns whether the parts lie in the buffer exactly as a strict sender writes them: single blanks, CRLF line ends, no
 * folded lines, no NUL. libmicrohttpd 0.9.75 tolerates all of these and reports only its own reading of them.
 */
bool hasStrictLayout(const RawHead& raw);

/** Checks a request header and fills in `head`. @param maxBodyBytes Largest Content-Length. @return Ok or the reason for a refusal. */
ResultCode checkRequestHead(const RawHead& raw, uint64_t maxBodyBytes, HttpRequestHead& head, BodyFraming& framing);

} // namespace kingcup
