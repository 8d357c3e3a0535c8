/** @file SocketAddress.cpp Numeric socket addresses. */
#include "SocketAddress.h"

#include <cstring>
#include <netdb.h>
#include <netinet/in.h>

namespace kingcup {

std::optional<SocketAddress> SocketAddress::parse(const std::string& text)
{
    size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    addrinfo hints {};
    hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | AI_PASSIVE;
    hints.ai_socktype = SOCK_STREAM;
    addrinfo* found = nullptr;
    if (getaddrinfo(host.empty() ? nullptr : host.c_str(), text.c_str() + colon + 1, &hints, &found) != 0)
        return std::nullopt;
    SocketAddress address;
    std::memcpy(&address.storage, found->ai_addr, found->ai_addrlen);
    address.length = found->ai_addrlen;
    freeaddrinfo(found);
    return address;
}

SocketAddress SocketAddress::ofSocket(int socket)
{
    SocketAddress address;
    getsockname(socket, reinterpret_cast<sockaddr*>(&address.storage), &address.length);
    return address;
}

uint16_t SocketAddress::port() const
{
    if (this->family() == AF_INET6)
        return ntohs(reinterpret_cast<const sockaddr_in6*>(&this->storage)->sin6_port);
    return ntohs(reinterpret_cast<const sockaddr_in*>(&this->storage)->sin_port);
}

} // namespace kingcup
