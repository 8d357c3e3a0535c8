/**
 * @file SocketOptionsTest.cpp Guards against a library that sets a TCP_USER_TIMEOUT unnoticed: it ends keep-alive probes whatever their number, and connections
 * whose peer is slow to read. Links end after 2 s without an acknowledgement, relayed connections after 5 s, connections to targets with their requests.
 */
#include "TestAttempt.h"
#include "kingcup/Link.h"
#include "kingcup/RelayListener.h"

#include "testing/Story.h"

#include <map>
#include <netinet/tcp.h>
#include <set>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

/** Options of a TCP socket that bear on a silent peer. */
struct SilenceOptions {
    int userTimeoutMs = 0; ///< TCP_USER_TIMEOUT; 0: not set.
    bool probes = false; ///< SO_KEEPALIVE.
    bool operator==(const SilenceOptions&) const = default;
};

int intOption(int socket, int level, int name)
{
    int value = 0;
    socklen_t size = sizeof(value);
    getsockopt(socket, level, name, &value, &size);
    return value;
}

/** Returns the options of the connections of this process to a port. */
std::vector<SilenceOptions> connectionsTo(uint16_t port)
{
    constexpr int maxDescriptor = 1024;
    std::vector<SilenceOptions> found;
    for (int descriptor = 0; descriptor < maxDescriptor; ++descriptor) {
        sockaddr_in peer {};
        socklen_t size = sizeof(peer);
        if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) == 0 && peer.sin_family == AF_INET && ntohs(peer.sin_port) == port)
            found.push_back({ intOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT), intOption(descriptor, SOL_SOCKET, SO_KEEPALIVE) != 0 });
    }
    return found;
}

/** Target that answers late, so that its connections can be looked at. */
class SlowTarget {
public:
    SlowTarget()
        : server([this](RawSocket& socket, int) {
            while (!socket.receiveMessage().empty()) {
                this->arrived = true;
                while (!this->isReleased)
                    std::this_thread::sleep_for(Milliseconds(1));
                socket.send(answerText("answer"));
            }
        })
    {
    }

    std::atomic<bool> arrived = false; ///< Whether a request has arrived.
    std::atomic<bool> isReleased = false; ///< Whether it may be answered.
    RawServer server;
};

/** Returns the options of the connection that carries a request. */
std::vector<SilenceOptions> optionsDuring(const std::function<void(UpstreamRequest&)>& change)
{
    SlowTarget target;
    UpstreamClient client(1, 16);
    Attempt attempt(client, target.server.address(), change);
    while (!target.arrived)
        std::this_thread::sleep_for(Milliseconds(1));
    std::vector<SilenceOptions> options = connectionsTo(target.server.port());
    target.isReleased = true;
    EXPECT_EQ(attempt.wait().result.outcome, UpstreamOutcome::Complete);
    client.stop();
    return options;
}

} // namespace

TEST(SocketOptionsTest, connectionsToTargets)
{
    section("kept connections and others wait for slow targets as long as the deadline allows", [] {
        EXPECT_EQ(optionsDuring([](UpstreamRequest& request) { request.isRepeatable = true; }), (std::vector<SilenceOptions> { { 0, false } }));
        EXPECT_EQ(optionsDuring([](UpstreamRequest&) {}), (std::vector<SilenceOptions> { { 0, false } }));
    });
}

TEST(SocketOptionsTest, relayedConnectionsProbeTheirPeersWithinTheTimeout)
{
    RelayListener relay({ .address = "127.0.0.1:0" }, [](std::string_view, const std::string&) { return RelayDecision::Accept; });
    ASSERT_FALSE(relay.start());
    SlowTarget target;
    UpstreamClient client(1, 16);
    Attempt attempt(client, target.server.address(), [&](UpstreamRequest& request) { request.relay = RelayHop { "127.0.0.1:" + std::to_string(relay.port()), "token" }; });
    while (!target.arrived)
        std::this_thread::sleep_for(Milliseconds(1));
    EXPECT_EQ(connectionsTo(target.server.port()), (std::vector<SilenceOptions> { { 5000, true } }));
    target.isReleased = true;
    attempt.wait();
    client.stop();
}

TEST(SocketOptionsTest, linksHaveATimeoutAndNoProbes)
{
    auto ignore = [](const LinkOrigin&, const wire::Envelope&) {};
    LinkHubOptions server;
    server.isSecured = false;
    server.deployment = "test";
    server.sender = "control";
    server.listen = "127.0.0.1:29471";
    LinkHub listening(
        server, ignore, [] {}, Milliseconds(10));
    ASSERT_FALSE(listening.start());
    LinkHubOptions client = server;
    client.listen.clear();
    client.sender = "entry";
    client.peers.push_back({ 1, server.listen, "" });
    LinkHub connecting(
        client, ignore, [] {}, Milliseconds(10));
    ASSERT_FALSE(connecting.start());
    TimePoint end = MillisecondClock::now() + Milliseconds(waitLimitMs);
    while (connectionsTo(29471).empty() && MillisecondClock::now() < end)
        std::this_thread::sleep_for(Milliseconds(1));
    EXPECT_EQ(connectionsTo(29471), (std::vector<SilenceOptions> { { 2000, false } }));
    connecting.stop();
    listening.stop();
}
