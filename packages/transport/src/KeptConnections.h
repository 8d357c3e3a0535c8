/** @file KeptConnections.h State of kept connections to targets: last use and unread bytes. */
#pragma once

#include "kingcup/MillisecondClock.h"

#include <unordered_map>

namespace kingcup {

/** Connections of one event loop, by local port. Not thread-safe. */
class KeptConnections {
public:
    /** Records that an exchange on a connection has ended and the connection may be kept. */
    void recordUse(int localPort, TimePoint now)
    {
        constexpr size_t maxPorts = 1024;
        if (this->lastUses.size() >= maxPorts)
            std::erase_if(this->lastUses, [&](const auto& use) { return use.second + this->retention < now; });
        this->lastUses[localPort] = now;
    }

    /** Discards the last use of a connection that was opened or closed, as its port may be used again. */
    void forget(int localPort) { this->lastUses.erase(localPort); }

    /** Returns whether an exchange on a connection ended at most `maxIdle` ago. */
    bool wasUsedWithin(int localPort, Milliseconds maxIdle, TimePoint now) const
    {
        auto found = this->lastUses.find(localPort);
        return found != this->lastUses.end() && now <= found->second + maxIdle;
    }

    /** Records the socket of a new connection. */
    void recordSocket(int localPort, int socket) { this->sockets[localPort] = socket; }

    /** Discards a socket that is closed. */
    void forgetSocket(int socket)
    {
        std::erase_if(this->sockets, [socket](const auto& entry) { return entry.second == socket; });
    }

    /** Returns whether bytes have arrived on a connection since its latest exchange. They belong to no request, and the next answer would be taken for that of another. */
    bool hasUnreadBytes(int localPort) const;

private:
    static constexpr Milliseconds retention { 10000 };
    std::unordered_map<int, TimePoint> lastUses; ///< End of the latest exchange.
    std::unordered_map<int, int> sockets; ///< Sockets of open connections.
};

} // namespace kingcup
