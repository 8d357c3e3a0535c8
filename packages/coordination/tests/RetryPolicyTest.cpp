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

RetryQuestion failedQuestion()
{
    RetryQuestion question;
    question.repeatable = true;
    question.sent = true;
    question.outcome = AttemptOutcome::ConnectionLost;
    question.deadline = timeAt(1e9);
    return question;
}

} // namespace

TEST(RetryPolicyTest, repeatsOnlyWhatIsSafe)
{
    RetryPolicy policy { ServiceLimits {} };
    RetryQuestion question = failedQuestion();
    section("a sent attempt is retried only if it is repeatable, an unsent one always", [&] {
        EXPECT_TRUE(policy.mayRetry(question, timeAt(0)));
        question.repeatable = false;
        EXPECT_FALSE(policy.mayRetry(question, timeAt(0)));
        question.sent = false;
        EXPECT_TRUE(policy.mayRetry(question, timeAt(0)));
    });
    section("at a call depth above 0 only attempts that were not sent are retried", [&] {
        question = failedQuestion();
        question.depth = 1;
        EXPECT_FALSE(policy.mayRetry(question, timeAt(0)));
        question.sent = false;
        EXPECT_TRUE(policy.mayRetry(question, timeAt(0)));
    });
    section("cancelled attempts are not retried, and the number of attempts is bounded", [&] {
        question = failedQuestion();
        question.outcome = AttemptOutcome::Cancelled;
        EXPECT_FALSE(policy.mayRetry(question, timeAt(0)));
        question = failedQuestion();
        question.attempts = 3;
        EXPECT_FALSE(policy.mayRetry(question, timeAt(0)));
    });
    section("a call is not retried if the retry cannot end before the deadline", [&] {
        for (int i = 0; i < 100; ++i)
            policy.latency(Milliseconds(20), timeAt(1));
        question = failedQuestion();
        question.deadline = timeAt(100);
        EXPECT_TRUE(policy.mayRetry(question, timeAt(50)));
        EXPECT_FALSE(policy.mayRetry(question, timeAt(85)));
    });
}

TEST(RetryPolicyTest, staysWithinItsBudgets)
{
    section("retries from several threads stay within their share of the calls", [] {
        ServiceLimits limits;
        limits.retryShare = 0.1;
        RetryPolicy policy(limits);
        std::atomic<int> retries { 0 };
        auto work = [&] {
            for (int i = 0; i < 10000; ++i) {
                policy.call(timeAt(0));
                retries += policy.mayRetry(failedQuestion(), timeAt(0));
            }
        };
        std::vector<std::thread> threads(4);
        for (std::thread& thread : threads)
            thread = std::thread(work);
        for (std::thread& thread : threads)
            thread.join();
        EXPECT_LE(retries, 4010);
        EXPECT_GE(retries, 3990);
        limits.retryShare = 0;
        policy.setLimits(limits);
        EXPECT_FALSE(policy.mayRetry(failedQuestion(), timeAt(0)));
    });
    section("hedges stay within their burst after a long time without hedges", [] {
        RetryPolicy policy { ServiceLimits {} };
        Kind kind;
        kind.repeatable = true;
        kind.hedge = HedgeRule { 0.95, 0.02 };
        EXPECT_FALSE(policy.mayHedge(kind, timeAt(0)));
        for (int i = 0; i < 100000; ++i)
            policy.call(timeAt(0));
        int hedges = 0;
        while (policy.mayHedge(kind, timeAt(0)))
            ++hedges;
        EXPECT_EQ(hedges, 10);
        kind.repeatable = false;
        EXPECT_FALSE(policy.mayHedge(kind, timeAt(0)));
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
            policy.latency(Milliseconds(i * 0.1), timeAt(0));
        std::optional<Milliseconds> delay = policy.hedgeDelay(kind, timeAt(0));
        ASSERT_TRUE(delay);
        EXPECT_GE(delay->count(), 95);
        EXPECT_LE(delay->count(), 95 * 1.05);
    });
    section("old latencies expire", [&] {
        for (int i = 0; i < 1000; ++i)
            policy.latency(Milliseconds(1), timeAt(25000));
        EXPECT_LE(policy.hedgeDelay(kind, timeAt(25000))->count(), 1.05);
        EXPECT_FALSE(policy.hedgeDelay(kind, timeAt(60000)));
    });
    section("negative, zero, huge and NaN latencies do not crash the policy", [&] {
        for (double ms : { -1.0, 0.0, 1e300, std::nan("") })
            policy.latency(Milliseconds(ms), timeAt(60000));
    });
}
