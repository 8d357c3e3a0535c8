/** @file ReplicatedLogLeader.cpp Replication, commit, quorum check and leadership transfer on the leader. */
#include "ReplicatedLogState.h"

#include <algorithm>

namespace kingcup {

namespace {

constexpr size_t maxMessagesInFlight = 256; ///< Limit of unacknowledged messages with entries per member.
constexpr size_t maxBytesInFlight = 4u << 20; ///< Limit of bytes in unacknowledged messages per member; bounds what is queued for a member that is down.
constexpr Milliseconds fullDiskTransferDelay { 2000 }; ///< If the disks of all members fill up together, each member has reported it by then, and the leader stays.

/** Removes the messages in flight that a member has acknowledged. */
void removeAcknowledged(LogPeer& peer)
{
    while (!peer.inFlight.empty() && peer.inFlight.front().first <= peer.matchIndex) {
        peer.inFlightBytes -= peer.inFlight.front().second;
        peer.inFlight.pop_front();
    }
}

/** Starts again to find out where the log of a member ends, from this index on. */
void startProbing(LogPeer& peer, LogIndex nextIndex)
{
    peer.nextIndex = nextIndex;
    peer.isProbing = true;
    peer.inFlight.clear();
    peer.inFlightBytes = 0;
}

} // namespace

LogIndex ReplicatedLog::State::appendNewEntry(wire::EntryType type, const std::string& payload, ReplicatedLogOutput& output)
{
    wire::LogEntry entry;
    entry.set_index(this->log.lastIndex() + 1);
    entry.set_term(this->hardState.term);
    entry.set_type(type);
    entry.set_payload(payload);
    this->uncommittedBytes += payload.size();
    output.write.entries.push_back(entry);
    this->log.append(std::move(entry));
    return this->log.lastIndex();
}

void ReplicatedLog::State::rebuildPeers(LogIndex nextIndex)
{
    std::map<MemberId, LogPeer> oldPeers = std::move(this->peers);
    this->peers.clear();
    for (const wire::Member& member : this->log.membership().members()) {
        MemberId id { member.vm_id(), member.incarnation() };
        if (id == this->selfId())
            continue;
        auto found = oldPeers.find(id);
        LogPeer& peer = this->peers[id];
        if (found != oldPeers.end())
            peer = std::move(found->second);
        else
            peer.nextIndex = nextIndex;
        peer.isVoter = member.voter();
    }
}

void ReplicatedLog::State::startHeartbeatRound(TimePoint now, ReplicatedLogOutput& output)
{
    this->recentRounds.emplace_back(++this->currentRound, now);
    while (now - this->recentRounds.front().second > this->options.electionTimeout)
        this->recentRounds.pop_front();
    this->nextHeartbeatTime = now + this->options.heartbeatInterval;
    this->sendToAll(true, output);
}

void ReplicatedLog::State::sendToAll(bool isHeartbeat, ReplicatedLogOutput& output)
{
    for (auto& [id, peer] : this->peers)
        this->sendTo(id, peer, isHeartbeat, output);
}

void ReplicatedLog::State::sendTo(const MemberId& id, LogPeer& peer, bool isHeartbeat, ReplicatedLogOutput& output)
{
    if (peer.snapshotData || !this->log.termAt(peer.nextIndex - 1)) {
        if (isHeartbeat || !peer.snapshotData)
            this->sendSnapshotChunk(id, peer, output);
        return;
    }
    bool hasSentEntries = false;
    for (; this->canSendEntries(peer); hasSentEntries = true)
        this->sendEntries(id, peer, this->log.slice(peer.nextIndex, this->options.maxEntriesPerMessage, this->options.maxBytesPerMessage), output);
    // A message without entries detects lost ones: the member refuses it if the entry before it is missing.
    if (isHeartbeat && !hasSentEntries)
        this->sendEntries(id, peer, {}, output);
}

bool ReplicatedLog::State::canSendEntries(const LogPeer& peer) const
{
    bool hasRoom = peer.inFlight.size() < maxMessagesInFlight && peer.inFlightBytes < maxBytesInFlight;
    return !peer.isProbing && hasRoom && peer.nextIndex <= this->log.lastIndex();
}

void ReplicatedLog::State::sendEntries(const MemberId& id, LogPeer& peer, std::vector<wire::LogEntry> entries, ReplicatedLogOutput& output)
{
    wire::LogMessage message;
    wire::AppendRequest& request = *message.mutable_append_request();
    request.set_term(this->hardState.term);
    request.set_previous_index(peer.nextIndex - 1);
    request.set_previous_term(*this->log.termAt(peer.nextIndex - 1));
    request.set_commit_index(this->commitIndex);
    request.set_round(this->currentRound);
    for (wire::LogEntry& entry : entries)
        *request.add_entries() = std::move(entry);
    if (request.entries_size()) {
        peer.nextIndex += static_cast<LogIndex>(request.entries_size());
        peer.inFlight.emplace_back(peer.nextIndex - 1, request.ByteSizeLong());
        peer.inFlightBytes += peer.inFlight.back().second;
    }
    this->send(id, std::move(message), this->isTermSynced, output);
}

void ReplicatedLog::State::sendSnapshotChunk(const MemberId& id, LogPeer& peer, ReplicatedLogOutput& output)
{
    if (!peer.snapshotData) {
        auto data = std::make_shared<const std::string>(this->snapshotReader());
        if (data->empty())
            return;
        peer.snapshotData = std::move(data);
        peer.snapshotMeta = this->log.snapshot();
        peer.snapshotOffset = 0;
    }
    wire::LogMessage message;
    wire::SnapshotRequest& request = *message.mutable_snapshot_request();
    request.set_term(this->hardState.term);
    request.set_last_index(peer.snapshotMeta.lastIndex);
    request.set_last_term(peer.snapshotMeta.lastTerm);
    *request.mutable_membership() = peer.snapshotMeta.membership;
    request.set_offset(peer.snapshotOffset);
    request.set_chunk(peer.snapshotData->substr(peer.snapshotOffset, this->options.snapshotChunkBytes));
    request.set_last_chunk(peer.snapshotOffset + request.chunk().size() == peer.snapshotData->size());
    request.set_round(this->currentRound);
    peer.snapshotRound = this->currentRound;
    this->send(id, std::move(message), this->isTermSynced, output);
}

void ReplicatedLog::State::recordAnsweredRound(LogPeer& peer, uint64_t answeredRound)
{
    for (const auto& [number, sent] : this->recentRounds) {
        if (number == answeredRound && (!peer.answeredRoundTime || *peer.answeredRoundTime < sent))
            peer.answeredRoundTime = sent;
    }
}

LogPeer* ReplicatedLog::State::acceptAnswer(const MemberId& from, Term answerTerm, uint64_t answeredRound, TimePoint now, ReplicatedLogOutput& output)
{
    if (answerTerm > this->hardState.term && this->findMember(from))
        this->becomeFollower(answerTerm, 0, now, output);
    LogPeer* peer = this->findPeer(from);
    if (!peer || this->role != LogRole::Leader || answerTerm != this->hardState.term)
        return nullptr;
    this->recordAnsweredRound(*peer, answeredRound);
    return peer;
}

bool ReplicatedLog::State::probeAfterRefusal(LogPeer& peer, LogIndex conflict) const
{
    if (!conflict)
        return false;
    LogIndex nextIndex = std::clamp<LogIndex>(conflict, peer.matchIndex + 1, this->log.lastIndex() + 1);
    // After one lost message the member refuses all later ones; only the first refusal restarts the probing.
    if (peer.isProbing && nextIndex >= peer.nextIndex)
        return false;
    startProbing(peer, nextIndex);
    return true;
}

void ReplicatedLog::State::receiveAppendAnswer(const MemberId& from, const wire::AppendAnswer& answer, TimePoint now, ReplicatedLogOutput& output)
{
    LogPeer* peer = this->acceptAnswer(from, answer.term(), answer.round(), now, output);
    if (!peer)
        return;
    peer->lacksDiskSpace = answer.disk_full();
    if (answer.round_only())
        return;
    if (answer.accepted()) {
        peer->matchIndex = std::max<LogIndex>(peer->matchIndex, answer.match_index());
        peer->nextIndex = std::max(peer->nextIndex, peer->matchIndex + 1);
        peer->isProbing = false;
        removeAcknowledged(*peer);
        this->advanceCommitIndex(now, output);
    } else if (!this->probeAfterRefusal(*peer, answer.conflict_index())) {
        return;
    }
    if (this->role != LogRole::Leader)
        return;
    this->sendTo(from, *peer, !answer.accepted(), output);
    this->advanceLeadershipTransfer(now, output);
}

void ReplicatedLog::State::receiveSnapshotAnswer(const MemberId& from, const wire::SnapshotAnswer& answer, TimePoint now, ReplicatedLogOutput& output)
{
    LogPeer* peer = this->acceptAnswer(from, answer.term(), answer.round(), now, output);
    if (!peer)
        return;
    if (answer.installed()) {
        peer->matchIndex = std::max<LogIndex>(peer->matchIndex, answer.last_index());
        startProbing(*peer, peer->matchIndex + 1);
        peer->snapshotData.reset();
        this->advanceCommitIndex(now, output);
        if (this->role == LogRole::Leader)
            this->sendTo(from, *peer, true, output);
    } else if (peer->snapshotData && peer->snapshotMeta.lastIndex == answer.last_index()) {
        bool hasAdvanced = answer.next_offset() > peer->snapshotOffset;
        // Only an answer to the newest chunk proves that the receiver lost earlier ones; an answer to an older chunk may just be late.
        bool hasLostChunks = answer.next_offset() < peer->snapshotOffset && answer.round() >= peer->snapshotRound;
        if (hasAdvanced || hasLostChunks)
            peer->snapshotOffset = std::min<size_t>(answer.next_offset(), peer->snapshotData->size());
        // A duplicated answer must not start a second stream of chunks. After a loss, the next heartbeat sends the chunk again.
        if (hasAdvanced)
            this->sendSnapshotChunk(from, *peer, output);
    }
}

void ReplicatedLog::State::advanceCommitIndex(TimePoint now, ReplicatedLogOutput& output)
{
    std::vector<LogIndex> matchIndexes;
    for (const auto& [id, peer] : this->peers) {
        if (peer.isVoter)
            matchIndexes.push_back(peer.matchIndex);
    }
    if (this->selfIsVoter())
        matchIndexes.push_back(this->syncedIndex);
    std::sort(matchIndexes.rbegin(), matchIndexes.rend());
    LogIndex index = matchIndexes[this->quorumSize() - 1];
    // Only entries of the current term are committed by counting copies; earlier entries are committed along with them.
    if (index <= this->commitIndex || this->log.termAt(index) != this->hardState.term)
        return;
    this->commitTo(index, output);
    if (this->log.membershipIndex() <= this->commitIndex && !this->selfIsVoter())
        this->becomeFollower(this->hardState.term, 0, now, output);
}

std::optional<TimePoint> ReplicatedLog::State::quorumContactTime(TimePoint now) const
{
    std::vector<TimePoint> contactTimes;
    for (const auto& [id, peer] : this->peers) {
        if (peer.isVoter && peer.answeredRoundTime)
            contactTimes.push_back(*peer.answeredRoundTime);
    }
    if (this->selfIsVoter())
        contactTimes.push_back(now);
    std::sort(contactTimes.rbegin(), contactTimes.rend());
    if (contactTimes.size() < this->quorumSize())
        return std::nullopt;
    return contactTimes[this->quorumSize() - 1];
}

bool ReplicatedLog::State::hasLostQuorum(TimePoint now) const
{
    if (!this->options.isQuorumCheckEnabled)
        return false;
    TimePoint time = std::max(this->quorumContactTime(now).value_or(this->leaderSince), this->leaderSince);
    return now - time >= this->options.electionTimeout;
}

bool ReplicatedLog::State::hasQuorum(TimePoint now) const
{
    if (this->role != LogRole::Leader || this->commitIndex < this->termStartIndex)
        return false;
    // After TimeoutNow was sent, the target may be elected at any moment.
    if (this->leadershipTransfer && this->leadershipTransfer->isTimeoutNowSent)
        return false;
    if (!this->options.isQuorumCheckEnabled)
        return true;
    std::optional<TimePoint> time = this->quorumContactTime(now);
    return time && now - *time < this->options.electionTimeout;
}

void ReplicatedLog::State::tickLeader(TimePoint now, ReplicatedLogOutput& output)
{
    if (this->hasLostQuorum(now)) {
        this->becomeFollower(this->hardState.term, 0, now, output);
        return;
    }
    this->transferFromFullDisk(now, output);
    this->advanceLeadershipTransfer(now, output);
    if (this->role == LogRole::Leader && now >= this->nextHeartbeatTime)
        this->startHeartbeatRound(now, output);
}

/** Transfers leadership from a full disk, because this leader can neither replace lost members nor put a configuration in force. */
void ReplicatedLog::State::transferFromFullDisk(TimePoint now, ReplicatedLogOutput& output)
{
    if (this->diskSpace == DiskSpace::Sufficient)
        this->spaceLackingSince.reset();
    else if (!this->spaceLackingSince)
        this->spaceLackingSince = now;
    else if (now - *this->spaceLackingSince >= fullDiskTransferDelay)
        this->startLeadershipTransfer(TransferTargets::VotersWithRoom, now, output);
}

bool ReplicatedLog::State::canLead(const LogPeer& peer, TimePoint now) const
{
    return !peer.lacksDiskSpace && peer.answeredRoundTime && now - *peer.answeredRoundTime < this->options.electionTimeout;
}

void ReplicatedLog::State::startLeadershipTransfer(TransferTargets targets, TimePoint now, ReplicatedLogOutput& output)
{
    if (this->role != LogRole::Leader || this->leadershipTransfer)
        return;
    auto rank = [&](const LogPeer& peer) { return std::pair(this->canLead(peer, now), peer.matchIndex); };
    const std::pair<const MemberId, LogPeer>* best = nullptr;
    for (const auto& row : this->peers) {
        bool isCandidate = row.second.isVoter && (targets == TransferTargets::AnyVoter || this->canLead(row.second, now));
        if (isCandidate && (!best || rank(row.second) > rank(best->second)))
            best = &row;
    }
    if (!best)
        return;
    this->leadershipTransfer = LeadershipTransfer { best->first, now, false };
    this->advanceLeadershipTransfer(now, output);
}

void ReplicatedLog::State::advanceLeadershipTransfer(TimePoint now, ReplicatedLogOutput& output)
{
    if (!this->leadershipTransfer)
        return;
    if (now - this->leadershipTransfer->startTime >= this->options.electionTimeout) {
        // A delayed TimeoutNow may still start an election, so the lease must not be used again in this term.
        if (this->leadershipTransfer->isTimeoutNowSent)
            this->becomeFollower(this->hardState.term, 0, now, output);
        this->leadershipTransfer.reset();
        return;
    }
    auto target = this->peers.find(this->leadershipTransfer->target);
    if (this->leadershipTransfer->isTimeoutNowSent || target == this->peers.end() || target->second.matchIndex < this->log.lastIndex())
        return;
    wire::LogMessage message;
    message.mutable_timeout_now()->set_term(this->hardState.term);
    // On a full disk no sync may end, so the message must not wait for one.
    this->send(this->leadershipTransfer->target, std::move(message), this->isTermSynced, output);
    this->leadershipTransfer->isTimeoutNowSent = true;
}

} // namespace kingcup
