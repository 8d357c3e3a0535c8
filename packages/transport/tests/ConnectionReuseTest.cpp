/**
 * @file ConnectionReuseTest.cpp Requests that must not be repeated use a kept connection only while it is fresh. Guards against requests
 * that are lost on a connection that the target has dropped, against resends by libcurl, and against a connection for each request.
 */
#include "../src/ConnectionAges.h"
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

TEST(ConnectionReuseTest, forgetsPorts)
{
    ConnectionAges ages;
    TimePoint start { Milliseconds(1000) };
    ages.recordUse(40000, start);
    EXPECT_TRUE(ages.wasUsedWithin(40000, Milliseconds(100), start + Milliseconds(100)));
    EXPECT_FALSE(ages.wasUsedWithin(40000, Milliseconds(100), start + Milliseconds(101)));
    ages.forget(40000);
    EXPECT_FALSE(ages.wasUsedWithin(40000, Milliseconds(100), start)) << "another connection may have the port";
}
