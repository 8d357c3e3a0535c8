/** @file SocketOptions.cpp Options of TCP sockets. */
#include "SocketOptions.h"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace kingcup {

namespace {

constexpr int probeIntervalSeconds = 1;

void setOption(int socket, int level, int name, int value)
{
    setsockopt(socket, level, name, &value, sizeof(value));
}

} // namespace

void disableNagle(int socket)
{
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
}

void limitSilence(int socket, Milliseconds idle, Milliseconds limit)
{
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, std::max(1, static_cast<int>(idle.count() / 1000)));
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, probeIntervalSeconds);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(limit.count()));
}

void setResetOnClose(int socket, bool resets)
{
    linger option { resets ? 1 : 0, 0 };
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

} // namespace kingcup
