/** @file RoutingTable.h Table of the targets that one entry VM uses for one service. */
#pragma once

#include "TargetEstimate.h"

#include <absl/container/flat_hash_map.h>
#include <memory>
#include <string>
#include <vector>

namespace kingcup {

/** A target in the routing table. */
struct RoutingEntry {
    std::shared_ptr<TargetEstimate> target; ///< Estimates, shared with earlier and later tables.
    uint32_t slots = 1; ///< Requests that the target can work on at a time, at least 1.
    bool isLocal = false; ///< The target is in the availability zone of this VM.
    wire::TargetState state = wire::TARGET_SERVING;
};

/** Targets in use: local serving targets first, then remote serving targets, then those that no longer serve. Not changed once it is published. */
struct RoutingTable {
    std::string service; ///< Name of the service.
    ServiceLimits limits;
    ZonePreference zonePreference = ZonePreference::Own;
    double coldRequestsPerSecond = 0; ///< Requests a second that a cold target can handle from all entry VMs together; 0: not limited.
    Milliseconds maxCold { 0 }; ///< Longest cold time that is taken from one statement of a target.
    std::vector<RoutingEntry> entries;
    std::vector<std::shared_ptr<TargetEstimate>> formerTargets; ///< Targets out of use whose statements still hold if they return.
    size_t localCount = 0; ///< Local serving targets, which are the first entries.
    size_t servingCount = 0; ///< Serving targets in use, local and remote.
    size_t serviceServingCount = 0; ///< Serving targets of the service, including those that only other VMs use.
    size_t serviceLocalCount = 0; ///< Those of them in the zone of this VM.
    absl::flat_hash_map<std::string, uint32_t> indexByAddress; ///< Index in `entries`.

    /** Returns the entry with an address; null if there is none. */
    const RoutingEntry* find(const std::string& address) const;

    /** Returns the time between two permits of this VM for a cold target; 0: requests to cold targets are not limited. @param vms Entry VMs that may use the same target. */
    double coldIntervalMs(double vms) const;
};

/** Time at which a table is built, by both clocks. */
struct TableTime {
    double nowMs = 0; ///< Monotonic clock of this VM.
    uint64_t logTimeMs = 0; ///< Time of the replicated log; 0: unknown.
};

/** Entry VM that a subset belongs to. */
struct SubsetOwner {
    std::string entryVm; ///< Name, the key of the rendezvous hash.
    std::string zone; ///< Availability zone.
};

/** Returns the serving targets that a VM uses, selected by rendezvous hashing. With ZonePreference::Own, about 70% of them are from its own zone, if that has enough. */
std::vector<const wire::TargetRecord*> chooseSubset(const SubsetOwner& owner, const Service& service, const std::vector<wire::TargetRecord>& targets);

/**
 * Builds the table that replaces the previous one.
 * @param previous Current table, whose estimates are taken over for targets of the same incarnation.
 * @param lastSerial Last serial number of an estimate; incremented for each new one.
 */
std::unique_ptr<RoutingTable> buildRoutingTable(const SubsetOwner& owner, const Service& service, const std::vector<wire::TargetRecord>& targets, const RoutingTable& previous, uint32_t& lastSerial, const TableTime& time);

} // namespace kingcup
