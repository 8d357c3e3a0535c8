/** @file TargetLimitTest.cpp Guards against a target that gets more requests, from all entry VMs together, than the limit that it names in its answers. */
#include "TestDeployment.h"

#include "testing/MachineTime.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr double learnMs = 1000; ///< Time after which every entry VM has got an answer with the limit.
constexpr double windowMs = 4000;
constexpr double workMs = 40; ///< Long enough for the calls to spread over all targets.
constexpr double immediateRefusalMs = 100; ///< Far below the time limit of a call.
constexpr size_t checkedRefusals = 10; ///< The last calls, which come when no target may get a request.

/** Returns the most executions that a target started in one window between two times. */
size_t mostExecutionsInWindow(Deployment& deployment, size_t target, double fromMs, double toMs)
{
    std::vector<double> starts;
    for (const Execution& execution : readExecutionLog(deployment.targets()[target].executionLog)) {
        if (execution.startMs >= fromMs && execution.startMs < toMs)
            starts.push_back(execution.startMs);
    }
    std::sort(starts.begin(), starts.end());
    size_t most = 0;
    for (auto first = starts.begin(); first != starts.end(); ++first) {
        auto end = std::lower_bound(first, starts.end(), *first + windowMs);
        most = std::max(most, static_cast<size_t>(end - first));
    }
    return most;
}

/** Returns the number of requests in one window that a limit allows, with half as many and five more to spare. */
size_t allowedInWindow(double requestsPerSecond)
{
    constexpr double slackFactor = 1.5;
    constexpr double slackRequests = 5;
    return static_cast<size_t>(requestsPerSecond * windowMs / 1000 * slackFactor + slackRequests);
}

} // namespace

TEST(TargetLimit, isKeptByAllEntryVmsTogether)
{
    Deployment deployment(testOptions(79, 3, { { "matters", 4, 6 } }));
    ASSERT_EQ(startAll(deployment), "");
    for (size_t target = 0; target < deployment.targets().size(); ++target)
        deployment.changeFaults(target, { { "latencyMedianMs", workMs } });
    section("a target that names a limit of 2 requests a second gets no more, and no call fails", [&] {
        LoadGenerator load(loadOn(deployment, 200, Milliseconds(7500), 0.3));
        load.start();
        ASSERT_TRUE(waitUntil(Milliseconds(3000), [&] { return deployment.targetStats(0).executions > 5; }));
        double named = machineTimeMs();
        deployment.changeFaults(0, { { "limitHeader", "2" } });
        EXPECT_EQ(violationsAfter(deployment, load), "");
        LoadSummary summary = summarise(load.records());
        EXPECT_EQ(summary.answered, summary.calls) << describeResults(load);
        EXPECT_LE(mostExecutionsInWindow(deployment, 0, named + learnMs, machineTimeMs()), allowedInWindow(2));
    });
    section("it is used as before once its answers name no limit", [&] {
        uint64_t before = deployment.targetStats(0).executions;
        deployment.changeFaults(0, { { "limitHeader", "" } });
        LoadGenerator load(loadOn(deployment, 200, Milliseconds(5000), 0));
        load.start();
        load.join();
        EXPECT_GT(deployment.targetStats(0).executions, before + 2 * allowedInWindow(2));
    });
    section("when all targets name limits, what goes beyond them is refused at once", [&] {
        for (size_t target = 0; target < deployment.targets().size(); ++target)
            deployment.changeFaults(target, { { "limitHeader", "1" } });
        LoadGenerator load(loadOn(deployment, 100, Milliseconds(3000), 0));
        load.start();
        load.join();
        std::vector<CallRecord> records = load.records();
        ASSERT_GT(records.size(), checkedRefusals);
        for (size_t i = records.size() - checkedRefusals; i < records.size(); ++i)
            EXPECT_LT(records[i].latency.count(), immediateRefusalMs) << records[i].result;
        EXPECT_GT(summarise(records).refused, 0u) << describeResults(load);
    });
}
