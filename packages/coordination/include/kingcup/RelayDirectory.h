/** @file RelayDirectory.h Soft state of a leader: the VMs that relay connections to targets, and which of them each entry VM may use. */
#pragma once

#include "kingcup/MillisecondClock.h"
#include "kingcup/ReplicatedLogTypes.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace kingcup {

/** The relays of one entry VM. */
struct RelaySelection {
    uint64_t version = 0; ///< Changes with the relays; never 0 in a selection.
    std::vector<wire::RelayOffer> relays; ///< At most a dozen, whatever the size of the fleet.
};

/** Stores the offers and spreads the entry VMs over them. Not thread-safe. */
class RelayDirectory {
public:
    /** @param offerLifetime Time after which an offer that is not repeated ends. */
    explicit RelayDirectory(Milliseconds offerLifetime);

    /** Discards all offers, when this VM becomes the leader. */
    void clear();

    /** Records an offer, which replaces the former one of the VM. */
    void record(const wire::RelayOffer& offer, TimePoint now);

    /** Removes the offer of a VM. */
    void remove(const std::string& vm);

    /** Returns the relays of an entry VM: some in its own availability zone, some in others, and some control VMs. */
    const RelaySelection& select(const std::string& vm, const std::string& availabilityZone, TimePoint now);

    /** Returns the number of entry VMs whose selections are kept. */
    size_t keptSelections() const { return this->selections.size(); }

private:
    struct Offer {
        wire::RelayOffer relay;
        TimePoint end {}; ///< Time at which the offer ends.
    };
    struct CachedSelection {
        uint64_t offersVersion = 0; ///< Version of the offers from which it was made.
        TimePoint usedAt {}; ///< Time at which it was asked for last.
        RelaySelection selection;
    };
    RelaySelection makeSelection(const std::string& vm, const std::string& availabilityZone) const;
    void removeEnded(TimePoint now);

    Milliseconds offerLifetime; ///< As passed to the constructor.
    std::map<std::string, Offer> offers; ///< By VM name.
    uint64_t offersVersion = 1; ///< Changes with the offers.
    TimePoint nextExpiry {}; ///< Time of the next search for ended offers and unused selections.
    std::map<std::string, CachedSelection> selections; ///< By name of the entry VM.
};

} // namespace kingcup
