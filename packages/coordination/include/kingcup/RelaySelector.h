/** @file RelaySelector.h Chooses the VM that relays a connection to a target. */
#pragma once

#include "kingcup/MillisecondClock.h"
#include "kingcup/ReplicatedLogTypes.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kingcup {

/** How a relay took a request to connect. */
enum class RelayResult {
    Connected, ///< It connected to the target, or the target did not answer it.
    Refused, ///< It does not relay at the moment, or does not know the token or the target.
    Unreachable, ///< It did not answer, possibly because the target did not answer it either.
};

/**
 * Chooses by a hash of the target, so that connections to one target go through one relay and are reused, while a VM's targets are
 * spread over its relays. Relays that refuse or do not answer are left out for a time. Control VMs come last. Not thread-safe.
 */
class RelaySelector {
public:
    /** Replaces the relays. What is known of those that stay is kept. */
    void setRelays(std::vector<wire::RelayOffer> offers);

    /** Returns the relay for a target, or null if there is none that may be used now. The pointer is valid until setRelays(). */
    const wire::RelayOffer* select(const std::string& target, TimePoint now) const;

    /** Records the result of a connection through a relay. Unknown relays are ignored. */
    void recordResult(const std::string& relayAddress, RelayResult result, TimePoint now);

private:
    struct Relay {
        wire::RelayOffer offer;
        int silences = 0; ///< Consecutive requests that it did not answer.
        TimePoint pausedUntil {}; ///< Time until which it is left out.
    };

    std::vector<Relay> relays;
};

} // namespace kingcup
