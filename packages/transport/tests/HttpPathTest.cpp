/** @file HttpPathTest.cpp Guards the whole path: listener, client and a target, joined by a minimal forwarder. */
#include "PassThrough.h"
#include "RawSocket.h"

#include "testing/Story.h"

#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

TEST(HttpPathTest, forwardsRequestsAndAnswers)
{
    RawServer target([](RawSocket& socket, int) {
        for (std::string request = socket.takeMessage(); !request.empty(); request = socket.takeMessage())
            socket.send(answerText(request, "X-Answer: yes\r\n"));
    });
    PassThrough path({ .address = "127.0.0.1:0" }, target.address());
    ASSERT_TRUE(path.started);
    RawSocket caller = RawSocket::connectTo(path.listener.port());

    section("a kept-alive connection carries several requests", [&] {
        for (int round = 0; round < 3; ++round) {
            caller.send("GET /a%20b?x=1&y=%2f HTTP/1.1\r\nHost: service\r\nX-Field: \tvalue \r\n\r\n");
            std::string answer = caller.takeMessage();
            EXPECT_NE(answer.find("200 OK"), std::string::npos) << answer;
            EXPECT_NE(answer.find("X-Answer: yes"), std::string::npos) << answer;
            EXPECT_NE(answer.find("GET /a%20b?x=1&y=%2f HTTP/1.1"), std::string::npos) << answer;
            EXPECT_NE(answer.find("X-Field: value\r\n"), std::string::npos) << answer;
            EXPECT_EQ(answer.find("User-Agent"), std::string::npos) << answer;
        }
    });
    section("a body reaches the target", [&] {
        caller.send("POST /post HTTP/1.1\r\nHost: service\r\nContent-Length: 5\r\n\r\nhello");
        std::string answer = caller.takeMessage();
        EXPECT_NE(answer.find("\r\n\r\nhello"), std::string::npos) << answer;
    });
    caller.close();
    EXPECT_TRUE(path.listener.waitIdle(Milliseconds(waitLimitMs)));
}
