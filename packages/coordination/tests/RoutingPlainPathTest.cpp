/** @file RoutingPlainPathTest.cpp Smoke test of the routing decisions: one request passes admission, gets a target and ends. */
#include "kingcup/Admission.h"
#include "kingcup/CrashContainment.h"
#include "kingcup/ProbeBudget.h"
#include "kingcup/RetryPolicy.h"
#include "kingcup/Router.h"

#include "testing/Story.h"

#include <gtest/gtest.h>

using namespace kingcup;
using kingcup::testing::section;

TEST(RoutingPlainPathTest, routesOneRequest)
{
    section("an idle service admits a request at once, and the router picks a target and counts the attempt", [] {
        Admission admission { ServiceLimits {} };
        admission.setLimits(ServiceLimits {}, 6, timeAt(0));
        auto decisions = admission.submitRequest({ 1, 5, timeAt(1000), Milliseconds(100), true }, timeAt(0));
        ASSERT_EQ(decisions.size(), 1u);
        EXPECT_EQ(decisions[0].code, ResultCode::Ok);
        Router router(RoutingPolicy::Adaptive, "entry-1", "pasila", RandomSource(1));
        wire::TargetRecord record;
        record.set_address("127.0.0.1:1");
        record.set_slots(6);
        record.set_state(wire::TARGET_SERVING);
        router.update(Service {}, { record }, timeAt(0));
        auto pick = router.pick({}, timeAt(0));
        ASSERT_TRUE(pick);
        EXPECT_EQ(router.outstanding(), 1u);
        router.finish(*pick, AttemptOutcome::Answered, Milliseconds(3), timeAt(3));
        EXPECT_EQ(router.outstanding(), 0u);
        EXPECT_EQ(admission.finishCall(Milliseconds(3), false, timeAt(3)).size(), 0u);
    });
}
