/** @file RawSocket.h Raw TCP callers and targets with control over every byte sent. */
#pragma once

#include "kingcup/MillisecondClock.h"

#include <arpa/inet.h>
#include <atomic>
#include <condition_variable>
#include <cstdlib>
#include <functional>
#include <list>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace kingcup::testing {

constexpr int waitLimitMs = 10000; ///< Longest wait for a condition, far above the delays on a loaded machine.

/** A value that one thread sets and another waits for. */
template <typename Value>
class WaitableValue {
public:
    /** Changes the value. */
    void update(const std::function<void(Value&)>& change)
    {
        std::lock_guard lock(this->mutex);
        change(this->value);
        this->changed.notify_all();
    }

    /** Waits until the condition holds. Returns false on timeout. */
    bool wait(const std::function<bool(const Value&)>& condition, int limitMs = waitLimitMs)
    {
        std::unique_lock lock(this->mutex);
        return this->changed.wait_for(lock, std::chrono::milliseconds(limitMs), [&] { return condition(this->value); });
    }

    /** Returns a copy of the value. */
    Value get()
    {
        std::lock_guard lock(this->mutex);
        return this->value;
    }

private:
    std::mutex mutex; ///< Guards the value.
    std::condition_variable changed; ///< Signalled by update().
    Value value {}; ///< Current value.
};

/** A connected TCP socket. */
class RawSocket {
public:
    explicit RawSocket(int socketDescriptor)
        : descriptor(socketDescriptor)
    {
        int on = 1;
        setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

    RawSocket(RawSocket&& other) noexcept
        : descriptor(std::exchange(other.descriptor, -1))
        , received(std::move(other.received))
    {
    }

    ~RawSocket() { this->close(); }

    /** Connects to a port on loopback. @param receiveBuffer Bytes of the socket's receive buffer; 0 keeps the default. */
    static RawSocket connectTo(uint16_t port, int receiveBuffer = 0)
    {
        int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (receiveBuffer > 0)
            setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0)
            ::close(std::exchange(descriptor, -1)); // send() and receive() fail on the invalid descriptor.
        return RawSocket(descriptor);
    }

    /** Sends all bytes. Returns false if the peer closed. */
    bool send(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            ssize_t count = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            bytes.remove_prefix(static_cast<size_t>(count));
        }
        return true;
    }

    /** Sends as many bytes as fit without blocking. Returns their number. */
    size_t sendSome(std::string_view bytes) const
    {
        ssize_t count = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        return count > 0 ? static_cast<size_t>(count) : 0;
    }

    /** Receives more bytes. Returns false at the end of the stream, on an error or on timeout. */
    bool receive(int limitMs = waitLimitMs)
    {
        pollfd polled { this->descriptor, POLLIN, 0 };
        char buffer[65536];
        if (this->descriptor < 0 || poll(&polled, 1, limitMs) <= 0)
            return false;
        ssize_t count = recv(this->descriptor, buffer, sizeof(buffer), 0);
        this->wasReset = count < 0;
        if (count > 0)
            this->received.append(buffer, static_cast<size_t>(count));
        return count > 0;
    }

    /** Receives until the text arrives, and returns everything up to its end; an empty string if it does not arrive. */
    std::string receiveUntil(std::string_view text)
    {
        size_t position = 0;
        while ((position = this->received.find(text)) == std::string::npos) {
            if (!this->receive())
                return {};
        }
        return this->receiveBytes(position + text.size());
    }

    /** Receives and returns an exact number of bytes; fewer if the peer closes. */
    std::string receiveBytes(size_t count)
    {
        while (this->received.size() < count && this->receive()) { }
        std::string taken = this->received.substr(0, count);
        this->received.erase(0, count);
        return taken;
    }

    /** Receives one message with Content-Length or without body. */
    std::string receiveMessage()
    {
        std::string head = this->receiveUntil("\r\n\r\n");
        size_t position = head.find("Content-Length: ");
        return position == std::string::npos ? head : head + this->receiveBytes(std::stoul(head.substr(position + 16)));
    }

    /** Receives until the peer closes, and returns everything. */
    std::string receiveAll()
    {
        while (this->receive()) { }
        return std::exchange(this->received, {});
    }

    /** Returns whether the peer closes within the limit. */
    bool waitClosed()
    {
        pollfd polled { this->descriptor, POLLRDHUP, 0 };
        return poll(&polled, 1, waitLimitMs) > 0;
    }

    /** Returns whether the connection ended with RST rather than with FIN. */
    bool isReset() const { return this->wasReset; }

    void close()
    {
        if (this->descriptor >= 0)
            ::close(std::exchange(this->descriptor, -1));
    }

private:
    int descriptor = -1; ///< Owned socket.
    std::string received; ///< Received bytes that were not returned yet.
    bool wasReset = false; ///< Whether recv() failed.
};

/** A target that runs a script for each connection, on its own thread. */
class RawServer {
public:
    using Script = std::function<void(RawSocket& socket, int connection)>;

    explicit RawServer(Script connectionScript)
        : script(std::move(connectionScript))
        , listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        if (bind(this->listener, reinterpret_cast<sockaddr*>(&address), size) != 0)
            std::abort();
        listen(this->listener, 1024);
        getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
        this->boundPort = ntohs(address.sin_port);
        this->acceptor = std::thread([this] { this->acceptConnections(); });
    }

    ~RawServer()
    {
        shutdown(this->listener, SHUT_RDWR);
        this->acceptor.join();
        ::close(this->listener);
        for (std::thread& worker : this->workers)
            worker.join();
    }

    uint16_t port() const { return this->boundPort; } ///< Port on the loopback interface.
    std::string address() const { return "127.0.0.1:" + std::to_string(this->boundPort); } ///< host:port.
    int connections() const { return this->accepted; } ///< Number of connections accepted.

private:
    /** Accepts until the listener is shut down. */
    void acceptConnections()
    {
        for (;;) {
            int descriptor = ::accept(this->listener, nullptr, nullptr);
            if (descriptor < 0)
                return;
            this->workers.emplace_back([this, descriptor, number = ++this->accepted] {
                RawSocket connection(descriptor);
                this->script(connection, number);
            });
        }
    }

    Script script; ///< Runs on each connection.
    int listener; ///< Listening socket.
    uint16_t boundPort = 0; ///< Port of the listening socket.
    std::atomic<int> accepted = 0; ///< Number of connections accepted.
    std::list<std::thread> workers; ///< One thread per connection.
    std::thread acceptor; ///< Runs acceptConnections().
};

/** Returns an answer with Content-Length. */
inline std::string answerText(const std::string& body, const std::string& fields = {})
{
    return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace kingcup::testing
