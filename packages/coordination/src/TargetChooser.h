/** @file TargetChooser.h The ways to choose a target from a routing table. */
#pragma once

#include "RoutingTable.h"

#include <atomic>
#include <span>

namespace kingcup {

/** Random numbers for many threads: a counter, mixed. One thread gets the same numbers for the same seed. */
class SharedRandom {
public:
    explicit SharedRandom(uint64_t seed)
        : counter(seed)
    {
    }

    /** Returns a number in [0, bound). */
    size_t below(size_t bound);

    /** Returns a number in [0, 1). */
    double fraction();

private:
    uint64_t next();

    std::atomic<uint64_t> counter;
};

/** Averages over the targets of a service, which stand in for what is not known of one target. */
struct FleetAverages {
    std::atomic<double> logLatency { 0 }; ///< Of answered attempts.
    std::atomic<uint64_t> answers { 0 }; ///< How many there were.
    std::atomic<double> othersPerSlot { 0 }; ///< Calls of other VMs per slot, from reports.

    /** Returns the typical latency in milliseconds; 0 while nothing is known. */
    double latency() const;
};

/** One choice of a target. */
struct Choice {
    const RoutingTable& table; ///< Targets.
    std::span<const std::string> excluded; ///< Addresses that must not be chosen.
    const FleetAverages& fleet; ///< Averages.
    SharedRandom& random; ///< For samples and ties.
    std::atomic<uint64_t>& turn; ///< Position of the round robin.
    double nowMs; ///< Current time.
    bool allowEjected = false; ///< Set when all others are excluded or ejected.

    /** Returns whether an entry may be chosen. */
    bool eligible(const RoutingEntry& entry) const;

    /** Returns a random eligible entry of [begin, end), or null. */
    const RoutingEntry* sample(size_t begin, size_t end) const;
};

/** Chooses by a policy; null when no target is eligible. */
const RoutingEntry* chooseTarget(RoutingPolicy policy, const Choice& choice);

} // namespace kingcup
