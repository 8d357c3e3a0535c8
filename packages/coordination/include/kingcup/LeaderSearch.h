/** @file LeaderSearch.h Which control VM a client asks. */
#pragma once

#include "kingcup/ReplicatedLogTypes.h"

#include <vector>

namespace kingcup {

/**
 * The leader that a client last heard of, or else the control VMs in turn. All requests of a process share one search, so
 * word of a VM counts only as long as that VM is the one to ask: what another request has learned since stays. Not thread-safe.
 */
class LeaderSearch {
public:
    /** @param vms Control VMs to ask in turn; at least one. */
    explicit LeaderSearch(std::vector<VmId> vms);

    /** Takes over other control VMs to ask in turn. Returns whether they changed. */
    bool setVms(std::vector<VmId> vms);

    const std::vector<VmId>& vms() const { return this->controlVms; } ///< Control VMs to ask in turn.
    VmId leader() const { return this->knownLeader; } ///< Leader last heard of; 0: none.
    VmId preferred() const; ///< Control VM to ask next.

    /** Takes word that a VM leads. Returns whether that is news. */
    bool learned(VmId vm);

    /** Takes it that a VM does not answer, or neither leads nor knows who does. Returns whether another VM is to be asked now. */
    bool failed(VmId vm);

private:
    std::vector<VmId> controlVms; ///< In the order of asking.
    size_t position = 0; ///< Of the next one to ask without a known leader.
    VmId knownLeader = 0; ///< Last heard of.
};

} // namespace kingcup
