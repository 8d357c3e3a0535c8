/** @file RelayClient.h VMs through which this VM reaches targets while it is partitioned from them. */
#pragma once

#include "PathMonitor.h"

#include "kingcup/RelaySelector.h"
#include "kingcup/UpstreamClient.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

namespace kingcup {

/** Keeps the relays that control named and chooses one for each connection. Thread-safe. */
class RelayClient {
public:
    /** @param paths Tells whether relays are needed; must outlive this object's use. */
    explicit RelayClient(const PathMonitor& paths)
        : paths(paths)
    {
    }

    /** Takes over the relays of a session answer if it has any. */
    void receiveRelays(const wire::SessionAnswer& answer);

    /** Returns the version of the relays. */
    uint64_t version() const;

    /** Returns the relay for a connection to a target; empty if it is to be reached directly. */
    std::optional<RelayHop> hopTo(const std::string& target) const;

    /** Returns whether there is a relay that may be used now. */
    bool hasRelay(TimePoint now) const;

    /** Records the end of an exchange through a relay. */
    void recordResult(const RelayHop& relay, const UpstreamResult& result);

private:
    const PathMonitor& paths; ///< Tells whether relays are needed.
    mutable std::mutex mutex; ///< Guards the members below.
    RelaySelector selector;
    uint64_t heldVersion = 0; ///< Version of the relays; 0: none received.
};

} // namespace kingcup
