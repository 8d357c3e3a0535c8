/** @file ThinPathTest.cpp Guards against a deployment that cannot be formed, configured and called end to end. */
#include "TestDeployment.h"

#include <csignal>
#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

TEST(ThinPath, callsRunOnceAndAnswersAreWhole)
{
    Deployment deployment(testOptions(11));
    ASSERT_EQ(startAll(deployment), "");

    section("reads and keyed posts are answered by targets", [&] {
        LoadGenerator load(loadOn(deployment, 200, Milliseconds(2000), 0.5));
        load.start();
        EXPECT_EQ(violationsAfter(deployment, load), "");
        LoadSummary summary = summarise(load.records());
        EXPECT_GT(summary.calls, 200u);
        EXPECT_EQ(summary.answered, summary.calls) << describeResults(load);
    });
    section("a finished key gets its recorded answer and does not run again", [&] {
        HttpMessage post = makeRequest("POST", "/matters/invoice", "an invoice");
        post.add("Idempotency-Key", "key-of-one-invoice");
        post.add("X-Call-Id", "first");
        std::optional<HttpMessage> first = exchangeOnce(deployment.callerAddresses()[0], post, Milliseconds(5000));
        ASSERT_TRUE(first);
        EXPECT_EQ(first->status(), 200);
        // The outcome is recorded after the answer was sent; until then a resend is told that the key is running.
        std::optional<HttpMessage> second;
        auto recorded = [&] { return (second = exchangeOnce(deployment.callerAddresses()[1], post, Milliseconds(5000))) && second->status() != 409; };
        ASSERT_TRUE(waitUntil(Milliseconds(5000), recorded));
        EXPECT_EQ(second->status(), 200) << second->body;
        EXPECT_EQ(second->body, first->body);
        post.body = "another invoice";
        std::optional<HttpMessage> other = exchangeOnce(deployment.callerAddresses()[0], post, Milliseconds(5000));
        ASSERT_TRUE(other);
        EXPECT_EQ(other->status(), 422) << other->body;
    });
    section("all processes stop cleanly", [&] {
        for (auto* group : { &deployment.entryVms(), &deployment.controlVms() }) {
            for (Vm& vm : *group) {
                vm.process->signal(SIGTERM);
                EXPECT_EQ(vm.process->wait(Milliseconds(20000)), 0) << vm.name << "\n"
                                                                    << vm.process->output();
            }
        }
    });
}
