/** @file Socket.cpp Blocking TCP sockets on the loopback network. */
#include "testing/Socket.h"

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace kingcup::testing {

namespace {

constexpr int listenBacklog = 1024; ///< Connections waiting to be accepted.

/** Turns host:port into a socket address. */
std::optional<sockaddr_in> parseAddress(const std::string& address)
{
    size_t colon = address.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<uint16_t>(std::strtoul(address.c_str() + colon + 1, nullptr, 10)));
    if (::inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr) != 1)
        return std::nullopt;
    return result;
}

/** Switches off the delay of small packets, which would distort latencies. */
void setNoDelay(int descriptor)
{
    int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

/** Waits for a pending connect. Returns whether it succeeded. */
bool awaitConnect(int descriptor, Milliseconds limit)
{
    pollfd waiting { descriptor, POLLOUT, 0 };
    if (::poll(&waiting, 1, static_cast<int>(limit.count())) != 1)
        return false;
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    return error == 0;
}

} // namespace

Socket& Socket::operator=(Socket&& other) noexcept
{
    if (this != &other) {
        this->close();
        this->descriptor = std::exchange(other.descriptor, -1);
    }
    return *this;
}

void Socket::close()
{
    if (this->descriptor >= 0)
        ::close(this->descriptor);
    this->descriptor = -1;
}

void Socket::reset()
{
    if (!this->valid())
        return;
    linger abrupt { 1, 0 };
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &abrupt, sizeof abrupt);
    this->close();
}

void Socket::shutDown() const
{
    if (this->valid())
        ::shutdown(this->descriptor, SHUT_RDWR);
}

void Socket::setTimeout(Milliseconds limit) const
{
    auto microseconds = static_cast<int64_t>(limit.count() * 1000);
    timeval value { microseconds / 1000000, microseconds % 1000000 };
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_SNDTIMEO, &value, sizeof value);
}

bool Socket::sendAll(std::string_view bytes) const
{
    while (!bytes.empty()) {
        ssize_t sent = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR)
            continue;
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<size_t>(sent));
    }
    return true;
}

ssize_t Socket::receive(char* buffer, size_t size) const
{
    while (true) {
        ssize_t received = ::recv(this->descriptor, buffer, size, 0);
        if (received >= 0 || errno != EINTR)
            return received;
    }
}

bool Socket::staleWhenIdle() const
{
    pollfd waiting { this->descriptor, POLLIN, 0 };
    return ::poll(&waiting, 1, 0) != 0;
}

Socket connectTo(const std::string& address, Milliseconds limit)
{
    std::optional<sockaddr_in> peer = parseAddress(address);
    if (!peer)
        return {};
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    if (!socket.valid())
        return {};
    int result = ::connect(socket.handle(), reinterpret_cast<const sockaddr*>(&*peer), sizeof *peer);
    if (result != 0 && (errno != EINPROGRESS || !awaitConnect(socket.handle(), limit)))
        return {};
    ::fcntl(socket.handle(), F_SETFL, ::fcntl(socket.handle(), F_GETFL) & ~O_NONBLOCK);
    setNoDelay(socket.handle());
    return socket;
}

Socket listenOn(const std::string& address)
{
    std::optional<sockaddr_in> own = parseAddress(address);
    if (!own)
        return {};
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    int on = 1;
    ::setsockopt(socket.handle(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(socket.handle(), reinterpret_cast<const sockaddr*>(&*own), sizeof *own) != 0)
        return {};
    if (::listen(socket.handle(), listenBacklog) != 0)
        return {};
    return socket;
}

Socket acceptFrom(const Socket& listener)
{
    while (true) {
        int descriptor = ::accept4(listener.handle(), nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0 && (errno == EINTR || errno == ECONNABORTED))
            continue;
        if (descriptor >= 0)
            setNoDelay(descriptor);
        return Socket(descriptor);
    }
}

std::string localAddress(const Socket& socket)
{
    sockaddr_in own {};
    socklen_t size = sizeof own;
    ::getsockname(socket.handle(), reinterpret_cast<sockaddr*>(&own), &size);
    char host[INET_ADDRSTRLEN] = {};
    ::inet_ntop(AF_INET, &own.sin_addr, host, sizeof host);
    return std::string(host) + ":" + std::to_string(ntohs(own.sin_port));
}

AddressPool::AddressPool()
{
    static std::atomic<uint32_t> pools = 0;
    auto process = static_cast<uint32_t>(::getpid());
    uint32_t pool = pools++;
    this->host = "127." + std::to_string(1 + process / 250 % 250) + "." + std::to_string(1 + process % 250) + "." + std::to_string(1 + pool % 250);
}

std::string AddressPool::next()
{
    while (true) {
        std::string address = this->host + ":" + std::to_string(++this->port);
        if (listenOn(address).valid())
            return address;
    }
}

} // namespace kingcup::testing
