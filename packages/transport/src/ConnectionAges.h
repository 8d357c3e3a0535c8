/** @file ConnectionAges.h Time since kept connections to targets were last used. */
#pragma once

#include "kingcup/MillisecondClock.h"

#include <unordered_map>

namespace kingcup {

/** Last use of the kept connections of one event loop, by local port. Not thread-safe. */
class ConnectionAges {
public:
    /** Records that an exchange on a connection has ended and the connection may be kept. */
    void recordUse(int localPort, TimePoint now)
    {
        constexpr size_t maxPorts = 1024;
        if (this->lastUses.size() >= maxPorts)
            std::erase_if(this->lastUses, [&](const auto& use) { return use.second + this->retention < now; });
        this->lastUses[localPort] = now;
    }

    /** Forgets a connection that was opened or closed, as its port may be used again. */
    void forget(int localPort) { this->lastUses.erase(localPort); }

    /** Returns whether an exchange on a connection ended at most `maxIdle` ago. */
    bool wasUsedWithin(int localPort, Milliseconds maxIdle, TimePoint now) const
    {
        auto found = this->lastUses.find(localPort);
        return found != this->lastUses.end() && now <= found->second + maxIdle;
    }

private:
    static constexpr Milliseconds retention { 10000 };
    std::unordered_map<int, TimePoint> lastUses; ///< End of the latest exchange.
};

} // namespace kingcup
