/** @file ReplicatedLogMembership.cpp Lookup of members by identity, and the rules of membership changes. */
#include "ReplicatedLogState.h"

#include <algorithm>

namespace kingcup {

namespace {

/** Returns whether a membership can form a group: VMs are distinct and not 0, and at least one is a voter. */
bool canFormGroup(const wire::Membership& membership)
{
    std::set<VmId> vms;
    bool hasVoter = false;
    for (const wire::Member& member : membership.members()) {
        if (!member.vm_id() || !vms.insert(member.vm_id()).second)
            return false;
        hasVoter = hasVoter || member.voter();
    }
    return hasVoter;
}

/** Returns the membership sorted by identity, so that every member writes the same bytes. */
wire::Membership sortedById(const wire::Membership& membership)
{
    wire::Membership result = membership;
    std::sort(result.mutable_members()->begin(), result.mutable_members()->end(), [](const wire::Member& left, const wire::Member& right) {
        return std::pair(left.vm_id(), left.incarnation()) < std::pair(right.vm_id(), right.incarnation());
    });
    return result;
}

using MemberMap = std::map<MemberId, wire::Member>;

/** Returns the members of a membership by identity. */
MemberMap membersById(const wire::Membership& membership)
{
    MemberMap result;
    for (const wire::Member& member : membership.members())
        result[{ member.vm_id(), member.incarnation() }] = member;
    return result;
}

/** Returns whether another incarnation of a VM is a voter. */
bool hasOtherVotingIncarnation(const MemberMap& members, const MemberId& id)
{
    return std::any_of(members.begin(), members.end(), [&](const auto& row) {
        return row.first.vm == id.vm && row.first != id && row.second.voter();
    });
}

/** Returns the members that were added, removed or changed between two memberships. */
std::vector<MemberId> changedMembers(const MemberMap& before, const MemberMap& after)
{
    std::vector<MemberId> changed;
    for (const auto& [id, member] : before) {
        auto found = after.find(id);
        if (found == after.end() || found->second.SerializeAsString() != member.SerializeAsString())
            changed.push_back(id);
    }
    for (const auto& [id, member] : after) {
        if (!before.contains(id))
            changed.push_back(id);
    }
    return changed;
}

bool hasVoter(const MemberMap& members)
{
    return std::any_of(members.begin(), members.end(), [](const auto& row) { return row.second.voter(); });
}

} // namespace

MemberId ReplicatedLog::State::selfId() const
{
    return { this->options.self, this->options.incarnation };
}

bool ReplicatedLog::State::isSameMember(const wire::Member& member, const MemberId& id) const
{
    if (member.vm_id() != id.vm)
        return false;
    return !this->options.isIncarnationCheckEnabled || member.incarnation() == id.incarnation;
}

const wire::Member* ReplicatedLog::State::findMember(const MemberId& id) const
{
    for (const wire::Member& member : this->log.membership().members()) {
        if (this->isSameMember(member, id))
            return &member;
    }
    return nullptr;
}

LogPeer* ReplicatedLog::State::findPeer(const MemberId& id)
{
    const wire::Member* member = this->findMember(id);
    if (!member)
        return nullptr;
    auto found = this->peers.find({ member->vm_id(), member->incarnation() });
    return found == this->peers.end() ? nullptr : &found->second;
}

const LogPeer* ReplicatedLog::State::findPeerOfVm(VmId vm) const
{
    const LogPeer* result = nullptr;
    for (const auto& [id, peer] : this->peers) {
        if (id.vm == vm && (!result || !peer.isVoter))
            result = &peer;
    }
    return result;
}

bool ReplicatedLog::State::selfIsVoter() const
{
    const wire::Member* member = this->findMember(this->selfId());
    return member && member->voter();
}

size_t ReplicatedLog::State::quorumSize() const
{
    const auto& members = this->log.membership().members();
    return static_cast<size_t>(std::count_if(members.begin(), members.end(), [](const wire::Member& member) { return member.voter(); })) / 2 + 1;
}

bool ReplicatedLog::State::isQuorum(const std::set<MemberId>& ids) const
{
    const auto& members = this->log.membership().members();
    auto count = std::count_if(members.begin(), members.end(), [&](const wire::Member& member) {
        return member.voter() && std::any_of(ids.begin(), ids.end(), [&](const MemberId& id) { return this->isSameMember(member, id); });
    });
    return static_cast<size_t>(count) >= this->quorumSize();
}

ResultCode ReplicatedLog::State::checkProposal(TimePoint now) const
{
    if (!this->log.lastIndex())
        return ResultCode::NotBootstrapped;
    if (this->role != LogRole::Leader || this->leadershipTransfer || this->hasLostQuorum(now))
        return ResultCode::NotLeader;
    return this->diskSpace == DiskSpace::Full ? ResultCode::DiskFull : ResultCode::Ok;
}

bool ReplicatedLog::State::hasSpaceForCommands() const
{
    size_t votersWithSpace = this->selfIsVoter() ? 1 : 0;
    for (const auto& [id, peer] : this->peers)
        votersWithSpace += peer.isVoter && !peer.lacksDiskSpace ? 1 : 0;
    return this->diskSpace == DiskSpace::Sufficient && votersWithSpace >= this->quorumSize();
}

ResultCode ReplicatedLog::State::checkFirstMembership(const wire::Membership& membership) const
{
    if (!canFormGroup(membership))
        return ResultCode::CommandMalformed;
    return membersById(membership).contains(this->selfId()) ? ResultCode::Ok : ResultCode::UnknownVm;
}

ResultCode ReplicatedLog::State::checkMembershipChange(const wire::Membership& next, TimePoint now) const
{
    ResultCode code = this->checkProposal(now);
    if (code != ResultCode::Ok)
        return code;
    // Until an entry of this term is committed, a change by an earlier leader may still be undecided.
    if (this->log.membershipIndex() > this->commitIndex || this->commitIndex < this->termStartIndex)
        return ResultCode::MembershipChangePending;
    MemberMap before = membersById(this->log.membership());
    MemberMap after = membersById(next);
    std::vector<MemberId> changed = changedMembers(before, after);
    bool areMembersDistinct = after.size() == static_cast<size_t>(next.members_size());
    if (changed.size() != 1 || !areMembersDistinct || !hasVoter(after))
        return ResultCode::CommandMalformed;
    const MemberId& id = changed.front();
    if (!after.contains(id))
        return ResultCode::Ok;
    bool wasVoter = before.contains(id) && before[id].voter();
    if (wasVoter == after[id].voter())
        return ResultCode::Ok;
    if (wasVoter || !before.contains(id) || hasOtherVotingIncarnation(after, id))
        return ResultCode::CommandMalformed;
    return this->isCaughtUp(id.vm) ? ResultCode::Ok : ResultCode::NotCaughtUp;
}

LogIndex ReplicatedLog::State::appendMembership(const wire::Membership& membership, ReplicatedLogOutput& output)
{
    return this->appendNewEntry(wire::ENTRY_MEMBERSHIP, sortedById(membership).SerializeAsString(), output);
}

bool ReplicatedLog::State::isCaughtUp(VmId vm) const
{
    const LogPeer* peer = this->findPeerOfVm(vm);
    if (!peer || peer->snapshotData)
        return false;
    // The member must hold the newest membership entry and lag by no more than one message.
    bool isLagSmall = peer->matchIndex + this->options.maxEntriesPerMessage >= this->log.lastIndex();
    return peer->matchIndex >= this->log.membershipIndex() && isLagSmall;
}

} // namespace kingcup
