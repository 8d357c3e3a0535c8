/** @file HttpTypes.h Types shared by the HTTP listener and the upstream client. */
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kingcup {

/** Compares two field names or tokens; ASCII letters are case-insensitive. */
bool equalsIgnoreCase(std::string_view one, std::string_view other);

/** One header field. */
struct HttpHeader {
    std::string name; ///< As received; compared case-insensitively.
    std::string value; ///< Without surrounding spaces and tabs.
};

/** Header fields in order. */
struct HttpHeaders {
    std::vector<HttpHeader> fields; ///< In order of arrival.

    /** Returns the value of the first field with this name, compared case-insensitively. */
    std::optional<std::string_view> find(std::string_view name) const;

    void add(std::string_view name, std::string_view value) { this->fields.push_back({ std::string(name), std::string(value) }); }
};

/** Start line and header fields of a request. */
struct HttpRequestHead {
    std::string method; ///< Request method, for example GET.
    std::string target; ///< Path and query, still percent-encoded.
    std::string path; ///< Path without query, still percent-encoded.
    std::string peer; ///< IP address of the caller, without port.
    HttpHeaders headers; ///< Header fields.
    std::optional<uint64_t> contentLength; ///< Content-Length in bytes; empty if the message has none.
};

/** Status and header fields of an answer. */
struct HttpAnswerHead {
    int status = 0; ///< 100 to 599.
    HttpHeaders headers; ///< End-to-end fields only.
    std::optional<uint64_t> contentLength; ///< Content-Length in bytes; empty if the message has none.
};

/** Returns whether a header field is hop-by-hop and must not be forwarded. @param connectionValue Value of the Connection field, which lists further hop-by-hop fields. */
bool isHopByHop(std::string_view name, std::string_view connectionValue);

/** Media type of JSON answers. */
constexpr std::string_view jsonContentType = "application/json";

} // namespace kingcup
