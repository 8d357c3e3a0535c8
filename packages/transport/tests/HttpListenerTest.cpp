/** @file HttpListenerTest.cpp Tests the life cycle of exchanges: hooks, aborted and early answers, and shutdown. */
#include "kingcup/HttpListener.h"
#include "RawSocket.h"

#include "testing/Story.h"

#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

const std::string getRequest = "GET / HTTP/1.1\r\nHost: service\r\n\r\n";
const std::string postHead = "POST / HTTP/1.1\r\nHost: service\r\n";

/** Calls of the hooks of one exchange. */
struct HookCalls {
    std::shared_ptr<HttpExchange> exchange; ///< Latest exchange.
    int requests = 0; ///< Requests passed to the handler.
    int readable = 0; ///< Calls of the readable hook.
    int writable = 0; ///< Calls of the writable hook.
    int completed = 0; ///< Calls of the closed hook with true.
    int disconnected = 0; ///< Calls of the closed hook with false.
    int afterClosed = 0; ///< Calls of other hooks after the closed hook.
};

/** A listener that counts hook calls and leaves the answers to the test. */
class RecordingListener {
public:
    explicit RecordingListener(HttpListenerOptions options = { .address = "127.0.0.1:0" })
        : listener(std::move(options), [this](auto exchange) { this->setHooks(exchange); })
    {
        EXPECT_FALSE(this->listener.start());
    }

    /** Waits for the next request and returns its exchange. */
    std::shared_ptr<HttpExchange> nextExchange()
    {
        int number = ++this->returnedExchanges;
        EXPECT_TRUE(this->calls.wait([number](const HookCalls& seen) { return seen.requests >= number; }));
        return this->calls.get().exchange;
    }

    /** Waits until the condition holds for the calls. */
    bool wait(const std::function<bool(const HookCalls&)>& condition) { return this->calls.wait(condition); }

    WaitableValue<HookCalls> calls; ///< Hook calls so far.
    HttpListener listener; ///< Listener under test.

private:
    /** Sets the hooks of a new exchange. */
    void setHooks(const std::shared_ptr<HttpExchange>& exchange)
    {
        auto change = [this](int HookCalls::*counter) {
            this->calls.update([counter](HookCalls& seen) {
                ++(seen.*counter);
                if (counter == &HookCalls::readable || counter == &HookCalls::writable)
                    seen.afterClosed += seen.completed + seen.disconnected >= seen.requests ? 1 : 0;
            });
        };
        exchange->setReadableHook([change] { change(&HookCalls::readable); });
        exchange->setWritableHook([change] { change(&HookCalls::writable); });
        exchange->setClosedHook([change](bool completed) { change(completed ? &HookCalls::completed : &HookCalls::disconnected); });
        this->calls.update([&](HookCalls& seen) { seen.exchange = exchange, ++seen.requests; });
    }

    int returnedExchanges = 0; ///< Exchanges returned by nextExchange().
};

/** Returns a header with the given status. */
HttpAnswerHead answerHead(int status, std::optional<uint64_t> length = std::nullopt)
{
    return { status, {}, length };
}

} // namespace

TEST(HttpListenerTest, reportsCallerDisconnectWithoutDelay)
{
    RecordingListener recorder;
    int disconnects = 0;
    auto expectDisconnect = [&](RawSocket caller) {
        TimePoint start = MillisecondClock::now();
        caller.close();
        EXPECT_TRUE(recorder.wait([&](const HookCalls& seen) { return seen.disconnected == disconnects + 1; }));
        // 500 ms is far below the 10 s slow sender timeout, and far above the delays on a loaded machine.
        EXPECT_LT((MillisecondClock::now() - start).count(), 500);
        ++disconnects;
    };
    section("while the caller waits for an answer", [&] {
        RawSocket caller = RawSocket::connectTo(recorder.listener.port());
        caller.send(getRequest);
        std::shared_ptr<HttpExchange> exchange = recorder.nextExchange();
        expectDisconnect(std::move(caller));
        EXPECT_FALSE(exchange->answer(answerHead(200), "late")) << "an answer after the disconnect was accepted";
    });
    section("with a pipelined request unread", [&] {
        RawSocket caller = RawSocket::connectTo(recorder.listener.port());
        caller.send(getRequest + getRequest);
        recorder.nextExchange();
        expectDisconnect(std::move(caller));
    });
    section("during a pause of a streamed answer", [&] {
        RawSocket caller = RawSocket::connectTo(recorder.listener.port());
        caller.send(getRequest);
        std::shared_ptr<HttpExchange> exchange = recorder.nextExchange();
        exchange->startAnswer(answerHead(200));
        exchange->write("part");
        EXPECT_FALSE(caller.receiveUntil("part").empty());
        expectDisconnect(std::move(caller));
    });
    section("in the middle of the request body", [&] {
        RawSocket caller = RawSocket::connectTo(recorder.listener.port());
        caller.send(postHead + "Content-Length: 10\r\n\r\nabc");
        std::shared_ptr<HttpExchange> exchange = recorder.nextExchange();
        expectDisconnect(std::move(caller));
        std::string bytes;
        EXPECT_EQ(exchange->readBody(bytes, 100), HttpExchange::BodyState::Failed);
    });
    section("a closed hook set after the end is called", [&] {
        recorder.calls.get().exchange->setClosedHook([&](bool completed) {
            recorder.calls.update([completed](HookCalls& seen) { seen.disconnected += completed ? 0 : 1; });
        });
        EXPECT_TRUE(recorder.wait([&](const HookCalls& seen) { return seen.disconnected == disconnects + 1; }));
    });
    EXPECT_EQ(recorder.calls.get().afterClosed, 0);
    EXPECT_TRUE(recorder.listener.waitUntilIdle(Milliseconds(waitLimitMs)));
}

// Guards against an answer that stops halfway because its writer waits for a hook that is never called. Bytes may be written after the writer was told
// to wait, since they were on their way, and the buffer may have been drained below its limit by then, but not yet to the half at which the hook is called.
TEST(HttpListenerTest, callsTheWritableHookAfterBytesThatWereOnTheirWay)
{
    constexpr size_t bufferBytes = 32 << 20; // Half of it is more than the sockets' buffers hold.
    constexpr size_t writtenBytes = 36 << 20;
    constexpr size_t firstBytes = 8 << 20; // Leaves between a half and the whole limit in the buffer.
    RecordingListener recorder({ .address = "127.0.0.1:0", .answerBufferBytes = bufferBytes });
    RawSocket caller = RawSocket::connectTo(recorder.listener.port(), 64 << 10);
    caller.send(getRequest);
    std::shared_ptr<HttpExchange> exchange = recorder.nextExchange();
    exchange->startAnswer(answerHead(200));
    EXPECT_FALSE(exchange->write(std::string(writtenBytes, 'x')));
    EXPECT_EQ(caller.receiveBytes(firstBytes).size(), firstBytes);
    EXPECT_EQ(recorder.calls.get().writable, 0);
    EXPECT_FALSE(exchange->write("late")) << "the writer still waits for the hook";
    EXPECT_EQ(caller.receiveBytes(writtenBytes - firstBytes).size(), writtenBytes - firstBytes);
    EXPECT_TRUE(recorder.wait([](const HookCalls& seen) { return seen.writable == 1; }));
}

TEST(HttpListenerTest, neverEndsAnAbortedAnswerCleanly)
{
    struct Case {
        std::string request; ///< Bytes that the caller sends.
        std::optional<uint64_t> length; ///< Announced Content-Length.
        std::string part; ///< Answer bytes written before the abort.
    };
    const Case cases[] = {
        { getRequest, std::nullopt, "part" },
        { getRequest, 100, "part" },
        { "GET / HTTP/1.0\r\n\r\n", std::nullopt, "part" },
        { getRequest, std::nullopt, "" },
    };
    RecordingListener recorder;
    for (const Case& row : cases) {
        RawSocket caller = RawSocket::connectTo(recorder.listener.port());
        caller.send(row.request);
        std::shared_ptr<HttpExchange> exchange = recorder.nextExchange();
        exchange->startAnswer(answerHead(200, row.length));
        exchange->write(row.part);
        if (!row.part.empty()) {
            EXPECT_FALSE(caller.receiveUntil(row.part).empty());
        }
        exchange->abort();
        std::string rest = caller.receiveAll();
        EXPECT_TRUE(caller.isReset()) << rest;
        EXPECT_EQ(rest.find("0\r\n\r\n"), std::string::npos);
    }
    section("an answer finished before its announced length is reset", [&] {
        RawSocket caller = RawSocket::connectTo(recorder.listener.port());
        caller.send(getRequest);
        std::shared_ptr<HttpExchange> exchange = recorder.nextExchange();
        exchange->startAnswer(answerHead(200, 100));
        exchange->write("part");
        exchange->finish();
        caller.receiveAll();
        EXPECT_TRUE(caller.isReset());
    });
    EXPECT_TRUE(recorder.wait([&](const HookCalls& seen) { return seen.disconnected == seen.requests; }));
    EXPECT_EQ(recorder.calls.get().completed, 0);
    section("an answer aborted before its header was sent still sends the header", [&] {
        HttpListener listener({ .address = "127.0.0.1:0" }, [](const std::shared_ptr<HttpExchange>& exchange) {
            exchange->startAnswer(answerHead(200, 100));
            exchange->abort();
        });
        ASSERT_FALSE(listener.start());
        RawSocket caller = RawSocket::connectTo(listener.port());
        caller.send(getRequest);
        EXPECT_TRUE(caller.receiveAll().starts_with("HTTP/1.1 200"));
        EXPECT_TRUE(caller.isReset());
    });
}

TEST(HttpListenerTest, answersBeforeTheBodyHasEnded)
{
    RecordingListener recorder;
    RawSocket caller = RawSocket::connectTo(recorder.listener.port());
    caller.send(postHead + "Content-Length: 1000\r\n\r\nabc");
    std::shared_ptr<HttpExchange> exchange = recorder.nextExchange();
    EXPECT_TRUE(exchange->answer(answerHead(503), "early"));
    EXPECT_FALSE(exchange->answer(answerHead(200), "second"));
    std::string answer = caller.receiveAll();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
    EXPECT_TRUE(answer.ends_with("early")) << answer;
    caller.close();
    EXPECT_TRUE(recorder.wait([](const HookCalls& seen) { return seen.completed == 1; }));
}

TEST(HttpListenerTest, keepsTheConnectionWhenTheAnswerFollowsTheLastBodyByte)
{
    // A fast target answers before libmicrohttpd reports the end of the body.
    HttpListener listener({ .address = "127.0.0.1:0" }, [](auto exchange) {
        exchange->setReadableHook([exchange] {
            std::string bytes;
            if (exchange->readBody(bytes, 100) == HttpExchange::BodyState::More)
                exchange->answer(answerHead(200), bytes);
        });
    });
    ASSERT_FALSE(listener.start());
    RawSocket caller = RawSocket::connectTo(listener.port());
    for (int round = 0; round < 3; ++round) {
        caller.send(postHead + "Content-Length: 4\r\n\r\nbody");
        std::string answer = caller.receiveMessage();
        EXPECT_TRUE(answer.ends_with("\r\n\r\nbody")) << "round " << round;
        EXPECT_EQ(answer.find("Connection: close"), std::string::npos) << answer;
    }
}

TEST(HttpListenerTest, shutsDownGracefully)
{
    RecordingListener recorder;
    RawSocket waitingCaller = RawSocket::connectTo(recorder.listener.port());
    waitingCaller.send(getRequest);
    std::shared_ptr<HttpExchange> exchange = recorder.nextExchange();
    RawSocket idleCaller = RawSocket::connectTo(recorder.listener.port());
    idleCaller.send(getRequest);
    recorder.nextExchange()->answer(answerHead(200), "x");
    EXPECT_FALSE(idleCaller.receiveUntil("\r\n\r\nx").empty());

    recorder.listener.announceClose();
    recorder.listener.stopAccepting();
    EXPECT_FALSE(recorder.listener.waitUntilIdle(Milliseconds(20))) << "the listener is idle although a request is waiting";
    section("new connections are refused", [&] {
        RawSocket late = RawSocket::connectTo(recorder.listener.port());
        late.send(getRequest);
        EXPECT_EQ(late.receiveAll(), "");
    });
    section("open connections are served and answered with Connection: close", [&] {
        idleCaller.send(getRequest);
        recorder.nextExchange()->answer(answerHead(200), "y");
        EXPECT_NE(idleCaller.receiveAll().find("Connection: close"), std::string::npos);
    });
    section("the waiting request gets its answer", [&] {
        exchange->answer(answerHead(200), "z");
        EXPECT_TRUE(waitingCaller.receiveAll().ends_with("\r\n\r\nz"));
        EXPECT_TRUE(recorder.listener.waitUntilIdle(Milliseconds(waitLimitMs)));
    });
    section("stop() ends open requests and returns", [&] {
        RecordingListener stopped;
        RawSocket caller = RawSocket::connectTo(stopped.listener.port());
        caller.send(getRequest);
        std::shared_ptr<HttpExchange> openExchange = stopped.nextExchange();
        stopped.listener.stop();
        EXPECT_EQ(stopped.calls.get().disconnected, 1);
        EXPECT_FALSE(openExchange->answer(answerHead(200), "late"));
        openExchange->abort();
    });
}

TEST(HttpListenerTest, servesConnectionsThatWereMadeBeforeItStopsAccepting)
{
    constexpr int rounds = 40;
    constexpr int connectionsPerRound = 20;
    int lost = 0;
    for (int round = 0; round < rounds; ++round) {
        HttpListener listener({ .address = "127.0.0.1:0" }, [](const std::shared_ptr<HttpExchange>& exchange) {
            HttpAnswerHead head;
            head.status = 200;
            exchange->answer(std::move(head), "answer");
        });
        ASSERT_FALSE(listener.start());
        std::vector<RawSocket> callers;
        for (int i = 0; i < connectionsPerRound; ++i) {
            callers.push_back(RawSocket::connectTo(listener.port()));
            callers.back().send(getRequest);
        }
        listener.stopAccepting();
        for (RawSocket& caller : callers)
            lost += caller.receiveUntil("answer").empty() ? 1 : 0;
        listener.stop();
    }
    EXPECT_EQ(lost, 0) << "of " << rounds * connectionsPerRound;
}
