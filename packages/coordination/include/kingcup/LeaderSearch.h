/** @file LeaderSearch.h Selection of the control VM that receives a client's requests. */
#pragma once

#include "kingcup/MillisecondClock.h"
#include "kingcup/ReplicatedLogTypes.h"

#include <vector>

namespace kingcup {

/**
 * Selects the last known leader, or the control VMs in round-robin order while no leader is known. All requests of a process
 * share one search. The failure of a VM therefore counts only while that VM is selected, so that late failures of other
 * requests do not discard a leader that was found since. Not thread-safe.
 */
class LeaderSearch {
public:
    /** @param vms Control VMs in the order in which they are tried; at least one. */
    explicit LeaderSearch(std::vector<VmId> vms);

    /** Replaces the list of control VMs; an empty list is ignored. Returns whether the list changed. */
    bool setVms(std::vector<VmId> vms);

    const std::vector<VmId>& vms() const { return this->controlVms; } ///< Control VMs in the order in which they are tried.
    VmId leader() const { return this->knownLeader; } ///< Last known leader; 0 for none.
    VmId preferredVm() const; ///< Control VM that receives the next request; 0 without any control VM.

    /** Records that a VM is the leader. Returns whether the known leader changed. @param now Time of the statement. */
    bool recordLeader(VmId vm, TimePoint now = {});

    /**
     * Records that a VM did not answer a request. Returns whether requests now go to another VM. A request that was sent before the
     * latest statement that this VM is the leader does not count: the VM may have had no leadership yet.
     */
    bool recordTimeout(VmId vm, TimePoint sentTime);

    /** Records that a VM did not answer, or is not the leader and could not name it. Returns whether requests now go to another VM. */
    bool recordFailure(VmId vm);

private:
    std::vector<VmId> controlVms; ///< In the order in which they are tried.
    size_t position = 0; ///< Counter that selects the control VM, modulo their number, while no leader is known.
    VmId knownLeader = 0; ///< 0: none.
    TimePoint leaderStatedTime {}; ///< Latest time at which it was recorded as the leader.
};

} // namespace kingcup
