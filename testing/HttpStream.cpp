/** @file HttpStream.cpp A small HTTP/1.1 reader and writer over a blocking socket. */
#include "testing/HttpStream.h"

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <strings.h>

namespace kingcup::testing {

namespace {

constexpr size_t receiveBytes = 64u << 10; ///< Size of one read.
constexpr size_t maxLineBytes = 64u << 10; ///< A longer header line is malformed.

/** Compares two field names without case. */
bool sameName(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && ::strncasecmp(left.data(), right.data(), left.size()) == 0;
}

/** Removes blanks on both sides. */
std::string trimmed(std::string_view text)
{
    size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return std::string(text.substr(first, text.find_last_not_of(" \t") - first + 1));
}

/** Returns whether an answer has no body by its status. */
bool bodyless(int status)
{
    return status == 204 || status == 304 || (status >= 100 && status < 200);
}

} // namespace

std::string HttpMessage::find(std::string_view name) const
{
    auto matches = [name](const HttpField& field) { return sameName(field.name, name); };
    auto found = std::find_if(this->fields.begin(), this->fields.end(), matches);
    return found == this->fields.end() ? std::string() : found->value;
}

std::string HttpMessage::word(size_t position) const
{
    size_t begin = 0;
    for (; position > 0; --position) {
        begin = this->startLine.find(' ', begin);
        if (begin == std::string::npos)
            return {};
        ++begin;
    }
    return this->startLine.substr(begin, this->startLine.find(' ', begin) - begin);
}

int HttpMessage::status() const
{
    return std::atoi(this->word(1).c_str());
}

std::string HttpMessage::encode() const
{
    std::string text = this->startLine + "\r\n";
    for (const HttpField& field : this->fields)
        text += field.name + ": " + field.value + "\r\n";
    text += "Content-Length: " + std::to_string(this->body.size()) + "\r\n\r\n";
    return text + this->body;
}

HttpReadResult HttpStream::fill()
{
    size_t held = this->buffer.size();
    this->buffer.resize(held + receiveBytes);
    ssize_t received = this->socket.receive(this->buffer.data() + held, receiveBytes);
    bool timedOut = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    this->buffer.resize(held + static_cast<size_t>(std::max<ssize_t>(received, 0)));
    if (received > 0)
        return HttpReadResult::Complete;
    return timedOut ? HttpReadResult::TimedOut : HttpReadResult::Broken;
}

HttpReadResult HttpStream::readLine(std::string& line)
{
    size_t end = 0;
    while ((end = this->buffer.find("\r\n")) == std::string::npos) {
        if (this->buffer.size() > maxLineBytes)
            return HttpReadResult::Broken;
        if (HttpReadResult result = this->fill(); result != HttpReadResult::Complete)
            return result;
    }
    line = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 2);
    return HttpReadResult::Complete;
}

HttpReadResult HttpStream::readBytes(std::string& bytes, size_t count)
{
    while (this->buffer.size() < count) {
        if (HttpReadResult result = this->fill(); result != HttpReadResult::Complete) {
            bytes += std::exchange(this->buffer, {});
            return result;
        }
    }
    bytes += this->buffer.substr(0, count);
    this->buffer.erase(0, count);
    return HttpReadResult::Complete;
}

HttpReadResult HttpStream::readHead(HttpMessage& message)
{
    if (HttpReadResult result = this->readLine(message.startLine); result != HttpReadResult::Complete)
        return result == HttpReadResult::Broken && this->buffer.empty() ? HttpReadResult::Closed : result;
    std::string line;
    while (true) {
        if (HttpReadResult result = this->readLine(line); result != HttpReadResult::Complete)
            return result;
        if (line.empty())
            return HttpReadResult::Complete;
        size_t colon = line.find(':');
        if (colon == std::string::npos)
            return HttpReadResult::Broken;
        message.add(line.substr(0, colon), trimmed(std::string_view(line).substr(colon + 1)));
    }
}

HttpReadResult HttpStream::readChunks(HttpMessage& message)
{
    std::string line;
    while (true) {
        if (HttpReadResult result = this->readLine(line); result != HttpReadResult::Complete)
            return result;
        size_t size = std::strtoull(line.c_str(), nullptr, 16);
        if (HttpReadResult result = this->readBytes(message.body, size); result != HttpReadResult::Complete)
            return result;
        if (HttpReadResult result = this->readLine(line); result != HttpReadResult::Complete)
            return result;
        if (size == 0)
            return line.empty() ? HttpReadResult::Complete : HttpReadResult::Broken;
    }
}

HttpReadResult HttpStream::readBody(HttpMessage& message, bool request)
{
    if (sameName(message.find("Transfer-Encoding"), "chunked"))
        return this->readChunks(message);
    std::string length = message.find("Content-Length");
    if (!length.empty())
        return this->readBytes(message.body, std::strtoull(length.c_str(), nullptr, 10));
    if (request || bodyless(message.status()))
        return HttpReadResult::Complete;
    HttpReadResult result = HttpReadResult::Complete;
    while (result == HttpReadResult::Complete)
        result = this->fill();
    message.body = std::exchange(this->buffer, {});
    return result == HttpReadResult::Broken ? HttpReadResult::Complete : result;
}

HttpReadResult HttpStream::read(HttpMessage& message, bool request)
{
    while (true) {
        message = {};
        if (HttpReadResult result = this->readHead(message); result != HttpReadResult::Complete)
            return result;
        bool interim = !request && message.status() == 100;
        if (interim)
            continue;
        if (request && sameName(message.find("Expect"), "100-continue"))
            this->socket.sendAll("HTTP/1.1 100 Continue\r\n\r\n");
        return this->readBody(message, request);
    }
}

std::optional<HttpMessage> exchangeOnce(const std::string& address, const HttpMessage& request, Milliseconds limit)
{
    Socket socket = connectTo(address, limit);
    if (!socket.valid())
        return std::nullopt;
    socket.setTimeout(limit);
    HttpStream stream(std::move(socket));
    if (!stream.connection().sendAll(request.encode()))
        return std::nullopt;
    HttpMessage answer;
    if (stream.readAnswer(answer) != HttpReadResult::Complete)
        return std::nullopt;
    return answer;
}

HttpMessage makeRequest(std::string_view method, std::string_view path, std::string_view body, std::string_view token)
{
    HttpMessage request;
    request.startLine = std::string(method) + " " + std::string(path) + " HTTP/1.1";
    request.add("Host", "kingcup");
    request.add("Connection", "close");
    if (!token.empty())
        request.add("Authorization", "Bearer " + std::string(token));
    if (!body.empty())
        request.add("Content-Type", "application/json");
    request.body = body;
    return request;
}

} // namespace kingcup::testing
