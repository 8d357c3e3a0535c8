/** @file TargetRateLimitTest.cpp Guards against entry VMs that together send a target more requests than the limit that it names, and against a limit that shuts a target out. */
#include "../src/TargetRateLimit.h"

#include "kingcup/MillisecondClock.h"
#include "kingcup/RandomSource.h"

#include "testing/Story.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <vector>

using namespace kingcup;
using kingcup::testing::section;
using kingcup::testing::testSeed;

namespace {

constexpr double windowMs = 4000;
constexpr double learnMs = 2000; ///< Time within which all VMs learn of a limit.
constexpr double runMs = 40000;

/** Load on a target from the entry VMs. */
struct LimitedLoad {
    double requestsPerSecond; ///< Limit that the target names.
    size_t vms;
    double requestIntervalMs; ///< Time between two requests of one VM that the target could get.
};

/** Returns the most requests that a target gets in one window from VMs that have learned of its limit. */
size_t mostRequestsInWindow(const LimitedLoad& load, uint64_t seed)
{
    RandomSource random(seed);
    std::vector<TargetRateLimit> limits(load.vms);
    std::vector<double> learnedAt(load.vms);
    std::vector<double> nextRequest(load.vms);
    for (size_t vm = 0; vm < load.vms; vm++) {
        learnedAt[vm] = random.fraction() * learnMs;
        nextRequest[vm] = learnedAt[vm];
        limits[vm].setLimit(load.requestsPerSecond, random.fraction(), learnedAt[vm]);
    }
    std::deque<double> window;
    size_t most = 0;
    for (double now = 0; now < runMs; now++) {
        for (size_t vm = 0; vm < load.vms; vm++) {
            if (now < nextRequest[vm])
                continue;
            nextRequest[vm] = now + load.requestIntervalMs * 2 * random.fraction();
            if (limits[vm].takePermit(static_cast<double>(load.vms), now))
                window.push_back(now);
        }
        while (!window.empty() && window.front() <= now - windowMs)
            window.pop_front();
        most = std::max(most, window.size());
    }
    return most;
}

/** Returns the number of requests in one window that a limit allows, with half as many and five more to spare. */
size_t allowedInWindow(double requestsPerSecond)
{
    return static_cast<size_t>(requestsPerSecond * windowMs / 1000 * 1.5 + 5);
}

} // namespace

TEST(TargetRateLimitTest, allVmsTogetherKeepTheLimit)
{
    uint64_t first = testSeed(1);
    for (const LimitedLoad& load : std::vector<LimitedLoad> { { 2, 16, 200 }, { 1.9, 16, 200 }, { 2.3, 17, 10 }, { 8, 16, 50 }, { 100, 16, 10 }, { 2, 121, 200 }, { 0, 16, 100 } }) {
        section(std::to_string(load.requestsPerSecond) + " requests a second from " + std::to_string(load.vms) + " VMs", [&] {
            for (uint64_t seed = first; seed < first + 10; seed++)
                EXPECT_LE(mostRequestsInWindow(load, seed), allowedInWindow(load.requestsPerSecond)) << "seed " << seed;
        });
    }
}

TEST(TargetRateLimitTest, limitIsUsedAndEnds)
{
    section("without a limit every request has a permit", [] {
        TargetRateLimit limit;
        EXPECT_FALSE(limit.isSet());
        EXPECT_TRUE(limit.hasPermit(16, 0));
    });
    section("a VM that always has requests uses most of its share", [] {
        TargetRateLimit limit;
        limit.setLimit(16, 0.5, 0);
        int taken = 0;
        for (double now = 0; now < 100000; now += 10)
            taken += limit.takePermit(16, now);
        EXPECT_GE(taken, 65);
        EXPECT_LE(taken, 100);
    });
    section("a VM that was idle does not catch up below one permit a second", [] {
        TargetRateLimit limit;
        limit.setLimit(2, 0, 0);
        EXPECT_TRUE(limit.takePermit(16, 100000));
        EXPECT_FALSE(limit.takePermit(16, 100100));
    });
    section("a permit of a request that was not sent is available again", [] {
        TargetRateLimit limit;
        limit.setLimit(2, 0, 0);
        EXPECT_TRUE(limit.takePermit(16, 1000));
        limit.returnPermit();
        EXPECT_TRUE(limit.takePermit(16, 1001));
    });
    section("a higher limit takes effect within its own interval", [] {
        TargetRateLimit limit;
        limit.setLimit(1, 0.99, 0);
        limit.setLimit(160, 0.99, 100);
        EXPECT_TRUE(limit.hasPermit(16, 300));
    });
    section("a VM that learned of the limit while it assumed many others goes on at the rate for the real number", [] {
        TargetRateLimit limit;
        limit.setLimit(2, 0.9, 0);
        EXPECT_FALSE(limit.hasPermit(128, 5000));
        EXPECT_TRUE(limit.hasPermit(3, 5000));
    });
    section("a limit that has ended holds no request back, and the next one starts anew", [] {
        TargetRateLimit limit;
        limit.setLimit(1, 0.5, 0);
        limit.clear();
        EXPECT_TRUE(limit.hasPermit(16, 1));
        limit.setLimit(1, 0.5, 2);
        EXPECT_FALSE(limit.hasPermit(16, 3));
    });
}
