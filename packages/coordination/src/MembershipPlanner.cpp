/** @file MembershipPlanner.cpp Order and conditions of single-member changes. */
#include "kingcup/MembershipPlanner.h"

#include <algorithm>

namespace kingcup {

namespace {

/** Longer than a restart takes. Each change of leader starts it again, and the replacement must be a voter before the next VM may be lost. */
constexpr Milliseconds seededVoterReplacementTimeout { 2000 };

const wire::Member* findMember(const wire::Membership& membership, VmId vm, uint64_t incarnation)
{
    for (const wire::Member& member : membership.members()) {
        if (member.vm_id() == vm && member.incarnation() == incarnation)
            return &member;
    }
    return nullptr;
}

/** Returns the member that is the same VM with another incarnation, or null. */
const wire::Member* findOtherIncarnation(const wire::Membership& membership, VmId vm, uint64_t incarnation)
{
    for (const wire::Member& member : membership.members()) {
        if (member.vm_id() == vm && member.incarnation() != incarnation)
            return &member;
    }
    return nullptr;
}

/** Returns a copy without one member. @param removed Element of `membership`, compared by address. */
wire::Membership withoutMember(const wire::Membership& membership, const wire::Member& removed)
{
    wire::Membership next;
    for (const wire::Member& member : membership.members()) {
        if (&member != &removed)
            *next.add_members() = member;
    }
    return next;
}

size_t countMembers(const wire::Membership& membership, bool voters)
{
    const auto& members = membership.members();
    return static_cast<size_t>(std::count_if(members.begin(), members.end(), [voters](const wire::Member& member) { return member.voter() == voters; }));
}

} // namespace

MembershipPlannerOptions seededPlannerOptions(size_t toleratedLosses)
{
    MembershipPlannerOptions options;
    options.wantedVoters = 2 * toleratedLosses + 1;
    options.mayAdmitUnknownVms = true;
    options.incarnationReplacementTimeout = Milliseconds(0);
    options.voterReplacementTimeout = seededVoterReplacementTimeout;
    return options;
}

MembershipPlanner::MembershipPlanner(MembershipPlannerOptions options)
    : options(options)
{
}

void MembershipPlanner::becomeLeader(TimePoint now)
{
    this->leaderSince = now;
    this->lastMessageTimes.clear();
}

void MembershipPlanner::recordJoinRequest(VmId vm, uint64_t incarnation, TimePoint now)
{
    JoinRequest& request = this->joinRequests[vm];
    if (request.incarnation != incarnation)
        request = {};
    request.incarnation = incarnation;
    request.receivedAt = now;
    this->recordMessage(vm, incarnation, now);
}

void MembershipPlanner::recordMessage(VmId vm, uint64_t incarnation, TimePoint now)
{
    this->lastMessageTimes[{ vm, incarnation }] = now;
}

bool MembershipPlanner::forceReplacement(VmId vm)
{
    auto request = this->joinRequests.find(vm);
    if (request == this->joinRequests.end())
        return false;
    request->second.isForced = true;
    return true;
}

std::optional<wire::Membership> MembershipPlanner::nextMembership(const wire::Membership& current, VmId self, const std::function<bool(VmId)>& hasCaughtUp, TimePoint now) const
{
    if (std::optional<wire::Membership> next = this->planVoterRemoval(current, self, now))
        return next;
    if (std::optional<wire::Membership> next = this->planPromotion(current, self, hasCaughtUp, now))
        return next;
    if (std::optional<wire::Membership> next = this->planAddition(current, now))
        return next;
    return this->planLearnerRemoval(current, now);
}

/** Returns the time since the latest message of a member, or since this VM became the leader if that is later. */
Milliseconds MembershipPlanner::timeSinceLastMessage(const wire::Member& member, TimePoint now) const
{
    auto lastMessage = this->lastMessageTimes.find({ member.vm_id(), member.incarnation() });
    return now - (lastMessage == this->lastMessageTimes.end() ? this->leaderSince : std::max(lastMessage->second, this->leaderSince));
}

bool MembershipPlanner::mayReplaceIncarnation(const JoinRequest& request, const wire::Member& old, TimePoint now) const
{
    return request.isForced || this->timeSinceLastMessage(old, now) >= this->options.incarnationReplacementTimeout;
}

/** Returns the membership after the next step towards adding a VM that asked to join as a learner, or nothing. */
std::optional<wire::Membership> MembershipPlanner::planAddition(const wire::Membership& current, TimePoint now) const
{
    for (const auto& [vm, request] : this->joinRequests) {
        bool isCurrent = request.isForced || now - request.receivedAt < this->options.joinRequestLifetime;
        if (!isCurrent || findMember(current, vm, request.incarnation))
            continue;
        const wire::Member* old = findOtherIncarnation(current, vm, request.incarnation);
        bool isRejected = !old && (!this->options.mayAdmitUnknownVms || countMembers(current, false) >= this->options.maxLearners);
        if (isRejected || (old && !this->mayReplaceIncarnation(request, *old, now)))
            continue;
        // The progress of a learner is looked up by VM id, so two learners of one VM could not be told apart. Remove the old one first.
        if (old && !old->voter())
            return withoutMember(current, *old);
        wire::Membership next = current;
        wire::Member* learner = next.add_members();
        learner->set_vm_id(vm);
        learner->set_incarnation(request.incarnation);
        return next;
    }
    return std::nullopt;
}

/**
 * Returns the membership after the next step towards promoting a learner to voter, or nothing. An old incarnation of the same
 * VM is removed first, and so is a voter that timed out if as many did as the group tolerates.
 */
std::optional<wire::Membership> MembershipPlanner::planPromotion(const wire::Membership& current, VmId self, const std::function<bool(VmId)>& hasCaughtUp, TimePoint now) const
{
    for (int position = 0; position < current.members_size(); position++) {
        const wire::Member& learner = current.members(position);
        if (learner.voter() || !hasCaughtUp(learner.vm_id()) || this->timeSinceLastMessage(learner, now) >= this->options.joinRequestLifetime)
            continue;
        if (const wire::Member* old = findOtherIncarnation(current, learner.vm_id(), learner.incarnation()))
            return withoutMember(current, *old);
        size_t voters = countMembers(current, true);
        std::vector<const wire::Member*> silent = this->silentVoters(current, self, now);
        // A silent voter stays until the learner has its vote, because it may come back: with one voter less, the group would not survive the tolerated losses.
        // If as many are silent as tolerated, one is removed first, because otherwise the group would lack a majority whenever the new voter stops.
        bool isRemovedLater = !silent.empty() && silent.size() < this->options.wantedVoters / 2;
        if (voters < this->options.wantedVoters || (voters == this->options.wantedVoters && isRemovedLater)) {
            wire::Membership next = current;
            next.mutable_members(position)->set_voter(true);
            return next;
        }
        if (!silent.empty())
            return withoutMember(current, *silent.front());
    }
    return std::nullopt;
}

/** Returns the membership without a silent voter that a promoted learner replaces, or nothing. */
std::optional<wire::Membership> MembershipPlanner::planVoterRemoval(const wire::Membership& current, VmId self, TimePoint now) const
{
    if (countMembers(current, true) <= this->options.wantedVoters)
        return std::nullopt;
    std::vector<const wire::Member*> silent = this->silentVoters(current, self, now);
    return silent.empty() ? std::nullopt : std::optional(withoutMember(current, *silent.front()));
}

/** Returns the voters that timed out, the one with the longest time since its latest message first. */
std::vector<const wire::Member*> MembershipPlanner::silentVoters(const wire::Membership& current, VmId self, TimePoint now) const
{
    std::vector<const wire::Member*> silent;
    for (const wire::Member& member : current.members()) {
        if (member.voter() && member.vm_id() != self && this->timeSinceLastMessage(member, now) >= this->options.voterReplacementTimeout)
            silent.push_back(&member);
    }
    std::stable_sort(silent.begin(), silent.end(), [&](const wire::Member* left, const wire::Member* right) {
        return this->timeSinceLastMessage(*left, now) > this->timeSinceLastMessage(*right, now);
    });
    return silent;
}

std::optional<wire::Membership> MembershipPlanner::planLearnerRemoval(const wire::Membership& current, TimePoint now) const
{
    for (const wire::Member& member : current.members()) {
        if (!member.voter() && this->timeSinceLastMessage(member, now) >= this->options.learnerRemovalTimeout)
            return withoutMember(current, member);
    }
    return std::nullopt;
}

std::vector<VmId> joinRequestRecipients(const std::vector<VmId>& initialMembers, VmId self, VmId leader)
{
    std::vector<VmId> vms;
    for (VmId vm : initialMembers) {
        if (vm != self)
            vms.push_back(vm);
    }
    if (leader && leader != self && std::find(vms.begin(), vms.end(), leader) == vms.end())
        vms.push_back(leader);
    return vms;
}

} // namespace kingcup
