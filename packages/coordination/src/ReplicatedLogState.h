/** @file ReplicatedLogState.h State of one member of a replicated log, shared by the files that implement it. */
#pragma once

#include "LogEntries.h"
#include "kingcup/ReplicatedLog.h"

#include <deque>
#include <map>
#include <set>
#include <utility>

namespace kingcup {

/** Identifies a member: a repaired VM has the same id with another incarnation. */
struct MemberId {
    VmId vm = 0; ///< Control VM.
    uint64_t incarnation = 0; ///< Incarnation of its data folder.
    bool operator==(const MemberId&) const = default;
    bool operator<(const MemberId& other) const { return std::pair(this->vm, this->incarnation) < std::pair(other.vm, other.incarnation); }
};

/** What a leader knows about another member. */
struct LogPeer {
    bool voter = false; ///< False for a learner.
    LogIndex next = 1; ///< Next entry to send.
    LogIndex match = 0; ///< Last entry known to be synced there.
    bool probing = true; ///< Its log end is unknown, so it gets no entries until it accepts a message.
    std::deque<std::pair<LogIndex, size_t>> inFlight {}; ///< Last index and bytes of the messages ahead of its answers.
    size_t inFlightBytes = 0; ///< Sum of these bytes.
    std::optional<TimePoint> answeredRound; ///< Sending time of the newest round that it answered.
    std::shared_ptr<const std::string> snapshotData; ///< Snapshot in transfer, null for none.
    SnapshotMeta snapshotMeta; ///< What it covers.
    size_t snapshotOffset = 0; ///< Next byte to send.
    uint64_t snapshotRound = 0; ///< Heartbeat round of the newest chunk.
};

/** A hand-over of leadership in progress. */
struct HandOver {
    MemberId target; ///< Next leader.
    TimePoint started {}; ///< When it began.
    bool requested = false; ///< TimeoutNow was sent.
};

/** A snapshot of which chunks arrive. */
struct IncomingSnapshot {
    Term term = 0; ///< Term of the sending leader.
    SnapshotMeta meta; ///< What it covers.
    std::string data; ///< Bytes so far.
};

/** Implementation of ReplicatedLog. */
struct ReplicatedLog::State {
    State(ReplicatedLogOptions options, DurableLogState durable, RandomSource random, SnapshotReader snapshotReader, TimePoint now);

    // Members of the group (ReplicatedLogMembership.cpp).
    /** Returns whether a listed member and a sender are the same, by the incarnation rule. */
    bool sameMember(const wire::Member& member, const MemberId& id) const;
    /** Returns the record of a member in the newest membership, or null. */
    const wire::Member* findMember(const MemberId& id) const;
    /** Returns the peer that sent a message, or null for a stale or unknown incarnation. */
    LogPeer* findPeer(const MemberId& id);
    /** Returns the peer of a VM; during a replacement the learner. */
    const LogPeer* findPeerOf(VmId vm) const;
    bool selfIsVoter() const; ///< Whether the newest membership lists this incarnation as a voter.
    size_t quorum() const; ///< Votes needed in the newest membership.
    /** Returns whether these members hold a quorum of voters. */
    bool isQuorum(const std::set<MemberId>& ids) const;
    MemberId self() const; ///< This member.
    ResultCode checkProposal(TimePoint now) const;
    ResultCode checkFirstMembership(const wire::Membership& membership) const;
    ResultCode checkMembershipChange(const wire::Membership& next, TimePoint now) const;
    LogIndex appendMembership(const wire::Membership& membership, LogOutput& output);
    bool caughtUp(VmId vm) const;

    // Roles (ReplicatedLogElection.cpp).
    void becomeFollower(Term newTerm, VmId newLeader, TimePoint now, LogOutput& output);
    void becomeLeader(TimePoint now, LogOutput& output);
    void startPreVote(TimePoint now, LogOutput& output);
    void startElection(bool handOver, TimePoint now, LogOutput& output);
    void sendVoteRequests(bool preVote, bool handOver, LogOutput& output) const;
    void resetElectionTimer(TimePoint now);
    bool logIsUpToDate(const wire::VoteRequest& request) const;
    bool hearsLeader(TimePoint now) const;
    /** Returns whether a leader to which this member may have promised a lease could still serve. */
    bool supportsOther(const wire::VoteRequest& request, TimePoint now) const;
    void receiveVoteRequest(const MemberId& from, const wire::VoteRequest& request, TimePoint now, LogOutput& output);
    void receiveVoteAnswer(const MemberId& from, const wire::VoteAnswer& answer, TimePoint now, LogOutput& output);
    void receiveTimeoutNow(const MemberId& from, const wire::TimeoutNow& request, TimePoint now, LogOutput& output);

    // Follower (ReplicatedLogFollower.cpp).
    bool acceptLeader(const MemberId& from, Term leaderTerm, TimePoint now, LogOutput& output);
    void receiveAppend(const MemberId& from, const wire::AppendRequest& request, TimePoint now, LogOutput& output);
    /** Answers the heartbeat round before the entries are synced. */
    void answerRound(const MemberId& from, const wire::AppendAnswer& answer, LogOutput& output) const;
    LogIndex appendMissing(const wire::AppendRequest& request, LogOutput& output);
    LogIndex conflictIndex(LogIndex previous) const;
    void receiveSnapshot(const MemberId& from, const wire::SnapshotRequest& request, TimePoint now, LogOutput& output);
    bool storeChunk(const wire::SnapshotRequest& request);
    void install(LogOutput& output);

    // Leader (ReplicatedLogLeader.cpp).
    LogIndex appendOwn(wire::EntryType type, const std::string& payload, LogOutput& output);
    void rebuildPeers(LogIndex next);
    void startRound(TimePoint now, LogOutput& output);
    void sendAll(bool heartbeat, LogOutput& output);
    void sendTo(const MemberId& id, LogPeer& peer, bool heartbeat, LogOutput& output);
    bool takesEntries(const LogPeer& peer) const;
    /** Handles what all answers share. Returns the peer, or null when the answer has no further effect. */
    LogPeer* answeringPeer(const MemberId& from, Term answerTerm, uint64_t answeredRound, TimePoint now, LogOutput& output);
    bool probeAfterRefusal(LogPeer& peer, LogIndex conflict) const;
    void sendEntries(const MemberId& id, LogPeer& peer, std::vector<wire::LogEntry> entries, LogOutput& output);
    void sendSnapshotChunk(const MemberId& id, LogPeer& peer, LogOutput& output);
    void noteRound(LogPeer& peer, uint64_t answeredRound);
    void receiveAppendAnswer(const MemberId& from, const wire::AppendAnswer& answer, TimePoint now, LogOutput& output);
    void receiveSnapshotAnswer(const MemberId& from, const wire::SnapshotAnswer& answer, TimePoint now, LogOutput& output);
    void advanceCommit(TimePoint now, LogOutput& output);
    std::optional<TimePoint> quorumTime(TimePoint now) const;
    bool lostQuorum(TimePoint now) const;
    bool hasQuorum(TimePoint now) const;
    void tickLeader(TimePoint now, LogOutput& output);
    void startHandOver(TimePoint now, LogOutput& output);
    void advanceHandOver(TimePoint now, LogOutput& output);

    // Common.
    void dispatch(const MemberId& from, const wire::LogMessage& message, TimePoint now, LogOutput& output);
    void setHardState(Term term, VmId votedFor, LogOutput& output);
    void commitTo(LogIndex index, LogOutput& output);
    void send(const MemberId& to, wire::LogMessage message, bool beforeSync, LogOutput& output) const;

    ReplicatedLogOptions options;
    RandomSource random;
    SnapshotReader snapshotReader;
    LogEntries log;
    HardState hardState;
    Term endedTerm = 0; ///< Term that an earlier process of this member led. That process has ended, so nobody leads it any more. 0: none.
    LogRole role = LogRole::Follower;
    VmId leader = 0; ///< Known leader; 0 for none.
    LogIndex commitIndex = 0;
    LogIndex syncedIndex = 0; ///< Own entries known to be synced.
    Term syncedTerm = 0; ///< Term known to be synced.
    bool diskFull = false;
    TimePoint lastLeaderContact; ///< A start counts as contact, because the answers sent before it support the leader's lease.
    TimePoint electionDeadline;
    std::set<MemberId> votes; ///< Granted to this candidate or pre-candidate.
    std::optional<IncomingSnapshot> incoming;

    // Leader only.
    std::map<MemberId, LogPeer> peers;
    uint64_t round = 0; ///< Number of the newest heartbeat round.
    std::deque<std::pair<uint64_t, TimePoint>> rounds; ///< Sending times of recent rounds.
    TimePoint leaderSince {};
    TimePoint nextHeartbeat {};
    LogIndex firstOwnIndex = 0; ///< Empty entry of this leader's term.
    bool termSynced = false; ///< The term is synced; until then appends wait for the sync as well.
    size_t uncommittedBytes = 0; ///< Payloads of own entries that are not committed.
    std::optional<HandOver> handOver;
};

} // namespace kingcup
