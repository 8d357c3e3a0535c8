/** @file ReplicatedLog.h The leader-based replicated log, as a decision class without I/O. */
#pragma once

#include "kingcup/RandomSource.h"
#include "kingcup/ReplicatedLogTypes.h"
#include "kingcup/ResultCode.h"

#include <functional>
#include <memory>

namespace kingcup {

/**
 * One member of a replicated log. Not thread-safe. Every call returns what the daemon must do;
 * after it has synced the `write` part of an output it calls synced().
 */
class ReplicatedLog {
public:
    /** Gives the bytes of the newest stored snapshot, for members that are too far behind. */
    using SnapshotReader = std::function<std::string()>;

    /** Answer to a proposal. */
    struct Proposal {
        ResultCode code = ResultCode::Ok; ///< Ok, NotLeader, NotBootstrapped, DiskFull, CommandTooLarge or MembershipChangePending.
        LogIndex index = 0; ///< Index of the entry.
        Term term = 0; ///< Its term; a commit of another term at this index means that the proposal was lost.
    };

    /** Starts from durable state. A restart and the first start after bootstrap go the same way. */
    ReplicatedLog(ReplicatedLogOptions options, DurableLogState durable, RandomSource random, SnapshotReader snapshotReader, TimePoint now);
    ~ReplicatedLog();
    ReplicatedLog(ReplicatedLog&&) noexcept;
    ReplicatedLog& operator=(ReplicatedLog&&) noexcept;

    /** Forms the group: writes the first membership entry. Refused with AlreadyBootstrapped when there is any state. */
    ResultCode bootstrap(const wire::Membership& membership, TimePoint now, LogOutput& output);

    /** Advances timers. To be called at least every heartbeat interval. */
    LogOutput tick(TimePoint now);

    /** Handles a message of another member. */
    LogOutput receive(VmId from, uint64_t fromIncarnation, const wire::LogMessage& message, TimePoint now);

    /** Proposes commands as one batch (one sync); gives the index of the first in `proposal`. */
    LogOutput propose(const std::vector<std::string>& payloads, TimePoint now, Proposal& proposal);

    /** Proposes a change of one member: add as learner, promote to voter (replacing its old incarnation), or remove. */
    LogOutput proposeMembership(const wire::Membership& next, TimePoint now, Proposal& proposal);

    /**
     * Tells that all entries up to an index and the last hard state are synced.
     * @param term Term of the entry at that index; a leader also takes its current term.
     */
    LogOutput synced(LogIndex index, Term term, TimePoint now);

    /** Tells that the hard state of a term is synced. Until then heartbeats are answered only after their sync. */
    void hardStateSynced(Term term);

    /**
     * Tells that a snapshot up to this index was stored. Entries before it are dropped from memory, except for the last
     * ones that fit in one message, so that a member which lags by less needs no snapshot.
     */
    void compacted(const SnapshotMeta& meta);

    /** Sets whether the disk takes writes; proposals are refused with DiskFull while it does not. */
    void setDiskFull(bool full);

    /** Starts the hand-over of leadership to the most up-to-date voter. */
    LogOutput handOver(TimePoint now);

    /** Returns whether this member leads and heard from a quorum within the election timeout. */
    bool hasQuorum(TimePoint now) const;

    LogRole role() const; ///< Current role.
    Term term() const; ///< Current term.
    VmId leader() const; ///< Known leader; 0 for none.
    LogIndex commitIndex() const; ///< Last committed entry.
    LogIndex lastIndex() const; ///< Last entry held.
    const wire::Membership& membership() const; ///< Newest membership in the log.
    bool membershipCommitted() const; ///< Whether it is committed.
    LogIndex matchIndex(VmId vm) const; ///< Leader only: last entry known to be synced at a member.
    bool caughtUp(VmId vm) const; ///< Leader only: whether a learner is close enough to be promoted.

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace kingcup
