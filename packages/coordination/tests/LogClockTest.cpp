/** @file LogClockTest.cpp Tests that the log time follows the monotonic clock and never decreases. */
#include "kingcup/LogClock.h"

#include "testing/Story.h"

#include <gtest/gtest.h>

using namespace kingcup;
using kingcup::testing::section;

TEST(LogClockTest, countsElapsedTime)
{
    LogClock clock(timeAt(1e9));
    clock.advance(5000, timeAt(1e9));
    section("the clock advances with monotonic time", [&] { EXPECT_EQ(clock.at(timeAt(1e9 + 700)), 5700u); });
    section("an older log time does not set it back", [&] {
        clock.advance(4000, timeAt(1e9 + 1000));
        EXPECT_EQ(clock.at(timeAt(1e9 + 1000)), 6000u);
    });
    section("a newer log time sets it forward", [&] {
        clock.advance(9000, timeAt(1e9 + 1000));
        EXPECT_EQ(clock.at(timeAt(1e9 + 1500)), 9500u);
    });
}
