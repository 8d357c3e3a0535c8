/** @file WeightedSplitTest.cpp Guards the division of a route's requests against drifting from its weights. */
#include "kingcup/WeightedSplit.h"

#include "testing/Story.h"

#include <cmath>
#include <gtest/gtest.h>

using namespace kingcup;
using kingcup::testing::section;

TEST(WeightedSplitTest, followsTheWeights)
{
    const std::vector<RouteShare> shares = { { "a", 90 }, { "b", 10 }, { "c", 0 } };
    section("every run of requests is divided nearly by weight, from any start", [&] {
        for (double offset : { 0.0, 0.31, 0.95 }) {
            WeightedSplit split(offset);
            int second = 0;
            for (int request = 1; request <= 2000; request++) {
                second += split.next(shares) == 1;
                EXPECT_LE(std::abs(second - 0.1 * request), 2.5) << "after " << request << " requests, offset " << offset;
            }
        }
    });
    section("a share without weight gets nothing", [&] {
        WeightedSplit split(0.5);
        for (int request = 0; request < 1000; request++)
            EXPECT_NE(split.next(shares), 2u);
    });
    section("shares that all have no weight count alike", [] {
        WeightedSplit split(0.5);
        int first = 0;
        for (int request = 0; request < 1000; request++)
            first += split.next({ { "a", 0 }, { "b", 0 } }) == 0;
        EXPECT_NEAR(first, 500, 5);
    });
}
