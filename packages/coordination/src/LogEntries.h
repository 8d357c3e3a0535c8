/** @file LogEntries.h Entries of the replicated log that are held in memory, and the memberships among them. */
#pragma once

#include "kingcup/ReplicatedLogTypes.h"

#include <deque>
#include <utility>

namespace kingcup {

/** Entries after the newest snapshot, and some that it covers. */
class LogEntries {
public:
    LogEntries(const SnapshotMeta& snapshot, std::vector<wire::LogEntry> entries);

    LogIndex lastIndex() const; ///< Index of the last entry; without entries the position of the snapshot.
    Term lastTerm() const; ///< Term at the last index.
    const SnapshotMeta& snapshot() const;

    /** Returns the term of a held entry or of the position before the first one; empty for all other positions. */
    std::optional<Term> termAt(LogIndex index) const;

    /** Returns the entry at an index, which must be held. */
    const wire::LogEntry& entryAt(LogIndex index) const;

    /** Appends an entry. Its index must be the last index plus 1. */
    void append(wire::LogEntry entry);

    /** Drops all entries from this index on. */
    void truncateFrom(LogIndex index);

    /**
     * Drops entries that a snapshot covers.
     * @param keepBytes Limit of payload bytes of covered entries that are kept, so that a member that lags a little needs no snapshot.
     */
    void compact(const SnapshotMeta& meta, size_t keepBytes);

    /** Drops all entries and memberships and starts again from a snapshot. */
    void reset(const SnapshotMeta& meta);

    /** Copies entries from an index on, within the limits. The first one is copied even if it is larger than maxBytes. */
    std::vector<wire::LogEntry> slice(LogIndex from, size_t maxEntries, size_t maxBytes) const;

    const wire::Membership& membership() const; ///< Newest membership in the log.
    LogIndex membershipIndex() const; ///< Index of the entry with the newest membership, or the position of the snapshot that held it.

private:
    SnapshotMeta newestSnapshot;
    LogIndex baseIndex = 0; ///< Index before the first held entry.
    Term baseTerm = 0; ///< Term at baseIndex.
    std::deque<wire::LogEntry> entries; ///< Contiguous entries from baseIndex + 1 on.
    std::deque<std::pair<LogIndex, wire::Membership>> memberships; ///< Memberships with their indexes, in order; the first is that of the snapshot.
};

} // namespace kingcup
