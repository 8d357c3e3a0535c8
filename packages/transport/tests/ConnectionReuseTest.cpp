/**
 * @file ConnectionReuseTest.cpp Requests that must not be repeated use a kept connection only while it is fresh. Guards against requests
 * that are lost on a connection that the target has dropped, against resends by libcurl, and against a connection for each request.
 */
#include "../src/KeptConnections.h"
#include "TestAttempt.h"

#include "testing/Story.h"

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr Milliseconds longIdle { 5000 };

/** Makes the request a POST that must not be repeated and may use connections that were idle for up to `maxIdle`. */
std::function<void(UpstreamRequest&)> post(Milliseconds maxIdle)
{
    return [maxIdle](UpstreamRequest& request) {
        request.method = "POST";
        request.hasBody = true;
        request.body = std::make_shared<std::string>("body");
        request.maxConnectionIdle = maxIdle;
    };
}

void makeProbe(UpstreamRequest& request)
{
    request.isRepeatable = true;
}

} // namespace

TEST(ConnectionReuseTest, sendsOnConnectionsOfProbes)
{
    std::atomic<int> executions = 0;
    RawServer target([&](RawSocket& socket, int) {
        while (!socket.receiveMessage().empty()) {
            ++executions;
            socket.send(answerText("done"));
        }
    });
    UpstreamClient client(1, 16);
    Attempt(client, target.address(), makeProbe).wait();
    section("a request that must not be repeated uses the connection of the probe before it", [&] {
        Report report = Attempt(client, target.address(), post(longIdle)).wait();
        EXPECT_EQ(report.result.outcome, UpstreamOutcome::Complete);
        EXPECT_FALSE(report.result.newConnection);
        EXPECT_FALSE(Attempt(client, target.address(), makeProbe).wait().result.newConnection);
        EXPECT_EQ(target.connections(), 1);
    });
    section("a connection that has been idle for too long is closed and a new one opened; the request is sent once", [&] {
        constexpr Milliseconds shortIdle { 1 };
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        int before = executions;
        Report report = Attempt(client, target.address(), post(shortIdle)).wait();
        EXPECT_EQ(report.result.outcome, UpstreamOutcome::Complete);
        EXPECT_TRUE(report.result.newConnection);
        EXPECT_EQ(report.ends, 1);
        EXPECT_EQ(executions, before + 1);
    });
    section("without a limit each request opens a connection", [&] {
        EXPECT_TRUE(Attempt(client, target.address(), post(Milliseconds(0))).wait().result.newConnection);
    });
    EXPECT_EQ(client.openAttempts(), 0u);
}

TEST(ConnectionReuseTest, doesNotResendOnLostConnections)
{
    std::atomic<int> messages = 0;
    RawServer target([&](RawSocket& socket, int connection) {
        // The probe is answered; the request after it is executed, and its connection closed without an answer.
        while (!socket.receiveMessage().empty()) {
            ++messages;
            if (connection > 0 || messages > 1)
                return;
            socket.send(answerText("probe"));
        }
    });
    UpstreamClient client(1, 16);
    Attempt(client, target.address(), makeProbe).wait();
    Report report = Attempt(client, target.address(), post(longIdle)).wait();
    EXPECT_EQ(report.result.outcome, UpstreamOutcome::ConnectionLost);
    EXPECT_TRUE(report.result.maybeSent) << "the outcome is unknown, so the request must not count as not run";
    client.stop();
    EXPECT_EQ(messages, 2) << "libcurl sent the request again";
}

TEST(ConnectionReuseTest, leavesConnectionsWithLateAnswers)
{
    // A target sends a copy of its first answer, which the next request on the connection would take for its own, either at once or where the next answer is due.
    constexpr auto copyDelay = std::chrono::milliseconds(20);
    for (bool isAtOnce : { true, false }) {
        WaitableValue<bool> isCopySent;
        RawServer target([&](RawSocket& socket, int connection) {
            std::string own = answerText("connection " + std::to_string(connection));
            auto sendCopy = [&] {
                socket.send(answerText("late copy", "X-Request: 1\r\n"));
                isCopySent.update([](bool& isSent) { isSent = true; });
            };
            for (int message = 0; !socket.receiveMessage().empty(); message++) {
                if (connection == 1 && message == 1 && !isAtOnce)
                    sendCopy();
                socket.send(own);
                if (connection == 1 && message == 0 && isAtOnce) {
                    std::this_thread::sleep_for(copyDelay);
                    sendCopy();
                }
            }
        });
        UpstreamClient client(1, 16);
        auto probe = [](UpstreamRequest& request) {
            makeProbe(request);
            request.isExpectedAnswer = [](const HttpAnswerHead& head) { return !head.headers.find("X-Request"); };
        };
        EXPECT_EQ(Attempt(client, target.address(), makeProbe).wait().data, "connection 1");
        if (isAtOnce) {
            EXPECT_TRUE(isCopySent.wait([](bool isSent) { return isSent; }));
            std::this_thread::sleep_for(copyDelay);
        }
        section(isAtOnce ? "a connection with unread bytes is not used" : "a probe that gets the copy fails", [&] {
            Report report = Attempt(client, target.address(), probe).wait();
            EXPECT_EQ(report.result.outcome, isAtOnce ? UpstreamOutcome::Complete : UpstreamOutcome::Invalid);
            EXPECT_EQ(report.data, isAtOnce ? "connection 2" : "");
            EXPECT_EQ(report.result.newConnection, isAtOnce);
            EXPECT_EQ(report.ends, 1);
        });
        section("a request that must not be repeated gets its own answer, on another connection", [&] {
            Report report = Attempt(client, target.address(), post(longIdle)).wait();
            EXPECT_EQ(report.data, "connection 2");
            EXPECT_EQ(report.result.outcome, UpstreamOutcome::Complete);
        });
    }
}

// Guards against the late copy of a rejection that is taken for the answer to the next request on the connection.
TEST(ConnectionReuseTest, leavesConnectionsAfterAnswersThatNameNoRequest)
{
    RawServer target([](RawSocket& socket, int) {
        std::string rejection = "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy";
        if (socket.receiveMessage().empty())
            return;
        socket.send(rejection);
        while (!socket.receiveMessage().empty())
            socket.send(rejection + answerText("done"));
    });
    UpstreamClient client(1, 16);
    auto mayNotKeep = [](UpstreamRequest& request) { request.mayKeepConnection = [](const HttpAnswerHead& head) { return head.status < 300; }; };
    for (bool isRepeatable : { false, true }) {
        section(isRepeatable ? "repeatable requests open a connection, too" : "a request that must not be repeated opens a connection", [&] {
            for (int call = 0; call < 3; ++call) {
                Report report = Attempt(client, target.address(), [&](UpstreamRequest& request) {
                    post(longIdle)(request);
                    mayNotKeep(request);
                    request.isRepeatable = isRepeatable;
                }).wait();
                EXPECT_EQ(report.result.outcome, UpstreamOutcome::Complete);
                EXPECT_EQ(report.data, "busy");
                EXPECT_TRUE(report.result.newConnection);
            }
        });
    }
}

TEST(ConnectionReuseTest, forgetsPorts)
{
    KeptConnections connections;
    TimePoint start { Milliseconds(1000) };
    connections.recordUse(40000, start);
    EXPECT_TRUE(connections.wasUsedWithin(40000, Milliseconds(100), start + Milliseconds(100)));
    EXPECT_FALSE(connections.wasUsedWithin(40000, Milliseconds(100), start + Milliseconds(101)));
    connections.forget(40000);
    EXPECT_FALSE(connections.wasUsedWithin(40000, Milliseconds(100), start)) << "another connection may have the port";
}
