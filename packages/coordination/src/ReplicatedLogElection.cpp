/** @file ReplicatedLogElection.cpp Roles, pre-votes, votes, and the leadership transfer on the member that takes over. */
#include "ReplicatedLogState.h"

#include <algorithm>

namespace kingcup {

namespace {

constexpr double minPreVoteIntervalRatio = 0.25; ///< Shortest time between two pre-votes, in election timeouts.
constexpr double restartPreVoteIntervalRatio = 0.05; ///< The same for the leader of the current term after its restart, since the only thing it waits for is a majority.
constexpr double restartDurationRatio = 5; ///< Time after a start, in election timeouts, in which a former leader repeats pre-votes that often.

} // namespace

void ReplicatedLog::State::setHardState(Term term, VmId votedFor, ReplicatedLogOutput& output)
{
    this->hardState = { term, votedFor, false };
    output.write.hardState = this->hardState;
}

void ReplicatedLog::State::send(const MemberId& to, wire::LogMessage message, bool mayPrecedeSync, ReplicatedLogOutput& output) const
{
    auto& messages = mayPrecedeSync ? output.messagesBeforeSync : output.messagesAfterSync;
    messages.push_back({ to.vm, to.incarnation, std::move(message) });
}

void ReplicatedLog::State::resetElectionTimer(TimePoint now)
{
    this->electionDeadline = now + this->options.electionTimeout * (1 + this->random.fraction());
}

void ReplicatedLog::State::becomeFollower(Term newTerm, VmId newLeader, TimePoint now, ReplicatedLogOutput& output)
{
    if (newTerm > this->hardState.term)
        this->setHardState(newTerm, 0, output);
    // A follower keeps its election timer; if it were reset here, requests of higher terms could delay the elections of this member forever.
    if (this->role != LogRole::Follower)
        this->resetElectionTimer(now);
    this->role = LogRole::Follower;
    this->leader = newLeader;
    this->grantedVotes.clear();
    this->peers.clear();
    this->leadershipTransfer.reset();
}

void ReplicatedLog::State::startPreVote(TimePoint now, ReplicatedLogOutput& output)
{
    this->grantedVotes = { this->selfId() };
    if (!this->options.isPreVoteEnabled || this->isQuorum(this->grantedVotes)) {
        this->startElection(false, now, output);
        return;
    }
    this->role = LogRole::PreCandidate;
    this->leader = 0;
    // A pre-vote changes no term, so one that was sent too early is repeated soon.
    bool isFormerLeader = this->endedTerm && this->endedTerm == this->hardState.term;
    Milliseconds interval = this->options.electionTimeout * (minPreVoteIntervalRatio * (1 + this->random.fraction()));
    if (isFormerLeader && now < this->startTime + this->options.electionTimeout * restartDurationRatio)
        interval = this->options.electionTimeout * restartPreVoteIntervalRatio;
    else if (isFormerLeader)
        interval = std::min(interval, this->options.heartbeatInterval);
    this->electionDeadline = now + interval;
    this->sendVoteRequests(true, false, output);
}

void ReplicatedLog::State::startElection(bool isLeadershipTransfer, TimePoint now, ReplicatedLogOutput& output)
{
    this->role = LogRole::Candidate;
    this->leader = 0;
    this->grantedVotes = { this->selfId() };
    this->setHardState(this->hardState.term + 1, this->options.self, output);
    this->resetElectionTimer(now);
    this->isTermSynced = false;
    if (this->isQuorum(this->grantedVotes))
        this->becomeLeader(now, output);
    else
        this->sendVoteRequests(false, isLeadershipTransfer, output);
}

void ReplicatedLog::State::sendVoteRequests(bool isPreVote, bool isLeadershipTransfer, ReplicatedLogOutput& output) const
{
    for (const wire::Member& member : this->log.membership().members()) {
        if (!member.voter() || this->isSameMember(member, this->selfId()))
            continue;
        wire::LogMessage message;
        wire::VoteRequest& request = *message.mutable_vote_request();
        request.set_pre_vote(isPreVote);
        request.set_term(this->hardState.term + (isPreVote ? 1 : 0));
        request.set_last_index(this->log.lastIndex());
        request.set_last_term(this->log.lastTerm());
        request.set_hand_over(isLeadershipTransfer);
        request.set_ended_term(this->endedTerm);
        this->send({ member.vm_id(), member.incarnation() }, std::move(message), false, output);
    }
}

bool ReplicatedLog::State::isLogUpToDate(const wire::VoteRequest& request) const
{
    return std::pair(request.last_term(), request.last_index()) >= std::pair(this->log.lastTerm(), this->log.lastIndex());
}

bool ReplicatedLog::State::hasRecentLeaderContact(TimePoint now) const
{
    return this->role == LogRole::Leader || now - this->lastLeaderContact < this->options.electionTimeout;
}

bool ReplicatedLog::State::mayOtherLeaderHoldLease(const wire::VoteRequest& request, TimePoint now) const
{
    // The only leader of this term was a process that has ended. Leases of earlier terms expired before it was elected.
    bool hasLeaderEnded = request.ended_term() && request.ended_term() == this->hardState.term && this->role != LogRole::Leader;
    return this->hasRecentLeaderContact(now) && !request.hand_over() && !hasLeaderEnded;
}

void ReplicatedLog::State::receiveVoteRequest(const MemberId& from, const wire::VoteRequest& request, TimePoint now, ReplicatedLogOutput& output)
{
    // A member that is not listed has no vote. A learner votes, because the entry that promotes it may not have arrived yet.
    if (!this->findMember(this->selfId()))
        return;
    wire::LogMessage message;
    wire::VoteAnswer& answer = *message.mutable_vote_answer();
    answer.set_pre_vote(request.pre_vote());
    bool isRefused = this->mayOtherLeaderHoldLease(request, now);
    if (request.pre_vote()) {
        answer.set_granted(!isRefused && request.term() > this->hardState.term && this->isLogUpToDate(request));
        answer.set_term(answer.granted() ? request.term() : this->hardState.term);
        this->send(from, std::move(message), false, output);
        return;
    }
    if (isRefused)
        return;
    if (request.term() > this->hardState.term)
        this->becomeFollower(request.term(), 0, now, output);
    bool canVote = !this->hardState.votedFor || this->hardState.votedFor == from.vm;
    answer.set_granted(request.term() == this->hardState.term && canVote && this->isLogUpToDate(request));
    answer.set_term(this->hardState.term);
    if (answer.granted()) {
        if (!this->hardState.votedFor)
            this->setHardState(this->hardState.term, from.vm, output);
        this->resetElectionTimer(now);
    }
    this->send(from, std::move(message), false, output);
}

void ReplicatedLog::State::receiveVoteAnswer(const MemberId& from, const wire::VoteAnswer& answer, TimePoint now, ReplicatedLogOutput& output)
{
    if (!answer.granted() && answer.term() > this->hardState.term && this->findMember(from)) {
        this->becomeFollower(answer.term(), 0, now, output);
        return;
    }
    LogRole expectedRole = answer.pre_vote() ? LogRole::PreCandidate : LogRole::Candidate;
    Term expectedTerm = this->hardState.term + (answer.pre_vote() ? 1 : 0);
    if (!answer.granted() || this->role != expectedRole || answer.term() != expectedTerm)
        return;
    this->grantedVotes.insert(from);
    if (!this->isQuorum(this->grantedVotes))
        return;
    if (answer.pre_vote()) {
        this->startElection(false, now, output);
        return;
    }
    // Vote requests are sent only after the sync, so an answer proves that the term and the log are synced.
    this->isTermSynced = true;
    this->syncedIndex = this->log.lastIndex();
    this->becomeLeader(now, output);
}

void ReplicatedLog::State::becomeLeader(TimePoint now, ReplicatedLogOutput& output)
{
    this->role = LogRole::Leader;
    this->leader = this->options.self;
    this->hardState.wasElected = true;
    output.write.hardState = this->hardState;
    this->leaderSince = now;
    this->recentRounds.clear();
    this->peers.clear();
    this->leadershipTransfer.reset();
    this->spaceLackingSince.reset();
    this->incomingSnapshot.reset();
    this->uncommittedBytes = 0;
    this->termStartIndex = this->appendNewEntry(wire::ENTRY_EMPTY, {}, output);
    this->rebuildPeers(this->termStartIndex);
    this->startHeartbeatRound(now, output);
}

void ReplicatedLog::State::receiveTimeoutNow(const MemberId& from, const wire::TimeoutNow& request, TimePoint now, ReplicatedLogOutput& output)
{
    if (request.term() != this->hardState.term || this->role != LogRole::Follower || this->leader != from.vm)
        return;
    if (this->selfIsVoter())
        this->startElection(true, now, output);
}

} // namespace kingcup
