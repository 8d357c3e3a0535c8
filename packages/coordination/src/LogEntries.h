/** @file LogEntries.h The part of the replicated log that is held in memory, with the memberships in it. */
#pragma once

#include "kingcup/ReplicatedLogTypes.h"

#include <deque>
#include <utility>

namespace kingcup {

/** Entries after a snapshot, and some before its position. Positions outside are reported as missing, never as entries. */
class LogEntries {
public:
    LogEntries(const SnapshotMeta& snapshot, std::vector<wire::LogEntry> entries);

    LogIndex lastIndex() const; ///< Last entry, or the snapshot's position.
    Term lastTerm() const; ///< Term of that entry.
    const SnapshotMeta& snapshot() const; ///< Newest snapshot.

    /** Returns the term of an entry, or of the position before the first one; nothing for other positions. */
    std::optional<Term> termAt(LogIndex index) const;

    /** Returns an entry, which must be held. */
    const wire::LogEntry& at(LogIndex index) const;

    /** Appends an entry; its index must follow the last one. */
    void append(wire::LogEntry entry);

    /** Drops all entries from an index on. */
    void truncateFrom(LogIndex index);

    /**
     * Drops entries that a snapshot covers.
     * @param keepBytes Payload bytes of covered entries that are kept, for members that lag a little.
     */
    void compact(const SnapshotMeta& meta, size_t keepBytes);

    /** Replaces everything by a snapshot. */
    void reset(const SnapshotMeta& meta);

    /** Copies entries from an index on, at least one where there is one. */
    std::vector<wire::LogEntry> slice(LogIndex from, size_t maxEntries, size_t maxBytes) const;

    const wire::Membership& membership() const; ///< Newest membership.
    LogIndex membershipIndex() const; ///< Its entry; the snapshot's position when it came with that.

private:
    SnapshotMeta newestSnapshot;
    LogIndex baseIndex = 0; ///< Position before the first entry.
    Term baseTerm = 0; ///< Its term.
    std::deque<wire::LogEntry> entries; ///< Contiguous, from baseIndex + 1.
    std::deque<std::pair<LogIndex, wire::Membership>> memberships; ///< By position; the first is the snapshot's.
};

} // namespace kingcup
