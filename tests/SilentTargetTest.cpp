/**
 * @file SilentTargetTest.cpp Guards against a download that is broken off because its target is silent for some seconds, before another target has taken it over: the silent
 * one would have sent the rest, and the other one refuses.
 */
#include "AnswerPath.h"

#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

TEST(SilentTarget, isNotBrokenOffWhileNoOtherTargetGoesOn)
{
    const std::string body = downloadBody();
    auto silentFor = [&body](Milliseconds time) {
        return [&body, time](RawSocket& socket, const std::string&, int number) {
            if (number > 1)
                return socket.send(overloaded);
            sendPart(socket, body, cutAt);
            waitUntil(time, [] { return false; });
            return socket.send(body.substr(cutAt));
        };
    };
    RawService brief("brief", silentFor(Milliseconds(1000)));
    RawService longer("longer", silentFor(Milliseconds(5000)));
    AnswerPath path(pathOptions(32));
    ASSERT_EQ(path.start({ &brief, &longer }), "");
    for (RawService* service : { &brief, &longer }) {
        section(service->name, [&] {
            HttpMessage answer;
            EXPECT_EQ(path.open(read(service->name)).readAnswer(answer), HttpReadResult::Complete) << answer.body.size();
            EXPECT_EQ(answer.body.size(), body.size());
        });
    }
}
