/**
 * @file RelayListenerTest.cpp Guards against relayed requests that are changed, run twice or reported as not sent, against answers that look complete
 * because a relay ended, and against relays that serve strangers or fill up.
 */
#include "kingcup/RelayListener.h"
#include "TestAttempt.h"

#include "testing/Story.h"

#include <memory>
#include <vector>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr const char* token = "token";

/** Waits for a condition for as long as the other tests of sockets wait. */
bool waitFor(const std::function<bool()>& condition)
{
    TimePoint end = MillisecondClock::now() + Milliseconds(waitLimitMs);
    while (!condition() && MillisecondClock::now() < end)
        std::this_thread::sleep_for(Milliseconds(1));
    return condition();
}

/** A relay that serves the holders of the token. */
struct Relay {
    explicit Relay(uint32_t maxConnections = 512, Milliseconds idleTimeout = Milliseconds(10000))
        : listener({ .address = "127.0.0.1:0", .maxConnections = maxConnections, .idleTimeout = idleTimeout }, [this](std::string_view given, const std::string&) { return given == token ? this->decision.load() : RelayDecision::WrongToken; })
    {
        EXPECT_FALSE(this->listener.start());
    }

    RelayHop hop() const { return { "127.0.0.1:" + std::to_string(this->listener.port()), token }; }

    std::atomic<RelayDecision> decision { RelayDecision::Accept }; ///< For holders of the token.
    RelayListener listener;
};

/** Starts an attempt through a relay. */
std::unique_ptr<Attempt> startThrough(UpstreamClient& client, const RelayHop& hop, const std::string& target, const std::function<void(UpstreamRequest&)>& change = {})
{
    return std::make_unique<Attempt>(client, target, [&](UpstreamRequest& request) {
        request.relay = hop;
        request.connectTimeout = Milliseconds(2000);
        if (change)
            change(request);
    });
}

/** Returns an address at which nothing listens. */
std::string closedAddress()
{
    return RawServer([](RawSocket&, int) {}).address();
}

} // namespace

TEST(RelayListenerTest, passesRequestsAndAnswersUnchanged)
{
    Relay relay;
    std::string body(3 << 20, 'x');
    std::atomic<int> requests = 0;
    std::string seenHead;
    RawServer target([&](RawSocket& socket, int) {
        for (std::string message = socket.receiveMessage(); !message.empty(); message = socket.receiveMessage()) {
            seenHead = message.substr(0, message.find("\r\n\r\n"));
            ++requests;
            socket.send(answerText(message.substr(message.find("\r\n\r\n") + 4)));
        }
    });
    UpstreamClient client(1, 16);
    auto sendBody = [&](UpstreamRequest& request) {
        request.method = "POST";
        request.hasBody = true;
        request.body = std::make_shared<std::string>(body);
        request.headers.add("Host", "service");
    };
    section("large bodies pass in both directions, and the target sees nothing of the relay", [&] {
        Report report = startThrough(client, relay.hop(), target.address(), sendBody)->wait();
        EXPECT_EQ(report.result.outcome, UpstreamOutcome::Complete);
        EXPECT_EQ(report.data, body);
        EXPECT_EQ(seenHead, "POST / HTTP/1.1\r\nHost: service\r\nContent-Length: " + std::to_string(body.size()));
    });
    section("connections of repeatable requests are reused", [&] {
        auto repeatable = [](UpstreamRequest& request) { request.isRepeatable = true; };
        EXPECT_TRUE(startThrough(client, relay.hop(), target.address(), repeatable)->wait().result.newConnection);
        EXPECT_FALSE(startThrough(client, relay.hop(), target.address(), repeatable)->wait().result.newConnection);
    });
    section("a direct request does not use the connection through the relay", [&] {
        int connections = target.connections();
        Attempt(client, target.address(), [](UpstreamRequest& request) { request.isRepeatable = true; }).wait();
        EXPECT_EQ(target.connections(), connections + 1);
    });
    EXPECT_EQ(requests, 4);
    client.stop();
}

TEST(RelayListenerTest, tellsFailuresOfTheRelayFromThoseOfTheTarget)
{
    Relay relay;
    RawServer target([](RawSocket& socket, int) {
        socket.receiveMessage();
        socket.send(answerText("answer"));
    });
    UpstreamClient client(1, 16);
    auto expectUnsent = [&](const RelayHop& hop, const std::string& address, RelayFailure failure) {
        Report report = startThrough(client, hop, address)->wait();
        EXPECT_EQ(report.result.outcome, UpstreamOutcome::ConnectFailed);
        EXPECT_FALSE(report.result.maybeSent);
        EXPECT_EQ(report.result.relayFailure, failure);
    };
    section("a target that refuses connections is at fault itself", [&] {
        expectUnsent(relay.hop(), closedAddress(), RelayFailure::None);
    });
    section("a relay that is gone", [&] {
        expectUnsent({ closedAddress(), token }, target.address(), RelayFailure::Unreachable);
    });
    section("a relay that takes the connection and does not answer, as a paused process does, costs the connect timeout", [&] {
        RawServer paused([](RawSocket& socket, int) { socket.receiveAll(); });
        Report report = startThrough(client, { paused.address(), token }, target.address(), [](UpstreamRequest& request) { request.connectTimeout = Milliseconds(250); })->wait();
        EXPECT_EQ(report.result.outcome, UpstreamOutcome::ConnectFailed);
        EXPECT_EQ(report.result.relayFailure, RelayFailure::Unreachable);
        EXPECT_FALSE(report.result.maybeSent);
        EXPECT_LT(report.result.duration.count(), 1000);
    });
    section("a wrong token, as after a restart of the relay", [&] {
        expectUnsent({ relay.hop().address, "other" }, target.address(), RelayFailure::Refused);
    });
    for (RelayDecision decision : { RelayDecision::UnknownTarget, RelayDecision::NotServing }) {
        relay.decision = decision;
        section("a relay that refuses", [&] { expectUnsent(relay.hop(), target.address(), RelayFailure::Refused); });
    }
    relay.decision = RelayDecision::Accept;
    section("a relay that stops refuses new connections and serves the open ones", [&] {
        relay.listener.stopAccepting();
        expectUnsent(relay.hop(), target.address(), RelayFailure::Refused);
    });
    EXPECT_EQ(target.connections(), 0) << "a refused request has reached the target";
    client.stop();
}

TEST(RelayListenerTest, noBrokenAnswerLooksComplete)
{
    auto relay = std::make_unique<Relay>();
    std::string unframed = "HTTP/1.1 200 OK\r\n\r\nbegin";
    auto acceptUnframed = [](UpstreamRequest& request) { request.acceptsUnframedAnswer = true; };
    UpstreamClient client(1, 16);
    section("an answer without length ends with the connection of the target", [&] {
        RawServer target([&](RawSocket& socket, int) {
            socket.receiveMessage();
            socket.send(unframed);
        });
        Report report = startThrough(client, relay->hop(), target.address(), acceptUnframed)->wait();
        EXPECT_EQ(report.result.outcome, UpstreamOutcome::Complete);
        EXPECT_EQ(report.data, "begin");
    });
    section("unless the target resets it", [&] {
        RawServer target([&](RawSocket& socket, int) {
            // The request is not read, which makes close() reset the connection.
            std::this_thread::sleep_for(Milliseconds(100));
            socket.send(unframed);
            std::this_thread::sleep_for(Milliseconds(100));
        });
        Report report = startThrough(client, relay->hop(), target.address(), acceptUnframed)->wait();
        EXPECT_NE(report.result.outcome, UpstreamOutcome::Complete);
    });
    // The end of the connection of a relay is not that of the answer.
    auto expectTruncatedPause = [&](Relay& closing, const std::function<void()>& close) {
        std::atomic<bool> isReleased = false;
        RawServer target([&](RawSocket& socket, int) {
            socket.receiveMessage();
            socket.send(unframed);
            waitFor([&] { return isReleased.load(); });
        });
        std::unique_ptr<Attempt> attempt = startThrough(client, closing.hop(), target.address(), acceptUnframed);
        EXPECT_TRUE(attempt->report.wait([](const Report& seen) { return seen.data == "begin"; }));
        close();
        EXPECT_EQ(attempt->wait().result.outcome, UpstreamOutcome::Truncated);
        isReleased = true;
    };
    section("or a relay that stops takes a pause for the end", [&] {
        Relay stopping;
        expectTruncatedPause(stopping, [&] { stopping.listener.stopAccepting(); });
    });
    section("or a relay closes the connection after a pause that is longer than its idle time", [&] {
        Relay impatient(512, Milliseconds(200));
        expectTruncatedPause(impatient, [] {});
    });
    section("or the relay ends", [&] {
        std::atomic<bool> isReleased = false;
        RawServer target([&](RawSocket& socket, int) {
            socket.receiveMessage();
            socket.send(unframed);
            waitFor([&] { return isReleased.load(); });
        });
        std::unique_ptr<Attempt> attempt = startThrough(client, relay->hop(), target.address(), acceptUnframed);
        EXPECT_TRUE(attempt->report.wait([](const Report& seen) { return seen.data == "begin"; }));
        relay->listener.stop();
        Report report = attempt->wait();
        EXPECT_EQ(report.result.outcome, UpstreamOutcome::Truncated);
        EXPECT_TRUE(report.result.maybeSent);
        isReleased = true;
    });
    client.stop();
}

TEST(RelayListenerTest, holdsNoConnectionLongerThanNeeded)
{
    section("the target sees at once that a request was cancelled", [] {
        Relay relay;
        std::atomic<bool> isClosed = false;
        RawServer target([&](RawSocket& socket, int) {
            socket.receiveMessage();
            isClosed = socket.waitClosed();
        });
        UpstreamClient client(1, 16);
        std::unique_ptr<Attempt> attempt = startThrough(client, relay.hop(), target.address());
        ASSERT_TRUE(waitFor([&] { return relay.listener.busyConnections() == 1; }));
        client.cancel(attempt->handle);
        EXPECT_TRUE(waitFor([&] { return isClosed.load(); }));
        EXPECT_TRUE(waitFor([&] { return relay.listener.openConnections() == 0; }));
        client.stop();
    });
    section("a connection on which nothing is awaited is closed after a time, one with a request in progress is not", [] {
        Relay relay(512, Milliseconds(200));
        RawServer target([&](RawSocket& socket, int) {
            socket.receiveMessage();
            std::this_thread::sleep_for(Milliseconds(600));
            socket.send(answerText("late"));
            socket.receiveAll();
        });
        UpstreamClient client(1, 16);
        Report report = startThrough(client, relay.hop(), target.address(), [](UpstreamRequest& request) { request.isRepeatable = true; })->wait();
        EXPECT_EQ(report.data, "late");
        EXPECT_EQ(relay.listener.openConnections(), 1u);
        EXPECT_TRUE(waitFor([&] { return relay.listener.openConnections() == 0; }));
        client.stop();
    });
    section("a full relay closes an idle connection for a new one, and refuses when all are busy", [] {
        Relay relay(2);
        std::atomic<bool> isReleased = false;
        RawServer target([&](RawSocket& socket, int connection) {
            socket.receiveMessage();
            if (connection > 1)
                waitFor([&] { return isReleased.load(); });
            socket.send(answerText("answer"));
            socket.receiveAll();
        });
        UpstreamClient client(1, 16);
        startThrough(client, relay.hop(), target.address(), [](UpstreamRequest& request) { request.isRepeatable = true; })->wait();
        ASSERT_TRUE(waitFor([&] { return relay.listener.busyConnections() == 1; }));
        ASSERT_TRUE(waitFor([&] { return relay.listener.openConnections() == 1 && relay.listener.busyConnections() == 0; }));
        std::unique_ptr<Attempt> first = startThrough(client, relay.hop(), target.address());
        ASSERT_TRUE(waitFor([&] { return relay.listener.openConnections() == 2; }));
        std::unique_ptr<Attempt> second = startThrough(client, relay.hop(), target.address());
        ASSERT_TRUE(waitFor([&] { return relay.listener.busyConnections() == 2; }));
        EXPECT_EQ(startThrough(client, relay.hop(), target.address())->wait().result.relayFailure, RelayFailure::Unreachable);
        isReleased = true;
        EXPECT_EQ(first->wait().result.outcome, UpstreamOutcome::Complete);
        EXPECT_EQ(second->wait().result.outcome, UpstreamOutcome::Complete);
        client.stop();
    });
}
