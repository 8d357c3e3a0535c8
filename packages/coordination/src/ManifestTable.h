/** @file ManifestTable.h The manifest in force and the history of accepted numbers. */
#pragma once

#include "ControlDecision.h"
#include "OrderedIndex.h"
#include "kingcup/ControlStateMachine.h"

#include <map>

namespace kingcup {

/** One service document or the tombstone of a removed one. */
struct ServiceRow {
    std::string name; ///< Service.
    std::string json; ///< Canonical document; empty when removed.
    LogIndex index = 0; ///< Last change.
    uint64_t removedAtMs = 0; ///< Log time of the removal; 0: in force.
};

/** One accepted manifest number. */
struct AcceptedRow {
    uint64_t number = 0; ///< Manifest number.
    std::string digest; ///< Its digest.
    LogIndex index = 0; ///< Entry that accepted it.
    uint64_t acceptedAtMs = 0; ///< Log time of its acceptance; 0: not known.
};

/** Number in force. */
struct ManifestHead {
    uint64_t number = 0; ///< 0: none.
    std::string digest; ///< Digest of the documents.
};

/** Decides on manifests by their number, in log order. */
class ManifestTable {
public:
    /** Accepted numbers that are remembered, highest first: 2.8 hours of changes at 35,000 a day. A forgotten number is still refused, as outdated. */
    static constexpr size_t maxAcceptedNumbers = 4096;

    /** Checks a command. */
    Decision decide(const wire::ApplyManifest& command, const ControlRules& rules) const;

    /** Applies a command that decide() accepted. */
    void apply(LogIndex index, uint64_t nowMs, const wire::ApplyManifest& command);

    /** Adds the documents that changed after an index, or all that are in force. */
    void addChanges(LogIndex index, bool full, wire::ConfigurationChanges& changes) const;

    /** Forgets tombstones that are due. Returns the highest index among them, 0 for none. */
    LogIndex expire(uint64_t nowMs);

    /** Returns whether expire() would forget anything. */
    bool anyDue(uint64_t nowMs) const { return this->removals.anyUpTo(nowMs); }

    const ManifestHead& head() const { return this->inForce; } ///< Number in force.
    const std::map<std::string, ServiceRow>& services() const { return this->rows; } ///< By name, with tombstones.
    const std::map<uint64_t, AcceptedRow>& accepted() const { return this->history; } ///< By number.

    void restoreHead(ManifestHead head) { this->inForce = std::move(head); } ///< Loads from a snapshot.
    bool restore(ServiceRow row); ///< Loads from a snapshot. Returns false for a repeated name.
    bool restore(AcceptedRow row); ///< Loads from a snapshot. Returns false for a repeated number.

private:
    Decision decideByNumber(const wire::ApplyManifest& command, const AcceptedRow& earlier) const;
    std::string digestAfter(const wire::ApplyManifest& command) const;
    void put(ServiceRow row);

    ManifestHead inForce; ///< Number in force.
    std::map<std::string, ServiceRow> rows; ///< By name.
    std::map<uint64_t, AcceptedRow> history; ///< By number.
    OrderedIndex<std::string> modified; ///< Names by last change.
    OrderedIndex<std::string> removals; ///< Names of tombstones by expiry.
};

} // namespace kingcup
