/** @file HttpFramingTest.cpp Tests that ambiguous framing (request smuggling) and requests beyond the limits are refused. */
#include "RawSocket.h"
#include "TestProxy.h"

#include "testing/Story.h"

#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

const std::string host = "Host: service\r\n";
const std::string postLine = "POST /post HTTP/1.1\r\n" + host;
const std::string chunkedPost = postLine + "Transfer-Encoding: chunked\r\n\r\n";

/** A malformed request. */
struct MalformedRequest {
    std::string name; ///< Description in failure messages.
    std::string text; ///< Bytes to send.
};

const MalformedRequest malformedHeaders[] = {
    { "repeated length", postLine + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc" },
    { "conflicting lengths", postLine + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc" },
    { "list of lengths", postLine + "Content-Length: 3, 3\r\n\r\nabc" },
    { "signed length", postLine + "Content-Length: +3\r\n\r\nabc" },
    { "hexadecimal length", postLine + "Content-Length: 0x3\r\n\r\nabc" },
    { "empty length", postLine + "Content-Length:\r\n\r\nabc" },
    { "length that overflows", postLine + "Content-Length: 18446744073709551619\r\n\r\nabc" },
    { "length, then chunked", postLine + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" },
    { "chunked, then length", postLine + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n" },
    { "other coding", postLine + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" },
    { "identity coding", postLine + "Transfer-Encoding: identity\r\n\r\nabc" },
    { "unknown coding", postLine + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" },
    { "coding after a vertical tab", postLine + "Transfer-Encoding: \x0b"
                                                "chunked\r\n\r\n0\r\n\r\n" },
    { "repeated coding", postLine + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" },
    { "coding in HTTP/1.0", "POST / HTTP/1.0\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" },
    { "space before the colon", postLine + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" },
    { "folded field", "GET / HTTP/1.1\r\n" + host + "X: a\r\n b\r\n\r\n" },
    { "folded coding", postLine + "Transfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n" },
    { "fold before the first field", "GET / HTTP/1.1\r\n X: a\r\n" + host + "\r\n" },
    { "line feeds only", "GET / HTTP/1.1\nHost: service\n\n" },
    { "line feed in one line", "GET / HTTP/1.1\r\nHost: service\nX: a\r\n\r\n" },
    { "line feed as the empty line", "GET / HTTP/1.1\r\n" + host + "\n" },
    { "carriage return in a value", "GET / HTTP/1.1\r\n" + host + "X: a\rY: b\r\n\r\n" },
    { "NUL in a value", "GET / HTTP/1.1\r\n" + host + std::string("X: a\0b\r\n\r\n", 10) },
    { "NUL after a name", "GET / HTTP/1.1\r\n" + host + std::string("X\0: a\r\n\r\n", 9) },
    { "NUL in the target", std::string("GET /\0a HTTP/1.1\r\n", 18) + host + "\r\n" },
    { "control character in a value", "GET / HTTP/1.1\r\n" + host + "X: a\x01\r\n\r\n" },
    { "line without colon", "GET / HTTP/1.1\r\n" + host + "X\r\n\r\n" },
    { "empty name", "GET / HTTP/1.1\r\n" + host + ": a\r\n\r\n" },
    { "space in the target", "GET /a b HTTP/1.1\r\n" + host + "\r\n" },
    { "two spaces in the request line", "GET  / HTTP/1.1\r\n" + host + "\r\n" },
    { "unknown version", "GET / HTTP/1.2\r\n" + host + "\r\n" },
    { "no host", "GET / HTTP/1.1\r\n\r\n" },
    { "two hosts", "GET / HTTP/1.1\r\n" + host + host + "\r\n" },
    { "absolute target", "GET http://other/ HTTP/1.1\r\n" + host + "\r\n" },
    { "CONNECT", "CONNECT other:80 HTTP/1.1\r\n" + host + "\r\n" },
};

const MalformedRequest malformedChunks[] = {
    { "prefix 0x", chunkedPost + "0x3\r\nabc\r\n0\r\n\r\n" },
    { "signed size", chunkedPost + "+3\r\nabc\r\n0\r\n\r\n" },
    { "negative size", chunkedPost + "-3\r\nabc\r\n0\r\n\r\n" },
    { "space after the size", chunkedPost + "3 \r\nabc\r\n0\r\n\r\n" },
    { "no size", chunkedPost + "\r\nabc\r\n0\r\n\r\n" },
    { "no number", chunkedPost + "zz\r\nabc\r\n0\r\n\r\n" },
    { "size that overflows", chunkedPost + "10000000000000003\r\nabc\r\n0\r\n\r\n" },
    { "data longer than its size", chunkedPost + "3\r\nabcX\r\n0\r\n\r\n" },
    { "line feed in an extension", chunkedPost + "3;a\nb\r\nabc\r\n0\r\n\r\n" },
};

/** Sends a text on a new connection and returns all bytes received until it ends. */
std::string sendAndReceiveAll(uint16_t port, const std::string& text)
{
    RawSocket caller = RawSocket::connectTo(port);
    caller.send(text);
    return caller.receiveAll();
}

/** A target that counts the complete requests that it has received. */
struct CountingTarget {
    std::atomic<int> requests = 0; ///< Number of complete requests.
    RawServer server { [this](RawSocket& socket, int) {
        std::string head = socket.receiveUntil("\r\n\r\n");
        bool isChunked = head.find("chunked") != std::string::npos;
        if (head.empty() || (isChunked && socket.receiveUntil("0\r\n\r\n").empty()))
            return;
        ++this->requests;
        socket.send(answerText("ran"));
        socket.waitClosed();
    } };
};

} // namespace

TEST(HttpFramingTest, refusesAmbiguousRequests)
{
    CountingTarget target;
    TestProxy proxy({ .address = "127.0.0.1:0" }, target.server.address());
    for (const MalformedRequest& shape : malformedHeaders) {
        section(shape.name, [&] {
            std::string answer = sendAndReceiveAll(proxy.listener.port(), shape.text + "GET /smuggled HTTP/1.1\r\n" + host + "\r\n");
            EXPECT_EQ(answer.find("ran"), std::string::npos) << answer;
            EXPECT_TRUE(answer.empty() || answer.starts_with("HTTP/1.1 4")) << answer;
        });
    }
    EXPECT_EQ(target.server.connections(), 0) << "a malformed header reached the target";
    for (const MalformedRequest& shape : malformedChunks) {
        section(shape.name, [&] {
            std::string answer = sendAndReceiveAll(proxy.listener.port(), shape.text + "GET /smuggled HTTP/1.1\r\n" + host + "\r\n");
            EXPECT_EQ(answer.find("ran"), std::string::npos) << answer;
        });
    }
    EXPECT_TRUE(proxy.listener.waitUntilIdle(Milliseconds(waitLimitMs)));
    EXPECT_EQ(target.requests, 0) << "the target received a malformed body as complete";
}

TEST(HttpFramingTest, refusesRequestsBeyondLimits)
{
    CountingTarget target;
    WaitableValue<std::vector<ResultCode>> refusals;
    HttpListenerOptions options { .address = "127.0.0.1:0", .maxHeaderBytes = 4096, .maxBodyBytes = 100000, .slowSenderTimeout = Milliseconds(200) };
    HttpListener listener(
        options, [](auto exchange) { exchange->setReadableHook([exchange] {
                                         std::string bytes;
                                         while (exchange->readBody(bytes, 1000) == HttpExchange::BodyState::More) { }
                                         if (exchange->readBody(bytes, 1000) == HttpExchange::BodyState::Failed)
                                             exchange->answer({ 408, {}, std::nullopt }, "broken\n");
                                     }); }, [&](ResultCode code) { refusals.update([&](auto& codes) { codes.push_back(code); }); });
    ASSERT_FALSE(listener.start());
    auto expectRefusal = [&](const std::string& text, const std::string& status, ResultCode code) {
        EXPECT_TRUE(sendAndReceiveAll(listener.port(), text).starts_with("HTTP/1.1 " + status)) << status;
        EXPECT_TRUE(refusals.wait([&](const auto& codes) { return !codes.empty() && codes.back() == code; })) << status;
    };

    section("a header beyond the limit", [&] {
        expectRefusal("GET / HTTP/1.1\r\n" + host + "X: " + std::string(5000, 'x') + "\r\n\r\n", "431", ResultCode::HeaderTooLarge);
    });
    section("a header far beyond the memory of a connection", [&] {
        std::string answer = sendAndReceiveAll(listener.port(), "GET / HTTP/1.1\r\n" + host + "X: " + std::string(1000000, 'x'));
        EXPECT_TRUE(answer.empty() || answer.starts_with("HTTP/1.1 431")) << answer;
    });
    section("a body announced beyond the limit", [&] {
        expectRefusal(postLine + "Content-Length: 100001\r\n\r\n", "413", ResultCode::BodyTooLarge);
    });
    section("a chunked body beyond the limit, before its end", [&] {
        expectRefusal(chunkedPost + "20000\r\n" + std::string(0x1f000, 'x'), "413", ResultCode::BodyTooLarge);
    });
    section("an incomplete header", [&] { expectRefusal("GET / HTTP/1.1\r\nHo", "408", ResultCode::SlowSender); });
    section("an incomplete body", [&] { expectRefusal(postLine + "Content-Length: 10\r\n\r\nabc", "408", ResultCode::SlowSender); });
    section("a header sent byte by byte, each byte within the timeout", [&] {
        RawSocket caller = RawSocket::connectTo(listener.port());
        std::string text = "GET / HTTP/1.1\r\nX: ";
        int sent = 0;
        while (caller.send(sent < 19 ? text.substr(static_cast<size_t>(sent), 1) : "x") && !caller.receive(20) && sent < 500)
            ++sent;
        EXPECT_TRUE(caller.receiveAll().starts_with("HTTP/1.1 408"));
        EXPECT_LT(sent, 500);
    });
    section("no request stays open", [&] { EXPECT_TRUE(listener.waitUntilIdle(Milliseconds(waitLimitMs))); });
}
