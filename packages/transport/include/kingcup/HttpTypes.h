/** @file HttpTypes.h Small types shared by the HTTP listener and the upstream client. */
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kingcup {

/** Compares two header names or tokens without regard to ASCII case. */
bool equalsIgnoreCase(std::string_view one, std::string_view other);

/** One header field. */
struct HttpHeader {
    std::string name; ///< As received; compared without case.
    std::string value; ///< Without surrounding blanks.
};

/** Ordered header fields. */
struct HttpHeaders {
    std::vector<HttpHeader> fields; ///< In order of arrival.

    /** Returns the first value of a field, compared without case. */
    std::optional<std::string_view> find(std::string_view name) const;

    /** Appends a field. */
    void add(std::string_view name, std::string_view value) { this->fields.push_back({ std::string(name), std::string(value) }); }
};

/** Start line and header fields of a request. */
struct HttpRequestHead {
    std::string method; ///< GET, POST and so on.
    std::string target; ///< Path with query, undecoded.
    std::string path; ///< Path without query, undecoded.
    std::string peer; ///< Address of the caller, for logs.
    HttpHeaders headers; ///< Fields.
    std::optional<uint64_t> contentLength; ///< Bytes of the body, if stated.
};

/** Status and header fields of an answer. */
struct HttpAnswerHead {
    int status = 0; ///< 100 to 599.
    HttpHeaders headers; ///< End-to-end fields only.
    std::optional<uint64_t> contentLength; ///< Bytes of the body, if stated.
};

/** Returns whether a header field is hop-by-hop and must not be forwarded. @param connectionValue Value of the Connection field, which names more. */
bool isHopByHop(std::string_view name, std::string_view connectionValue);

/** Returns the media type used for JSON answers. */
constexpr std::string_view jsonContentType = "application/json";

} // namespace kingcup
