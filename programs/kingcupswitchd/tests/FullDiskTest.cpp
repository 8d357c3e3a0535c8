/** @file FullDiskTest.cpp Guards against a control group that refuses changes, or leaves them unanswered, although the disks of its VMs have room again. */
#include "SimulatedGroup.h"

#include "testing/Story.h"

#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr uint64_t seedCount = 60;
constexpr double wholeLimitMs = 15000; ///< Time after the last fault in which all VMs are voters again. A VM that was removed may have to ask to join, and to load a snapshot.

/** Draws what a full disk refuses. */
Refusals drawRefusals(RandomSource& random)
{
    switch (random.below(4)) {
    case 0:
        return { true, true, true, true };
    case 1:
        return { false, true, false, random.below(2) == 0 };
    case 2:
        return { false, false, true, false };
    default:
        return { true, false, false, random.below(2) == 0 };
    }
}

/** Group under a client that sends a command every 10 ms, and disks that are full one after the other. */
class FullDiskGroup : public SimulatedGroup {
public:
    explicit FullDiskGroup(uint64_t seed)
        : SimulatedGroup(seed)
    {
        this->scheduleClient();
    }

    /** Lets the disk of one VM be full for a time, while another may lose its process or its files. */
    void fillDisk(bool mayEndOthers)
    {
        SimulatedVm* leading = this->leader();
        SimulatedVm& full = leading && this->random.below(2) ? *leading : this->drawVm();
        full.disk.refusals = drawRefusals(this->random);
        double durationMs = 300 + this->random.fraction() * 4000;
        if (mayEndOthers && this->random.below(2))
            this->endProcess(full, durationMs);
        this->runFor(durationMs);
        full.disk.refusals = {};
        // In half of the cases the next disk is full at once.
        this->runFor(this->random.below(2) ? this->random.fraction() * 1000 : 0);
    }

    /** Returns the time in milliseconds until a command that is sent from now on is committed; empty if it takes longer than the limit. */
    std::optional<double> timeToCommit(double limitMs)
    {
        auto isCommitted = std::make_shared<bool>(false);
        return this->runUntil(
            [this, isCommitted] {
                this->propose([isCommitted](ResultCode code) { *isCommitted = *isCommitted || code == ResultCode::Ok; });
                return *isCommitted;
            },
            limitMs);
    }

private:
    SimulatedVm& drawVm() { return *this->vms.at(static_cast<VmId>(1 + this->random.below(size))); }

    /** Ends a process, mostly not that of the full disk, and starts it again before the disk has room. */
    void endProcess(SimulatedVm& full, double durationMs)
    {
        SimulatedVm& ended = this->random.below(3) ? this->drawVm() : full;
        double pauseMs = this->random.fraction() * 500;
        this->runFor(this->random.fraction() * durationMs / 2);
        // The group tolerates two losses, so a third VM does not lose its files while one is being replaced.
        if (&ended != &full && this->isWhole() && this->random.below(2))
            this->wipe(ended);
        else
            this->stop(ended);
        this->runFor(pauseMs);
        this->start(ended);
    }

    void scheduleClient()
    {
        size_t bytes = this->random.below(40) ? this->random.below(200) : this->random.below(8000);
        this->propose([](ResultCode) {}, std::string(bytes, '.'));
        this->scheduleAt(10, [this] { this->scheduleClient(); });
    }
};

} // namespace

TEST(FullDiskTest, changesCommitOnceTheLastDiskHasRoom)
{
    uint64_t first = testSeed(1);
    double longestMs = 0;
    for (uint64_t seed = first; seed < first + seedCount; seed++) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        FullDiskGroup group(seed);
        double boundMs = 2 * group.options.electionTimeout.count();
        for (uint64_t disk = 4 + group.random.below(4); disk > 0; disk--)
            group.fillDisk(disk > 1);
        std::optional<double> commitMs = group.timeToCommit(20000);
        ASSERT_TRUE(commitMs) << "no change is committed any more";
        EXPECT_LE(*commitMs, boundMs);
        longestMs = std::max(longestMs, *commitMs);
        EXPECT_TRUE(group.runUntil([&] { return group.isWhole(); }, wholeLimitMs)) << "a VM does not come back";
        EXPECT_TRUE(group.violations.empty()) << group.violations.front();
    }
    RecordProperty("longestCommitMs", std::to_string(longestMs));
    std::cout << "longest time to a commit: " << longestMs << " ms\n";
}

// Guards against the loss of the leader, and with it of the leases of all entry VMs, while a majority of the disks is full.
TEST(FullDiskTest, leaderStaysWhileAMajorityOfTheDisksIsFull)
{
    uint64_t first = testSeed(1);
    for (uint64_t seed = first; seed < first + 20; seed++) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        FullDiskGroup group(seed);
        VmId leading = group.leader()->vm;
        bool isLeaderFull = seed % 2 == 0;
        for (VmId step = isLeaderFull ? 0 : 1; step < SimulatedGroup::size; step++) {
            SimulatedVm& vm = *group.vms.at((leading + step - 1) % SimulatedGroup::size + 1);
            vm.disk.refusals = { true, false, false, false };
            group.runFor(group.random.fraction() * 50);
        }
        section("a leader keeps its quorum, and commands are refused at once", [&] {
            group.runFor(3000);
            for (int step = 0; step < 100; step++) {
                group.runFor(100);
                ASSERT_TRUE(group.hasLeaderWithQuorum());
            }
            std::optional<ResultCode> code;
            group.propose([&code](ResultCode result) { code = result; });
            group.runFor(50);
            EXPECT_EQ(code, ResultCode::DiskFull);
        });
        section("a VM does not keep the messages of the whole time until it has room", [&] {
            SimulatedVm& vm = *group.vms.at(leading % SimulatedGroup::size + 1);
            uint64_t before = vm.sentMessages;
            for (auto& [id, full] : group.vms)
                full->disk.refusals = {};
            EXPECT_TRUE(group.timeToCommit(2 * group.options.electionTimeout.count()));
            EXPECT_LT(vm.sentMessages - before, 120u);
        });
        EXPECT_TRUE(group.runUntil([&] { return group.isWhole(); }, wholeLimitMs));
        EXPECT_TRUE(group.violations.empty()) << group.violations.front();
    }
}

// Guards against a group that stops because its disks have room for what it commits, but not for a snapshot.
TEST(FullDiskTest, commandsAreCommittedWithoutRoomForSnapshots)
{
    SimulatedGroup group(testSeed(1));
    auto commit = [&](size_t bytes) {
        bool isCommitted = false;
        group.propose([&](ResultCode code) { isCommitted = code == ResultCode::Ok; }, std::string(bytes, '.'));
        return group.runUntil([&] { return isCommitted; }, 2 * group.options.electionTimeout.count());
    };
    section("while no snapshot can be stored", [&] {
        for (int command = 0; command < 20; command++)
            ASSERT_TRUE(commit(1000));
        for (auto& [id, vm] : group.vms)
            vm->disk.freeBytes = 4000;
        for (int command = 0; command < 300; command++)
            ASSERT_TRUE(commit(1000)) << command;
    });
    section("the journal shrinks once there is room", [&] {
        uint64_t before = group.leader()->storage->journalBytes();
        for (auto& [id, vm] : group.vms)
            vm->disk.freeBytes = UINT64_MAX;
        group.runFor(11000);
        ASSERT_TRUE(commit(1000));
        group.runFor(100);
        EXPECT_LT(group.leader()->storage->journalBytes(), before / 10);
    });
    EXPECT_TRUE(group.isWhole());
    EXPECT_TRUE(group.violations.empty()) << group.violations.front();
}

// Guards against a disk that fills up with a journal of few, large commands, because snapshots were taken by the number of entries only.
TEST(FullDiskTest, largeCommandsDoNotFillTheDisk)
{
    SimulatedGroup group(testSeed(1));
    constexpr size_t commandBytes = 3u << 20;
    uint64_t largestJournal = 0;
    for (int command = 0; command < 16; command++) {
        // What was applied before is dropped from the state, as a manifest replaces the former one.
        for (auto& [id, vm] : group.vms)
            vm->applied.clear();
        std::string padding(commandBytes, '.');
        for (char& byte : padding)
            byte = static_cast<char>('!' + group.random.below(90)); // Commands are compressed.
        group.propose([](ResultCode) {}, padding);
        group.runFor(1200);
        for (auto& [id, vm] : group.vms)
            largestJournal = std::max(largestJournal, vm->storage->journalBytes());
    }
    EXPECT_EQ(group.acknowledged.size(), 16u);
    EXPECT_LT(largestJournal, (16u << 20) + 2 * commandBytes);
    EXPECT_TRUE(group.violations.empty()) << group.violations.front();
}
