/**
 * @file UploadTest.cpp Guards against uploads that end or hang the listener. libmicrohttpd passes on chunks that it has read already, also after the connection was suspended
 * because the body buffer is full; suspending it a second time corrupts the daemon's lists of connections.
 */
#include "RawSocket.h"
#include "kingcup/HttpListener.h"
#include "kingcup/RandomSource.h"
#include "testing/EchoBody.h"

#include "testing/Story.h"

#include <gtest/gtest.h>
#include <mutex>
#include <sstream>
#include <thread>
#include <vector>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr size_t bodyBufferBytes = 16u << 10;
constexpr size_t maxBodyBytes = 1u << 20;

/** How the reader of a body behaves. The path of the request names it. */
enum class Reading {
    Whole, ///< Reads at once.
    Paused, ///< Reads with pauses.
    AnsweredEarly, ///< Answers after a part.
    StreamedEarly, ///< Starts a streamed answer after a part, and reads on.
    Abandoned, ///< Aborts after a part.
};

/** Reads bodies on threads of its own and answers with their checksum. */
class Reader {
public:
    ~Reader()
    {
        for (std::thread& thread : this->threads)
            thread.join();
    }

    void read(const std::shared_ptr<HttpExchange>& exchange, uint64_t seed)
    {
        std::lock_guard lock(this->mutex);
        this->threads.emplace_back([exchange, seed] { readBody(*exchange, seed); });
    }

private:
    static void readBody(HttpExchange& exchange, uint64_t seed)
    {
        RandomSource random(seed);
        auto reading = static_cast<Reading>(std::stoi(exchange.head().target.substr(1)));
        size_t partBytes = random.below(maxBodyBytes / 4);
        bool isStreaming = false;
        std::string body;
        for (;;) {
            std::string bytes;
            HttpExchange::BodyState state = exchange.readBody(bytes, 1 + random.below(2 * bodyBufferBytes));
            body += bytes;
            if (state == HttpExchange::BodyState::Failed)
                return exchange.abort();
            if (state == HttpExchange::BodyState::End)
                break;
            bool hasPart = body.size() >= partBytes;
            if (hasPart && reading == Reading::AnsweredEarly) {
                exchange.answer({ 200, {}, {} }, "early");
                return;
            }
            if (hasPart && reading == Reading::Abandoned)
                return exchange.abort();
            if (hasPart && reading == Reading::StreamedEarly && !std::exchange(isStreaming, true)) {
                exchange.startAnswer({ 200, {}, {} });
                exchange.write(std::string(random.below(400u << 10), '.'));
            }
            bool mayPause = reading == Reading::Paused && random.below(8) == 0;
            if (state == HttpExchange::BodyState::Pending || mayPause)
                usleep(static_cast<useconds_t>(random.below(2000)));
        }
        if (reading != Reading::StreamedEarly) {
            exchange.answer({ 200, {}, {} }, checksumOf(body));
            return;
        }
        if (!isStreaming)
            exchange.startAnswer({ 200, {}, {} });
        exchange.write(checksumOf(body));
        exchange.finish();
    }

    std::mutex mutex; ///< Guards `threads`.
    std::vector<std::thread> threads;
};

/** Returns a body in chunks of random sizes. */
std::string chunked(const std::string& body, RandomSource& random)
{
    std::ostringstream text;
    for (size_t sent = 0; sent < body.size();) {
        size_t bytes = std::min<size_t>(body.size() - sent, 1 + random.below(8000));
        text << std::hex << bytes << "\r\n"
             << body.substr(sent, bytes) << "\r\n";
        sent += bytes;
    }
    text << "0\r\n\r\n";
    return text.str();
}

/** Sends uploads one after the other. Counts answers that were lost or wrong. */
int runCaller(uint16_t port, uint64_t seed, int uploads)
{
    RandomSource random(seed);
    int wrong = 0;
    for (int upload = 0; upload < uploads; upload++) {
        auto reading = static_cast<Reading>(random.below(5));
        std::string body(random.below(3) == 0 ? random.below(100) : random.below(maxBodyBytes), static_cast<char>('a' + random.below(26)));
        bool isChunked = random.below(3) > 0;
        std::string text = "POST /" + std::to_string(static_cast<int>(reading)) + " HTTP/1.1\r\nHost: service\r\n";
        text += isChunked ? "Transfer-Encoding: chunked" : "Content-Length: " + std::to_string(body.size());
        text += "\r\n\r\n";
        text += isChunked ? chunked(body, random) : body;
        bool leaves = random.below(8) == 0;
        if (leaves)
            text.resize(text.size() / 2);
        RawSocket caller = RawSocket::connectTo(port);
        bool isSent = true;
        for (size_t sent = 0; isSent && sent < text.size();) {
            size_t bytes = std::min<size_t>(text.size() - sent, 1 + random.below(256u << 10));
            isSent = caller.send(std::string_view(text).substr(sent, bytes));
            sent += bytes;
            if (random.below(6) == 0)
                usleep(static_cast<useconds_t>(random.below(1500)));
        }
        if (leaves || reading == Reading::AnsweredEarly || reading == Reading::Abandoned)
            continue;
        std::string answer = caller.receiveUntil(checksumOf(body));
        wrong += answer.starts_with("HTTP/1.1 200") ? 0 : 1;
    }
    return wrong;
}

} // namespace

TEST(UploadTest, uploadsToSlowReadersNeitherEndNorHangTheListener)
{
    constexpr int callers = 6;
    constexpr int uploadsPerCaller = 25;
    uint64_t seed = testSeed(1);
    std::atomic<uint64_t> exchanges = 0;
    Reader reader;
    HttpListenerOptions options;
    options.address = "127.0.0.1:0";
    options.threads = 1;
    options.bodyBufferBytes = bodyBufferBytes;
    HttpListener listener(options, [&](const std::shared_ptr<HttpExchange>& exchange) { reader.read(exchange, seed + ++exchanges); });
    ASSERT_FALSE(listener.start());
    section("every caller that sends its whole body gets the answer", [&] {
        std::atomic<int> wrong = 0;
        std::vector<std::thread> threads;
        threads.reserve(callers);
        for (int caller = 0; caller < callers; caller++)
            threads.emplace_back([&, caller] { wrong += runCaller(listener.port(), seed * 1000 + static_cast<uint64_t>(caller), uploadsPerCaller); });
        for (std::thread& thread : threads)
            thread.join();
        EXPECT_EQ(wrong, 0);
    });
    section("the listener stops beside uploads", [&] {
        std::vector<RawSocket> open;
        for (int caller = 0; caller < callers; caller++) {
            open.push_back(RawSocket::connectTo(listener.port()));
            RandomSource random(seed);
            std::string text = "POST /1 HTTP/1.1\r\nHost: service\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(std::string(8 * bodyBufferBytes, 'x'), random);
            open.back().sendSome(std::string_view(text).substr(0, text.size() - 10));
        }
        listener.stop(); // libmicrohttpd ends the process if a connection is still suspended.
    });
}
