/**
 * @file StopScheduleTest.cpp Guards against a planned stop that cuts off calls although the platform would have waited, or that accepts calls
 * which it cannot finish. Both came from a length of the stop that did not depend on the grace period of the deployment.
 */
#include "kingcup/StopSchedule.h"

#include "testing/Story.h"

#include <gtest/gtest.h>

using namespace kingcup;
using kingcup::testing::section;

namespace {

constexpr TimePoint start = timeAt(50000);
constexpr Milliseconds notice { 2500 };

/** Returns the schedule of a deployment with a grace period. */
StopSchedule scheduleWithin(double graceSeconds)
{
    return StopSchedule({ notice, Milliseconds(3200), Milliseconds(graceSeconds * 1000) }, start);
}

} // namespace

TEST(StopScheduleTest, callsGetTheGracePeriodOfTheDeployment)
{
    section("with a longer grace period calls have longer; the length of the notice stays", [] {
        EXPECT_EQ(scheduleWithin(6).callsEnd(), start + Milliseconds(5700));
        EXPECT_EQ(scheduleWithin(10).callsEnd(), start + Milliseconds(9500));
        EXPECT_EQ(scheduleWithin(60).callsEnd(), start + Milliseconds(57000));
        EXPECT_EQ(scheduleWithin(10).noticeEnd(), start + notice);
    });
    section("the process ends within any grace period, however short", [] {
        for (double graceSeconds : { 0.1, 0.3, 1.0, 2.0, 3.0, 30.0 }) {
            StopSchedule schedule = scheduleWithin(graceSeconds);
            EXPECT_GE(schedule.callsEnd(), start);
            EXPECT_LE(schedule.noticeEnd(), schedule.callsEnd());
            EXPECT_LT(schedule.callsEnd(), *schedule.processEnd()) << graceSeconds;
            EXPECT_EQ(*schedule.processEnd(), start + Milliseconds(graceSeconds * 1000));
        }
    });
    section("without a grace period the limit for calls counts from the end of the notice", [] {
        StopSchedule schedule({ notice, Milliseconds(3200), std::nullopt }, start);
        EXPECT_EQ(schedule.callsEnd(), start + Milliseconds(5700));
        EXPECT_FALSE(schedule.processEnd());
    });
}

TEST(StopScheduleTest, aCallThatIsAcceptedEndsBeforeTheStop)
{
    section("the answer of a call with the latest deadline is sent before calls are cut off", [] {
        for (double graceSeconds : { 1.0, 6.0, 10.0 }) {
            StopSchedule schedule = scheduleWithin(graceSeconds);
            EXPECT_GE(schedule.callsEnd() - schedule.latestDeadline(), Milliseconds(100));
        }
    });
    section("a call of 10 s that arrives 1.2 s after the stop signal does not fit into a grace period of 10 s", [] {
        EXPECT_GT(start + Milliseconds(1200) + Milliseconds(10000), scheduleWithin(10).latestDeadline());
        EXPECT_LE(start + Milliseconds(1200) + Milliseconds(6000), scheduleWithin(10).latestDeadline());
    });
    section("when the grace period is too short for any call, none is accepted", [] {
        EXPECT_LT(scheduleWithin(0.3).latestDeadline(), start);
    });
}
