/** @file ReplicatedLog.cpp Public functions of ReplicatedLog. */
#include "kingcup/ReplicatedLog.h"

#include "ReplicatedLogState.h"

#include <algorithm>

namespace kingcup {

namespace {

/** Runs a step on a member. Returns its output, in which it sets whether the role or the known leader changed. */
template <typename Member, typename Step>
ReplicatedLogOutput runStep(Member& member, Step step)
{
    LogRole role = member.role;
    VmId leader = member.leader;
    ReplicatedLogOutput output;
    step(output);
    output.hasRoleChanged = role != member.role || leader != member.leader;
    return output;
}

} // namespace

ReplicatedLog::State::State(ReplicatedLogOptions options, DurableLogState durable, RandomSource random, SnapshotReader snapshotReader, TimePoint now)
    : options(options)
    , random(random)
    , snapshotReader(std::move(snapshotReader))
    , log(durable.snapshot, std::move(durable.entries))
    , hardState(durable.hardState)
    , endedTerm(durable.hardState.wasElected ? durable.hardState.term : 0)
    , commitIndex(durable.snapshot.lastIndex)
    , syncedIndex(log.lastIndex())
    , syncedTerm(durable.hardState.term)
    , startTime(now)
    , lastLeaderContact(now)
{
    this->resetElectionTimer(now);
    // No other member can be the leader of the term that this member led, so its first tick starts a pre-vote.
    if (this->endedTerm)
        this->electionDeadline = now;
}

ReplicatedLog::ReplicatedLog(ReplicatedLogOptions options, DurableLogState durable, RandomSource random, SnapshotReader snapshotReader, TimePoint now)
    : state(std::make_unique<State>(options, std::move(durable), random, std::move(snapshotReader), now))
{
}

ReplicatedLog::~ReplicatedLog() = default;
ReplicatedLog::ReplicatedLog(ReplicatedLog&&) noexcept = default;
ReplicatedLog& ReplicatedLog::operator=(ReplicatedLog&&) noexcept = default;

ResultCode ReplicatedLog::bootstrap(const wire::Membership& membership, TimePoint now, ReplicatedLogOutput& output)
{
    State& member = *this->state;
    if (member.hardState.term || member.log.lastIndex())
        return ResultCode::AlreadyBootstrapped;
    ResultCode code = member.checkFirstMembership(membership);
    if (code != ResultCode::Ok)
        return code;
    member.setHardState(1, 0, output);
    member.appendMembership(membership, output);
    member.resetElectionTimer(now);
    return ResultCode::Ok;
}

ReplicatedLogOutput ReplicatedLog::tick(TimePoint now)
{
    State& member = *this->state;
    return runStep(member, [&](ReplicatedLogOutput& output) {
        if (member.role == LogRole::Leader)
            member.tickLeader(now, output);
        else if (now >= member.electionDeadline && member.selfIsVoter())
            member.startPreVote(now, output);
    });
}

ReplicatedLogOutput ReplicatedLog::receive(VmId from, uint64_t fromIncarnation, const wire::LogMessage& message, TimePoint now)
{
    State& member = *this->state;
    return runStep(member, [&](ReplicatedLogOutput& output) {
        if (member.role == LogRole::Leader && member.hasLostQuorum(now))
            member.becomeFollower(member.hardState.term, 0, now, output);
        member.dispatch({ from, fromIncarnation }, message, now, output);
    });
}

void ReplicatedLog::State::dispatch(const MemberId& from, const wire::LogMessage& message, TimePoint now, ReplicatedLogOutput& output)
{
    switch (message.body_case()) {
    case wire::LogMessage::kVoteRequest:
        return this->receiveVoteRequest(from, message.vote_request(), now, output);
    case wire::LogMessage::kVoteAnswer:
        return this->receiveVoteAnswer(from, message.vote_answer(), now, output);
    case wire::LogMessage::kAppendRequest:
        return this->receiveAppend(from, message.append_request(), now, output);
    case wire::LogMessage::kAppendAnswer:
        return this->receiveAppendAnswer(from, message.append_answer(), now, output);
    case wire::LogMessage::kSnapshotRequest:
        return this->receiveSnapshot(from, message.snapshot_request(), now, output);
    case wire::LogMessage::kSnapshotAnswer:
        return this->receiveSnapshotAnswer(from, message.snapshot_answer(), now, output);
    case wire::LogMessage::kTimeoutNow:
        return this->receiveTimeoutNow(from, message.timeout_now(), now, output);
    case wire::LogMessage::BODY_NOT_SET:
        return;
    }
}

ReplicatedLogOutput ReplicatedLog::propose(const std::vector<std::string>& payloads, TimePoint now, Proposal& proposal)
{
    State& member = *this->state;
    ReplicatedLogOutput output;
    proposal = {};
    size_t totalBytes = 0;
    size_t largestPayloadBytes = 0;
    for (const std::string& payload : payloads) {
        totalBytes += payload.size();
        largestPayloadBytes = std::max(largestPayloadBytes, payload.size());
    }
    proposal.code = member.checkProposal(now);
    if (proposal.code == ResultCode::Ok && !member.hasSpaceForCommands())
        proposal.code = ResultCode::DiskFull;
    if (proposal.code != ResultCode::Ok)
        return output;
    if (largestPayloadBytes > member.options.maxCommandBytes)
        proposal.code = ResultCode::CommandTooLarge;
    else if (member.uncommittedBytes + totalBytes > member.options.maxUncommittedBytes)
        proposal.code = ResultCode::NoQuorum;
    if (proposal.code != ResultCode::Ok || payloads.empty())
        return output;
    proposal.index = member.log.lastIndex() + 1;
    proposal.term = member.hardState.term;
    for (const std::string& payload : payloads)
        member.appendNewEntry(wire::ENTRY_COMMAND, payload, output);
    member.sendToAll(false, output);
    return output;
}

ReplicatedLogOutput ReplicatedLog::proposeMembership(const wire::Membership& next, TimePoint now, Proposal& proposal)
{
    State& member = *this->state;
    ReplicatedLogOutput output;
    proposal = {};
    proposal.code = member.checkMembershipChange(next, now);
    if (proposal.code != ResultCode::Ok)
        return output;
    proposal.index = member.appendMembership(next, output);
    proposal.term = member.hardState.term;
    member.rebuildPeers(proposal.index);
    member.sendToAll(false, output);
    return output;
}

ReplicatedLogOutput ReplicatedLog::recordSync(LogIndex index, Term term, TimePoint now)
{
    State& member = *this->state;
    return runStep(member, [&](ReplicatedLogOutput& output) {
        bool isLeaderOfTerm = member.role == LogRole::Leader && term == member.hardState.term;
        member.isTermSynced = member.isTermSynced || isLeaderOfTerm;
        if (isLeaderOfTerm || member.log.termAt(index) == term)
            member.syncedIndex = std::max(member.syncedIndex, std::min(index, member.log.lastIndex()));
        if (member.role == LogRole::Leader)
            member.advanceCommitIndex(now, output);
    });
}

void ReplicatedLog::recordHardStateSync(Term term)
{
    this->state->syncedTerm = std::max(this->state->syncedTerm, term);
}

void ReplicatedLog::compact(const SnapshotMeta& meta)
{
    State& member = *this->state;
    if (meta.lastIndex > member.log.snapshot().lastIndex && meta.lastIndex <= member.commitIndex)
        member.log.compact(meta, member.options.maxBytesPerMessage);
}

void ReplicatedLog::setDiskSpace(DiskSpace space)
{
    this->state->diskSpace = space;
}

ReplicatedLogOutput ReplicatedLog::transferLeadership(TimePoint now)
{
    ReplicatedLogOutput output;
    this->state->startLeadershipTransfer(TransferTargets::AnyVoter, now, output);
    return output;
}

bool ReplicatedLog::canTransferLeadership(TimePoint now) const
{
    const State& member = *this->state;
    return std::any_of(member.peers.begin(), member.peers.end(), [&](const auto& row) { return row.second.isVoter && member.canLead(row.second, now); });
}

bool ReplicatedLog::hasQuorum(TimePoint now) const
{
    return this->state->hasQuorum(now);
}

LogRole ReplicatedLog::role() const
{
    return this->state->role;
}

Term ReplicatedLog::term() const
{
    return this->state->hardState.term;
}

VmId ReplicatedLog::leader() const
{
    return this->state->leader;
}

LogIndex ReplicatedLog::commitIndex() const
{
    return this->state->commitIndex;
}

LogIndex ReplicatedLog::lastIndex() const
{
    return this->state->log.lastIndex();
}

const wire::Membership& ReplicatedLog::membership() const
{
    return this->state->log.membership();
}

bool ReplicatedLog::isMembershipCommitted() const
{
    return this->state->log.membershipIndex() <= this->state->commitIndex;
}

LogIndex ReplicatedLog::matchIndex(VmId vm) const
{
    if (vm == this->state->options.self)
        return this->state->syncedIndex;
    const LogPeer* peer = this->state->findPeerOfVm(vm);
    return peer ? peer->matchIndex : 0;
}

bool ReplicatedLog::isCaughtUp(VmId vm) const
{
    return this->state->isCaughtUp(vm);
}

} // namespace kingcup
