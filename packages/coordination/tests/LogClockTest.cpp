/** @file LogClockTest.cpp Guards the time of the log against steps of wall clocks and changes of the leader. */
#include "kingcup/LogClock.h"

#include "testing/Story.h"

#include <gtest/gtest.h>

using namespace kingcup;
using kingcup::testing::section;

TEST(LogClockTest, countsElapsedTime)
{
    LogClock clock(timeAt(1e9));
    clock.advance(5000, timeAt(1e9));
    section("it goes on with the machine's own monotonic time", [&] { EXPECT_EQ(clock.at(timeAt(1e9 + 700)), 5700u); });
    section("an older time from the log does not take it back", [&] {
        clock.advance(4000, timeAt(1e9 + 1000));
        EXPECT_EQ(clock.at(timeAt(1e9 + 1000)), 6000u);
    });
    section("a newer one takes it on", [&] {
        clock.advance(9000, timeAt(1e9 + 1000));
        EXPECT_EQ(clock.at(timeAt(1e9 + 1500)), 9500u);
    });
}
