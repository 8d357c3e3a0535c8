/** @file ReplicatedLogLeader.cpp Replication, commit, quorum check and leadership transfer on the leader. */
#include "ReplicatedLogState.h"

#include <algorithm>

namespace kingcup {

namespace {

constexpr size_t maxMessagesInFlight = 256; ///< Limit of unacknowledged messages with entries per member.
constexpr size_t maxBytesInFlight = 4u << 20; ///< Limit of bytes in unacknowledged messages per member; bounds what is queued for a member that is down.

/** Removes the messages in flight that a member has acknowledged. */
void dropAnswered(LogPeer& peer)
{
    while (!peer.inFlight.empty() && peer.inFlight.front().first <= peer.match) {
        peer.inFlightBytes -= peer.inFlight.front().second;
        peer.inFlight.pop_front();
    }
}

/** Starts again to find out where the log of a member ends, from this index on. */
void probeFrom(LogPeer& peer, LogIndex next)
{
    peer.next = next;
    peer.probing = true;
    peer.inFlight.clear();
    peer.inFlightBytes = 0;
}

} // namespace

LogIndex ReplicatedLog::State::appendOwn(wire::EntryType type, const std::string& payload, ReplicatedLogOutput& output)
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

void ReplicatedLog::State::rebuildPeers(LogIndex next)
{
    std::map<MemberId, LogPeer> kept = std::move(this->peers);
    this->peers.clear();
    for (const wire::Member& member : this->log.membership().members()) {
        MemberId id { member.vm_id(), member.incarnation() };
        if (id == this->self())
            continue;
        auto found = kept.find(id);
        LogPeer& peer = this->peers[id];
        if (found != kept.end())
            peer = std::move(found->second);
        else
            peer.next = next;
        peer.voter = member.voter();
    }
}

void ReplicatedLog::State::startRound(TimePoint now, ReplicatedLogOutput& output)
{
    this->rounds.emplace_back(++this->round, now);
    while (now - this->rounds.front().second > this->options.electionTimeout)
        this->rounds.pop_front();
    this->nextHeartbeat = now + this->options.heartbeatInterval;
    this->sendAll(true, output);
}

void ReplicatedLog::State::sendAll(bool heartbeat, ReplicatedLogOutput& output)
{
    for (auto& [id, peer] : this->peers)
        this->sendTo(id, peer, heartbeat, output);
}

void ReplicatedLog::State::sendTo(const MemberId& id, LogPeer& peer, bool heartbeat, ReplicatedLogOutput& output)
{
    if (peer.snapshotData || !this->log.termAt(peer.next - 1)) {
        if (heartbeat || !peer.snapshotData)
            this->sendSnapshotChunk(id, peer, output);
        return;
    }
    bool sent = false;
    for (; this->takesEntries(peer); sent = true)
        this->sendEntries(id, peer, this->log.slice(peer.next, this->options.maxEntriesPerMessage, this->options.maxBytesPerMessage), output);
    // A message without entries detects lost ones: the member refuses it if the entry before it is missing.
    if (heartbeat && !sent)
        this->sendEntries(id, peer, {}, output);
}

bool ReplicatedLog::State::takesEntries(const LogPeer& peer) const
{
    bool room = peer.inFlight.size() < maxMessagesInFlight && peer.inFlightBytes < maxBytesInFlight;
    return !peer.probing && room && peer.next <= this->log.lastIndex();
}

void ReplicatedLog::State::sendEntries(const MemberId& id, LogPeer& peer, std::vector<wire::LogEntry> entries, ReplicatedLogOutput& output)
{
    wire::LogMessage message;
    wire::AppendRequest& request = *message.mutable_append_request();
    request.set_term(this->hardState.term);
    request.set_previous_index(peer.next - 1);
    request.set_previous_term(*this->log.termAt(peer.next - 1));
    request.set_commit_index(this->commitIndex);
    request.set_round(this->round);
    for (wire::LogEntry& entry : entries)
        *request.add_entries() = std::move(entry);
    if (request.entries_size()) {
        peer.next += static_cast<LogIndex>(request.entries_size());
        peer.inFlight.emplace_back(peer.next - 1, request.ByteSizeLong());
        peer.inFlightBytes += peer.inFlight.back().second;
    }
    this->send(id, std::move(message), this->termSynced, output);
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
    request.set_round(this->round);
    peer.snapshotRound = this->round;
    this->send(id, std::move(message), this->termSynced, output);
}

void ReplicatedLog::State::noteRound(LogPeer& peer, uint64_t answeredRound)
{
    for (const auto& [number, sent] : this->rounds) {
        if (number == answeredRound && (!peer.answeredRound || *peer.answeredRound < sent))
            peer.answeredRound = sent;
    }
}

LogPeer* ReplicatedLog::State::answeringPeer(const MemberId& from, Term answerTerm, uint64_t answeredRound, TimePoint now, ReplicatedLogOutput& output)
{
    if (answerTerm > this->hardState.term && this->findMember(from))
        this->becomeFollower(answerTerm, 0, now, output);
    LogPeer* peer = this->findPeer(from);
    if (!peer || this->role != LogRole::Leader || answerTerm != this->hardState.term)
        return nullptr;
    this->noteRound(*peer, answeredRound);
    return peer;
}

bool ReplicatedLog::State::probeAfterRefusal(LogPeer& peer, LogIndex conflict) const
{
    if (!conflict)
        return false;
    LogIndex next = std::clamp<LogIndex>(conflict, peer.match + 1, this->log.lastIndex() + 1);
    // After one lost message the member refuses all later ones; only the first refusal restarts the probing.
    if (peer.probing && next >= peer.next)
        return false;
    probeFrom(peer, next);
    return true;
}

void ReplicatedLog::State::receiveAppendAnswer(const MemberId& from, const wire::AppendAnswer& answer, TimePoint now, ReplicatedLogOutput& output)
{
    LogPeer* peer = this->answeringPeer(from, answer.term(), answer.round(), now, output);
    if (!peer)
        return;
    if (answer.round_only())
        return;
    if (answer.accepted()) {
        peer->match = std::max<LogIndex>(peer->match, answer.match_index());
        peer->next = std::max(peer->next, peer->match + 1);
        peer->probing = false;
        dropAnswered(*peer);
        this->advanceCommit(now, output);
    } else if (!this->probeAfterRefusal(*peer, answer.conflict_index())) {
        return;
    }
    if (this->role != LogRole::Leader)
        return;
    this->sendTo(from, *peer, !answer.accepted(), output);
    this->advanceHandOver(now, output);
}

void ReplicatedLog::State::receiveSnapshotAnswer(const MemberId& from, const wire::SnapshotAnswer& answer, TimePoint now, ReplicatedLogOutput& output)
{
    LogPeer* peer = this->answeringPeer(from, answer.term(), answer.round(), now, output);
    if (!peer)
        return;
    if (answer.installed()) {
        peer->match = std::max<LogIndex>(peer->match, answer.last_index());
        probeFrom(*peer, peer->match + 1);
        peer->snapshotData.reset();
        this->advanceCommit(now, output);
        if (this->role == LogRole::Leader)
            this->sendTo(from, *peer, true, output);
    } else if (peer->snapshotData && peer->snapshotMeta.lastIndex == answer.last_index()) {
        bool advanced = answer.next_offset() > peer->snapshotOffset;
        // Only an answer to the newest chunk proves that the receiver lost earlier ones; an answer to an older chunk may just be late.
        bool lost = answer.next_offset() < peer->snapshotOffset && answer.round() >= peer->snapshotRound;
        if (advanced || lost)
            peer->snapshotOffset = std::min<size_t>(answer.next_offset(), peer->snapshotData->size());
        // A duplicated answer must not start a second stream of chunks. After a loss, the next heartbeat sends the chunk again.
        if (advanced)
            this->sendSnapshotChunk(from, *peer, output);
    }
}

void ReplicatedLog::State::advanceCommit(TimePoint now, ReplicatedLogOutput& output)
{
    std::vector<LogIndex> matches;
    for (const auto& [id, peer] : this->peers) {
        if (peer.voter)
            matches.push_back(peer.match);
    }
    if (this->selfIsVoter())
        matches.push_back(this->syncedIndex);
    std::sort(matches.rbegin(), matches.rend());
    LogIndex index = matches[this->quorum() - 1];
    // Only entries of the current term are committed by counting copies; earlier entries are committed along with them.
    if (index <= this->commitIndex || this->log.termAt(index) != this->hardState.term)
        return;
    this->commitTo(index, output);
    if (this->log.membershipIndex() <= this->commitIndex && !this->selfIsVoter())
        this->becomeFollower(this->hardState.term, 0, now, output);
}

std::optional<TimePoint> ReplicatedLog::State::quorumTime(TimePoint now) const
{
    std::vector<TimePoint> times;
    for (const auto& [id, peer] : this->peers) {
        if (peer.voter && peer.answeredRound)
            times.push_back(*peer.answeredRound);
    }
    if (this->selfIsVoter())
        times.push_back(now);
    std::sort(times.rbegin(), times.rend());
    if (times.size() < this->quorum())
        return std::nullopt;
    return times[this->quorum() - 1];
}

bool ReplicatedLog::State::lostQuorum(TimePoint now) const
{
    if (!this->options.isQuorumCheckEnabled)
        return false;
    TimePoint time = std::max(this->quorumTime(now).value_or(this->leaderSince), this->leaderSince);
    return now - time >= this->options.electionTimeout;
}

bool ReplicatedLog::State::hasQuorum(TimePoint now) const
{
    if (this->role != LogRole::Leader || this->commitIndex < this->firstOwnIndex)
        return false;
    // After TimeoutNow was sent, the target may be elected at any moment.
    if (this->handOver && this->handOver->requested)
        return false;
    if (!this->options.isQuorumCheckEnabled)
        return true;
    std::optional<TimePoint> time = this->quorumTime(now);
    return time && now - *time < this->options.electionTimeout;
}

void ReplicatedLog::State::tickLeader(TimePoint now, ReplicatedLogOutput& output)
{
    if (this->lostQuorum(now)) {
        this->becomeFollower(this->hardState.term, 0, now, output);
        return;
    }
    this->advanceHandOver(now, output);
    if (this->role == LogRole::Leader && now >= this->nextHeartbeat)
        this->startRound(now, output);
}

void ReplicatedLog::State::startHandOver(TimePoint now, ReplicatedLogOutput& output)
{
    if (this->role != LogRole::Leader || this->handOver)
        return;
    const std::pair<const MemberId, LogPeer>* best = nullptr;
    for (const auto& row : this->peers) {
        if (row.second.voter && (!best || row.second.match > best->second.match))
            best = &row;
    }
    if (!best)
        return;
    this->handOver = HandOver { best->first, now, false };
    this->advanceHandOver(now, output);
}

void ReplicatedLog::State::advanceHandOver(TimePoint now, ReplicatedLogOutput& output)
{
    if (!this->handOver)
        return;
    if (now - this->handOver->started >= this->options.electionTimeout) {
        // A delayed TimeoutNow may still start an election, so the lease must not be used again in this term.
        if (this->handOver->requested)
            this->becomeFollower(this->hardState.term, 0, now, output);
        this->handOver.reset();
        return;
    }
    auto target = this->peers.find(this->handOver->target);
    if (this->handOver->requested || target == this->peers.end() || target->second.match < this->log.lastIndex())
        return;
    wire::LogMessage message;
    message.mutable_timeout_now()->set_term(this->hardState.term);
    this->send(this->handOver->target, std::move(message), false, output);
    this->handOver->requested = true;
}

} // namespace kingcup
