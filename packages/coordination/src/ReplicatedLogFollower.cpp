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
        LogIndex previous = request.previous_index();
        // Committed entries are the same on all members, so terms are compared only at later positions.
        bool continues = previous <= this->commitIndex || this->log.termAt(previous) == request.previous_term();
        LogIndex match = continues ? this->appendMissing(request, output) : 0;
        if (continues && match == previous + static_cast<LogIndex>(request.entries_size())) {
            match = std::max(match, this->commitIndex);
            answer.set_accepted(true);
            answer.set_match_index(match);
            this->commitTo(std::min<LogIndex>(request.commit_index(), match), output);
        } else if (!this->diskFull) {
            answer.set_conflict_index(this->conflictIndex(previous));
        }
        // While the disk is full, the refusal has no conflict index, so that the leader does not send the entries again at once.
    }
    answer.set_term(this->hardState.term);
    this->answerRound(from, answer, output);
    this->send(from, std::move(message), false, output);
}

void ReplicatedLog::State::answerRound(const MemberId& from, const wire::AppendAnswer& answer, ReplicatedLogOutput& output) const
{
    // Without this answer, a disk that stalls for longer than the election timeout would look like a lost member to the leader.
    bool termIsSynced = this->syncedTerm == this->hardState.term && !output.write.hardState;
    if (!answer.accepted() || !termIsSynced)
        return;
    wire::LogMessage message;
    wire::AppendAnswer& early = *message.mutable_append_answer();
    early.set_term(answer.term());
    early.set_accepted(true);
    early.set_round(answer.round());
    early.set_round_only(true);
    this->send(from, std::move(message), true, output);
}

LogIndex ReplicatedLog::State::appendMissing(const wire::AppendRequest& request, ReplicatedLogOutput& output)
{
    LogIndex match = request.previous_index();
    for (const wire::LogEntry& entry : request.entries()) {
        bool held = entry.index() <= this->commitIndex || this->log.termAt(entry.index()) == entry.term();
        if (!held) {
            if (this->diskFull)
                break;
            if (entry.index() <= this->log.lastIndex()) {
                this->log.truncateFrom(entry.index());
                this->syncedIndex = std::min(this->syncedIndex, entry.index() - 1);
                output.write.truncateFrom = entry.index();
            }
            this->log.append(entry);
            output.write.entries.push_back(entry);
        }
        match = entry.index();
    }
    return match;
}

LogIndex ReplicatedLog::State::conflictIndex(LogIndex previous) const
{
    if (previous > this->log.lastIndex())
        return this->log.lastIndex() + 1;
    LogIndex index = previous;
    while (index > this->commitIndex + 1 && this->log.termAt(index - 1) == this->log.termAt(previous))
        --index;
    return index;
}

void ReplicatedLog::State::commitTo(LogIndex index, ReplicatedLogOutput& output)
{
    while (this->commitIndex < index) {
        ++this->commitIndex;
        const wire::LogEntry& entry = this->log.at(this->commitIndex);
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
        bool held = request.last_index() <= this->commitIndex || this->log.termAt(request.last_index()) == request.last_term();
        if (held) {
            this->commitTo(request.last_index(), output);
            answer.set_installed(true);
        } else if (!this->diskFull && this->storeChunk(request)) {
            this->install(output);
            answer.set_installed(true);
        }
        answer.set_next_offset(this->incoming ? this->incoming->data.size() : 0);
    }
    answer.set_term(this->hardState.term);
    this->send(from, std::move(message), false, output);
}

bool ReplicatedLog::State::storeChunk(const wire::SnapshotRequest& request)
{
    bool same = this->incoming && this->incoming->term == request.term() && this->incoming->meta.lastIndex == request.last_index();
    if (!same) {
        this->incoming.emplace();
        this->incoming->term = request.term();
        this->incoming->meta = { request.last_index(), request.last_term(), request.membership() };
    }
    if (request.offset() != this->incoming->data.size())
        return false;
    this->incoming->data += request.chunk();
    return request.last_chunk();
}

void ReplicatedLog::State::install(ReplicatedLogOutput& output)
{
    const SnapshotMeta& meta = this->incoming->meta;
    if (this->log.lastIndex() > meta.lastIndex)
        output.write.truncateFrom = meta.lastIndex + 1;
    this->log.reset(meta);
    this->commitIndex = meta.lastIndex;
    this->syncedIndex = meta.lastIndex;
    output.receivedSnapshot = ReceivedSnapshot { meta, std::move(this->incoming->data) };
    this->incoming.reset();
}

} // namespace kingcup
