/** @file AnswerTest.cpp Guards against cut, mixed, repeated or lost answers on the path of a call through an entry VM. */
#include "AnswerPath.h"
#include "testing/EchoBody.h"
#include "testing/HttpStream.h"

#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

/** Answers nothing and notes when the entry VM closes the connection. */
bool awaitClose(RawSocket& socket, RawService& service)
{
    if (socket.waitClosed())
        service.closed.update([](int& count) { ++count; });
    return false;
}

HttpMessage post(const std::string& service, const std::string& key)
{
    HttpMessage request = makeRequest("POST", "/" + service + "/x", "an invoice");
    request.add("Idempotency-Key", key);
    return request;
}

} // namespace

TEST(Answer, isWholeOrVisiblyBroken)
{
    const std::string body = downloadBody();
    RawService plain("plain", [&](RawSocket& socket, const std::string&, int) {
        socket.send(downloadHead(body.size(), "") + body.substr(0, cutAt));
        return false;
    });
    auto resumed = [&](size_t bytes, bool stall) {
        return [&body, bytes, stall](RawSocket& socket, const std::string& request, int number) {
            if (number > 1)
                return socket.send(rest(body, rangeStart(request), "\"v1\""));
            sendPart(socket, body, bytes);
            return stall && !socket.waitClosed();
        };
    };
    RawService cut("cut", resumed(cutAt, false));
    RawService stalled("stalled", resumed(cutAt, true));
    auto changed = [&](size_t bytes) {
        return [&body, bytes](RawSocket& socket, const std::string&, int number) {
            if (number == 1)
                sendPart(socket, body, bytes);
            else
                socket.send(downloadHead(body.size(), "ETag: \"v2\"\r\n") + std::string(body.size(), 'z'));
            return false;
        };
    };
    RawService other("other", changed(cutAt));
    RawService unsent("unsent", changed(0));
    RawService truncated("truncated", [&](RawSocket& socket, const std::string&, int number) {
        return number == 1 ? socket.send(downloadHead(10, "") + "half") && false : socket.send(answerText("whole"));
    });
    RawService cutPost("cutpost", [&](RawSocket& socket, const std::string&, int) { return socket.send(downloadHead(10, "") + "half") && false; });
    AnswerPath path(pathOptions(31));
    ASSERT_EQ(path.start({ &plain, &cut, &stalled, &other, &unsent, &truncated, &cutPost }), "");

    section("a cut stream without ETag never looks complete", [&] {
        HttpMessage answer;
        EXPECT_EQ(path.open(read("plain")).readAnswer(answer), HttpReadResult::Broken);
        EXPECT_EQ(answer.status(), 200);
        EXPECT_EQ(plain.executions(), 1u);
    });
    for (RawService* service : { &cut, &stalled }) {
        section("a download goes on at the second target: " + service->name, [&] {
            std::optional<HttpMessage> answer = path.call(read(service->name));
            ASSERT_TRUE(answer);
            EXPECT_EQ(checksumOf(answer->body), checksumOf(body));
            std::vector<std::string> requests = service->requests.get();
            ASSERT_EQ(requests.size(), 2u);
            EXPECT_NE(requests[1].find("If-Range: \"v1\""), std::string::npos) << requests[1];
            EXPECT_GT(rangeStart(requests[1]), 0u) << requests[1];
        });
    }
    for (RawService* service : { &other, &unsent }) {
        section("another representation is not spliced in: " + service->name, [&] {
            HttpMessage answer;
            EXPECT_EQ(path.open(read(service->name)).readAnswer(answer), HttpReadResult::Broken);
            EXPECT_EQ(service->executions(), 2u);
            EXPECT_EQ(answer.body.find('z'), std::string::npos);
        });
    }
    section("a small cut answer of a repeatable kind comes whole from the second target", [&] {
        std::optional<HttpMessage> answer = path.call(read("truncated"));
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->body, "whole");
    });
    section("a small cut answer of a posting is unknown and runs once", [&] {
        std::optional<HttpMessage> answer = path.call(post("cutpost", "cut"));
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->find("Kingcup-Run"), "unknown") << answer->startLine;
        EXPECT_EQ(cutPost.executions(), 1u);
    });
}

TEST(Answer, tellsWhatRan)
{
    RawService busyOnce("busyonce", [](RawSocket& socket, const std::string&, int number) { return socket.send(number == 1 ? overloaded : answerText("whole")); });
    RawService busy("busy", [](RawSocket& socket, const std::string&, int) { return socket.send(overloaded); });
    RawService busyPost("busypost", [](RawSocket& socket, const std::string&, int number) { return socket.send(number <= 2 ? overloaded : answerText("posted")); });
    RawService refused("refused", [](RawSocket&, const std::string&, int) { return false; });
    refused.refuses = true;
    RawService nested("nested", [](RawSocket& socket, const std::string&, int) { return socket.send(answerText("ok")); });
    RawService left("left", [&](RawSocket& socket, const std::string&, int) { return awaitClose(socket, left); });
    WaitableValue<bool> callerLeft;
    auto slow = [&callerLeft](const std::string& posted) {
        return [&callerLeft, posted](RawSocket& socket, const std::string&, int) { return callerLeft.wait([](bool gone) { return gone; }) && socket.send(answerText(posted)); };
    };
    RawService leftPost("leftpost", slow("recorded"));
    WaitableValue<bool> blocked;
    RawService largePost("largepost", [&](RawSocket& socket, const std::string&, int) {
        std::string text = answerText(std::string(64u << 20, 'x'));
        size_t sent = 0;
        auto stuck = [&] {
            size_t count = socket.sendSome(std::string_view(text).substr(sent));
            sent += count;
            return count == 0;
        };
        while (!stuck() || waitUntil(Milliseconds(300), [&] { return !stuck(); })) { }
        blocked.update([](bool& value) { value = true; });
        return socket.send(std::string_view(text).substr(sent));
    });
    RawService hedged("hedged", [&](RawSocket& socket, const std::string& request, int) {
        bool firstSlow = request.find("X-Slow") != std::string::npos && !hedged.slowSeen.exchange(true);
        return firstSlow ? awaitClose(socket, hedged) : socket.send(answerText("quick"));
    });
    AnswerPath path(pathOptions(32));
    ASSERT_EQ(path.start({ &busyOnce, &busy, &busyPost, &refused, &nested, &left, &leftPost, &largePost, &hedged }), "");

    section("a 503 of a repeatable kind is retried, and passed on when both targets give it", [&] {
        std::optional<HttpMessage> answer = path.call(read("busyonce"));
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->body, "whole");
        answer = path.call(read("busy"));
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->status(), 503);
        EXPECT_EQ(answer->body, "busy");
        EXPECT_EQ(busy.executions(), 2u);
    });
    section("a status that promises not-run leaves the key free", [&] {
        std::optional<HttpMessage> answer = path.call(post("busypost", "busy"));
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->find("Kingcup-Run"), "not-run");
        auto posted = [&] { return (answer = path.call(post("busypost", "busy"))) && answer->status() == 200; };
        EXPECT_TRUE(waitUntil(callLimit, posted)) << answer->body;
        EXPECT_EQ(busyPost.executions(), 3u);
    });
    section("refused connections give not-run with Retry-After at once", [&] {
        TimePoint before = MillisecondClock::now();
        std::optional<HttpMessage> answer = path.call(post("refused", "refused"));
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->find("Kingcup-Run"), "not-run");
        EXPECT_NE(answer->find("Retry-After"), "");
        EXPECT_LT((MillisecondClock::now() - before).count(), 2000);
    });
    section("deadline and depth reach the target, and a call that is too deep is refused", [&] {
        HttpMessage request = read("nested");
        request.add("Kingcup-Deadline-Ms", "2500");
        request.add("Kingcup-Depth", "3");
        ASSERT_TRUE(path.call(request));
        std::string seen = nested.requests.get().at(0);
        EXPECT_NE(seen.find("Kingcup-Depth: 4\r\n"), std::string::npos) << seen;
        size_t place = seen.find("Kingcup-Deadline-Ms: ");
        ASSERT_NE(place, std::string::npos) << seen;
        int remaining = std::stoi(seen.substr(place + 21));
        EXPECT_TRUE(remaining > 0 && remaining <= 2500) << remaining;
        request.fields.back().value = "9";
        std::optional<HttpMessage> answer = path.call(request);
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->find("Kingcup-Run"), "not-run");
        EXPECT_EQ(nested.executions(), 1u);
    });
    section("a caller that leaves a repeatable call closes the target's connection", [&] {
        HttpStream caller = path.open(read("left"));
        ASSERT_TRUE(left.requests.wait([](const auto& all) { return all.size() == 1; }));
        caller.connection().close();
        EXPECT_TRUE(left.closed.wait([](int count) { return count == 1; }, 4000));
    });
    section("a posting whose caller left is recorded for a resend", [&] {
        HttpStream caller = path.open(post("leftpost", "left"));
        ASSERT_TRUE(leftPost.requests.wait([](const auto& all) { return all.size() == 1; }));
        caller.connection().close();
        callerLeft.update([](bool& gone) { gone = true; });
        std::optional<HttpMessage> answer;
        EXPECT_TRUE(waitUntil(callLimit, [&] { return (answer = path.call(post("leftpost", "left"))) && answer->status() == 200; }));
        EXPECT_EQ(answer->body, "recorded");
        EXPECT_EQ(leftPost.executions(), 1u);
    });
    section("a large answer whose caller left does not wait for its deadline", [&] {
        HttpStream caller = path.open(post("largepost", "large"));
        ASSERT_TRUE(blocked.wait([](bool value) { return value; }));
        caller.connection().close();
        std::optional<HttpMessage> answer;
        auto finished = [&] { return (answer = path.call(post("largepost", "large"))) && answer->body.find("key_running") == std::string::npos; };
        EXPECT_TRUE(waitUntil(Milliseconds(3000), finished)) << answer->body;
        EXPECT_NE(answer->body.find("key_finished"), std::string::npos) << answer->body;
    });
    section("a hedge answers for a slow target, whose connection is closed", [&] {
        for (int call = 0; call < 120; ++call)
            ASSERT_TRUE(path.call(read("hedged")));
        HttpMessage request = read("hedged");
        request.add("X-Slow", "1");
        std::optional<HttpMessage> answer = path.call(request);
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->body, "quick");
        EXPECT_TRUE(hedged.closed.wait([](int count) { return count == 1; }, 4000));
    });
}
