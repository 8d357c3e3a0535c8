/** @file RetryPolicyTest.cpp Guards against retry storms, unsafe repeats and hedges beyond their budget. */
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
    section("a repeatable attempt is retried, one that may have run and must not repeat is not", [&] {
        EXPECT_TRUE(policy.mayRetry(question, timeAt(0)));
        question.repeatable = false;
        EXPECT_FALSE(policy.mayRetry(question, timeAt(0)));
        question.sent = false;
        EXPECT_TRUE(policy.mayRetry(question, timeAt(0)));
    });
    section("below the first call only attempts that were not sent are repeated", [&] {
        question = failedQuestion();
        question.depth = 1;
        EXPECT_FALSE(policy.mayRetry(question, timeAt(0)));
        question.sent = false;
        EXPECT_TRUE(policy.mayRetry(question, timeAt(0)));
    });
    section("answers and cancelled attempts are not repeated, and attempts are bounded", [&] {
        question = failedQuestion();
        question.outcome = AttemptOutcome::Cancelled;
        EXPECT_FALSE(policy.mayRetry(question, timeAt(0)));
        question = failedQuestion();
        question.attempts = 3;
        EXPECT_FALSE(policy.mayRetry(question, timeAt(0)));
    });
    section("a retry that cannot end before the deadline is not made", [&] {
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
    section("retries stay within their share of calls from several threads", [] {
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
    section("hedges stay within their share, also after a long time without any", [] {
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
    section("there is no delay before there are observations", [&] {
        EXPECT_FALSE(policy.hedgeDelay(kind, timeAt(0)));
    });
    section("it is the percentile within the error of the sketch", [&] {
        for (int i = 1; i <= 1000; ++i)
            policy.latency(Milliseconds(i * 0.1), timeAt(0));
        std::optional<Milliseconds> delay = policy.hedgeDelay(kind, timeAt(0));
        ASSERT_TRUE(delay);
        EXPECT_GE(delay->count(), 95);
        EXPECT_LE(delay->count(), 95 * 1.05);
    });
    section("old latencies are forgotten", [&] {
        for (int i = 0; i < 1000; ++i)
            policy.latency(Milliseconds(1), timeAt(25000));
        EXPECT_LE(policy.hedgeDelay(kind, timeAt(25000))->count(), 1.05);
        EXPECT_FALSE(policy.hedgeDelay(kind, timeAt(60000)));
    });
    section("absurd latencies do no harm", [&] {
        for (double ms : { -1.0, 0.0, 1e300, std::nan("") })
            policy.latency(Milliseconds(ms), timeAt(60000));
    });
}
