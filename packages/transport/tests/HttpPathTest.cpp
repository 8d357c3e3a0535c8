/** @file HttpPathTest.cpp Tests the path from caller to target through listener and client, joined by a minimal proxy. */
#include "RawSocket.h"
#include "TestProxy.h"

#include "testing/Story.h"

#include <algorithm>
#include <fstream>
#include <gtest/gtest.h>
#include <random>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

const HttpListenerOptions anyPort { .address = "127.0.0.1:0" };

/** Returns the resident memory of this process in bytes. */
uint64_t residentBytes()
{
    uint64_t total = 0;
    uint64_t resident = 0;
    std::ifstream("/proc/self/statm") >> total >> resident;
    return resident * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
}

/** Returns a GET request. */
std::string getRequest(const std::string& path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: service\r\n\r\n";
}

/** A target that keeps its requests open until the test answers them. */
struct DeferredTarget {
    DeferredTarget()
    {
        EXPECT_FALSE(this->listener.start());
    }

    /** Waits until the given number of requests is open. */
    bool waitForRequests(size_t count)
    {
        return this->openRequests.wait([count](const auto& exchanges) { return exchanges.size() >= count; });
    }

    WaitableValue<std::vector<std::shared_ptr<HttpExchange>>> openRequests; ///< Open requests in order of arrival.
    HttpListener listener { anyPort, [this](auto exchange) { this->openRequests.update([&](auto& exchanges) { exchanges.push_back(exchange); }); } }; ///< Stores each request in `held`.
};

} // namespace

TEST(HttpPathTest, forwardsRequestsAndAnswers)
{
    const std::string length = "100000"; // Above the size up to which the proxy buffers an answer in full.
    RawServer target([&](RawSocket& socket, int) {
        for (std::string request = socket.receiveMessage(); !request.empty(); request = socket.receiveMessage())
            if (request.find("/" + length) != std::string::npos)
                socket.send((request.starts_with("HEAD") ? "HTTP/1.1 200 OK\r\nContent-Length: " : "HTTP/1.1 304 Not Modified\r\nContent-Length: ") + length + "\r\n\r\n");
            else
                socket.send(answerText(request, "X-Answer: yes\r\n"));
    });
    TestProxy proxy(anyPort, target.address());
    ASSERT_TRUE(proxy.isStarted);
    RawSocket caller = RawSocket::connectTo(proxy.listener.port());

    section("several requests on a persistent connection", [&] {
        for (int round = 0; round < 3; ++round) {
            caller.send("GET /a%20b?x=1&y=%2f HTTP/1.1\r\nHost: service\r\nX-Field: \tvalue \r\n\r\n");
            std::string answer = caller.receiveMessage();
            EXPECT_NE(answer.find("200 OK"), std::string::npos) << answer;
            EXPECT_NE(answer.find("X-Answer: yes"), std::string::npos) << answer;
            EXPECT_NE(answer.find("GET /a%20b?x=1&y=%2f HTTP/1.1"), std::string::npos) << answer;
            EXPECT_NE(answer.find("X-Field: value\r\n"), std::string::npos) << answer;
            EXPECT_EQ(answer.find("User-Agent"), std::string::npos) << answer;
        }
    });
    section("answers without body keep the connection open, regardless of Content-Length", [&] {
        for (const std::string& request : { "HEAD /" + length, "GET /304/" + length }) {
            caller.send(request + " HTTP/1.1\r\nHost: service\r\n\r\n");
            std::string answer = caller.receiveUntil("\r\n\r\n");
            EXPECT_TRUE(answer.starts_with("HTTP/1.1 200") || answer.starts_with("HTTP/1.1 304")) << answer;
        }
    });
    section("a body reaches the target", [&] {
        caller.send("POST /post HTTP/1.1\r\nHost: service\r\nContent-Length: 5\r\n\r\nhello");
        std::string answer = caller.receiveMessage();
        EXPECT_NE(answer.find("\r\n\r\nhello"), std::string::npos) << answer;
    });
    caller.close();
    EXPECT_TRUE(proxy.listener.waitUntilIdle(Milliseconds(waitLimitMs)));
}

TEST(HttpPathTest, matchesAnswersToAThousandInterleavedCalls)
{
    constexpr size_t calls = 1000;
    std::mt19937_64 random(testSeed(20261203));
    DeferredTarget target;
    TestProxy proxy(anyPort, "127.0.0.1:" + std::to_string(target.listener.port()));
    std::vector<RawSocket> callers;
    for (size_t call = 0; call < calls; ++call) {
        callers.push_back(RawSocket::connectTo(proxy.listener.port()));
        callers.back().send(getRequest("/call/" + std::to_string(call)));
    }
    ASSERT_TRUE(target.waitForRequests(calls));
    section("some callers disconnect, and answers arrive late and out of order", [&] {
        std::vector<std::shared_ptr<HttpExchange>> held = target.openRequests.get();
        std::shuffle(held.begin(), held.end(), random);
        for (size_t call = 0; call < calls; call += 10)
            callers[call].close();
        for (const std::shared_ptr<HttpExchange>& exchange : held)
            exchange->answer({ 200, {}, std::nullopt }, "answer to " + exchange->head().target + "\n");
    });
    for (size_t call = 0; call < calls; ++call) {
        if (call % 10 != 0) {
            std::string answer = callers[call].receiveMessage();
            EXPECT_TRUE(answer.ends_with("answer to /call/" + std::to_string(call) + "\n")) << answer;
        }
    }
}

TEST(HttpPathTest, streamsLargeDownloadsInBoundedMemory)
{
    constexpr uint64_t downloadBytes = 256u << 20;
    constexpr uint64_t maxGrowthBytes = 32u << 20;
    const std::string block(64u << 10, 'x');
    std::atomic<uint64_t> sent = 0;
    RawServer target([&](RawSocket& socket, int) {
        socket.receiveMessage();
        socket.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(downloadBytes) + "\r\n\r\n");
        while (sent < downloadBytes && socket.send(block))
            sent += block.size();
    });
    TestProxy proxy(anyPort, target.address());
    uint64_t before = residentBytes();
    RawSocket caller = RawSocket::connectTo(proxy.listener.port());
    caller.send(getRequest("/large"));
    ASSERT_FALSE(caller.receiveUntil("\r\n\r\n").empty());
    section("a caller that does not read causes backpressure on the target", [&] {
        // The target is blocked once its progress has not changed for 200 ms.
        for (uint64_t last = 1; last != sent; usleep(200000))
            last = sent;
        EXPECT_LT(sent, maxGrowthBytes);
    });
    uint64_t peak = residentBytes();
    uint64_t received = 0;
    while (received < downloadBytes) {
        size_t count = caller.receiveBytes(std::min<uint64_t>(block.size(), downloadBytes - received)).size();
        if (count == 0)
            break;
        received += count;
        peak = std::max(peak, received % (8u << 20) == 0 ? residentBytes() : 0);
    }
    EXPECT_EQ(received, downloadBytes);
    EXPECT_LT(peak, before + maxGrowthBytes);
    std::cout << "growth " << (peak - std::min(peak, before)) / 1024 << " KiB" << std::endl;
}

TEST(HttpPathTest, appliesBackpressureToUploads)
{
    constexpr uint64_t uploadBytes = 60u << 20;
    constexpr uint64_t maxBufferedBytes = 24u << 20;
    std::atomic<bool> reading = false;
    WaitableValue<uint64_t> received;
    RawServer target([&](RawSocket& socket, int) {
        std::string head = socket.receiveUntil("\r\n\r\n");
        received.wait([&](uint64_t) { return reading.load(); });
        uint64_t count = 0;
        for (std::string bytes = "x"; count < uploadBytes && !bytes.empty(); count += bytes.size())
            bytes = socket.receiveBytes(std::min<uint64_t>(1u << 20, uploadBytes - count));
        received.update([count](uint64_t& value) { value = count; });
        socket.send(answerText("done"));
    });
    TestProxy proxy(anyPort, target.address());
    RawSocket caller = RawSocket::connectTo(proxy.listener.port());
    caller.send("POST / HTTP/1.1\r\nHost: service\r\nContent-Length: " + std::to_string(uploadBytes) + "\r\n\r\n");
    const std::string block(64u << 10, 'x');
    uint64_t sent = 0;
    for (int idle = 0; idle < 20 && sent < uploadBytes; usleep(10000)) {
        size_t count = caller.sendSome(std::string_view(block).substr(0, std::min<uint64_t>(block.size(), uploadBytes - sent)));
        sent += count;
        idle = count > 0 ? 0 : idle + 1;
    }
    EXPECT_LT(sent, maxBufferedBytes) << "no backpressure on the caller";
    reading = true;
    received.update([](uint64_t&) {});
    while (sent < uploadBytes && caller.send(std::string_view(block).substr(0, std::min<uint64_t>(block.size(), uploadBytes - sent))))
        sent += std::min<uint64_t>(block.size(), uploadBytes - sent);
    EXPECT_TRUE(received.wait([](uint64_t count) { return count == uploadBytes; })) << received.get();
    EXPECT_TRUE(caller.receiveMessage().ends_with("done"));
}

TEST(HttpPathTest, forwardsTruncationAndCancellation)
{
    WaitableValue<int> closed;
    RawServer target([&](RawSocket& socket, int) {
        bool isTruncated = socket.receiveMessage().starts_with("GET /truncated");
        socket.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
        if (!isTruncated && socket.waitClosed())
            closed.update([](int& count) { ++count; });
    });
    TestProxy proxy(anyPort, target.address());
    RawSocket caller = RawSocket::connectTo(proxy.listener.port());
    section("the target closes in the middle of its answer", [&] {
        caller.send(getRequest("/truncated"));
        std::string answer = caller.receiveAll();
        EXPECT_TRUE(caller.isReset());
        EXPECT_EQ(answer.find("0\r\n\r\n"), std::string::npos) << answer;
    });
    section("the caller disconnects", [&] {
        RawSocket leaving = RawSocket::connectTo(proxy.listener.port());
        leaving.send(getRequest("/streamed"));
        EXPECT_FALSE(leaving.receiveUntil("abc").empty());
        leaving.close();
        EXPECT_TRUE(closed.wait([](int count) { return count == 1; })) << "the connection to the target was not closed";
    });
}

TEST(HttpPathTest, losesNoRequestInShutdownUnderLoad)
{
    HttpListener target(anyPort, [](auto exchange) { exchange->answer({ 200, {}, std::nullopt }, exchange->head().target); });
    ASSERT_FALSE(target.start());
    TestProxy proxy(anyPort, "127.0.0.1:" + std::to_string(target.port()));
    std::atomic<int> answered = 0;
    std::atomic<int> lost = 0;
    std::vector<std::thread> callers;
    callers.reserve(16);
    for (int number = 0; number < 16; ++number) {
        callers.emplace_back([&, number] {
            RawSocket caller = RawSocket::connectTo(proxy.listener.port());
            for (bool isOpen = true; isOpen;) {
                std::string own = "/" + std::to_string(number) + "/" + std::to_string(answered);
                caller.send(getRequest(own));
                std::string answer = caller.receiveMessage();
                bool isComplete = answer.starts_with("HTTP/1.1 200") && answer.ends_with(own);
                isComplete ? ++answered : ++lost;
                isOpen = isComplete && answer.find("Connection: close") == std::string::npos;
            }
        });
    }
    while (answered < 1000 && lost == 0)
        std::this_thread::yield();
    proxy.listener.announceClose();
    proxy.listener.stopAccepting();
    for (std::thread& caller : callers)
        caller.join();
    EXPECT_TRUE(proxy.listener.waitUntilIdle(Milliseconds(waitLimitMs)));
    EXPECT_EQ(lost, 0) << "of " << answered;
}
