/** @file MembershipPlannerTest.cpp Guards against learners that are promoted before they have caught up, and members that are replaced or removed too early. */
#include "kingcup/MembershipPlanner.h"

#include "testing/Story.h"

#include <gtest/gtest.h>

using namespace kingcup;
using kingcup::testing::section;

namespace {

MembershipPlannerOptions seededOptions()
{
    MembershipPlannerOptions options;
    options.wantedVoters = 5;
    options.mayAdmitUnknownVms = true;
    options.incarnationReplacementTimeout = Milliseconds(0);
    options.voterReplacementTimeout = Milliseconds(5000);
    return options;
}

/** Membership of a group whose leader is VM 1, and the state of its members. */
struct Group {
    explicit Group(MembershipPlannerOptions options)
        : planner(options)
    {
        planner.becomeLeader(timeAt(0));
    }

    void add(VmId vm, uint64_t incarnation, bool voter)
    {
        wire::Member* member = this->membership.add_members();
        member->set_vm_id(vm);
        member->set_incarnation(incarnation);
        member->set_voter(voter);
    }

    /** Applies planned changes until none is due, 50 at most. Members that are not silent send a message after each. Returns the number of changes. */
    int applyPlannedChanges(double nowMs)
    {
        constexpr int maxChanges = 50;
        int changes = 0;
        for (; changes < maxChanges; changes++) {
            auto hasCaughtUp = [this](VmId vm) { return !this->lagging.contains(vm); };
            std::optional<wire::Membership> next = this->planner.nextMembership(this->membership, 1, hasCaughtUp, timeAt(nowMs));
            if (!next)
                break;
            this->membership = *next;
            for (const wire::Member& member : this->membership.members()) {
                if (!this->silent.contains({ member.vm_id(), member.incarnation() }))
                    this->planner.recordMessage(member.vm_id(), member.incarnation(), timeAt(nowMs));
            }
        }
        return changes;
    }

    bool isVoter(VmId vm, uint64_t incarnation) const
    {
        for (const wire::Member& member : this->membership.members()) {
            if (member.vm_id() == vm && member.incarnation() == incarnation)
                return member.voter();
        }
        return false;
    }

    size_t voterCount() const
    {
        return static_cast<size_t>(std::count_if(this->membership.members().begin(), this->membership.members().end(), [](const wire::Member& member) { return member.voter(); }));
    }

    MembershipPlanner planner;
    wire::Membership membership;
    std::set<VmId> lagging; ///< VMs whose learners have not caught up.
    std::set<std::pair<VmId, uint64_t>> silent; ///< Members that send no messages, by VM and incarnation.
};

/** Returns a group of voters with incarnation 10. */
Group makeGroup(VmId voters)
{
    Group group(seededOptions());
    for (VmId vm = 1; vm <= voters; vm++)
        group.add(vm, 10, true);
    return group;
}

} // namespace

TEST(MembershipPlannerTest, addsMembersToSeededGroup)
{
    Group group = makeGroup(3);
    section("VMs that ask to join become voters up to the wanted number; the others stay learners", [&] {
        for (VmId vm = 4; vm <= 7; vm++)
            group.planner.recordJoinRequest(vm, 10, timeAt(100));
        group.applyPlannedChanges(100);
        EXPECT_EQ(group.voterCount(), 5u);
        EXPECT_EQ(group.membership.members_size(), 7);
    });
    section("a learner that has not caught up is not promoted", [&] {
        Group other = makeGroup(3);
        other.lagging = { 4 };
        other.planner.recordJoinRequest(4, 10, timeAt(100));
        other.applyPlannedChanges(100);
        EXPECT_EQ(other.membership.members_size(), 4);
        EXPECT_FALSE(other.isVoter(4, 10));
    });
    section("an expired join request adds no member", [&] {
        Group other = makeGroup(3);
        other.planner.recordJoinRequest(4, 10, timeAt(100));
        EXPECT_EQ(other.applyPlannedChanges(5000), 0);
    });
    section("a group with a fixed list of members adds no unknown VM", [&] {
        Group other(MembershipPlannerOptions {});
        other.add(1, 10, true);
        other.planner.recordJoinRequest(9, 10, timeAt(100));
        EXPECT_EQ(other.applyPlannedChanges(100), 0);
    });
}

TEST(MembershipPlannerTest, replacesFailedMembers)
{
    section("two VMs that lost their disks become voters again at once, only with their new incarnations", [] {
        Group group = makeGroup(5);
        for (VmId vm : { 2u, 3u }) {
            group.silent.insert({ vm, 10 });
            group.planner.recordJoinRequest(vm, 11, timeAt(100));
        }
        group.applyPlannedChanges(100);
        EXPECT_EQ(group.voterCount(), 5u);
        EXPECT_EQ(group.membership.members_size(), 5);
        EXPECT_TRUE(group.isVoter(2, 11) && group.isVoter(3, 11));
    });
    section("the old incarnation stays a voter until the new one has caught up", [] {
        Group group = makeGroup(5);
        group.lagging = { 2 };
        group.silent.insert({ 2, 10 });
        group.planner.recordJoinRequest(2, 11, timeAt(100));
        group.applyPlannedChanges(100);
        EXPECT_TRUE(group.isVoter(2, 10));
        EXPECT_FALSE(group.isVoter(2, 11));
    });
    section("with a fixed list, the old incarnation is replaced only after three seconds without a message, or at an operator's request", [] {
        MembershipPlannerOptions options;
        options.wantedVoters = 2;
        Group group(options);
        group.add(1, 10, true);
        group.add(2, 10, true);
        group.planner.recordMessage(2, 10, timeAt(1000));
        group.planner.recordJoinRequest(2, 11, timeAt(3500));
        EXPECT_EQ(group.applyPlannedChanges(3500), 0);
        EXPECT_TRUE(group.planner.forceReplacement(2));
        EXPECT_GT(group.applyPlannedChanges(3600), 0);
        EXPECT_TRUE(group.isVoter(2, 11));
    });
    section("a VM at another address replaces the voter that has been silent for longest, after five seconds at the earliest", [] {
        Group group = makeGroup(5);
        group.silent = { { 4, 10 }, { 5, 10 } };
        for (VmId vm = 1; vm <= 4; vm++)
            group.planner.recordMessage(vm, 10, timeAt(1000));
        group.planner.recordJoinRequest(8, 10, timeAt(4000));
        group.applyPlannedChanges(4000);
        EXPECT_TRUE(group.isVoter(5, 10)) << "has been silent for only 4 s";
        for (VmId vm : { 1u, 2u, 3u, 8u })
            group.planner.recordMessage(vm, 10, timeAt(5500));
        group.applyPlannedChanges(5500);
        EXPECT_FALSE(group.isVoter(5, 10));
        EXPECT_TRUE(group.isVoter(8, 10));
        EXPECT_TRUE(group.isVoter(4, 10));
    });
    section("a silent voter stays until its replacement has a vote, unless as many voters are silent as the group tolerates", [] {
        for (VmId silentVoters : { 1u, 2u }) {
            Group group = makeGroup(5);
            group.add(8, 10, false);
            for (VmId vm : { 1u, 2u, 3u, 4u, 5u, 8u }) {
                if (vm == 8 || vm <= 5 - silentVoters)
                    group.planner.recordMessage(vm, 10, timeAt(6000));
            }
            std::optional<wire::Membership> next = group.planner.nextMembership(
                group.membership, 1, [](VmId) { return true; }, timeAt(6000));
            ASSERT_TRUE(next);
            group.membership = *next;
            EXPECT_EQ(group.voterCount(), silentVoters == 1 ? 6u : 4u);
            EXPECT_EQ(group.isVoter(8, 10), silentVoters == 1);
        }
    });
    section("a voter that was removed during a network partition rejoins as a learner", [] {
        Group group = makeGroup(5);
        group.planner.recordJoinRequest(9, 10, timeAt(100));
        group.applyPlannedChanges(100);
        EXPECT_FALSE(group.isVoter(9, 10));
        EXPECT_EQ(group.membership.members_size(), 6);
    });
    section("a learner is not removed before it could send a message, however long the leader has been in office", [] {
        Group group = makeGroup(5);
        group.silent = { { 2, 10 }, { 2, 11 } };
        group.lagging = { 2 };
        group.planner.recordJoinRequest(2, 11, timeAt(25000));
        EXPECT_EQ(group.applyPlannedChanges(25000), 1);
        EXPECT_EQ(group.membership.members_size(), 6);
    });
    section("a learner that has been silent for 20 seconds is removed", [] {
        Group group = makeGroup(5);
        group.add(9, 10, false);
        group.silent.insert({ 9, 10 });
        for (VmId vm = 1; vm <= 5; vm++)
            group.planner.recordMessage(vm, 10, timeAt(20000));
        group.applyPlannedChanges(20000);
        EXPECT_EQ(group.membership.members_size(), 5);
    });
}

TEST(MembershipPlannerTest, listsJoinRequestRecipients)
{
    const std::vector<VmId> initialMembers { 1, 2, 3 };
    section("a VM that is not a member asks the initial members", [&] { EXPECT_EQ(joinRequestRecipients(initialMembers, 4, 0), initialMembers); });
    section("the leader is asked too, because initial members that do not lead cannot add a member", [&] { EXPECT_EQ(joinRequestRecipients(initialMembers, 2, 5), (std::vector<VmId> { 1, 3, 5 })); });
    section("the leader is not asked twice, and the VM does not ask itself", [&] {
        EXPECT_EQ(joinRequestRecipients(initialMembers, 4, 3), initialMembers);
        EXPECT_EQ(joinRequestRecipients(initialMembers, 1, 1), (std::vector<VmId> { 2, 3 }));
    });
}
