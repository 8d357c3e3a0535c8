/** @file MembershipRecoveryTest.cpp Guards against a group without a quorum: VMs that lost their disks were not voters again when the next disks were lost. */
#include "PlannedGroup.h"

#include "testing/Story.h"

#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

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
                leading->log->setDiskSpace(DiskSpace::Full);
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
        group.network.nodes[vm].log->setDiskSpace(DiskSpace::Full);
    for (int step = 0; step < 100; step++) {
        group.network.runFor(100);
        ASSERT_EQ(group.network.leaderWithQuorum(), leading);
    }
}
