/** @file LeavingTargetTest.cpp Guards against new work on a target that has been leaving for more than 2 s. */
#include "TestDeployment.h"

#include "testing/MachineTime.h"

#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr double leaveBoundMs = 2000; ///< Bound of the design.

} // namespace

TEST(LeavingTarget, getsNoNewWorkAfterTwoSeconds)
{
    Deployment deployment(testOptions(71, 3, { { "matters", 4, 6 } }));
    ASSERT_EQ(startAll(deployment), "");
    LoadGenerator load(loadOn(deployment, 200, Milliseconds(7000), 0.3));
    load.start();
    size_t leaving = 1;
    ASSERT_TRUE(waitUntil(Milliseconds(5000), [&] { return deployment.targetStats(leaving).executions > 5; }));

    double announced = machineTimeMs();
    deployment.changeFaults(leaving, { { "state", "draining" } });
    EXPECT_EQ(violationsAfter(deployment, load), "");
    LoadSummary summary = summarise(load.records());
    EXPECT_EQ(summary.answered, summary.calls) << describeResults(load);
    size_t late = 0;
    for (const Execution& execution : readExecutionLog(deployment.targets()[leaving].executionLog))
        late += execution.startMs > announced + leaveBoundMs;
    EXPECT_EQ(late, 0u);
    EXPECT_EQ(deployment.targetStats(leaving).inFlight, 0u);
}
