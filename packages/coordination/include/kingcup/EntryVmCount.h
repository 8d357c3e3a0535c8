/** @file EntryVmCount.h Number of entry VMs by which an entry VM divides shared limits. */
#pragma once

#include "kingcup/ReplicatedLogTypes.h"

#include <algorithm>

namespace kingcup {

/**
 * Entry VMs by which shared limits are divided before a VM has known their number. Deployments may exceed it, so a number that was
 * known, or a larger one that a new leader has heard of, replaces it.
 */
constexpr uint32_t initialAssumedEntryVms = 128;

/**
 * Time without contact to the leader, after the end of its lease, for which an entry VM uses its part of shared limits and the leader
 * counts it. It may be isolated and go on serving, so its part must not be divided among the others.
 */
constexpr Milliseconds isolationTerm { 60000 };

/** Number of entry VMs as a VM knows it from the answers to its session requests. Not thread-safe. */
class EntryVmCount {
public:
    explicit EntryVmCount(uint32_t initialVms)
        : initialVms(std::max(initialVms, 1u))
    {
    }

    /** Records the number in an answer, or the leader's estimate while it does not know the number. */
    void record(const wire::SessionAnswer& answer)
    {
        this->estimatedVms = answer.live_entry_vms() ? 0 : std::max(this->estimatedVms, answer.estimated_entry_vms());
        if (answer.live_entry_vms())
            this->lastKnownVms = answer.live_entry_vms();
    }

    /** Returns the last known number, or the initial one before the first; while it is unknown, a larger estimate replaces it. */
    uint32_t assumedVms() const { return std::max(this->lastKnownVms ? this->lastKnownVms : this->initialVms, this->estimatedVms); }

    /** Returns the number to state in session requests; 0 if neither a number nor an estimate was received. */
    uint32_t statedVms() const { return std::max(this->lastKnownVms, this->estimatedVms); }

private:
    uint32_t initialVms; ///< Number to assume before the first known one.
    uint32_t lastKnownVms = 0; ///< Latest known number; 0 if there was none.
    uint32_t estimatedVms = 0; ///< Largest estimate since the number is unknown.
};

} // namespace kingcup
