/** @file WeightedSplitTest.cpp Checks that the split of a route's requests stays close to its weights in every run of requests. */
#include "kingcup/WeightedSplit.h"

#include "testing/Story.h"

#include <cmath>
#include <gtest/gtest.h>

using namespace kingcup;
using kingcup::testing::section;

TEST(WeightedSplitTest, followsTheWeights)
{
    const std::vector<RouteShare> shares = { { "a", 90 }, { "b", 10 }, { "c", 0 } };
    section("with any offset, every prefix of the requests is split nearly by weight", [&] {
        for (double offset : { 0.0, 0.31, 0.95 }) {
            WeightedSplit split(offset);
            int second = 0;
            for (int request = 1; request <= 2000; request++) {
                second += split.next(shares) == 1;
                EXPECT_LE(std::abs(second - 0.1 * request), 2.5) << "after " << request << " requests, offset " << offset;
            }
        }
    });
    section("a share with weight 0 gets no requests", [&] {
        WeightedSplit split(0.5);
        for (int request = 0; request < 1000; request++)
            EXPECT_NE(split.next(shares), 2u);
    });
    section("shares are equal if all weights are 0", [] {
        WeightedSplit split(0.5);
        int first = 0;
        for (int request = 0; request < 1000; request++)
            first += split.next({ { "a", 0 }, { "b", 0 } }) == 0;
        EXPECT_NEAR(first, 500, 5);
    });
}
