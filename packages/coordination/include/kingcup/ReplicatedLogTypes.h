/** @file ReplicatedLogTypes.h Small types of the replicated log. */
#pragma once

#include "kingcup/EnumNames.h"
#include "kingcup/MillisecondClock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "kingcup.pb.h"

namespace kingcup {

using GroupId = uint32_t; ///< One replicated log of a deployment.
using VmId = uint32_t; ///< Id of a control VM, 1 or more.
using LogIndex = uint64_t; ///< Position in the log; the first entry has index 1.
using Term = uint64_t; ///< Number of an election.

/** Role of a member. */
enum class LogRole {
    Follower, ///< Follows a leader or waits for one.
    PreCandidate, ///< Asks whether an election could succeed.
    Candidate, ///< Runs an election.
    Leader, ///< Orders the entries.
};

constexpr EnumName<LogRole> logRoleNames[] = {
    { LogRole::Follower, "follower" },
    { LogRole::PreCandidate, "pre-candidate" },
    { LogRole::Candidate, "candidate" },
    { LogRole::Leader, "leader" },
};

/** Timing and size limits of the replicated log. */
struct ReplicatedLogOptions {
    GroupId group = 0; ///< Which log this is.
    VmId self = 0; ///< This VM.
    uint64_t incarnation = 0; ///< Incarnation of this VM's data folder.
    Milliseconds electionTimeout { 600 }; ///< Lower bound; the randomised value is up to twice as long.
    Milliseconds heartbeatInterval { 100 }; ///< Leader to followers.
    size_t maxEntriesPerMessage = 256; ///< Entries in one AppendRequest.
    size_t maxBytesPerMessage = 512u << 10; ///< Payload bytes in one AppendRequest.
    size_t snapshotChunkBytes = 256u << 10; ///< Bytes in one SnapshotRequest.
    size_t maxUncommittedBytes = 16u << 20; ///< More proposals are refused beyond this.
    bool checkQuorum = true; ///< Test switch: a leader without quorum steps down.
    bool preVote = true; ///< Test switch: elections are preceded by a pre-vote.
    bool checkIncarnation = true; ///< Test switch: messages of a stale incarnation are dropped.
};

/** Term and vote, synced before a message that depends on them is sent. */
struct HardState {
    Term term = 0; ///< Current term.
    VmId votedFor = 0; ///< 0: no vote in this term.
    bool led = false; ///< This member led this term. May be missing after a crash, but is never wrong.
    bool operator==(const HardState&) const = default;
};

/** Position and membership that a snapshot covers. */
struct SnapshotMeta {
    LogIndex lastIndex = 0; ///< Last entry inside the snapshot.
    Term lastTerm = 0; ///< Its term.
    wire::Membership membership; ///< Members as of that entry.
};

/** What the journal held at the start of the process. */
struct DurableLogState {
    HardState hardState; ///< Term and vote.
    SnapshotMeta snapshot; ///< Zero when there is none.
    std::vector<wire::LogEntry> entries; ///< Entries after the snapshot.
};

/** A message to one member. */
struct OutgoingLogMessage {
    VmId to = 0; ///< Receiver.
    uint64_t toIncarnation = 0; ///< Incarnation that it is meant for; 0 when not known.
    wire::LogMessage message; ///< Content.
};

/** Entries and term to be written; messages of the same output wait until that is synced. */
struct LogWrite {
    std::optional<HardState> hardState; ///< New term or vote.
    LogIndex truncateFrom = 0; ///< Entries from here on are dropped first; 0: none.
    std::vector<wire::LogEntry> entries; ///< Appended.
    bool empty() const { return !this->hardState && !this->truncateFrom && this->entries.empty(); }
};

/** A snapshot that arrived whole from the leader; to be stored and loaded before anything else is applied. */
struct ReceivedSnapshot {
    SnapshotMeta meta; ///< Position.
    std::string data; ///< Saved state machine.
};

/** What the daemon has to do after an event, in this order: write and sync, then send, then apply. */
struct LogOutput {
    LogWrite write; ///< To the journal.
    std::optional<ReceivedSnapshot> snapshot; ///< To the snapshot store, before `write`.
    std::vector<OutgoingLogMessage> messagesBeforeSync; ///< May be sent at once (appends of a leader).
    std::vector<OutgoingLogMessage> messagesAfterSync; ///< Sent only after `write` and those of all earlier outputs are synced.
    std::vector<wire::LogEntry> committed; ///< To be applied in order.
    bool roleChanged = false; ///< The role or the known leader changed.
};

} // namespace kingcup
