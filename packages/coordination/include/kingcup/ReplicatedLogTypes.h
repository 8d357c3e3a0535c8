/** @file ReplicatedLogTypes.h Types and options of the replicated log. */
#pragma once

#include "kingcup/EnumNames.h"
#include "kingcup/MillisecondClock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "kingcup.pb.h"

namespace kingcup {

using GroupId = uint32_t; ///< Number of a replicated log in a deployment.
using VmId = uint32_t; ///< Id of a control VM, 1 or more.
using LogIndex = uint64_t; ///< Position in the log; the first entry has index 1.
using Term = uint64_t; ///< Election term; at most one leader is elected in it.

/** Role of a member of a replicated log. */
enum class LogRole {
    Follower, ///< Replicates from a leader or waits for one.
    PreCandidate, ///< Collects pre-votes, which change no term, to find out whether an election could succeed.
    Candidate, ///< Collects votes in a new term.
    Leader, ///< Appends entries and replicates them.
};

constexpr EnumName<LogRole> logRoleNames[] = {
    { LogRole::Follower, "follower" },
    { LogRole::PreCandidate, "pre-candidate" },
    { LogRole::Candidate, "candidate" },
    { LogRole::Leader, "leader" },
};

/** Free space on the disk of a member. */
enum class DiskSpace {
    Sufficient,
    Short, ///< Below the reserve. Entries that a leader has accepted are still written, snapshots are not; a leader accepts no new commands.
    Full, ///< The latest write was refused. Nothing more is accepted.
};

/** Timing and size limits of the replicated log. */
struct ReplicatedLogOptions {
    GroupId group = 0; ///< Log that this member belongs to.
    VmId self = 0; ///< VM of this member.
    uint64_t incarnation = 0; ///< Incarnation of this VM's data folder.
    Milliseconds electionTimeout { 600 }; ///< Lower bound of the election timer, which is set to a random value up to twice as long.
    Milliseconds heartbeatInterval { 100 }; ///< Time between two heartbeat rounds of the leader.
    size_t maxEntriesPerMessage = 256; ///< Limit of entries in one AppendRequest.
    size_t maxBytesPerMessage = 512u << 10; ///< Limit of payload bytes in one AppendRequest; a larger command is sent alone.
    size_t maxCommandBytes = 24u << 20; ///< Limit of the payload of one command; a larger one is refused. Above what the largest manifest takes.
    size_t snapshotChunkBytes = 256u << 10; ///< Snapshot bytes in one SnapshotRequest.
    size_t maxUncommittedBytes = 32u << 20; ///< Limit of payload bytes that a leader has proposed but not committed; proposals beyond it are refused.
    bool isQuorumCheckEnabled = true; ///< Whether a leader that lost its quorum steps down. Disabled only in tests.
    bool isPreVoteEnabled = true; ///< Whether a pre-vote precedes each election. Disabled only in tests.
    bool isIncarnationCheckEnabled = true; ///< Whether messages of a stale incarnation are dropped. Disabled only in tests.
};

/** Term and vote. Synced before any message that depends on them is sent. */
struct HardState {
    Term term = 0;
    VmId votedFor = 0; ///< Candidate that got the vote of this member in this term; 0 if none did.
    bool wasElected = false; ///< Whether this member was elected leader of this term. A crash may lose a true value, but true is never wrong.
    bool operator==(const HardState&) const = default;
};

/** Log position and membership of a snapshot. */
struct SnapshotMeta {
    LogIndex lastIndex = 0; ///< Last entry that the snapshot covers.
    Term lastTerm = 0; ///< Term of the last entry.
    wire::Membership membership; ///< Members as of the last entry.
};

/** State that was read from the disk at the start of the process. */
struct DurableLogState {
    HardState hardState;
    SnapshotMeta snapshot; ///< Newest snapshot; its position is 0 if there is none.
    std::vector<wire::LogEntry> entries; ///< Entries after the snapshot.
};

/** Message to one member. */
struct OutgoingLogMessage {
    VmId to = 0; ///< Receiving member.
    uint64_t toIncarnation = 0; ///< Incarnation of the receiver; 0 if unknown.
    wire::LogMessage message;
};

/** Changes to be written to the journal. */
struct LogWrite {
    std::optional<HardState> hardState; ///< Term and vote, if they changed.
    LogIndex truncateFrom = 0; ///< First index of the entries that are dropped before the new ones are appended; 0 if none are dropped.
    std::vector<wire::LogEntry> entries; ///< Entries to append.
    bool empty() const { return !this->hardState && !this->truncateFrom && this->entries.empty(); }
};

/** Complete snapshot received from the leader. It must be stored and loaded before any later entry is applied. */
struct ReceivedSnapshot {
    SnapshotMeta meta;
    std::string data; ///< Serialised state machine.
};

/** Work for the owner of a replicated log after an event, in this order: store the snapshot, write and sync, send, apply. */
struct ReplicatedLogOutput {
    LogWrite write; ///< Changes to the journal.
    std::optional<ReceivedSnapshot> receivedSnapshot; ///< Snapshot to store before `write`.
    std::vector<OutgoingLogMessage> messagesBeforeSync; ///< Messages that may be sent at once, such as appends of a leader.
    std::vector<OutgoingLogMessage> messagesAfterSync; ///< Messages to be sent only after `write` and the writes of all earlier outputs are synced.
    std::vector<wire::LogEntry> committedEntries; ///< Newly committed entries, to be applied in order.
    bool hasRoleChanged = false; ///< Whether the role or the known leader changed.
};

} // namespace kingcup
