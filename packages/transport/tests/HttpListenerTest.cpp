/** @file HttpListenerTest.cpp Tests the life cycle of exchanges: hooks, aborted and early answers, and shutdown. */
#include "kingcup/HttpListener.h"
#include "RawSocket.h"

#include "testing/Story.h"

#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

const std::string getText = "GET / HTTP/1.1\r\nHost: service\r\n\r\n";
const std::string postHead = "POST / HTTP/1.1\r\nHost: service\r\n";

/** Calls of the hooks of one exchange. */
struct Calls {
    std::shared_ptr<HttpExchange> exchange; ///< Latest exchange.
    int requests = 0; ///< Requests passed to the handler.
    int readable = 0; ///< Calls of the readable hook.
    int writable = 0; ///< Calls of the writable hook.
    int completed = 0; ///< Calls of the closed hook with true.
    int lost = 0; ///< Calls of the closed hook with false.
    int afterClosed = 0; ///< Calls of other hooks after the closed hook.
};

/** A listener that counts hook calls and leaves the answers to the test. */
class NotingListener {
public:
    explicit NotingListener(HttpListenerOptions options = { .address = "127.0.0.1:0" })
        : listener(std::move(options), [this](auto exchange) { this->note(exchange); })
    {
        EXPECT_FALSE(this->listener.start());
    }

    /** Waits for the next request and returns its exchange. */
    std::shared_ptr<HttpExchange> next()
    {
        int number = ++this->taken;
        EXPECT_TRUE(this->calls.wait([number](const Calls& seen) { return seen.requests >= number; }));
        return this->calls.get().exchange;
    }

    /** Waits until the condition holds for the calls. */
    bool wait(const std::function<bool(const Calls&)>& condition) { return this->calls.wait(condition); }

    Signal<Calls> calls; ///< Hook calls so far.
    HttpListener listener; ///< Listener under test.

private:
    /** Sets the hooks of a new exchange. */
    void note(const std::shared_ptr<HttpExchange>& exchange)
    {
        auto change = [this](int Calls::*counter) {
            this->calls.update([counter](Calls& seen) {
                ++(seen.*counter);
                if (counter == &Calls::readable || counter == &Calls::writable)
                    seen.afterClosed += seen.completed + seen.lost >= seen.requests ? 1 : 0;
            });
        };
        exchange->setReadableHook([change] { change(&Calls::readable); });
        exchange->setWritableHook([change] { change(&Calls::writable); });
        exchange->setClosedHook([change](bool completed) { change(completed ? &Calls::completed : &Calls::lost); });
        this->calls.update([&](Calls& seen) { seen.exchange = exchange, ++seen.requests; });
    }

    int taken = 0; ///< Exchanges returned by next().
};

/** Returns a header with the given status. */
HttpAnswerHead head(int status, std::optional<uint64_t> length = std::nullopt)
{
    return { status, {}, length };
}

} // namespace

TEST(HttpListenerTest, reportsCallerDisconnectWithoutDelay)
{
    NotingListener noting;
    int lost = 0;
    auto loses = [&](RawSocket caller) {
        TimePoint start = MillisecondClock::now();
        caller.close();
        EXPECT_TRUE(noting.wait([&](const Calls& seen) { return seen.lost == lost + 1; }));
        // 500 ms is far below the 10 s slow sender timeout, and far above the delays on a loaded machine.
        EXPECT_LT((MillisecondClock::now() - start).count(), 500);
        ++lost;
    };
    section("while the caller waits for an answer", [&] {
        RawSocket caller = RawSocket::connectTo(noting.listener.port());
        caller.send(getText);
        std::shared_ptr<HttpExchange> exchange = noting.next();
        loses(std::move(caller));
        EXPECT_FALSE(exchange->answer(head(200), "late")) << "an answer after the disconnect was accepted";
    });
    section("with a pipelined request unread", [&] {
        RawSocket caller = RawSocket::connectTo(noting.listener.port());
        caller.send(getText + getText);
        noting.next();
        loses(std::move(caller));
    });
    section("during a pause of a streamed answer", [&] {
        RawSocket caller = RawSocket::connectTo(noting.listener.port());
        caller.send(getText);
        std::shared_ptr<HttpExchange> exchange = noting.next();
        exchange->startAnswer(head(200));
        exchange->write("part");
        EXPECT_FALSE(caller.takeUntil("part").empty());
        loses(std::move(caller));
    });
    section("in the middle of the request body", [&] {
        RawSocket caller = RawSocket::connectTo(noting.listener.port());
        caller.send(postHead + "Content-Length: 10\r\n\r\nabc");
        std::shared_ptr<HttpExchange> exchange = noting.next();
        loses(std::move(caller));
        std::string bytes;
        EXPECT_EQ(exchange->readBody(bytes, 100), HttpExchange::BodyState::Broken);
    });
    section("a closed hook set after the end is called", [&] {
        noting.calls.get().exchange->setClosedHook([&](bool completed) {
            noting.calls.update([completed](Calls& seen) { seen.lost += completed ? 0 : 1; });
        });
        EXPECT_TRUE(noting.wait([&](const Calls& seen) { return seen.lost == lost + 1; }));
    });
    EXPECT_EQ(noting.calls.get().afterClosed, 0);
    EXPECT_TRUE(noting.listener.waitIdle(Milliseconds(waitLimitMs)));
}

TEST(HttpListenerTest, neverEndsAnAbortedAnswerCleanly)
{
    struct Case {
        std::string request; ///< Bytes that the caller sends.
        std::optional<uint64_t> length; ///< Announced Content-Length.
        std::string part; ///< Answer bytes written before the abort.
    };
    const Case cases[] = {
        { getText, std::nullopt, "part" },
        { getText, 100, "part" },
        { "GET / HTTP/1.0\r\n\r\n", std::nullopt, "part" },
        { getText, std::nullopt, "" },
    };
    NotingListener noting;
    for (const Case& row : cases) {
        RawSocket caller = RawSocket::connectTo(noting.listener.port());
        caller.send(row.request);
        std::shared_ptr<HttpExchange> exchange = noting.next();
        exchange->startAnswer(head(200, row.length));
        exchange->write(row.part);
        if (!row.part.empty()) {
            EXPECT_FALSE(caller.takeUntil(row.part).empty());
        }
        exchange->abort();
        std::string rest = caller.takeAll();
        EXPECT_TRUE(caller.reset()) << rest;
        EXPECT_EQ(rest.find("0\r\n\r\n"), std::string::npos);
    }
    section("an answer finished before its announced length is reset", [&] {
        RawSocket caller = RawSocket::connectTo(noting.listener.port());
        caller.send(getText);
        std::shared_ptr<HttpExchange> exchange = noting.next();
        exchange->startAnswer(head(200, 100));
        exchange->write("part");
        exchange->finish();
        caller.takeAll();
        EXPECT_TRUE(caller.reset());
    });
    EXPECT_TRUE(noting.wait([&](const Calls& seen) { return seen.lost == seen.requests; }));
    EXPECT_EQ(noting.calls.get().completed, 0);
    section("an answer aborted before its header was sent still sends the header", [&] {
        HttpListener listener({ .address = "127.0.0.1:0" }, [](const std::shared_ptr<HttpExchange>& exchange) {
            exchange->startAnswer(head(200, 100));
            exchange->abort();
        });
        ASSERT_FALSE(listener.start());
        RawSocket caller = RawSocket::connectTo(listener.port());
        caller.send(getText);
        EXPECT_TRUE(caller.takeAll().starts_with("HTTP/1.1 200"));
        EXPECT_TRUE(caller.reset());
    });
}

TEST(HttpListenerTest, answersBeforeTheBodyHasEnded)
{
    NotingListener noting;
    RawSocket caller = RawSocket::connectTo(noting.listener.port());
    caller.send(postHead + "Content-Length: 1000\r\n\r\nabc");
    std::shared_ptr<HttpExchange> exchange = noting.next();
    EXPECT_TRUE(exchange->answer(head(503), "early"));
    EXPECT_FALSE(exchange->answer(head(200), "second"));
    std::string answer = caller.takeAll();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
    EXPECT_TRUE(answer.ends_with("early")) << answer;
    caller.close();
    EXPECT_TRUE(noting.wait([](const Calls& seen) { return seen.completed == 1; }));
}

TEST(HttpListenerTest, keepsTheConnectionWhenTheAnswerFollowsTheLastBodyByte)
{
    // A fast target answers before libmicrohttpd reports the end of the body.
    HttpListener listener({ .address = "127.0.0.1:0" }, [](auto exchange) {
        exchange->setReadableHook([exchange] {
            std::string bytes;
            if (exchange->readBody(bytes, 100) == HttpExchange::BodyState::More)
                exchange->answer(head(200), bytes);
        });
    });
    ASSERT_FALSE(listener.start());
    RawSocket caller = RawSocket::connectTo(listener.port());
    for (int round = 0; round < 3; ++round) {
        caller.send(postHead + "Content-Length: 4\r\n\r\nbody");
        std::string answer = caller.takeMessage();
        EXPECT_TRUE(answer.ends_with("\r\n\r\nbody")) << "round " << round;
        EXPECT_EQ(answer.find("Connection: close"), std::string::npos) << answer;
    }
}

TEST(HttpListenerTest, shutsDownGracefully)
{
    NotingListener noting;
    RawSocket waiting = RawSocket::connectTo(noting.listener.port());
    waiting.send(getText);
    std::shared_ptr<HttpExchange> exchange = noting.next();
    RawSocket open = RawSocket::connectTo(noting.listener.port());
    open.send(getText);
    noting.next()->answer(head(200), "x");
    EXPECT_FALSE(open.takeUntil("\r\n\r\nx").empty());

    noting.listener.announceClose();
    noting.listener.stopAccepting();
    EXPECT_FALSE(noting.listener.waitIdle(Milliseconds(20))) << "the listener is idle although a request is waiting";
    section("new connections are refused", [&] {
        RawSocket late = RawSocket::connectTo(noting.listener.port());
        late.send(getText);
        EXPECT_EQ(late.takeAll(), "");
    });
    section("open connections are served and answered with Connection: close", [&] {
        open.send(getText);
        noting.next()->answer(head(200), "y");
        EXPECT_NE(open.takeAll().find("Connection: close"), std::string::npos);
    });
    section("the waiting request gets its answer", [&] {
        exchange->answer(head(200), "z");
        EXPECT_TRUE(waiting.takeAll().ends_with("\r\n\r\nz"));
        EXPECT_TRUE(noting.listener.waitIdle(Milliseconds(waitLimitMs)));
    });
    section("stop() ends open requests and returns", [&] {
        NotingListener abrupt;
        RawSocket caller = RawSocket::connectTo(abrupt.listener.port());
        caller.send(getText);
        std::shared_ptr<HttpExchange> left = abrupt.next();
        abrupt.listener.stop();
        EXPECT_EQ(abrupt.calls.get().lost, 1);
        EXPECT_FALSE(left->answer(head(200), "late"));
        left->abort();
    });
}
