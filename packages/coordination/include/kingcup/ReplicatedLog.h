/** @file ReplicatedLog.h Raft-style replicated log as a state machine without I/O. */
#pragma once

#include "kingcup/RandomSource.h"
#include "kingcup/ReplicatedLogTypes.h"
#include "kingcup/ResultCode.h"

#include <functional>
#include <memory>

namespace kingcup {

/**
 * One member of a leader-based replicated log. Not thread-safe. It does no I/O: every call returns the work for its owner,
 * which calls recordSync() once the `write` part of an output is synced to disk.
 */
class ReplicatedLog {
public:
    /** Returns the bytes of the newest stored snapshot; it is sent to members whose next entry was compacted away. Empty if there is none. */
    using SnapshotReader = std::function<std::string()>;

    /** Result of a proposal. */
    struct Proposal {
        ResultCode code = ResultCode::Ok; ///< Ok, NotLeader, NotBootstrapped, DiskFull, CommandTooLarge, NoQuorum, MembershipChangePending, CommandMalformed or NotCaughtUp.
        LogIndex index = 0; ///< Index of the first proposed entry.
        Term term = 0; ///< Term of the entry. If an entry of another term is committed at this index, the proposal was lost.
    };

    /** Starts from durable state, both after a restart and on an empty data folder. */
    ReplicatedLog(ReplicatedLogOptions options, DurableLogState durable, RandomSource random, SnapshotReader snapshotReader, TimePoint now);
    ~ReplicatedLog();
    ReplicatedLog(ReplicatedLog&&) noexcept;
    ReplicatedLog& operator=(ReplicatedLog&&) noexcept;

    /**
     * Forms the group by writing the first membership entry.
     * Errors: AlreadyBootstrapped if there is a term or an entry, CommandMalformed, UnknownVm if the membership lacks this member.
     */
    ResultCode bootstrap(const wire::Membership& membership, TimePoint now, ReplicatedLogOutput& output);

    /** Handles elapsed timers. Must be called at least once per heartbeat interval. */
    ReplicatedLogOutput tick(TimePoint now);

    /** Handles a message from another member. */
    ReplicatedLogOutput receive(VmId from, uint64_t fromIncarnation, const wire::LogMessage& message, TimePoint now);

    /** Proposes commands as one batch, which takes one sync. Sets `proposal` to the result code and the index of the first entry. */
    ReplicatedLogOutput propose(const std::vector<std::string>& payloads, TimePoint now, Proposal& proposal);

    /** Proposes a membership that differs in one member: added as a learner, promoted to a voter, or removed. A learner is promoted only after its old incarnation was removed. */
    ReplicatedLogOutput proposeMembership(const wire::Membership& next, TimePoint now, Proposal& proposal);

    /**
     * Reports that all entries up to an index and the last hard state are synced.
     * @param term Term of the entry at that index. On a leader its current term is valid as well.
     */
    ReplicatedLogOutput recordSync(LogIndex index, Term term, TimePoint now);

    /** Reports that the hard state of a term is synced. Until then heartbeats of that term are answered only after a sync. */
    void recordHardStateSync(Term term);

    /**
     * Reports that a snapshot was stored, and drops the entries that it covers from memory. The last ones that fit into
     * one message are kept, so that a member which lags by no more than that needs no snapshot.
     */
    void compact(const SnapshotMeta& meta);

    /**
     * Sets the free space on the disk of this member. Commands fail with DiskFull while the disk of the leader, or those of so many
     * voters that the others are no majority, lack space. A follower refuses entries only on a full disk: if all that lack space
     * refused them, a new leader could not commit the first entry of its term, and entry VMs would lose their leases. It accepts a
     * snapshot only with sufficient space: while it waited for room to store one, it could neither vote nor acknowledge anything.
     */
    void setDiskSpace(DiskSpace space);

    /** Starts a leadership transfer to the most up-to-date voter. Does nothing unless this member is the leader. */
    ReplicatedLogOutput transferLeadership(TimePoint now);

    /** Returns whether a voter that answers and has disk space could take over the leadership. Only on the leader. */
    bool canTransferLeadership(TimePoint now) const;

    /**
     * Returns whether this member is the leader, has committed an entry of its term and got answers from a quorum to
     * heartbeat rounds that it sent within the last election timeout. False once a transfer has sent TimeoutNow.
     */
    bool hasQuorum(TimePoint now) const;

    LogRole role() const;
    Term term() const;
    VmId leader() const; ///< Known leader; 0 if there is none.
    LogIndex commitIndex() const; ///< Index of the last committed entry.
    LogIndex lastIndex() const; ///< Index of the last entry in the log, committed or not.
    const wire::Membership& membership() const; ///< Newest membership in the log, committed or not.
    bool isMembershipCommitted() const; ///< Whether the newest membership is committed.
    LogIndex matchIndex(VmId vm) const; ///< Index of the last entry known to be synced at a member; 0 if unknown. For other members only on the leader.
    bool isCaughtUp(VmId vm) const; ///< Whether a learner lags little enough to be promoted. Only on the leader.

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace kingcup
