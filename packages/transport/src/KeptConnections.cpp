/** @file KeptConnections.cpp Check of a kept connection for unread bytes. */
#include "KeptConnections.h"

#include <poll.h>

namespace kingcup {

bool KeptConnections::hasUnreadBytes(int localPort) const
{
    auto found = this->sockets.find(localPort);
    if (found == this->sockets.end())
        return false;
    pollfd descriptor { found->second, POLLIN, 0 };
    return poll(&descriptor, 1, 0) > 0;
}

} // namespace kingcup
