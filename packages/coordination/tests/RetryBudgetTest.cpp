/** @file RetryBudgetTest.cpp Guards against all entry VMs together sending more extra attempts within a window than the shared retry budget allows. */
#include "kingcup/RetryBudget.h"

#include "kingcup/RandomSource.h"
#include "testing/Story.h"

#include <deque>
#include <gtest/gtest.h>
#include <memory>

using namespace kingcup;
using kingcup::testing::section;
using kingcup::testing::testSeed;

namespace {

constexpr double windowMs = 10000;
constexpr double stepMs = 20;
const RetryBudgetLimits limits { 0.2, 62, Milliseconds(windowMs) };

/** Simulates bursts and restarts of entry VMs that send as many extra attempts as they may. Returns the largest excess over the budget in any window. */
double simulateMaxExcess(uint64_t seed, uint32_t vmCount, bool isVmCountKnown)
{
    RandomSource random(seed);
    std::vector<std::unique_ptr<RetryBudget>> vms;
    for (uint32_t vm = 0; vm < vmCount; vm++)
        vms.push_back(std::make_unique<RetryBudget>(limits, timeAt(0)));
    std::deque<double> requests;
    std::deque<double> extraAttempts;
    double maxExcess = -1e9;
    for (double nowMs = 0; nowMs < 60000; nowMs += stepMs) {
        bool isBurst = static_cast<int>(nowMs / 7000) % 2 == 0;
        for (std::unique_ptr<RetryBudget>& vm : vms) {
            if (random.below(2000) == 0)
                vm = std::make_unique<RetryBudget>(limits, timeAt(nowMs));
            vm->setLiveVms(isVmCountKnown ? vmCount : 0);
            if (random.below(isBurst ? 3 : 12) == 0) {
                vm->countRequest(timeAt(nowMs));
                requests.push_back(nowMs);
            }
            for (int attempt = 0; attempt < 3; attempt++) {
                if (vm->takeAttempt(timeAt(nowMs)))
                    extraAttempts.push_back(nowMs);
            }
        }
        while (!requests.empty() && requests.front() <= nowMs - windowMs)
            requests.pop_front();
        while (!extraAttempts.empty() && extraAttempts.front() <= nowMs - windowMs)
            extraAttempts.pop_front();
        double allowed = limits.share * static_cast<double>(requests.size()) + limits.slack;
        maxExcess = std::max(maxExcess, static_cast<double>(extraAttempts.size()) - allowed);
    }
    return maxExcess;
}

} // namespace

TEST(RetryBudgetTest, boundsExtraAttemptsOverAllEntryVms)
{
    uint64_t firstSeed = testSeed(1);
    section("17 VMs with bursts and restarts stay within the budget of every window", [&] {
        for (uint64_t seed = firstSeed; seed < firstSeed + 10; seed++)
            EXPECT_LE(simulateMaxExcess(seed, 17, true), 0) << "seed " << seed;
    });
    section("121 VMs with bursts and restarts stay within the budget of every window", [&] {
        for (uint64_t seed = firstSeed; seed < firstSeed + 3; seed++)
            EXPECT_LE(simulateMaxExcess(seed, 121, true), 0) << "seed " << seed;
    });
    section("VMs use no slack while the number of VMs is unknown", [&] {
        for (uint64_t seed = firstSeed; seed < firstSeed + 3; seed++)
            EXPECT_LE(simulateMaxExcess(seed, 17, false), -0.9 * limits.slack) << "seed " << seed;
    });
}

TEST(RetryBudgetTest, grantsMostOfTheBudget)
{
    section("a VM can use most of its share and of its part of the slack", [] {
        RetryBudget budget(limits, timeAt(0));
        budget.setLiveVms(10);
        int taken = 0;
        for (int request = 0; request < 100; request++)
            budget.countRequest(timeAt(windowMs + request));
        while (budget.takeAttempt(timeAt(windowMs + 100)))
            taken++;
        EXPECT_GE(taken, 22); // 0.9 of the sum of 20 (share) and 6.2 (part of the slack)
        EXPECT_LE(taken, 26);
    });
    section("a taken attempt is available again one window later", [] {
        RetryBudget budget(limits, timeAt(0));
        for (int request = 0; request < 50; request++)
            budget.countRequest(timeAt(request));
        while (budget.takeAttempt(timeAt(100))) { }
        EXPECT_FALSE(budget.takeAttempt(timeAt(9000)));
        for (int request = 0; request < 50; request++)
            budget.countRequest(timeAt(12000));
        EXPECT_TRUE(budget.takeAttempt(timeAt(12001)));
    });
}
