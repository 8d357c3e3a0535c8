/** @file RetryPolicyTest.cpp Guards against retry storms, unsafe retries and hedges beyond their budget. */
#include "kingcup/RetryPolicy.h"

#include "testing/Story.h"

#include <cmath>
#include <gtest/gtest.h>
#include <thread>

using namespace kingcup;
using kingcup::testing::section;
using kingcup::testing::testSeed;

namespace {

RetryContext failedAttempt()
{
    RetryContext context;
    context.isRepeatable = true;
    context.mayHaveBeenSent = true;
    context.outcome = AttemptOutcome::ConnectionLost;
    context.deadline = timeAt(1e9);
    return context;
}

} // namespace

TEST(RetryPolicyTest, retriesOnlySafeAttempts)
{
    RetryPolicy policy { ServiceLimits {} };
    RetryContext context = failedAttempt();
    section("a sent attempt is retried only if it is repeatable, an unsent one always", [&] {
        EXPECT_TRUE(policy.takeRetry(context, timeAt(0)));
        context.isRepeatable = false;
        EXPECT_FALSE(policy.takeRetry(context, timeAt(0)));
        context.mayHaveBeenSent = false;
        EXPECT_TRUE(policy.takeRetry(context, timeAt(0)));
    });
    section("at a call depth above 0 only attempts that were not sent are retried", [&] {
        context = failedAttempt();
        context.depth = 1;
        EXPECT_FALSE(policy.takeRetry(context, timeAt(0)));
        context.mayHaveBeenSent = false;
        EXPECT_TRUE(policy.takeRetry(context, timeAt(0)));
    });
    section("cancelled attempts are not retried, and the number of attempts is bounded", [&] {
        context = failedAttempt();
        context.outcome = AttemptOutcome::Cancelled;
        EXPECT_FALSE(policy.takeRetry(context, timeAt(0)));
        context = failedAttempt();
        context.attempts = 3;
        EXPECT_FALSE(policy.takeRetry(context, timeAt(0)));
    });
    section("attempts that were not sent neither use up the number of attempts nor the budget, and are bounded", [&] {
        ServiceLimits limits;
        limits.retryShare = 0;
        RetryPolicy withoutBudget(limits);
        RetryContext unsent = failedAttempt();
        unsent.isRepeatable = false;
        unsent.mayHaveBeenSent = false;
        unsent.maxAttempts = 1;
        unsent.arrivals = 0;
        EXPECT_TRUE(withoutBudget.takeRetry(unsent, timeAt(0)));
        unsent.attempts = 3;
        EXPECT_TRUE(withoutBudget.takeRetry(unsent, timeAt(0)));
        unsent.attempts = 4;
        EXPECT_FALSE(withoutBudget.takeRetry(unsent, timeAt(0)));
        unsent.attempts = 2;
        unsent.arrivals = 1;
        EXPECT_FALSE(withoutBudget.takeRetry(unsent, timeAt(0))) << "one attempt has arrived, which is the largest number";
    });
    section("a call is not retried if the retry cannot end before the deadline", [&] {
        for (int i = 0; i < 100; ++i)
            policy.recordLatency(Milliseconds(20), timeAt(1));
        context = failedAttempt();
        context.deadline = timeAt(100);
        EXPECT_TRUE(policy.takeRetry(context, timeAt(50)));
        EXPECT_FALSE(policy.takeRetry(context, timeAt(85)));
    });
}

TEST(RetryPolicyTest, staysWithinItsBudgets)
{
    section("retries from several threads stay within their share of the calls", [] {
        ServiceLimits limits;
        limits.retryShare = 0.1;
        RetryPolicy policy(limits);
        std::atomic<int> retryCount { 0 };
        auto runCalls = [&] {
            for (int i = 0; i < 10000; ++i) {
                policy.countCall(timeAt(0));
                retryCount += policy.takeRetry(failedAttempt(), timeAt(0));
            }
        };
        std::vector<std::thread> threads(4);
        for (std::thread& thread : threads)
            thread = std::thread(runCalls);
        for (std::thread& thread : threads)
            thread.join();
        EXPECT_LE(retryCount, 4010);
        EXPECT_GE(retryCount, 3990);
        limits.retryShare = 0;
        policy.setLimits(limits);
        EXPECT_FALSE(policy.takeRetry(failedAttempt(), timeAt(0)));
    });
    section("hedges stay within their burst after a long time without hedges", [] {
        RetryPolicy policy { ServiceLimits {} };
        Kind kind;
        kind.repeatable = true;
        kind.hedge = HedgeRule { 0.95, 0.02 };
        EXPECT_FALSE(policy.takeHedge(kind, timeAt(0)));
        for (int i = 0; i < 100000; ++i)
            policy.countCall(timeAt(0));
        int hedgeCount = 0;
        while (policy.takeHedge(kind, timeAt(0)))
            ++hedgeCount;
        EXPECT_EQ(hedgeCount, 10);
        kind.repeatable = false;
        EXPECT_FALSE(policy.takeHedge(kind, timeAt(0)));
    });
}

TEST(RetryPolicyTest, hedgeDelayFollowsRecentLatencies)
{
    RetryPolicy policy { ServiceLimits {} };
    Kind kind;
    kind.repeatable = true;
    kind.hedge = HedgeRule { 0.95, 0.02 };
    section("the hedge delay is empty without observations", [&] {
        EXPECT_FALSE(policy.hedgeDelay(kind, timeAt(0)));
    });
    section("the hedge delay is the percentile, within the error of the sketch", [&] {
        for (int i = 1; i <= 1000; ++i)
            policy.recordLatency(Milliseconds(i * 0.1), timeAt(0));
        std::optional<Milliseconds> delay = policy.hedgeDelay(kind, timeAt(0));
        ASSERT_TRUE(delay);
        EXPECT_GE(delay->count(), 95);
        EXPECT_LE(delay->count(), 95 * 1.05);
    });
    section("old latencies expire", [&] {
        for (int i = 0; i < 1000; ++i)
            policy.recordLatency(Milliseconds(1), timeAt(25000));
        EXPECT_LE(policy.hedgeDelay(kind, timeAt(25000))->count(), 1.05);
        EXPECT_FALSE(policy.hedgeDelay(kind, timeAt(60000)));
    });
    section("negative, zero, huge and NaN latencies do not crash the policy", [&] {
        for (double ms : { -1.0, 0.0, 1e300, std::nan("") })
            policy.recordLatency(Milliseconds(ms), timeAt(60000));
    });
}
