/** @file MembershipPlanner.cpp Order and conditions of single-member changes. */
#include "kingcup/MembershipPlanner.h"

#include <algorithm>

namespace kingcup {

namespace {

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
wire::Membership without(const wire::Membership& membership, const wire::Member& removed)
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

MembershipPlanner::MembershipPlanner(MembershipPlannerOptions options)
    : options(options)
{
}

void MembershipPlanner::becameLeader(TimePoint now)
{
    this->leaderSince = now;
    this->lastHeard.clear();
}

void MembershipPlanner::announced(VmId vm, uint64_t incarnation, TimePoint now)
{
    Candidate& candidate = this->candidates[vm];
    if (candidate.incarnation != incarnation)
        candidate = {};
    candidate.incarnation = incarnation;
    candidate.announced = now;
}

void MembershipPlanner::heard(VmId vm, uint64_t incarnation, TimePoint now)
{
    this->lastHeard[{ vm, incarnation }] = now;
}

bool MembershipPlanner::force(VmId vm)
{
    auto candidate = this->candidates.find(vm);
    if (candidate == this->candidates.end())
        return false;
    candidate->second.forced = true;
    return true;
}

std::optional<wire::Membership> MembershipPlanner::next(const wire::Membership& current, VmId self, const std::function<bool(VmId)>& caughtUp, TimePoint now) const
{
    if (std::optional<wire::Membership> next = this->promote(current, self, caughtUp, now))
        return next;
    if (std::optional<wire::Membership> next = this->admit(current, now))
        return next;
    return this->dropSilentLearner(current, now);
}

/** Returns the time since the latest message of a member, or since this VM became the leader if that is later. */
Milliseconds MembershipPlanner::silence(const wire::Member& member, TimePoint now) const
{
    auto heard = this->lastHeard.find({ member.vm_id(), member.incarnation() });
    return now - (heard == this->lastHeard.end() ? this->leaderSince : std::max(heard->second, this->leaderSince));
}

bool MembershipPlanner::mayReplaceOld(const Candidate& candidate, const wire::Member& old, TimePoint now) const
{
    return candidate.forced || this->silence(old, now) >= this->options.oldIncarnationSilence;
}

/** Returns the membership after the next step towards adding a VM that asked to join as a learner, or nothing. */
std::optional<wire::Membership> MembershipPlanner::admit(const wire::Membership& current, TimePoint now) const
{
    for (const auto& [vm, candidate] : this->candidates) {
        bool fresh = candidate.forced || now - candidate.announced < this->options.announcementLifetime;
        if (!fresh || findMember(current, vm, candidate.incarnation))
            continue;
        const wire::Member* old = findOtherIncarnation(current, vm, candidate.incarnation);
        bool isUnknown = !old && (!this->options.takesUnknownVms || countMembers(current, false) >= this->options.maxLearners);
        if (isUnknown || (old && !this->mayReplaceOld(candidate, *old, now)))
            continue;
        // The progress of a learner is looked up by VM id, so two learners of one VM could not be told apart. Remove the old one first.
        if (old && !old->voter())
            return without(current, *old);
        wire::Membership next = current;
        wire::Member* learner = next.add_members();
        learner->set_vm_id(vm);
        learner->set_incarnation(candidate.incarnation);
        return next;
    }
    return std::nullopt;
}

/**
 * Returns the membership after the next step towards promoting a learner to voter, or nothing. A voter that it replaces is
 * removed first.
 */
std::optional<wire::Membership> MembershipPlanner::promote(const wire::Membership& current, VmId self, const std::function<bool(VmId)>& caughtUp, TimePoint now) const
{
    for (int position = 0; position < current.members_size(); position++) {
        const wire::Member& learner = current.members(position);
        if (learner.voter() || !caughtUp(learner.vm_id()) || this->silence(learner, now) >= this->options.announcementLifetime)
            continue;
        if (const wire::Member* old = findOtherIncarnation(current, learner.vm_id(), learner.incarnation()))
            return without(current, *old);
        if (countMembers(current, true) < this->options.wantedVoters) {
            wire::Membership next = current;
            next.mutable_members(position)->set_voter(true);
            return next;
        }
        if (const wire::Member* silent = this->silentVoter(current, self, now))
            return without(current, *silent);
    }
    return std::nullopt;
}

/** Returns the voter with the longest time since its latest message among those that timed out, or null. */
const wire::Member* MembershipPlanner::silentVoter(const wire::Membership& current, VmId self, TimePoint now) const
{
    const wire::Member* longest = nullptr;
    for (const wire::Member& member : current.members()) {
        if (!member.voter() || member.vm_id() == self || this->silence(member, now) < this->options.voterSilence)
            continue;
        if (!longest || this->silence(member, now) > this->silence(*longest, now))
            longest = &member;
    }
    return longest;
}

std::optional<wire::Membership> MembershipPlanner::dropSilentLearner(const wire::Membership& current, TimePoint now) const
{
    for (const wire::Member& member : current.members()) {
        if (!member.voter() && this->silence(member, now) >= this->options.learnerSilence)
            return without(current, member);
    }
    return std::nullopt;
}

std::vector<VmId> placesToAsk(const std::vector<VmId>& founders, VmId self, VmId leader)
{
    std::vector<VmId> vms;
    for (VmId vm : founders) {
        if (vm != self)
            vms.push_back(vm);
    }
    if (leader && leader != self && std::find(vms.begin(), vms.end(), leader) == vms.end())
        vms.push_back(leader);
    return vms;
}

} // namespace kingcup
