/** @file ReplicatedLogState.h State of a member of a replicated log, shared by the files that implement ReplicatedLog. */
#pragma once

#include "LogEntries.h"
#include "kingcup/ReplicatedLog.h"

#include <deque>
#include <map>
#include <set>
#include <utility>

namespace kingcup {

/** Identity of a member. A VM that was repaired with an empty disk keeps its id but has another incarnation. */
struct MemberId {
    VmId vm = 0;
    uint64_t incarnation = 0; ///< Incarnation of the data folder of the VM.
    bool operator==(const MemberId&) const = default;
    bool operator<(const MemberId& other) const { return std::pair(this->vm, this->incarnation) < std::pair(other.vm, other.incarnation); }
};

/** Replication state that a leader holds for another member. */
struct LogPeer {
    bool isVoter = false; ///< Whether the member is a voter; otherwise it is a learner.
    LogIndex nextIndex = 1; ///< Index of the next entry to send.
    LogIndex matchIndex = 0; ///< Index of the last entry known to be synced at the member.
    bool isProbing = true; ///< Whether the end of the log of the member is unknown. No entries are sent until the member accepts a message.
    std::deque<std::pair<LogIndex, size_t>> inFlight {}; ///< Last index and size in bytes of each message with entries that is not acknowledged.
    size_t inFlightBytes = 0; ///< Total size of these messages.
    bool lacksDiskSpace = false; ///< Whether the disk of the member was short of space or full at its latest answer to an append.
    std::optional<TimePoint> answeredRoundTime; ///< Sending time of the newest heartbeat round that the member answered; empty if it answered none.
    std::shared_ptr<const std::string> snapshotData; ///< Snapshot that is being sent; null if there is none.
    SnapshotMeta snapshotMeta; ///< Position of the snapshot that is being sent.
    size_t snapshotOffset = 0; ///< Offset of the next chunk in bytes.
    uint64_t snapshotRound = 0; ///< Heartbeat round in which the newest chunk was sent.
};

/** Voters to which a leader may transfer its leadership. */
enum class TransferTargets {
    AnyVoter, ///< All; those that answer and have room on their disks are preferred.
    VotersWithRoom, ///< Only those that answer and have room on their disks.
};

/** Leadership transfer in progress. */
struct LeadershipTransfer {
    MemberId target; ///< Member that is to become the leader.
    TimePoint startTime {}; ///< Time at which the transfer started.
    bool isTimeoutNowSent = false; ///< Whether TimeoutNow was sent to the target.
};

/** Snapshot that is being received in chunks. */
struct IncomingSnapshot {
    Term term = 0; ///< Term of the leader that sends it.
    SnapshotMeta meta;
    std::string data; ///< Bytes received so far.
};

/** Implementation of ReplicatedLog. */
struct ReplicatedLog::State {
    State(ReplicatedLogOptions options, DurableLogState durable, RandomSource random, SnapshotReader snapshotReader, TimePoint now);

    // Membership rules (ReplicatedLogMembership.cpp).
    /** Returns whether a listed member and a sender are the same member. Incarnations must be equal unless that check is disabled. */
    bool isSameMember(const wire::Member& member, const MemberId& id) const;
    /** Returns a member as the newest membership lists it, or null if it is not listed. */
    const wire::Member* findMember(const MemberId& id) const;
    /** Returns the peer with this identity, or null for a stale or unknown incarnation. */
    LogPeer* findPeer(const MemberId& id);
    /** Returns the peer on a VM, or null. If two incarnations of the VM are listed, this is the learner. */
    const LogPeer* findPeerOfVm(VmId vm) const;
    bool selfIsVoter() const; ///< Whether the newest membership lists this incarnation as a voter.
    size_t quorumSize() const; ///< Number of voters that form a majority of the newest membership.
    /** Returns whether these members include a majority of the voters. */
    bool isQuorum(const std::set<MemberId>& ids) const;
    MemberId selfId() const;
    ResultCode checkProposal(TimePoint now) const;
    /** Returns whether this leader and enough of the other voters have space for commands. A voter that has reported nothing counts as one that has. */
    bool hasSpaceForCommands() const;
    ResultCode checkFirstMembership(const wire::Membership& membership) const;
    ResultCode checkMembershipChange(const wire::Membership& next, TimePoint now) const;
    LogIndex appendMembership(const wire::Membership& membership, ReplicatedLogOutput& output);
    bool isCaughtUp(VmId vm) const;

    // Roles and elections (ReplicatedLogElection.cpp).
    void becomeFollower(Term newTerm, VmId newLeader, TimePoint now, ReplicatedLogOutput& output);
    void becomeLeader(TimePoint now, ReplicatedLogOutput& output);
    void startPreVote(TimePoint now, ReplicatedLogOutput& output);
    void startElection(bool isLeadershipTransfer, TimePoint now, ReplicatedLogOutput& output);
    void sendVoteRequests(bool isPreVote, bool isLeadershipTransfer, ReplicatedLogOutput& output) const;
    void resetElectionTimer(TimePoint now);
    bool isLogUpToDate(const wire::VoteRequest& request) const;
    bool hasRecentLeaderContact(TimePoint now) const;
    /** Returns whether a leader other than the sender, possibly this member, may still hold a lease that this member supports. If so, the request gets no vote. */
    bool mayOtherLeaderHoldLease(const wire::VoteRequest& request, TimePoint now) const;
    void receiveVoteRequest(const MemberId& from, const wire::VoteRequest& request, TimePoint now, ReplicatedLogOutput& output);
    void receiveVoteAnswer(const MemberId& from, const wire::VoteAnswer& answer, TimePoint now, ReplicatedLogOutput& output);
    void receiveTimeoutNow(const MemberId& from, const wire::TimeoutNow& request, TimePoint now, ReplicatedLogOutput& output);

    // Follower (ReplicatedLogFollower.cpp).
    bool acceptLeader(const MemberId& from, Term leaderTerm, TimePoint now, ReplicatedLogOutput& output);
    void receiveAppend(const MemberId& from, const wire::AppendRequest& request, TimePoint now, ReplicatedLogOutput& output);
    /** Answers a heartbeat round at once, before earlier writes are synced. */
    void sendRoundAnswer(const MemberId& from, Term leaderTerm, uint64_t round, ReplicatedLogOutput& output) const;
    LogIndex appendMissingEntries(const wire::AppendRequest& request, ReplicatedLogOutput& output);
    LogIndex conflictIndex(LogIndex previousIndex) const;
    void receiveSnapshot(const MemberId& from, const wire::SnapshotRequest& request, TimePoint now, ReplicatedLogOutput& output);
    bool storeChunk(const wire::SnapshotRequest& request);
    void installSnapshot(ReplicatedLogOutput& output);

    // Leader (ReplicatedLogLeader.cpp).
    LogIndex appendNewEntry(wire::EntryType type, const std::string& payload, ReplicatedLogOutput& output);
    void rebuildPeers(LogIndex nextIndex);
    void startHeartbeatRound(TimePoint now, ReplicatedLogOutput& output);
    void sendToAll(bool isHeartbeat, ReplicatedLogOutput& output);
    void sendTo(const MemberId& id, LogPeer& peer, bool isHeartbeat, ReplicatedLogOutput& output);
    bool canSendEntries(const LogPeer& peer) const;
    /** Handles the term and the heartbeat round of an answer. Returns the peer that sent it, or null if the rest of the answer must be ignored. */
    LogPeer* acceptAnswer(const MemberId& from, Term answerTerm, uint64_t answeredRound, TimePoint now, ReplicatedLogOutput& output);
    bool probeAfterRefusal(LogPeer& peer, LogIndex conflict) const;
    void sendEntries(const MemberId& id, LogPeer& peer, std::vector<wire::LogEntry> entries, ReplicatedLogOutput& output);
    void sendSnapshotChunk(const MemberId& id, LogPeer& peer, ReplicatedLogOutput& output);
    void recordAnsweredRound(LogPeer& peer, uint64_t answeredRound);
    void receiveAppendAnswer(const MemberId& from, const wire::AppendAnswer& answer, TimePoint now, ReplicatedLogOutput& output);
    void receiveSnapshotAnswer(const MemberId& from, const wire::SnapshotAnswer& answer, TimePoint now, ReplicatedLogOutput& output);
    void advanceCommitIndex(TimePoint now, ReplicatedLogOutput& output);
    std::optional<TimePoint> quorumContactTime(TimePoint now) const;
    bool hasLostQuorum(TimePoint now) const;
    bool hasQuorum(TimePoint now) const;
    void tickLeader(TimePoint now, ReplicatedLogOutput& output);
    void transferFromFullDisk(TimePoint now, ReplicatedLogOutput& output);
    /** Starts a transfer to the permitted voter with the newest log. Does nothing if there is none or a transfer is in progress. */
    void startLeadershipTransfer(TransferTargets targets, TimePoint now, ReplicatedLogOutput& output);
    /** Returns whether a member answers and has room on its disk. */
    bool canLead(const LogPeer& peer, TimePoint now) const;
    void advanceLeadershipTransfer(TimePoint now, ReplicatedLogOutput& output);

    // Shared by all roles.
    void dispatch(const MemberId& from, const wire::LogMessage& message, TimePoint now, ReplicatedLogOutput& output);
    void setHardState(Term term, VmId votedFor, ReplicatedLogOutput& output);
    void commitTo(LogIndex index, ReplicatedLogOutput& output);
    void send(const MemberId& to, wire::LogMessage message, bool mayPrecedeSync, ReplicatedLogOutput& output) const;

    ReplicatedLogOptions options;
    RandomSource random;
    SnapshotReader snapshotReader;
    LogEntries log;
    HardState hardState;
    Term endedTerm = 0; ///< Term of which an earlier process of this member was the leader; 0 if there is none. That process has ended, so this term has no leader any more.
    LogRole role = LogRole::Follower;
    VmId leader = 0; ///< Known leader; 0 if there is none.
    LogIndex commitIndex = 0;
    LogIndex syncedIndex = 0; ///< Index of the last entry known to be synced on the disk of this member.
    Term syncedTerm = 0; ///< Newest term known to be synced.
    DiskSpace diskSpace = DiskSpace::Sufficient;
    TimePoint startTime; ///< Start of the process.
    TimePoint lastLeaderContact; ///< Time of the last accepted message of a leader. Set at the start as well, because answers that were sent before a restart may still support the lease of the leader.
    TimePoint electionDeadline;
    std::set<MemberId> grantedVotes; ///< Members that granted their vote or pre-vote to this member.
    std::optional<IncomingSnapshot> incomingSnapshot;

    // Used only by the leader.
    std::map<MemberId, LogPeer> peers;
    uint64_t currentRound = 0; ///< Number of the newest heartbeat round.
    std::deque<std::pair<uint64_t, TimePoint>> recentRounds; ///< Numbers and sending times of the rounds sent within the last election timeout.
    TimePoint leaderSince {};
    TimePoint nextHeartbeatTime {};
    LogIndex termStartIndex = 0; ///< Index of the empty entry with which the term of this leader starts.
    std::optional<TimePoint> spaceLackingSince; ///< First tick of this leadership at which the disk lacked space without a break; empty: it has space.
    bool isTermSynced = false; ///< Whether the term is synced; until then appends wait for the sync as well.
    size_t uncommittedBytes = 0; ///< Payload bytes of the uncommitted entries that this leader appended.
    std::optional<LeadershipTransfer> leadershipTransfer;
};

} // namespace kingcup
