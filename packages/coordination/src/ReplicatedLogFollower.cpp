/** @file ReplicatedLogFollower.cpp Appends and snapshots on the receiving member. */
#include "ReplicatedLogState.h"

#include <algorithm>

namespace kingcup {

bool ReplicatedLog::State::acceptLeader(const MemberId& from, Term leaderTerm, TimePoint now, ReplicatedLogOutput& output)
{
    if (leaderTerm < this->hardState.term)
        return false;
    if (leaderTerm > this->hardState.term || this->role != LogRole::Follower)
        this->becomeFollower(leaderTerm, from.vm, now, output);
    this->leader = from.vm;
    this->lastLeaderContact = now;
    this->resetElectionTimer(now);
    return true;
}

void ReplicatedLog::State::receiveAppend(const MemberId& from, const wire::AppendRequest& request, TimePoint now, ReplicatedLogOutput& output)
{
    wire::LogMessage message;
    wire::AppendAnswer& answer = *message.mutable_append_answer();
    answer.set_round(request.round());
    if (this->acceptLeader(from, request.term(), now, output)) {
        LogIndex previousIndex = request.previous_index();
        // Committed entries are the same on all members, so terms are compared only at later positions.
        bool isConsistent = previousIndex <= this->commitIndex || this->log.termAt(previousIndex) == request.previous_term();
        LogIndex matchIndex = isConsistent ? this->appendMissingEntries(request, output) : 0;
        if (isConsistent && matchIndex == previousIndex + static_cast<LogIndex>(request.entries_size())) {
            matchIndex = std::max(matchIndex, this->commitIndex);
            answer.set_accepted(true);
            answer.set_match_index(matchIndex);
            this->commitTo(std::min<LogIndex>(request.commit_index(), matchIndex), output);
        } else if (this->diskSpace != DiskSpace::Full) {
            answer.set_conflict_index(this->conflictIndex(previousIndex));
        }
        // While the disk is full, the refusal has no conflict index, so that the leader does not send the entries again at once.
    }
    answer.set_term(this->hardState.term);
    answer.set_disk_full(this->diskSpace != DiskSpace::Sufficient);
    if (answer.accepted() || this->diskSpace == DiskSpace::Full)
        this->sendRoundAnswer(from, request.term(), request.round(), output);
    this->send(from, std::move(message), false, output);
}

void ReplicatedLog::State::sendRoundAnswer(const MemberId& from, Term leaderTerm, uint64_t round, ReplicatedLogOutput& output) const
{
    // Without this answer, a disk that stalls or is full for longer than the election timeout would look like a lost member to the leader.
    bool isCurrentTermSynced = this->syncedTerm == this->hardState.term && !output.write.hardState;
    if (leaderTerm != this->hardState.term || !isCurrentTermSynced)
        return;
    wire::LogMessage message;
    wire::AppendAnswer& roundAnswer = *message.mutable_append_answer();
    roundAnswer.set_term(leaderTerm);
    roundAnswer.set_accepted(true);
    roundAnswer.set_round(round);
    roundAnswer.set_round_only(true);
    roundAnswer.set_disk_full(this->diskSpace != DiskSpace::Sufficient);
    this->send(from, std::move(message), true, output);
}

LogIndex ReplicatedLog::State::appendMissingEntries(const wire::AppendRequest& request, ReplicatedLogOutput& output)
{
    LogIndex matchIndex = request.previous_index();
    for (const wire::LogEntry& entry : request.entries()) {
        bool isHeld = entry.index() <= this->commitIndex || this->log.termAt(entry.index()) == entry.term();
        if (!isHeld) {
            if (this->diskSpace == DiskSpace::Full)
                break;
            if (entry.index() <= this->log.lastIndex()) {
                this->log.truncateFrom(entry.index());
                this->syncedIndex = std::min(this->syncedIndex, entry.index() - 1);
                output.write.truncateFrom = entry.index();
            }
            this->log.append(entry);
            output.write.entries.push_back(entry);
        }
        matchIndex = entry.index();
    }
    return matchIndex;
}

LogIndex ReplicatedLog::State::conflictIndex(LogIndex previousIndex) const
{
    if (previousIndex > this->log.lastIndex())
        return this->log.lastIndex() + 1;
    LogIndex index = previousIndex;
    while (index > this->commitIndex + 1 && this->log.termAt(index - 1) == this->log.termAt(previousIndex))
        --index;
    return index;
}

void ReplicatedLog::State::commitTo(LogIndex index, ReplicatedLogOutput& output)
{
    while (this->commitIndex < index) {
        ++this->commitIndex;
        const wire::LogEntry& entry = this->log.entryAt(this->commitIndex);
        if (entry.term() == this->hardState.term)
            this->uncommittedBytes -= std::min(this->uncommittedBytes, entry.payload().size());
        output.committedEntries.push_back(entry);
    }
}

void ReplicatedLog::State::receiveSnapshot(const MemberId& from, const wire::SnapshotRequest& request, TimePoint now, ReplicatedLogOutput& output)
{
    wire::LogMessage message;
    wire::SnapshotAnswer& answer = *message.mutable_snapshot_answer();
    answer.set_round(request.round());
    answer.set_last_index(request.last_index());
    if (this->acceptLeader(from, request.term(), now, output)) {
        bool isHeld = request.last_index() <= this->commitIndex || this->log.termAt(request.last_index()) == request.last_term();
        if (isHeld) {
            this->commitTo(request.last_index(), output);
            answer.set_installed(true);
        } else if (this->diskSpace == DiskSpace::Sufficient && this->storeChunk(request)) {
            this->installSnapshot(output);
            answer.set_installed(true);
        }
        answer.set_next_offset(this->incomingSnapshot ? this->incomingSnapshot->data.size() : 0);
    }
    answer.set_term(this->hardState.term);
    if (this->diskSpace == DiskSpace::Full)
        this->sendRoundAnswer(from, request.term(), request.round(), output);
    this->send(from, std::move(message), false, output);
}

bool ReplicatedLog::State::storeChunk(const wire::SnapshotRequest& request)
{
    bool isSameSnapshot = this->incomingSnapshot && this->incomingSnapshot->term == request.term() && this->incomingSnapshot->meta.lastIndex == request.last_index();
    if (!isSameSnapshot) {
        this->incomingSnapshot.emplace();
        this->incomingSnapshot->term = request.term();
        this->incomingSnapshot->meta = { request.last_index(), request.last_term(), request.membership() };
    }
    if (request.offset() != this->incomingSnapshot->data.size())
        return false;
    this->incomingSnapshot->data += request.chunk();
    return request.last_chunk();
}

void ReplicatedLog::State::installSnapshot(ReplicatedLogOutput& output)
{
    const SnapshotMeta& meta = this->incomingSnapshot->meta;
    if (this->log.lastIndex() > meta.lastIndex)
        output.write.truncateFrom = meta.lastIndex + 1;
    this->log.reset(meta);
    this->commitIndex = meta.lastIndex;
    this->syncedIndex = meta.lastIndex;
    output.receivedSnapshot = ReceivedSnapshot { meta, std::move(this->incomingSnapshot->data) };
    this->incomingSnapshot.reset();
}

} // namespace kingcup
