/**
 * @file TargetNoticeTest.cpp Guards against work on a target that states in its answers that it leaves, or that it accepts no requests for a time.
 * Such a target may be cut off from control, which then goes on listing it as serving.
 */
#include "TestDeployment.h"

#include "testing/MachineTime.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr double leaveBoundMs = 2000; ///< Bound of the design.
constexpr double immediateRefusalMs = 100; ///< Far below the time limit of a call.
constexpr size_t checkedRefusals = 10; ///< The last calls, which come after every target has been tried.
constexpr uint64_t maxArrivalsInPause = 2; ///< Per entry VM, after the first half second of a pause.

/** Returns the executions of a target that started after a time. */
size_t executionsAfter(Deployment& deployment, size_t target, double timeMs)
{
    std::vector<Execution> executions = readExecutionLog(deployment.targets()[target].executionLog);
    return static_cast<size_t>(std::count_if(executions.begin(), executions.end(), [&](const Execution& execution) { return execution.startMs > timeMs; }));
}

} // namespace

TEST(TargetNotice, isHeededWithoutControl)
{
    Deployment deployment(testOptions(73, 2, { { "matters", 4, 6 } }));
    ASSERT_EQ(startAll(deployment), "");
    section("a target that says in its answers that it leaves gets no new work after 2 s, and no call fails", [&] {
        LoadGenerator load(loadOn(deployment, 200, Milliseconds(5000), 0.3));
        load.start();
        ASSERT_TRUE(waitUntil(Milliseconds(3000), [&] { return deployment.targetStats(0).executions > 5; }));
        double stated = machineTimeMs();
        deployment.changeFaults(0, { { "leavingHeader", "1" } });
        EXPECT_EQ(violationsAfter(deployment, load), "");
        LoadSummary summary = summarise(load.records());
        EXPECT_EQ(summary.answered, summary.calls) << describeResults(load);
        EXPECT_EQ(executionsAfter(deployment, 0, stated + leaveBoundMs), 0u);
    });
    section("control learns of it, although the target announces itself as serving", [&] {
        auto isDraining = [&] {
            nlohmann::json answer = deployment.query(deployment.controlVms()[0], "/v1/targets");
            for (const nlohmann::json& target : answer["targets"]) {
                if (target["address"] == deployment.targets()[0].announcedAddress)
                    return target["state"] == "draining";
            }
            return false;
        };
        EXPECT_TRUE(waitUntil(Milliseconds(2000), isDraining));
    });
    section("a target that turns a request away for 3 s gets next to none until then", [&] {
        LoadGenerator load(loadOn(deployment, 200, Milliseconds(3000), 0));
        deployment.changeFaults(1, { { "shedShare", 1.0 }, { "shedRetryAfter", "3.0" } });
        load.start();
        ASSERT_TRUE(waitUntil(Milliseconds(3000), [&] { return deployment.targetStats(1).shed > 0; }));
        std::this_thread::sleep_for(Milliseconds(500));
        uint64_t inFirstHalfSecond = deployment.targetStats(1).shed;
        std::this_thread::sleep_for(Milliseconds(1800));
        EXPECT_LE(deployment.targetStats(1).shed, inFirstHalfSecond + maxArrivalsInPause * deployment.entryVms().size());
        load.join();
        LoadSummary summary = summarise(load.records());
        EXPECT_EQ(summary.answered, summary.calls) << describeResults(load);
    });
    section("when every other target has asked for a pause, requests are refused at once", [&] {
        for (size_t target : { 1, 2, 3 })
            deployment.changeFaults(target, { { "leavingHeader", "" }, { "shedShare", 1.0 }, { "shedRetryAfter", "30.0" } });
        LoadGenerator load(loadOn(deployment, 100, Milliseconds(2000), 0));
        load.start();
        load.join();
        std::vector<CallRecord> records = load.records();
        ASSERT_GT(records.size(), checkedRefusals);
        for (size_t i = records.size() - checkedRefusals; i < records.size(); ++i)
            EXPECT_LT(records[i].latency.count(), immediateRefusalMs) << records[i].result;
        EXPECT_GT(summarise(records).refused, 0u) << describeResults(load);
    });
}
