/** @file LinkTest.cpp Tests that links reject unknown keys, other deployments and forged senders. */
#include "kingcup/Link.h"

#include "testing/Story.h"

#include <atomic>
#include <condition_variable>
#include <gtest/gtest.h>
#include <mutex>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace kingcup;
using kingcup::testing::section;

namespace {

constexpr auto waitLimit = std::chrono::seconds(10);

/** Returns a loopback address with a port that was free at the time of the call. */
std::string freeAddress()
{
    int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    bool bound = bind(descriptor, reinterpret_cast<sockaddr*>(&address), length) == 0;
    bool named = getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length) == 0;
    close(descriptor);
    EXPECT_TRUE(bound && named);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

/** Counts messages and lets a test wait for them. */
class Inbox {
public:
    void add(const wire::Envelope& envelope)
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->messages.push_back(envelope);
        this->arrived.notify_all();
    }

    bool waitFor(size_t count)
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        return this->arrived.wait_for(lock, waitLimit, [&] { return this->messages.size() >= count; });
    }

    size_t size()
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        return this->messages.size();
    }

private:
    std::mutex mutex; ///< Guards the messages.
    std::condition_variable arrived; ///< Signals a new message.
    std::vector<wire::Envelope> messages; ///< Messages received so far.
};

/** Returns a message with a request id. */
wire::Envelope request(uint64_t id)
{
    wire::Envelope envelope;
    envelope.set_request_id(id);
    envelope.mutable_query_request()->set_subject("status");
    return envelope;
}

/** Options of an entry VM that connects to one control VM. */
LinkHubOptions clientOptions(const LinkKeys& keys, const std::string& address, const LinkKeys& serverKeys)
{
    LinkHubOptions options;
    options.deployment = "test";
    options.sender = "entry-1";
    options.keys = keys;
    options.peers = { { 1, address, serverKeys.publicKey } };
    return options;
}

/** Sends repeatedly until the inbox holds a message or the limit passes, because messages without a connection are dropped. */
bool sendUntil(LinkHub& client, Inbox& inbox, std::chrono::milliseconds limit)
{
    auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        client.send(1, request(7));
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        if (inbox.size() > 0)
            return true;
    }
    return false;
}

} // namespace

TEST(LinkTest, acceptsOnlyAuthenticatedPeers)
{
    LinkKeys serverKeys = makeLinkKeys();
    LinkKeys clientKeys = makeLinkKeys();
    std::string address = freeAddress();
    Inbox serverInbox;
    std::unique_ptr<LinkHub> server;
    LinkHubOptions serverOptions;
    serverOptions.deployment = "test";
    serverOptions.sender = "control-1";
    serverOptions.senderVm = 1;
    serverOptions.keys = serverKeys;
    serverOptions.listen = address;
    serverOptions.allowedKeys = { clientKeys.publicKey };
    auto answer = [&](const LinkOrigin& origin, const wire::Envelope& envelope) {
        serverInbox.add(envelope);
        server->reply(origin, envelope);
    };
    server = std::make_unique<LinkHub>(
        serverOptions, answer, [] {}, Milliseconds(50));
    ASSERT_FALSE(server->start());

    section("messages from a key that is not allowed are rejected", [&] {
        Inbox inbox;
        LinkHub stranger(
            clientOptions(makeLinkKeys(), address, serverKeys), [&](const LinkOrigin&, const wire::Envelope& envelope) { inbox.add(envelope); }, [] {}, Milliseconds(50));
        ASSERT_FALSE(stranger.start());
        EXPECT_FALSE(sendUntil(stranger, serverInbox, std::chrono::milliseconds(700)));
        EXPECT_EQ(inbox.size(), 0u);
    });
    section("a message with an allowed key and another deployment id is dropped", [&] {
        LinkHubOptions options = clientOptions(clientKeys, address, serverKeys);
        options.deployment = "other";
        LinkHub foreign(
            options, [](const LinkOrigin&, const wire::Envelope&) {}, [] {}, Milliseconds(50));
        ASSERT_FALSE(foreign.start());
        EXPECT_FALSE(sendUntil(foreign, serverInbox, std::chrono::milliseconds(700)));
    });
    section("an entry VM's key cannot authenticate a control VM as sender", [&] {
        LinkHubOptions options = clientOptions(clientKeys, address, serverKeys);
        options.senderVm = 1;
        LinkHub forger(
            options, [](const LinkOrigin&, const wire::Envelope&) {}, [] {}, Milliseconds(50));
        ASSERT_FALSE(forger.start());
        EXPECT_FALSE(sendUntil(forger, serverInbox, std::chrono::milliseconds(700)));
    });
    section("a message from an allowed peer is received and answered", [&] {
        Inbox inbox;
        LinkHub client(
            clientOptions(clientKeys, address, serverKeys), [&](const LinkOrigin&, const wire::Envelope& envelope) { inbox.add(envelope); }, [] {}, Milliseconds(50));
        ASSERT_FALSE(client.start());
        EXPECT_TRUE(sendUntil(client, serverInbox, std::chrono::duration_cast<std::chrono::milliseconds>(waitLimit)));
        EXPECT_TRUE(inbox.waitFor(1));
    });
}
