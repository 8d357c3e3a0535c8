/** @file RoutingTable.h Immutable table of the targets that one entry VM uses for one service. */
#pragma once

#include "TargetEstimate.h"

#include <absl/container/flat_hash_map.h>
#include <memory>
#include <string>
#include <vector>

namespace kingcup {

/** One target of the table. */
struct RoutingEntry {
    std::shared_ptr<TargetEstimate> target; ///< Estimates, shared with older and newer tables.
    uint32_t slots = 1; ///< At least 1.
    bool local = false; ///< In the VM's own availability zone.
    wire::TargetState state = wire::TARGET_SERVING; ///< From the target's record.
};

/** Targets in use, those that take work first and among them the local ones first. */
struct RoutingTable {
    std::string service; ///< Name.
    ServiceLimits limits; ///< From the manifest.
    ZonePreference zonePreference = ZonePreference::Own; ///< From the manifest.
    std::vector<RoutingEntry> entries; ///< All targets in use.
    size_t localCount = 0; ///< Local targets that take work: the first entries.
    size_t servingCount = 0; ///< All targets in use that take work.
    size_t offeredCount = 0; ///< Targets of the service that take work, also those that other VMs use.
    absl::flat_hash_map<std::string, uint32_t> byAddress; ///< Index in `entries`.

    /** Returns the entry of an address, or null. */
    const RoutingEntry* find(const std::string& address) const;
};

/** When a table is built, by both clocks. */
struct TableTime {
    double nowMs = 0; ///< Clock of this VM.
    uint64_t logTimeMs = 0; ///< Time of the log; 0: not known.
};

/** Who chooses the targets. */
struct SubsetOwner {
    std::string entryVm; ///< Name of the VM.
    std::string zone; ///< Its availability zone.
};

/** Returns the serving targets that a VM uses: rendezvous hashing by VM name, the larger part from the own zone. */
std::vector<const wire::TargetRecord*> chooseSubset(const SubsetOwner& owner, const Service& service, const std::vector<wire::TargetRecord>& targets);

/**
 * Builds the next table.
 * @param previous Table in force, whose estimates are kept.
 * @param serial Last serial number given out; advanced for each new estimate.
 */
std::unique_ptr<RoutingTable> buildRoutingTable(const SubsetOwner& owner, const Service& service, const std::vector<wire::TargetRecord>& targets, const RoutingTable& previous, uint32_t& serial, const TableTime& time);

} // namespace kingcup
