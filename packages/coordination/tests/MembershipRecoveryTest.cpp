/** @file MembershipRecoveryTest.cpp Guards against a group without a quorum: VMs that lost their disks were not voters again when the next disks were lost. */
#include "LogNetwork.h"

#include "kingcup/MembershipPlanner.h"

#include "testing/Story.h"

#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr double joinRequestIntervalMs = 500;
constexpr double linkOpeningMs = 150; ///< Time after a restart in which no messages are exchanged, because the links are not open.
constexpr double catchUpMs = 4000; ///< Time after which a VM that lost its disk must be a voter again.
constexpr size_t toleratedLosses = 2;
constexpr VmId groupSize = 2 * toleratedLosses + 1;

ReplicatedLogOptions logOptions()
{
    ReplicatedLogOptions options;
    options.electionTimeout = Milliseconds(400);
    options.heartbeatInterval = Milliseconds(80);
    return options;
}

/** Group whose leader changes the membership as its planner says. */
class PlannedGroup {
public:
    explicit PlannedGroup(uint64_t seed)
        : network(seed, logOptions(), groupSize)
    {
        this->network.messageHook = [this](LogNode& receiver, VmId from, uint64_t fromIncarnation) { this->planner(receiver.vm).recordMessage(from, fromIncarnation, this->network.now); };
        this->network.tickHook = [this](LogNode& node) { this->tick(node); };
        this->network.runUntil([this] { return this->network.leaderWithQuorum() != nullptr; });
    }

    /** Lets VMs lose their disks. The other VMs keep running. */
    void loseDisks(const std::vector<VmId>& vms)
    {
        for (VmId vm : vms) {
            this->network.wipeDisk(vm);
            this->network.isolate(vm);
            this->planners.erase(vm);
        }
        this->network.runFor(linkOpeningMs);
        this->network.blockedLinks.clear();
    }

    /** Lets all VMs lose power, and some of them their disks as well. */
    void losePower(const std::vector<VmId>& lostDisks)
    {
        for (VmId vm = 1; vm <= groupSize; vm++)
            this->network.crash(vm);
        this->planners.clear();
        for (VmId vm = 1; vm <= groupSize; vm++) {
            if (std::find(lostDisks.begin(), lostDisks.end(), vm) == lostDisks.end())
                this->network.start(vm);
        }
        this->loseDisks(lostDisks);
    }

    /** Starts a VM that belongs to no group. */
    void startNewVm(VmId vm) { this->loseDisks({ vm }); }

    /** Starts a VM with its disk after a crash. */
    void startAgain(VmId vm)
    {
        this->planners.erase(vm);
        this->network.start(vm);
    }

    /** Returns whether the running incarnation of a VM is a voter. */
    bool isVoter(VmId vm)
    {
        const auto& members = this->network.leader()->log->membership().members();
        return std::any_of(members.begin(), members.end(), [&](const wire::Member& member) {
            return member.vm_id() == vm && member.voter() && member.incarnation() == this->network.nodes[vm].incarnation;
        });
    }

    /** Returns whether the members are exactly the current incarnations of all VMs, all of them voters. */
    bool isWhole()
    {
        LogNode* leading = this->network.leaderWithQuorum();
        if (!leading || !leading->log->isMembershipCommitted())
            return false;
        const auto& members = leading->log->membership().members();
        return members.size() == static_cast<int>(groupSize) && std::all_of(members.begin(), members.end(), [this](const wire::Member& member) {
            return member.voter() && member.incarnation() == this->network.nodes[member.vm_id()].incarnation;
        });
    }

    /** Returns the two VMs that follow a VM in the order of ids. */
    static std::vector<VmId> nextTwo(VmId vm) { return { vm % groupSize + 1, (vm + 1) % groupSize + 1 }; }

    LogNetwork network;

private:
    MembershipPlanner& planner(VmId vm) { return this->planners.try_emplace(vm, seededPlannerOptions(toleratedLosses)).first->second; }

    void tick(LogNode& node)
    {
        this->sendJoinRequest(node);
        bool isLeader = node.log->role() == LogRole::Leader;
        if (isLeader && this->leaderTerms[node.incarnation] != node.log->term()) {
            this->leaderTerms[node.incarnation] = node.log->term();
            this->planner(node.vm).becomeLeader(this->network.now);
        }
        if (!isLeader || !node.log->isMembershipCommitted())
            return;
        auto hasCaughtUp = [&node](VmId vm) { return node.log->isCaughtUp(vm); };
        std::optional<wire::Membership> next = this->planner(node.vm).nextMembership(node.log->membership(), node.vm, hasCaughtUp, this->network.now);
        if (!next)
            return;
        ReplicatedLog::Proposal proposal;
        this->network.processOutput(node, node.log->proposeMembership(*next, this->network.now, proposal));
    }

    /** A VM without any member in its log asks the leader to join. */
    void sendJoinRequest(const LogNode& node)
    {
        LogNode* leading = this->network.leader();
        TimePoint& nextTime = this->nextJoinRequestTimes[node.incarnation];
        bool isBlocked = leading && this->network.blockedLinks.contains({ node.vm, leading->vm });
        if (node.log->membership().members_size() || !leading || isBlocked || this->network.now < nextTime)
            return;
        nextTime = this->network.now + Milliseconds(joinRequestIntervalMs);
        this->planner(leading->vm).recordJoinRequest(node.vm, node.incarnation, this->network.now);
    }

    std::map<VmId, MembershipPlanner> planners; ///< Planner of each VM since its start.
    std::map<uint64_t, Term> leaderTerms; ///< Latest term that each incarnation has led.
    std::map<uint64_t, TimePoint> nextJoinRequestTimes; ///< By incarnation.
};

} // namespace

TEST(MembershipRecoveryTest, lostDisksUnderLongServingLeaderAreReplacedInTime)
{
    uint64_t first = testSeed(1);
    for (uint64_t seed = first; seed < first + 40; seed++) {
        PlannedGroup group(seed);
        section("seed " + std::to_string(seed), [&] {
            group.network.runFor(25000);
            LogNode* leading = group.network.leader();
            ASSERT_TRUE(leading);
            section("two VMs that lose their disks are voters again within the time that a VM may take to catch up", [&] {
                group.loseDisks(PlannedGroup::nextTwo(leading->vm));
                group.network.runFor(catchUpMs);
                EXPECT_TRUE(group.isWhole());
            });
            section("the group elects a leader after all VMs lost power and two others their disks", [&] {
                group.losePower(PlannedGroup::nextTwo((leading->vm + 1) % groupSize + 1));
                EXPECT_TRUE(group.network.runUntil([&] { return group.network.leaderWithQuorum() != nullptr; }, 5000));
            });
        });
        EXPECT_TRUE(group.network.violations.empty()) << group.network.violations.front();
    }
}

TEST(MembershipRecoveryTest, newVmUnderLongServingLeaderReplacesLostOneInTime)
{
    uint64_t first = testSeed(1);
    for (uint64_t seed = first; seed < first + 40; seed++) {
        PlannedGroup group(seed);
        section("seed " + std::to_string(seed), [&] {
            group.network.runFor(25000);
            LogNode* leading = group.network.leader();
            ASSERT_TRUE(leading);
            VmId lost = leading->vm % groupSize + 1;
            section("a VM at a new address is a voter in place of the lost one within the time that a VM may take to catch up", [&] {
                group.network.crash(lost);
                group.network.runFor(1000);
                group.startNewVm(groupSize + 1);
                group.network.runFor(linkOpeningMs + catchUpMs + 500);
                EXPECT_TRUE(group.isVoter(groupSize + 1));
                EXPECT_FALSE(group.isVoter(lost));
            });
        });
        EXPECT_TRUE(group.network.violations.empty()) << group.network.violations.front();
    }
}

TEST(MembershipRecoveryTest, newVmReplacesLostOneInTimeAlthoughLeaderChanges)
{
    uint64_t first = testSeed(1);
    for (uint64_t seed = first; seed < first + 40; seed++) {
        PlannedGroup group(seed);
        section("seed " + std::to_string(seed), [&] {
            group.network.runFor(5000);
            LogNode* leading = group.network.leader();
            ASSERT_TRUE(leading);
            VmId formerLeader = leading->vm;
            VmId lost = formerLeader % groupSize + 1;
            section("the leader ends three seconds after another VM was lost for good, and starts again", [&] {
                group.network.crash(lost);
                group.network.runFor(1000);
                group.startNewVm(groupSize + 1);
                group.network.runFor(2000);
                group.network.crash(formerLeader);
                group.network.runFor(500);
                group.startAgain(formerLeader);
            });
            section("the new VM is a voter in place of the lost one within the time that the former leader may take to catch up", [&] {
                group.network.runFor(catchUpMs);
                EXPECT_TRUE(group.isVoter(groupSize + 1));
                EXPECT_FALSE(group.isVoter(lost));
            });
        });
        EXPECT_TRUE(group.network.violations.empty()) << group.network.violations.front();
    }
}

TEST(MembershipRecoveryTest, lostDiskUnderLeaderWithFullDiskIsReplacedInTime)
{
    uint64_t first = testSeed(1);
    for (uint64_t seed = first; seed < first + 40; seed++) {
        PlannedGroup group(seed);
        section("seed " + std::to_string(seed), [&] {
            group.network.runFor(5000);
            LogNode* leading = group.network.leader();
            ASSERT_TRUE(leading);
            VmId formerLeader = leading->vm;
            section("a VM that loses its disk just after the disk of the leader is full is a voter again in time", [&] {
                leading->log->setDiskFull(true);
                group.loseDisks({ PlannedGroup::nextTwo(formerLeader).front() });
                group.network.runFor(catchUpMs);
                EXPECT_TRUE(group.isWhole());
            });
            section("another VM leads meanwhile, and its leadership lasts", [&] {
                ASSERT_TRUE(group.network.leader());
                VmId next = group.network.leader()->vm;
                EXPECT_NE(next, formerLeader);
                group.network.runFor(5000);
                EXPECT_EQ(group.network.leader()->vm, next);
            });
        });
        EXPECT_TRUE(group.network.violations.empty()) << group.network.violations.front();
    }
}

TEST(MembershipRecoveryTest, leaderKeepsItsQuorumWhileAllDisksAreFull)
{
    PlannedGroup group(testSeed(1));
    group.network.runFor(2000);
    LogNode* leading = group.network.leader();
    for (VmId vm = 1; vm <= groupSize; vm++)
        group.network.nodes[vm].log->setDiskFull(true);
    for (int step = 0; step < 100; step++) {
        group.network.runFor(100);
        ASSERT_EQ(group.network.leaderWithQuorum(), leading);
    }
}
