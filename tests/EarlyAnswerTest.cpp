/**
 * @file EarlyAnswerTest.cpp Guards against a target that answers a long body early and gets a part of it as if it were all: what it gets after its answer has to be the rest of the
 * body, or the end of the connection.
 */
#include "AnswerPath.h"
#include "testing/EchoBody.h"

#include <gtest/gtest.h>
#include <sstream>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr size_t bodyBytes = 4u << 20;
constexpr size_t readBeforeAnswer = 700000;
constexpr size_t chunkBytes = 4000;

/** Returns a body in chunks. */
std::string chunked(const std::string& body)
{
    std::ostringstream text;
    for (size_t sent = 0; sent < body.size(); sent += chunkBytes) {
        std::string chunk = body.substr(sent, chunkBytes);
        text << std::hex << chunk.size() << "\r\n"
             << chunk << "\r\n";
    }
    text << "0\r\n\r\n";
    return text.str();
}

/** Reads a chunked body. Returns nothing if the connection ends before the last chunk. @param onBytes Called with the number of bytes after each chunk. */
std::optional<std::string> readChunks(RawSocket& socket, const std::function<void(size_t)>& onBytes)
{
    std::string body;
    for (;;) {
        std::string line = socket.receiveUntil("\r\n");
        if (line.empty())
            return std::nullopt;
        size_t size = std::stoul(line, nullptr, 16);
        std::string chunk = socket.receiveBytes(size + 2);
        if (chunk.size() < size + 2)
            return std::nullopt;
        if (size == 0)
            return body;
        body += chunk.substr(0, size);
        onBytes(body.size());
    }
}

/** A target that answers after a part of the body and reads on. */
struct EarlyTarget {
    EarlyTarget(std::string name, std::string earlyAnswer)
        : answer(std::move(earlyAnswer))
        , service(std::move(name), [this](RawSocket& socket, const std::string&, int) { return this->serve(socket); })
    {
    }

    bool serve(RawSocket& socket)
    {
        bool isAnswered = false;
        std::optional<std::string> body = readChunks(socket, [&](size_t bytes) {
            if (bytes >= readBeforeAnswer && !std::exchange(isAnswered, true))
                socket.send(this->answer);
        });
        this->bodies.update([&](std::vector<std::optional<std::string>>& all) { all.push_back(body); });
        return body.has_value();
    }

    std::string answer; ///< Its answer.
    WaitableValue<std::vector<std::optional<std::string>>> bodies; ///< Bodies that it got; empty for one that was broken off.
    RawService service; ///< The service that it belongs to.
};

std::string answerOf(const std::string& statusLine, size_t bytes)
{
    return "HTTP/1.1 " + statusLine + "\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'a');
}

} // namespace

TEST(EarlyAnswer, isFollowedByTheRestOfTheBodyOrTheEndOfTheConnection)
{
    constexpr size_t streamedBytes = 90000; // More than an entry VM holds.
    constexpr size_t longBytes = 1u << 20; // More than it buffers for a caller.
    constexpr size_t heldBytes = 100;
    EarlyTarget streamed("upload-streamed", answerOf("200 OK", streamedBytes));
    EarlyTarget longAnswer("upload-long", answerOf("200 OK", longBytes));
    EarlyTarget held("upload-held", answerOf("200 OK", heldBytes));
    EarlyTarget refused("upload-refused", answerOf("413 Too Large", streamedBytes));
    AnswerPath path(pathOptions(36));
    ASSERT_EQ(path.start({ &streamed.service, &longAnswer.service, &held.service, &refused.service }), "");
    std::string body;
    while (body.size() < bodyBytes)
        body += std::to_string(body.size()) + ",";
    auto upload = [&](EarlyTarget& target) {
        Socket socket = connectTo(path.address(), callLimit);
        socket.setTimeout(callLimit);
        socket.sendAll("PUT /" + target.service.name + "/x HTTP/1.1\r\nHost: service\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body));
        HttpMessage answer;
        HttpReadResult result = HttpStream(std::move(socket)).readAnswer(answer);
        EXPECT_EQ(result, HttpReadResult::Complete) << answer.body.size();
        EXPECT_TRUE(target.bodies.wait([](const auto& all) { return !all.empty(); }));
        return answer;
    };
    for (EarlyTarget* target : { &streamed, &longAnswer, &held, &refused }) {
        section(target->service.name + ": the caller gets the whole answer, and the target no part of the body as if it were all", [&] {
            HttpMessage answer = upload(*target);
            EXPECT_EQ(answer.status(), target == &refused ? 413 : 200);
            std::optional<std::string> received = target->bodies.get().at(0);
            EXPECT_TRUE(!received || checksumOf(*received) == checksumOf(body)) << received->size() << " of " << body.size() << " bytes";
        });
    }
}
