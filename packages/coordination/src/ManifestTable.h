/** @file ManifestTable.h Table of the manifest in force and of the accepted manifest numbers. */
#pragma once

#include "ControlDecision.h"
#include "OrderedIndex.h"
#include "kingcup/ControlStateMachine.h"

#include <map>

namespace kingcup {

/** Document of one service, or the tombstone of a removed one. */
struct ServiceRow {
    std::string name; ///< Key of the document.
    std::string json; ///< Document in canonical form; empty if removed.
    LogIndex index = 0; ///< Entry that changed it last.
    uint64_t removedAtMs = 0; ///< Log time of the removal; 0: not removed.
};

/** Record of an accepted manifest. */
struct AcceptedManifestRow {
    uint64_t number = 0;
    std::string digest;
    LogIndex index = 0; ///< Entry that accepted it.
    uint64_t acceptedAtMs = 0; ///< Log time; 0: unknown, because it was loaded from a snapshot of version 1.
};

/** Number and digest that identify a manifest. */
struct ManifestId {
    uint64_t number = 0; ///< 0: none.
    std::string digest; ///< Digest of the documents, in hexadecimal.
};

/** Accepts or refuses manifests by their number, in log order. */
class ManifestTable {
public:
    /** Number of accepted manifests whose digests are kept, highest numbers first: 2.8 hours at 35,000 changes a day. A number below them is refused as outdated. */
    static constexpr size_t maxAcceptedNumbers = 4096;

    /** Returns the decision on a command, without changing the table. */
    Decision decide(const wire::ApplyManifest& command, const ControlRules& rules) const;

    /** Applies a command that decide() accepted. */
    void apply(LogIndex index, uint64_t nowMs, const wire::ApplyManifest& command);

    /** Adds the documents that changed after a log index, removals included, or for a full copy all documents in force. Documents that hold manifest sources are left out. */
    void addChanges(LogIndex index, bool full, wire::ConfigurationChanges& changes) const;

    /** Deletes expired tombstones. Returns the highest modification index among them; 0 for none. */
    LogIndex expire(uint64_t nowMs);

    /** Returns whether expire() would delete anything. */
    bool anyDue(uint64_t nowMs) const { return this->removals.hasKeyUpTo(nowMs); }

    const ManifestId& current() const { return this->inForce; } ///< Manifest in force.
    const std::map<std::string, ServiceRow>& services() const { return this->rows; } ///< Documents and tombstones by name.
    const std::map<uint64_t, AcceptedManifestRow>& acceptedManifests() const { return this->history; } ///< Accepted manifests by number.

    void restoreCurrent(ManifestId manifest) { this->inForce = std::move(manifest); } ///< Sets the manifest in force from a snapshot.
    bool restore(ServiceRow row); ///< Adds a row of a snapshot. Returns false for a repeated name or index 0.
    bool restore(AcceptedManifestRow row); ///< Adds a row of a snapshot. Returns false for a repeated number.

private:
    Decision decideByNumber(const wire::ApplyManifest& command, const AcceptedManifestRow& earlier) const;
    std::string digestAfter(const wire::ApplyManifest& command) const;
    void put(ServiceRow row);

    ManifestId inForce;
    std::map<std::string, ServiceRow> rows; ///< Documents and tombstones by name.
    std::map<uint64_t, AcceptedManifestRow> history; ///< Accepted manifests by number.
    OrderedIndex<std::string> modified; ///< Names by the index of their last change.
    OrderedIndex<std::string> removals; ///< Names of tombstones by the time of their expiry.
};

} // namespace kingcup
