/** @file HttpFraming.h Strict validation of HTTP/1.1 message framing. */
#pragma once

#include "kingcup/HttpTypes.h"
#include "kingcup/ResultCode.h"

#include <optional>
#include <string_view>
#include <vector>

namespace kingcup {

/** Parts of a request header as parsed by libmicrohttpd: views into its receive buffer. */
struct RawHead {
    std::string_view method; ///< Request method, at the start of the header.
    std::string_view target; ///< Request target, still percent-encoded.
    const char* targetStart = nullptr; ///< Start of the target in the receive buffer.
    std::string_view version; ///< HTTP/1.0 or HTTP/1.1.
    std::vector<std::pair<std::string_view, std::string_view>> fields; ///< Names and values.
    size_t size = 0; ///< Size of the header in bytes, including the empty line.
};

/** How the body of a message is delimited. */
struct BodyFraming {
    bool chunked = false; ///< Transfer-Encoding: chunked.
    std::optional<uint64_t> contentLength; ///< Content-Length.
};

/** Returns whether the text is a token (RFC 9110, 5.6.2). */
bool isToken(std::string_view text);

/** Returns whether a field value contains no control character other than tab. */
bool isFieldValue(std::string_view value);

/** Returns whether the text is a path with an optional query, without spaces, control characters or a fragment. */
bool isOriginForm(std::string_view target);

/** Returns whether answers with this status have no body, regardless of Content-Length. */
constexpr bool isBodylessStatus(int status)
{
    return status == 204 || status == 304;
}

/** Returns the framing given by the header fields; empty if it is ambiguous or malformed. */
std::optional<BodyFraming> bodyFraming(const HttpHeaders& headers);

/**
 * Returns whether the header in the buffer has strict syntax: single spaces, CRLF line ends, no folded lines and no NUL.
 * libmicrohttpd 0.9.75 accepts deviations and reports only its normalized result, so positions in the buffer are compared.
 */
bool hasStrictLayout(const RawHead& raw);

/** Checks a request header and fills in `head`. @param maxBodyBytes Largest Content-Length. @return Ok or the result code of the refusal. */
ResultCode checkRequestHead(const RawHead& raw, uint64_t maxBodyBytes, HttpRequestHead& head, BodyFraming& framing);

} // namespace kingcup
