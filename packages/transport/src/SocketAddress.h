/** @file SocketAddress.h Numeric socket addresses. */
#pragma once

#include <optional>
#include <string>
#include <sys/socket.h>

namespace kingcup {

/** An IPv4 or IPv6 address with a port. */
class SocketAddress {
public:
    /** Parses `host:port` or `[host]:port`; the host must be numeric; an empty host is the wildcard address. Empty result if the text is malformed. */
    static std::optional<SocketAddress> parse(const std::string& text);

    /** Returns the local address of a socket. */
    static SocketAddress ofSocket(int socket);

    int family() const { return this->storage.ss_family; } ///< AF_INET or AF_INET6.
    uint16_t port() const; ///< Port in host byte order.
    const sockaddr* data() const { return reinterpret_cast<const sockaddr*>(&this->storage); } ///< For bind() and connect().
    socklen_t size() const { return this->length; } ///< Bytes of data().

private:
    sockaddr_storage storage {}; ///< Address as the socket API represents it.
    socklen_t length = sizeof(sockaddr_storage); ///< Bytes used.
};

} // namespace kingcup
