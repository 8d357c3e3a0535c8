/** @file ColdTargetTest.cpp Guards against a target that gets more requests, from all entry VMs together, than it can handle while it states in its health answers that it is cold. */
#include "TestDeployment.h"

#include "testing/MachineTime.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr double coldRequestsPerSecond = 2;
constexpr double learnMs = 1000; ///< Time after which every entry VM has probed the target.
constexpr size_t allowedInSecond = static_cast<size_t>(coldRequestsPerSecond * 1.5 + 8);
constexpr double workMs = 40; ///< Long enough for the calls to spread over all targets.

/** Returns the most executions that a target started in one second after a time. */
size_t mostExecutionsInSecond(Deployment& deployment, size_t target, double fromMs)
{
    std::vector<double> starts;
    for (const Execution& execution : readExecutionLog(deployment.targets()[target].executionLog)) {
        if (execution.startMs >= fromMs)
            starts.push_back(execution.startMs);
    }
    std::sort(starts.begin(), starts.end());
    size_t most = 0;
    for (auto first = starts.begin(); first != starts.end(); ++first)
        most = std::max(most, static_cast<size_t>(std::lower_bound(first, starts.end(), *first + 1000) - first));
    return most;
}

/** Returns reads of a route, whose targets are probed before each request. */
LoadOptions routedLoad(const Deployment& deployment, double callsPerSecond, Milliseconds duration)
{
    LoadOptions options = loadOn(deployment, callsPerSecond, duration, 0);
    options.mix[0].host = "cold.example";
    return options;
}

} // namespace

TEST(ColdTarget, getsWhatItCanHandle)
{
    Deployment deployment(testOptions(83, 3, { { "matters", 4, 6 } }));
    nlohmann::json manifest = makeManifest(1, deployment.plan().services);
    nlohmann::json& service = manifest["services"][0];
    service.update({ { "healthPath", "/load" }, { "coldStartSeconds", 30 }, { "coldRequestsPerSecond", coldRequestsPerSecond } });
    service["measuringBudget"] = { { "probesPerSecondPerTarget", 1000 }, { "bytesPerSecondPerVm", 1000000 } };
    manifest["routes"] = { { { "name", "reads" }, { "host", "cold.example" }, { "pathPrefix", "/" }, { "kind", "safe" }, { "deadlineMs", 3000 }, { "objectiveMs", 300 }, { "service", "matters" } } };
    ASSERT_EQ(deployment.start(manifest), "");
    ASSERT_TRUE(waitUntil(Milliseconds(15000), [&] { return deployment.allTargetsKnown(); }));
    // Entry VMs send next to no probes until they know how many of them share the budget.
    ASSERT_TRUE(waitUntil(Milliseconds(15000), [&] { return deployment.targetStats(0).probes > 100; }));
    for (size_t target = 0; target < deployment.targets().size(); ++target)
        deployment.changeFaults(target, { { "latencyMedianMs", workMs } });
    section("a target that states that it is cold gets no more, and no call fails", [&] {
        LoadGenerator load(routedLoad(deployment, 200, Milliseconds(5000)));
        load.start();
        ASSERT_TRUE(waitUntil(Milliseconds(3000), [&] { return deployment.targetStats(0).executions > 5; }));
        double stated = machineTimeMs();
        deployment.changeFaults(0, { { "coldHeader", "30000" } });
        load.join();
        LoadSummary summary = summarise(load.records());
        EXPECT_EQ(summary.answered, summary.calls) << describeResults(load);
        EXPECT_LE(mostExecutionsInSecond(deployment, 0, stated + learnMs), allowedInSecond);
    });
    section("it is used as before once it states that it is not cold", [&] {
        uint64_t before = deployment.targetStats(0).executions;
        deployment.changeFaults(0, { { "coldHeader", "0" } });
        LoadGenerator load(routedLoad(deployment, 200, Milliseconds(3000)));
        load.start();
        load.join();
        EXPECT_GT(deployment.targetStats(0).executions, before + 3 * allowedInSecond);
    });
    section("when all targets are cold, they get no more either, and the rest is refused as not run", [&] {
        double stated = machineTimeMs();
        for (size_t target = 0; target < deployment.targets().size(); ++target)
            deployment.changeFaults(target, { { "coldHeader", "30000" } });
        LoadGenerator load(routedLoad(deployment, 100, Milliseconds(3000)));
        load.start();
        load.join();
        LoadSummary summary = summarise(load.records());
        EXPECT_GT(summary.refused, 0u) << describeResults(load);
        EXPECT_EQ(summary.unknown, 0u) << describeResults(load);
        for (size_t target = 0; target < deployment.targets().size(); ++target)
            EXPECT_LE(mostExecutionsInSecond(deployment, target, stated + learnMs), allowedInSecond);
    });
}
