/** @file SuspicionTable.h Requests that are suspected of crashing targets, and their quarantine. */
#pragma once

#include "ControlDecision.h"
#include "OrderedIndex.h"
#include "kingcup/ControlStateMachine.h"

#include <map>
#include <set>

namespace kingcup {

/** One suspected or quarantined request, or the tombstone of a cleared one. */
struct SuspicionRow {
    std::string service; ///< Service.
    std::string fingerprint; ///< Of the request, 16 bytes.
    uint64_t expiresAtMs = 0; ///< Log time: end of the suspicion, the quarantine or the tombstone.
    LogIndex index = 0; ///< Last change.
    bool cleared = false; ///< Tombstone.
    std::set<std::pair<std::string, uint64_t>> targets; ///< Address and incarnation of each target that was lost.
};

/** One target of a suspicion, as snapshots store it. */
struct SuspectTargetRow {
    std::string service; ///< Service.
    std::string fingerprint; ///< Of the request.
    std::string address; ///< Target.
    uint64_t incarnation = 0; ///< Its incarnation.
};

/** Decides which requests are kept from further targets. */
class SuspicionTable {
public:
    /** Checks a suspicion. */
    Decision decide(uint64_t nowMs, const wire::Suspicion& command) const;
    /** Checks the removal of a suspicion. */
    Decision decide(uint64_t nowMs, const wire::ClearSuspicion& command) const;

    /** Adds a suspected target. */
    void apply(LogIndex index, uint64_t nowMs, const wire::Suspicion& command);
    /** Removes a suspicion. */
    void apply(LogIndex index, uint64_t nowMs, const wire::ClearSuspicion& command);

    /** Adds the suspicions that changed after an index, or all that are in force. */
    void addChanges(LogIndex index, bool full, wire::ConfigurationChanges& changes) const;

    /** Result of expire(). */
    struct Expired {
        bool cleared = false; ///< Whether suspicions were cleared, which entry VMs need to know.
        LogIndex forgotten = 0; ///< Highest index of a forgotten tombstone; 0 for none.
    };

    /** Clears suspicions that are due and forgets tombstones that are due. */
    Expired expire(LogIndex index, uint64_t nowMs);

    /** Returns whether expire() would change anything. */
    bool anyDue(uint64_t nowMs) const { return this->expiries.hasKeyUpTo(nowMs); }

    const std::map<NamePair, SuspicionRow>& suspicions() const { return this->rows; } ///< By service and fingerprint, with tombstones.
    bool restore(SuspicionRow row); ///< Loads from a snapshot. Returns false for a repeated or malformed row.
    bool restore(const SuspectTargetRow& row); ///< Loads from a snapshot. Returns false for an unknown suspicion.

private:
    const SuspicionRow* active(uint64_t nowMs, const NamePair& key) const;
    void put(SuspicionRow row);
    void clear(SuspicionRow row, LogIndex index, uint64_t nowMs);

    std::map<NamePair, SuspicionRow> rows; ///< By service and fingerprint.
    OrderedIndex<NamePair> modified; ///< Keys by last change.
    OrderedIndex<NamePair> expiries; ///< Keys by expiry.
};

} // namespace kingcup
