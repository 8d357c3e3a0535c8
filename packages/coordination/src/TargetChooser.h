/** @file TargetChooser.h The ways to choose a target from a routing table. */
#pragma once

#include "RoutingTable.h"

#include <atomic>
#include <span>

namespace kingcup {

/** Random numbers of one choice, drawn from its number, so that threads share nothing but the count of choices. */
class ChoiceRandom {
public:
    /** @param seed Of the router. @param number Of the choice; one seed gives the same choices in the same order. */
    ChoiceRandom(uint64_t seed, uint64_t number);

    /** Returns a number in [0, bound). */
    size_t below(size_t bound);

private:
    uint64_t state;
};

/** Averages over the targets of a service, which stand in for what is not known of one target. Read by every choice. */
struct alignas(64) FleetAverages {
    std::atomic<double> latencyMs { 0 }; ///< Median over the targets; 0: unknown.
    std::atomic<double> othersPerSlot { 0 }; ///< Mean calls of other VMs per slot, from reports.
    std::atomic<double> refreshedMs { neverMs }; ///< When they were computed.

    /** Computes the averages again, unless that was done a moment ago. */
    void refresh(const RoutingTable& table, double nowMs);
};

/** One choice of a target. */
struct Choice {
    const RoutingTable& table; ///< Targets.
    std::span<const std::string> excluded; ///< Addresses that must not be chosen.
    const FleetAverages& fleet; ///< Averages.
    ChoiceRandom& random; ///< For samples and ties.
    uint64_t number; ///< Counts the choices of the router; position of the round robin.
    double nowMs; ///< Current time.
    bool allowEjected = false; ///< Set when all others are excluded or ejected.

    /** Returns whether an entry may be chosen. */
    bool eligible(const RoutingEntry& entry) const;

    /** Returns a random eligible entry of [begin, end), or null. */
    const RoutingEntry* sample(size_t begin, size_t end) const;
};

/** Returns what is known of a chosen target, for logs. */
PickReason pickReason(RoutingPolicy policy, const Choice& choice, const RoutingEntry& entry);

/** Chooses by a policy; null when no target is eligible. */
const RoutingEntry* chooseTarget(RoutingPolicy policy, const Choice& choice);

} // namespace kingcup
