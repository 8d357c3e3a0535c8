/**
 * @file StartupQueueTest.cpp Replays the callers of a fleet that comes back after a loss of power, against immediate refusals as the baseline.
 * Guards against callers that use up their attempts before the first configuration arrives, and against calls that are held in vain.
 */
#include "kingcup/StartupQueue.h"

#include "testing/Story.h"

#include <gtest/gtest.h>

using namespace kingcup;
using kingcup::testing::section;
using kingcup::testing::testSeed;

namespace {

constexpr Milliseconds callDuration { 6000 }; ///< Time that a caller has.

/** Replays callers that come in the first 2 s after the start. Returns the share of calls that are served when the first configuration arrives at a time. Each caller returns once after a refusal. @param waits Whether calls may wait. */
double servedShare(double configuredMs, bool waits, Milliseconds refusalDelay)
{
    RandomSource random(testSeed(3));
    StartupQueue queue(timeAt(0), RandomSource(testSeed(3)));
    int served = 0;
    constexpr int calls = 1000;
    for (int call = 0; call < calls; ++call) {
        TimePoint now = timeAt(random.fraction() * 2000);
        TimePoint deadline = now + callDuration;
        for (int attempt = 0; attempt < 2; ++attempt) {
            std::optional<TimePoint> end = waits ? queue.enter(deadline, now) : std::nullopt;
            if (end)
                queue.leave();
            if (end.value_or(now) >= timeAt(configuredMs)) {
                ++served;
                break;
            }
            now = end.value_or(now) + (waits ? queue.retryAfter(end.value_or(now)) : refusalDelay);
        }
    }
    return static_cast<double>(served) / calls;
}

} // namespace

TEST(StartupQueueTest, bridgesTheStartOfAFleet)
{
    section("callers that come before the first configuration are served, if it arrives within 3 s", [] {
        for (double configuredMs : { 300.0, 900.0, 1500.0, 2500.0 }) {
            double withoutWait = servedShare(configuredMs, false, Milliseconds(250));
            EXPECT_EQ(servedShare(configuredMs, true, Milliseconds(0)), 1.0) << configuredMs;
            std::cout << "configuration after " << configuredMs << " ms: served " << withoutWait << " without a wait\n";
        }
        EXPECT_LT(servedShare(1500, false, Milliseconds(250)), 0.5);
    });
    section("a call waits for a part of its time only, so that it can still be served or return", [] {
        StartupQueue queue(timeAt(0), RandomSource(1));
        EXPECT_EQ(queue.enter(timeAt(1100), timeAt(100)), timeAt(500));
        EXPECT_EQ(queue.enter(timeAt(100), timeAt(100)), std::nullopt);
    });
    section("when control is unreachable, calls are refused at once, and returns are spread over a second or more", [] {
        StartupQueue queue(timeAt(0), RandomSource(testSeed(3)));
        EXPECT_EQ(queue.enter(timeAt(9000), timeAt(3000)), std::nullopt);
        Milliseconds shortest(1e9);
        Milliseconds longest(0);
        for (int call = 0; call < 200; ++call) {
            Milliseconds delay = queue.retryAfter(timeAt(20000));
            shortest = std::min(shortest, delay);
            longest = std::max(longest, delay);
        }
        EXPECT_GE(shortest, Milliseconds(1000));
        EXPECT_GT(longest, Milliseconds(1400));
        EXPECT_LE(longest, Milliseconds(1500));
    });
    section("the number of waiting calls is bounded", [] {
        StartupQueue queue(timeAt(0), RandomSource(1));
        while (queue.enter(timeAt(6000), timeAt(0)))
            ASSERT_LE(queue.waiting(), 1000u);
        EXPECT_EQ(queue.waiting(), 200u);
        queue.leave();
        EXPECT_TRUE(queue.enter(timeAt(6000), timeAt(0)));
    });
}
