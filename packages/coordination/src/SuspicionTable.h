/** @file SuspicionTable.h Requests that are suspected of crashing targets, and their quarantines. */
#pragma once

#include "ControlDecision.h"
#include "OrderedIndex.h"
#include "kingcup/ControlStateMachine.h"

#include <map>
#include <set>

namespace kingcup {

/** A suspected or quarantined request, or the tombstone of a cleared one. */
struct SuspicionRow {
    std::string service; ///< Name of the service.
    std::string fingerprint; ///< Fingerprint of the request, 16 bytes.
    uint64_t expiresAtMs = 0; ///< Log time at which the suspicion, the quarantine or the tombstone ends.
    LogIndex index = 0; ///< Log index of the last change.
    bool isCleared = false; ///< Whether this is a tombstone.
    std::set<std::pair<std::string, uint64_t>> targets; ///< Addresses and incarnations of the targets that were lost.
};

/** One target of a suspicion, as stored in snapshots. */
struct SuspectTargetRow {
    std::string service; ///< Name of the service.
    std::string fingerprint; ///< Fingerprint of the request.
    std::string address; ///< Address of the target.
    uint64_t incarnation = 0; ///< Incarnation of the target.
};

/** Suspicions of the replicated state machine, and the decisions which requests are quarantined. */
class SuspicionTable {
public:
    /** Decides whether a reported suspicion is accepted; changes nothing. */
    Decision decide(uint64_t nowMs, const wire::Suspicion& command) const;
    /** Decides whether a suspicion may be cleared; changes nothing. */
    Decision decide(uint64_t nowMs, const wire::ClearSuspicion& command) const;

    /** Adds a target to a suspicion, and extends the suspicion. */
    void apply(LogIndex index, uint64_t nowMs, const wire::Suspicion& command);
    /** Turns a suspicion into a tombstone. */
    void apply(LogIndex index, uint64_t nowMs, const wire::ClearSuspicion& command);

    /** Adds the suspicions that changed after a log index, or all that are not cleared if `full`. */
    void addChanges(LogIndex index, bool full, wire::ConfigurationChanges& changes) const;

    /** Result of expire(). */
    struct ExpiryResult {
        bool hasCleared = false; ///< Whether suspicions were cleared, which has to be sent to the entry VMs.
        LogIndex removedIndex = 0; ///< Highest log index of a removed tombstone; 0 if none.
    };

    /** Clears expired suspicions and removes expired tombstones. */
    ExpiryResult expire(LogIndex index, uint64_t nowMs);

    /** Returns whether expire() would change anything. */
    bool anyDue(uint64_t nowMs) const { return this->expiries.hasKeyUpTo(nowMs); }

    const std::map<NamePair, SuspicionRow>& suspicions() const { return this->rows; } ///< Suspicions and tombstones by service and fingerprint.
    bool restore(SuspicionRow row); ///< Restores a row of a snapshot. Returns false if it is a duplicate or malformed.
    bool restore(const SuspectTargetRow& row); ///< Restores a target of a snapshot. Returns false if it is a duplicate or its suspicion is unknown.

private:
    const SuspicionRow* findActive(uint64_t nowMs, const NamePair& key) const;
    void storeRow(SuspicionRow row);
    void clearRow(SuspicionRow row, LogIndex index, uint64_t nowMs);

    std::map<NamePair, SuspicionRow> rows; ///< Suspicions and tombstones by service and fingerprint.
    OrderedIndex<NamePair> modified; ///< Keys by log index of the last change.
    OrderedIndex<NamePair> expiries; ///< Keys by expiry time.
};

} // namespace kingcup
