/** @file Http.h Time, the record of a run, sockets and HTTP messages. */
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;
constexpr int runLimitMs = 115000; ///< A case that runs longer ends with exitNotRun.

/** Returns milliseconds since the first call. */
inline double nowMs()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

inline void sleepMs(double ms)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

/** Waits until a condition holds. Returns whether it did within the limit. */
inline bool waitUntil(double limitMs, const std::function<bool()>& condition)
{
    double end = nowMs() + limitMs;
    while (!condition()) {
        if (nowMs() >= end)
            return false;
        sleepMs(20);
    }
    return true;
}

/** Returns whether the disruption takes place; TROUBLE=0 in the environment leaves it out. */
inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

/** Lines with the time in milliseconds, also printed. */
class Record {
public:
    explicit Record(const std::string& path)
        : file(std::fopen(path.c_str(), "w"))
    {
    }

    ~Record()
    {
        if (this->file)
            std::fclose(this->file);
    }

    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (!this->file)
            return;
        std::fprintf(this->file, "%10.1f  ", nowMs());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(this->file, format, arguments);
        va_end(arguments);
        std::fputc('\n', this->file);
        std::fflush(this->file);
    }

private:
    std::mutex mutex;
    std::FILE* file;
};

inline sockaddr_in socketAddress(const std::string& address)
{
    sockaddr_in result {};
    size_t colon = address.rfind(':');
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

/** Owns a socket. */
class Socket {
public:
    explicit Socket(int descriptor = -1)
        : descriptor(descriptor)
    {
    }
    Socket(Socket&& other) noexcept
        : descriptor(std::exchange(other.descriptor, -1))
    {
    }
    Socket& operator=(Socket&& other) noexcept
    {
        std::swap(this->descriptor, other.descriptor);
        return *this;
    }
    ~Socket() { this->close(); }

    void close()
    {
        if (this->descriptor >= 0)
            ::close(std::exchange(this->descriptor, -1));
    }

    /** Closes the connection with a reset. */
    void reset()
    {
        linger option { 1, 0 };
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
        this->close();
    }

    bool isOpen() const { return this->descriptor >= 0; }
    int get() const { return this->descriptor; }

    bool send(const std::string& text) const
    {
        for (size_t sent = 0; sent < text.size();) {
            ssize_t count = ::send(this->descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<size_t>(count);
        }
        return true;
    }

private:
    int descriptor;
};

inline Socket listenAt(const std::string& address)
{
    Socket result(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    int on = 1;
    ::setsockopt(result.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in place = socketAddress(address);
    if (::bind(result.get(), reinterpret_cast<sockaddr*>(&place), sizeof(place)) || ::listen(result.get(), 512))
        result.close();
    return result;
}

inline Socket connectTo(const std::string& address, double limitMs)
{
    Socket result(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    sockaddr_in place = socketAddress(address);
    int on = 1;
    ::setsockopt(result.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (::connect(result.get(), reinterpret_cast<sockaddr*>(&place), sizeof(place)) && errno != EINPROGRESS)
        return Socket();
    pollfd waited { result.get(), POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof(error);
    if (::poll(&waited, 1, static_cast<int>(limitMs)) <= 0 || ::getsockopt(result.get(), SOL_SOCKET, SO_ERROR, &error, &size) || error)
        return Socket();
    ::fcntl(result.get(), F_SETFL, ::fcntl(result.get(), F_GETFL) & ~O_NONBLOCK);
    return result;
}

/** One request or answer. */
struct HttpMessage {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool isWhole = false; ///< Whether the body ended as its framing says.

    int status() const { return this->startLine.size() > 12 ? std::atoi(this->startLine.c_str() + 9) : 0; }

    std::string method() const { return this->startLine.substr(0, this->startLine.find(' ')); }

    std::string target() const
    {
        size_t start = this->startLine.find(' ') + 1;
        return this->startLine.substr(start, this->startLine.find(' ', start) - start);
    }

    std::string field(const std::string& name) const
    {
        for (const auto& [key, value] : this->fields) {
            if (::strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }
};

/** Reads messages from a connection. */
class HttpReader {
public:
    explicit HttpReader(int descriptor)
        : descriptor(descriptor)
    {
    }

    /** Reads one message. Returns nothing if no whole head arrives within the limit or the peer closes before it. */
    std::optional<HttpMessage> read(double limitMs, bool isAnswer)
    {
        std::optional<HttpMessage> message = this->readHead(limitMs);
        return message ? std::optional(this->readBody(std::move(*message), isAnswer)) : std::nullopt;
    }

    /** Reads the head of a message. */
    std::optional<HttpMessage> readHead(double limitMs)
    {
        this->end = nowMs() + limitMs;
        HttpMessage message;
        std::string line;
        if (!this->line(message.startLine))
            return std::nullopt;
        while (this->line(line)) {
            if (line.empty())
                return message;
            size_t colon = line.find(':');
            size_t start = line.find_first_not_of(" \t", colon + 1);
            message.fields.emplace_back(line.substr(0, colon), start == std::string::npos ? "" : line.substr(start));
        }
        return std::nullopt;
    }

    /** Reads the body of a message whose head has been read. */
    HttpMessage readBody(HttpMessage message, bool isAnswer)
    {
        std::string length = message.field("Content-Length");
        if (::strcasecmp(message.field("Transfer-Encoding").c_str(), "chunked") == 0) {
            std::string size;
            while (this->line(size)) {
                size_t count = std::strtoul(size.c_str(), nullptr, 16);
                std::string ignored;
                if (count && (!this->take(count, message.body) || !this->line(ignored)))
                    return message;
                if (!count) {
                    message.isWhole = this->line(ignored);
                    return message;
                }
            }
        } else if (!length.empty()) {
            message.isWhole = this->take(std::stoul(length), message.body);
        } else if (isAnswer && message.status() != 204 && message.status() != 304) {
            while (this->fill()) { }
            message.body.swap(this->buffer);
            message.isWhole = this->isClosed && !this->hasReset;
        } else {
            message.isWhole = true;
        }
        return message;
    }

    /** Reads a chunked body, whose head readHead() has returned. @param onBytes Called with the size of each chunk. Returns whether it ended with its last chunk. */
    bool readChunks(double limitMs, const std::function<void(size_t)>& onBytes)
    {
        this->end = nowMs() + limitMs;
        std::string size;
        while (this->line(size)) {
            size_t count = std::strtoul(size.c_str(), nullptr, 16);
            std::string ignored;
            if (!count)
                return this->line(ignored);
            if (!this->take(count, ignored) || !this->line(ignored))
                return false;
            onBytes(count);
        }
        return false;
    }

    bool hasPeerClosed() const { return this->isClosed; }

    /** Limits how fast bytes are read. @param bytesPerMs 0: no limit. */
    void setRate(double bytesPerMs) { this->rate = bytesPerMs; }

private:
    bool fill()
    {
        pollfd waited { this->descriptor, POLLIN, 0 };
        int left = static_cast<int>(this->end - nowMs());
        if (left <= 0 || ::poll(&waited, 1, left) <= 0)
            return false;
        char bytes[65536];
        constexpr size_t pacedBytes = 8192;
        ssize_t count = ::recv(this->descriptor, bytes, this->rate > 0 ? pacedBytes : sizeof(bytes), 0);
        if (this->rate > 0 && count > 0)
            sleepMs(static_cast<double>(count) / this->rate);
        this->isClosed = count <= 0;
        this->hasReset = count < 0;
        if (count <= 0)
            return false;
        this->buffer.append(bytes, static_cast<size_t>(count));
        return true;
    }

    bool line(std::string& out)
    {
        size_t found = 0;
        while ((found = this->buffer.find("\r\n")) == std::string::npos) {
            if (!this->fill())
                return false;
        }
        out = this->buffer.substr(0, found);
        this->buffer.erase(0, found + 2);
        return true;
    }

    bool take(size_t size, std::string& out)
    {
        while (this->buffer.size() < size) {
            if (!this->fill())
                return false;
        }
        out.append(this->buffer, 0, size);
        this->buffer.erase(0, size);
        return true;
    }

    int descriptor;
    std::string buffer;
    double end = 0;
    double rate = 0;
    bool isClosed = false;
    bool hasReset = false;
};

/** Sends one request on a new connection and returns the answer, or nothing if none arrives within the limit. */
inline std::optional<HttpMessage> exchange(const std::string& address, const std::string& request, double limitMs)
{
    Socket socket = connectTo(address, limitMs);
    if (!socket.isOpen() || !socket.send(request))
        return std::nullopt;
    return HttpReader(socket.get()).read(limitMs, true);
}

inline std::string jsonRequest(const std::string& method, const std::string& path, const std::string& body)
{
    return method + " " + path + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
}

/** Sends a body in chunks. @param bytesPerMs Rate of the client. Returns whether all of it was sent. */
inline bool sendInChunks(const Socket& socket, size_t size, size_t chunkBytes, double bytesPerMs)
{
    constexpr size_t burstChunks = 8;
    double start = nowMs();
    for (size_t sent = 0; sent < size;) {
        std::string burst;
        for (size_t number = 0; number < burstChunks && sent < size; ++number) {
            std::string chunk(std::min(chunkBytes, size - sent), 'x');
            char head[16];
            std::snprintf(head, sizeof(head), "%zx\r\n", chunk.size());
            burst += head + chunk + "\r\n";
            sent += chunk.size();
        }
        if (!socket.send(burst))
            return false;
        sleepMs(start + static_cast<double>(sent) / bytesPerMs - nowMs());
    }
    return socket.send("0\r\n\r\n");
}

} // namespace review
