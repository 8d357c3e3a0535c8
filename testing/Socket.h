/** @file Socket.h Blocking TCP sockets on the loopback network, for fakes and callers in tests. */
#pragma once

#include "kingcup/MillisecondClock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace kingcup::testing {

/** Owns a socket descriptor. */
class Socket {
public:
    Socket() = default;
    /** Takes over a descriptor. */
    explicit Socket(int descriptor)
        : descriptor(descriptor)
    {
    }
    Socket(Socket&& other) noexcept
        : descriptor(std::exchange(other.descriptor, -1))
    {
    }
    /** Closes the held descriptor and takes over the other one. */
    Socket& operator=(Socket&& other) noexcept;
    ~Socket() { this->close(); }

    int handle() const { return this->descriptor; } ///< Descriptor, or -1.
    bool valid() const { return this->descriptor >= 0; } ///< Whether a descriptor is held.

    /** Closes the socket. */
    void close();

    /** Closes the socket with a reset, so that the peer sees an error. */
    void reset();

    /** Wakes up threads that are blocked on this socket. */
    void shutDown() const;

    /** Bounds each blocking read and write. */
    void setTimeout(Milliseconds limit) const;

    /** Sends all bytes. Returns false on an error. */
    bool sendAll(std::string_view bytes) const;

    /** Receives some bytes. Returns 0 at the end of the stream and -1 on an error or time-out. */
    ssize_t receive(char* buffer, size_t size) const;

    /** Returns whether an idle connection was closed by the peer or holds unexpected bytes. */
    bool staleWhenIdle() const;

private:
    int descriptor = -1; ///< Descriptor, or -1.
};

/** Opens a connection. Returns an invalid socket on failure. @param address IPv4 host:port. */
Socket connectTo(const std::string& address, Milliseconds limit);

/** Listens on an address. Returns an invalid socket on failure. @param address IPv4 host:port; port 0 takes a free one. */
Socket listenOn(const std::string& address);

/** Accepts a connection; invalid when the listener was shut down. */
Socket acceptFrom(const Socket& listener);

/** Returns host:port of the local end. */
std::string localAddress(const Socket& socket);

/** Hands out addresses that no other test process uses. */
class AddressPool {
public:
    /** Takes a loopback host for this process. Listening ports there cannot collide with outgoing connections, which come from 127.0.0.1. */
    AddressPool();

    /** Returns a free host:port. */
    std::string next();

private:
    std::string host; ///< Loopback host of this pool.
    uint16_t port = 20000; ///< Last port handed out.
};

} // namespace kingcup::testing
