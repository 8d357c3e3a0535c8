/**
 * @file EndlessAnswerTest.cpp Guards against targets that send bytes without end which are no answer, in a head or in a body: such an attempt must end long before
 * its deadline, with a bounded number of bytes read, and never as a complete answer.
 */
#include "TestAttempt.h"

#include "testing/Story.h"

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr double endLimitMs = 1500; ///< Far below the deadline of an attempt.
constexpr uint64_t maxAcceptedBytes = 8u << 20; ///< Bytes that the target may get rid of, mostly in socket buffers.
constexpr uint64_t maxSkippedBytes = 256u << 20; ///< The same where libcurl skips bytes by itself, with up to 100 reads in each of 100 steps.

/** Bytes of a target that are no answer. */
struct EndlessAnswer {
    std::string name; ///< Title of the section.
    std::string begin; ///< Sent once.
    std::string repeated; ///< Sent until the connection is closed.
    bool isComplete = false; ///< Whether they begin with a whole answer.
    uint64_t maxBytes = maxAcceptedBytes; ///< Bytes that the target may get rid of.
};

/** Target that answers with bytes without end. */
class EndlessTarget {
public:
    explicit EndlessTarget(const EndlessAnswer& answer)
        : server([this, answer](RawSocket& socket, int) {
            socket.receiveMessage();
            std::string chunk;
            while (chunk.size() < 16384)
                chunk += answer.repeated;
            bool isOpen = socket.send(answer.begin);
            while (isOpen && (isOpen = socket.send(chunk)))
                this->sentBytes += chunk.size();
            this->isClosed = true;
        })
    {
    }

    std::atomic<uint64_t> sentBytes = 0;
    std::atomic<bool> isClosed = false; ///< Whether the connection was closed by the client.
    RawServer server;
};

} // namespace

TEST(EndlessAnswerTest, bytesThatAreNoAnswerEndTheAttempt)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const EndlessAnswer answers[] = {
        { "bytes in place of a status line", "", "x" },
        { "lines in place of a status line", "", "no answer\r\n" },
        { "a status line without end", "HTTP/1.1 200 ", "x" },
        { "a header line without end", head + "Field: ", "x" },
        { "header lines without end", head, "Field: value\r\n" },
        { "interim answers without end", "", "HTTP/1.1 102 Processing\r\n\r\n" },
        { "a chunk size without end", chunked, "0" },
        { "a chunk extension without end", chunked + "5;", "x", false, maxSkippedBytes },
        { "a trailer line without end", chunked + "0\r\nField: ", "x" },
        { "trailer lines without end", chunked + "0\r\n", "Field: value\r\n" },
        { "bytes after a whole answer", answerText("answer"), "x", true },
    };
    for (const EndlessAnswer& answer : answers) {
        section(answer.name, [&] {
            EndlessTarget target(answer);
            UpstreamClient client(1, 16);
            Attempt attempt(client, target.server.address());
            Report report = attempt.wait();
            std::cout << answer.name << ": " << nameOf(upstreamOutcomeNames, report.result.outcome) << " after " << report.result.duration.count() << " ms, " << target.sentBytes << " bytes\n";
            EXPECT_LT(report.result.duration.count(), endLimitMs);
            EXPECT_EQ(report.result.outcome == UpstreamOutcome::Complete, answer.isComplete);
            EXPECT_LT(target.sentBytes, answer.maxBytes);
            client.stop();
            TimePoint end = MillisecondClock::now() + Milliseconds(waitLimitMs);
            while (!target.isClosed && MillisecondClock::now() < end)
                std::this_thread::sleep_for(Milliseconds(1));
            EXPECT_TRUE(target.isClosed);
        });
    }
}
