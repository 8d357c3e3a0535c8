/**
 * @file LateRejectionTest.cpp Guards against a target that writes an earlier rejection once more on a kept connection: the caller of the next request there would be told that it was
 * not run while it runs, or it would run on a second target.
 */
#include "AnswerPath.h"

#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

TEST(LateRejection, isNotTheAnswerToTheNextRequest)
{
    RawService service("copied", [](RawSocket& socket, const std::string&, int number) {
        thread_local bool hasRejected = false; // Each connection has its own thread.
        if (number <= 2) {
            hasRejected = true;
            return socket.send(overloaded);
        }
        if (hasRejected)
            socket.send(overloaded);
        return socket.send(answerText("posted"));
    });
    DeploymentOptions options = pathOptions(35);
    options.settings = { { "maxConnectionIdleMs", 5000 } };
    AnswerPath path(options);
    ASSERT_EQ(path.start({ &service }), "");
    auto post = [&](const std::string& key) {
        HttpMessage request = makeRequest("POST", "/copied/x", "an invoice");
        request.add("Idempotency-Key", key);
        return path.call(request);
    };
    section("both targets reject the first request", [&] {
        std::optional<HttpMessage> answer = post("first");
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->find("Kingcup-Run"), "not-run");
        EXPECT_EQ(service.executions(), 2u);
    });
    section("the second one runs once and gets its own answer", [&] {
        std::optional<HttpMessage> answer = post("second");
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->status(), 200);
        EXPECT_EQ(answer->body, "posted");
        EXPECT_EQ(service.executions(), 3u);
    });
}
