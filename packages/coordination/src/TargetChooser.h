/** @file TargetChooser.h Load-balancing policies, which choose a target from a routing table. */
#pragma once

#include "RoutingTable.h"

#include <atomic>
#include <span>

namespace kingcup {

/** Random number generator of one choice, seeded with the number of the choice, so that threads share only the counter of choices. */
class ChoiceRandom {
public:
    /** @param seed Seed of the router; the same seed and number give the same random numbers. @param number Number of the choice. */
    ChoiceRandom(uint64_t seed, uint64_t number);

    /** Returns a number in [0, bound); 0 if `bound` is 0. */
    size_t below(size_t bound);

private:
    uint64_t state;
};

/** Averages over the targets of a service, used where a target has no figures of its own. Every choice reads them. */
struct alignas(64) FleetAverages {
    std::atomic<double> latencyMs { 0 }; ///< Median over the targets with a latency estimate; 0: unknown.
    std::atomic<double> otherCallsPerSlot { 0 }; ///< Mean calls of other VMs per slot, from the load reports.
    std::atomic<double> refreshedAtMs { neverMs };

    /** Recomputes the averages if the last computation is at least 5 ms ago. */
    void refresh(const RoutingTable& table, double nowMs);
};

/** Input of one choice of a target. */
struct Choice {
    const RoutingTable& table;
    std::span<const std::string> excluded; ///< Addresses that must not be chosen.
    const FleetAverages& fleetAverages;
    ChoiceRandom& random; ///< For samples and tie-breaking.
    uint64_t number; ///< Number of the choice within the router, which is also the position of the round robin.
    double nowMs;
    double vmsPerTarget = 1; ///< Entry VMs that may use the same target.
    double coldIntervalMs = 0; ///< Time between two permits of this VM for a cold target; 0: requests to cold targets are not limited.
    bool mayUseEjected = false; ///< Ejected targets are eligible; set if no other target is left.
    bool considersRemote = true; ///< Targets of other zones are compared with local ones; otherwise they are used only if no local one is eligible.
    double remotePenaltyMs = 2; ///< Added to the cost of a target of another zone: twice the round-trip time, so that of equal targets the local one is chosen.
    bool mayUseLeaving = false; ///< Targets that began to leave a moment ago are eligible; set if not even an ejected one is left.

    /** Returns whether an entry may be chosen: not excluded, replaced, declining, at its limit or cold without a permit, and leaving or ejected only as permitted by the flags. */
    bool isEligible(const RoutingEntry& entry) const;

    /** Returns a random eligible entry with an index in [begin, end); null if there is none. */
    const RoutingEntry* sample(size_t begin, size_t end) const;
};

/** Returns the figures behind a choice, for logs. */
PickReason pickReason(RoutingPolicy policy, const Choice& choice, const RoutingEntry& entry);

/** Chooses a target by a policy; null if none is eligible. */
const RoutingEntry* chooseTarget(RoutingPolicy policy, const Choice& choice);

} // namespace kingcup
