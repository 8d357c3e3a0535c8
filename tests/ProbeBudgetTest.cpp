/** @file ProbeBudgetTest.cpp Guards against probes beyond the budget, as counted by the targets, while entry VMs restart and are cut off. */
#include "TestDeployment.h"

#include "testing/MachineTime.h"

#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr double probesPerSecond = 4; ///< Budget of each target over all entry VMs.
constexpr Milliseconds runTime { 10000 };
constexpr double burst = 1; ///< One probe of each entry VM may fall on the edge of the measured span.

} // namespace

TEST(ProbeBudget, holdsOverRestartsAndPartitions)
{
    DeploymentOptions options = testOptions(101, 3, { { "matters", 3, 6 } });
    options.proxyLinks = true;
    Deployment deployment(options);
    nlohmann::json manifest = makeManifest(1, options.services);
    manifest["services"][0]["measuringBudget"] = { { "probesPerSecondPerTarget", probesPerSecond }, { "bytesPerSecondPerVm", 100000 } };
    ASSERT_EQ(deployment.start(manifest), "");
    ASSERT_TRUE(waitUntil(Milliseconds(15000), [&] { return deployment.allTargetsKnown(); }));
    ASSERT_TRUE(waitUntil(Milliseconds(15000), [&] { return deployment.targetStats(0).probes > 0; })) << "targets without calls must be probed";

    double started = machineTimeMs();
    std::vector<uint64_t> before;
    for (size_t target = 0; target < deployment.targets().size(); ++target)
        before.push_back(deployment.targetStats(target).probes);
    RandomSource random(options.seed);
    while (machineTimeMs() < started + runTime.count()) {
        Vm& vm = deployment.entryVms()[random.below(options.entryVms)];
        bool restarts = random.below(2) == 0;
        if (restarts) {
            vm.process->kill();
            deployment.restart(vm);
        } else {
            deployment.partition(vm, ProxyMode::DropBoth);
        }
        waitUntil(Milliseconds(800), [] { return false; });
        deployment.partition(vm, ProxyMode::Pass);
    }
    for (size_t target = 0; target < deployment.targets().size(); ++target) {
        uint64_t probes = deployment.targetStats(target).probes - before[target];
        double seconds = (machineTimeMs() - started) / 1000;
        EXPECT_LE(static_cast<double>(probes), probesPerSecond * seconds + burst * options.entryVms) << "target " << target << " in " << seconds << " s";
        std::cout << "target " << target << ": " << probes << " probes in " << seconds << " s, budget " << probesPerSecond << "/s\n";
    }
}
