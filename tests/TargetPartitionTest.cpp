/**
 * @file TargetPartitionTest.cpp Guards against an entry VM that is partitioned from all targets and fails its callers, although other VMs reach the targets.
 * Its new connections are refused or hang, while connections that were open before live on.
 */
#include "testing/TargetPartition.h"
#include "TestDeployment.h"
#include "testing/MachineTime.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <iostream>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr Milliseconds contact { 3000 }; ///< Time from the start of a partition until its callers must be served as others.
constexpr Milliseconds loadDuration { 8000 };
constexpr double maxFailedShare = 1.0 / 50; ///< Of the calls at partitioned VMs.

/** A deployment whose entry VMs can be partitioned from the targets. */
struct PartitionedDeployment {
    /** @param hasRelays Whether VMs relay connections for others. */
    explicit PartitionedDeployment(uint64_t seed, bool hasRelays = true)
        : environment("KINGCUP_PARTITION_FILE", this->folder.path() + "/partition")
        , deployment(optionsOf(seed, hasRelays))
    {
    }

    static DeploymentOptions optionsOf(uint64_t seed, bool hasRelays)
    {
        DeploymentOptions options = testOptions(seed, 3, { { "matters", 4, 6 }, { "ledger", 3, 6 } });
        if (!hasRelays)
            options.settings["relayListener"] = nullptr;
        return options;
    }

    /** Returns the first entry VMs. */
    std::vector<Vm*> firstEntryVms(size_t count)
    {
        std::vector<Vm*> vms;
        for (size_t i = 0; i < count; ++i)
            vms.push_back(&this->deployment.entryVms()[i]);
        return vms;
    }

    std::string prefix() const { return this->folder.path() + "/partition"; } ///< Prefix of the files of partitions.

    ScratchFolder folder; ///< Holds the files of partitions.
    ScopedEnvironment environment; ///< Passes the prefix to the processes.
    Deployment deployment; ///< Its processes.
};

/** Results of the calls at one group of entry VMs. */
struct GroupResult {
    size_t calls = 0;
    size_t answered = 0;
};

/** Returns the results at the given entry VMs, or at all others, of calls that began after a time. */
GroupResult resultAt(const std::vector<CallRecord>& records, const std::vector<Vm*>& vms, bool atOthers, double fromMs)
{
    GroupResult result;
    for (const CallRecord& record : records) {
        bool isAtVms = std::any_of(vms.begin(), vms.end(), [&](const Vm* vm) { return vm->callerAddress == record.address; });
        if (isAtVms == atOthers || record.view.startMs < fromMs)
            continue;
        ++result.calls;
        result.answered += record.view.status == 200 ? 1 : 0;
    }
    return result;
}

/** Runs a load during a partition and checks that the callers of the partitioned VMs are served, and that nothing runs twice. */
void expectServed(PartitionedDeployment& stage, size_t partitionedVms, const std::string& destination)
{
    ASSERT_EQ(startAll(stage.deployment), "");
    std::vector<Vm*> vms = stage.firstEntryVms(partitionedVms);
    LoadGenerator load(loadOn(stage.deployment, 100, loadDuration, 1));
    load.start();
    waitUntil(Milliseconds(1000), [] { return false; });
    double cutMs = machineTimeMs();
    {
        TargetPartition partition(stage.prefix(), vms, destination);
        load.join();
    }
    EXPECT_EQ(violationsAfter(stage.deployment, load), "");
    std::vector<CallRecord> records = load.records();
    GroupResult partitioned = resultAt(records, vms, false, cutMs + contact.count());
    GroupResult others = resultAt(records, vms, true, cutMs + contact.count());
    std::cout << "answered " << partitioned.answered << " of " << partitioned.calls << " at partitioned VMs, " << others.answered << " of " << others.calls << " at others\n";
    EXPECT_GT(partitioned.calls, 100u);
    EXPECT_LE(static_cast<double>(partitioned.calls - partitioned.answered), maxFailedShare * static_cast<double>(partitioned.calls)) << describeResults(load) << stage.deployment.logs();
    EXPECT_LE(static_cast<double>(others.calls - others.answered), maxFailedShare * static_cast<double>(others.calls)) << describeResults(load);
}

} // namespace

TEST(TargetPartition, callersOfAPartitionedVmAreServed)
{
    section("whose new connections to targets are refused", [] {
        PartitionedDeployment stage(91);
        expectServed(stage, 1, refusingAddress());
    });
    section("whose new connections to targets hang", [] {
        PartitionedDeployment stage(92);
        SilentAddress silent;
        expectServed(stage, 1, silent.text());
    });
}

TEST(TargetPartition, callersAreServedByTheLastVmThatReachesTheTargets)
{
    PartitionedDeployment stage(93);
    SilentAddress silent;
    expectServed(stage, 2, silent.text());
}

TEST(TargetPartition, callersAreServedWhenNoEntryVmReachesTheTargets)
{
    PartitionedDeployment stage(94);
    expectServed(stage, 3, refusingAddress());
}

TEST(TargetPartition, callersAreToldAtOnceThatNothingRanWhenThereIsNoWayToTheTargets)
{
    constexpr Milliseconds noticeTime { 1000 }; ///< Time until the VM has noticed the partition.
    constexpr double immediateRefusalMs = 100; ///< Far below the time limit of a call.
    PartitionedDeployment stage(96, false);
    ASSERT_EQ(startAll(stage.deployment), "");
    std::vector<Vm*> vms = stage.firstEntryVms(1);
    LoadGenerator load(loadOn(stage.deployment, 100, Milliseconds(4000), 1));
    TargetPartition partition(stage.prefix(), vms, refusingAddress());
    double cutMs = machineTimeMs();
    load.start();
    section("the VM reports itself not ready", [&] {
        EXPECT_TRUE(waitUntil(noticeTime, [&] { return !stage.deployment.ready(*vms[0]); }));
        EXPECT_TRUE(stage.deployment.ready(stage.deployment.entryVms()[1]));
    });
    EXPECT_EQ(violationsAfter(stage.deployment, load), "");
    size_t refusals = 0;
    for (const CallRecord& record : load.records()) {
        if (record.address != vms[0]->callerAddress || record.view.startMs < cutMs + noticeTime.count())
            continue;
        ++refusals;
        EXPECT_EQ(record.view.status, 503) << record.result;
        EXPECT_EQ(record.view.told, ToldRun::NotRun);
        EXPECT_LT(record.view.endMs - record.view.startMs, immediateRefusalMs);
    }
    EXPECT_GT(refusals, 50u);
    section("before it has noticed, what reached no target is answered 503 too", [&] {
        for (const CallRecord& record : load.records())
            EXPECT_FALSE(record.view.status == 502) << record.result;
    });
}

TEST(TargetPartition, shortPartitionsInSeriesHarmNoCaller)
{
    constexpr int partitions = 4;
    constexpr Milliseconds partitionLength { 700 };
    constexpr Milliseconds pause { 600 };
    PartitionedDeployment stage(95);
    ASSERT_EQ(startAll(stage.deployment), "");
    std::vector<Vm*> vms = stage.firstEntryVms(2);
    std::string destination = refusingAddress();
    LoadGenerator load(loadOn(stage.deployment, 100, loadDuration, 1));
    load.start();
    for (int number = 0; number < partitions; ++number) {
        {
            TargetPartition partition(stage.prefix(), vms, destination);
            waitUntil(partitionLength, [] { return false; });
        }
        waitUntil(pause, [] { return false; });
    }
    double healedMs = machineTimeMs();
    load.join();
    EXPECT_EQ(violationsAfter(stage.deployment, load), "");
    section("what is refused states that it has not run", [&] {
        EXPECT_EQ(summarise(load.records()).unknown, 0u) << describeResults(load);
    });
    section("after the last partition the VMs serve as the others", [&] {
        GroupResult healed = resultAt(load.records(), vms, false, healedMs);
        EXPECT_GT(healed.calls, 50u);
        EXPECT_EQ(healed.answered, healed.calls) << describeResults(load);
    });
}
