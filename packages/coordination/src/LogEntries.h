/** @file LogEntries.h The part of the replicated log that is held in memory, with the memberships in it. */
#pragma once

#include "kingcup/ReplicatedLogTypes.h"

#include <deque>
#include <utility>

namespace kingcup {

/** Entries after a snapshot. Positions outside are reported as missing, never as entries. */
class LogEntries {
public:
    LogEntries(const SnapshotMeta& snapshot, std::vector<wire::LogEntry> entries);

    LogIndex lastIndex() const; ///< Last entry, or the snapshot's position.
    Term lastTerm() const; ///< Term of that entry.
    const SnapshotMeta& snapshot() const; ///< What precedes the entries.

    /** Returns the term of an entry, of the snapshot's last entry or of index 0; nothing for other positions. */
    std::optional<Term> termAt(LogIndex index) const;

    /** Returns an entry, which must be held. */
    const wire::LogEntry& at(LogIndex index) const;

    /** Appends an entry; its index must follow the last one. */
    void append(wire::LogEntry entry);

    /** Drops all entries from an index on. */
    void truncateFrom(LogIndex index);

    /** Drops the entries that a snapshot covers. */
    void compact(const SnapshotMeta& meta);

    /** Replaces everything by a snapshot. */
    void reset(const SnapshotMeta& meta);

    /** Copies entries from an index on, at least one where there is one. */
    std::vector<wire::LogEntry> slice(LogIndex from, size_t maxEntries, size_t maxBytes) const;

    const wire::Membership& membership() const; ///< Newest membership.
    LogIndex membershipIndex() const; ///< Its entry; the snapshot's position when it came with that.

    /** Returns the membership as of an entry. */
    const wire::Membership& membershipAt(LogIndex index) const;

private:
    SnapshotMeta base; ///< Snapshot before the entries.
    std::deque<wire::LogEntry> entries; ///< Contiguous, from base.lastIndex + 1.
    std::deque<std::pair<LogIndex, wire::Membership>> memberships; ///< By position; the first is the snapshot's.
};

} // namespace kingcup
