/** @file HttpStream.h A small HTTP/1.1 reader and writer over a blocking socket, independent of the product's HTTP code. */
#pragma once

#include "testing/Socket.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kingcup::testing {

/** One header field. */
struct HttpField {
    std::string name; ///< As received.
    std::string value; ///< Without surrounding blanks.
};

/** A request or an answer. */
struct HttpMessage {
    std::string startLine; ///< Request line or status line, without the line end.
    std::vector<HttpField> fields; ///< In order of arrival.
    std::string body; ///< Decoded body.

    /** Returns the value of a field, compared without case; empty when it is absent. */
    std::string find(std::string_view name) const;

    /** Appends a field. */
    void add(std::string_view name, std::string_view value) { this->fields.push_back({ std::string(name), std::string(value) }); }

    /** Returns a word of the start line; 0 is the first. */
    std::string word(size_t position) const;

    /** Returns the status of an answer, or 0. */
    int status() const;

    /** Returns the text to send, with a Content-Length that fits the body. */
    std::string encode() const;
};

/** How reading a message ended. */
enum class HttpReadResult {
    Complete, ///< The whole message arrived.
    Closed, ///< The stream ended before its first byte.
    Broken, ///< The stream ended within the message, or the message is malformed.
    TimedOut, ///< Nothing arrived within the limit of the socket.
};

/** Reads and writes messages on one connection. */
class HttpStream {
public:
    HttpStream() = default;
    /** Takes over a connected socket. */
    explicit HttpStream(Socket socket)
        : socket(std::move(socket))
    {
    }

    /** Reads a request with its body. */
    HttpReadResult readRequest(HttpMessage& message) { return this->read(message, true); }

    /** Reads an answer with its body. What arrived of a broken message is kept in it. */
    HttpReadResult readAnswer(HttpMessage& message) { return this->read(message, false); }

    Socket& connection() { return this->socket; } ///< The socket.

private:
    HttpReadResult read(HttpMessage& message, bool request);
    HttpReadResult readHead(HttpMessage& message);
    HttpReadResult readBody(HttpMessage& message, bool request);
    HttpReadResult readChunks(HttpMessage& message);
    HttpReadResult readLine(std::string& line);
    HttpReadResult readBytes(std::string& bytes, size_t count);
    HttpReadResult fill();

    Socket socket; ///< Connection.
    std::string buffer; ///< Received bytes that no message has taken yet.
};

/** Sends one request on a new connection. Returns nothing when no whole answer arrived. */
std::optional<HttpMessage> exchangeOnce(const std::string& address, const HttpMessage& request, Milliseconds limit);

/** Builds a request. @param token Bearer token; empty: none. */
HttpMessage makeRequest(std::string_view method, std::string_view path, std::string_view body = {}, std::string_view token = {});

} // namespace kingcup::testing
