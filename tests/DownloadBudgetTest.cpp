/**
 * @file DownloadBudgetTest.cpp Guards against resumed downloads that take nothing from the retry budget, so that a service whose targets break off their answers gets more
 * requests than the budget allows, or more than the largest number of attempts of the kind; and against a silent target whose download is cancelled although it may not be resumed.
 */
#include "AnswerPath.h"

#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

/** Returns a target's behaviour that sends a part of each download, from the start of the requested range on, and closes the connection. */
Answer breakOff(const std::string& body)
{
    constexpr size_t partBytes = 100000;
    return [&body](RawSocket& socket, const std::string& request, int number) {
        std::string answer = number == 1 ? downloadHead(body.size(), "ETag: \"v1\"\r\n") + body : rest(body, rangeStart(request), "\"v1\"");
        socket.send(answer.substr(0, partBytes));
        return false;
    };
}

} // namespace

TEST(DownloadBudget, resumesNoDownloadBeyondTheRetryBudget)
{
    const std::string body = downloadBody();
    RawService cut("cut", breakOff(body));
    RawService silent("silent", [&body](RawSocket& socket, const std::string&, int) {
        sendPart(socket, body, cutAt);
        waitUntil(Milliseconds(4000), [] { return false; });
        return socket.send(body.substr(cutAt));
    });
    DeploymentOptions options = pathOptions(33);
    options.settings = { { "retryBudget", { { "share", 0 }, { "slack", 0 }, { "windowSeconds", 1 } } } };
    AnswerPath path(options);
    ASSERT_EQ(path.start({ &cut, &silent }), "");
    section("a download that breaks off is not resumed without a budget", [&] {
        HttpMessage answer;
        EXPECT_EQ(path.open(read("cut")).readAnswer(answer), HttpReadResult::Broken);
        EXPECT_EQ(cut.executions(), 1u);
    });
    section("a target that is silent for some seconds sends the rest", [&] {
        HttpMessage answer;
        EXPECT_EQ(path.open(read("silent")).readAnswer(answer), HttpReadResult::Complete);
        EXPECT_EQ(checksumOf(answer.body), checksumOf(body));
        EXPECT_EQ(silent.executions(), 1u);
    });
}

TEST(DownloadBudget, resumesNoDownloadBeyondTheAttemptsOfItsKind)
{
    const std::string body = downloadBody();
    RawService single("single", breakOff(body));
    RawService cut("cut", breakOff(body));
    AnswerPath path(pathOptions(34));
    ASSERT_EQ(path.start({ &single, &cut }), "");
    HttpMessage answer;
    section("a kind with a single attempt is not resumed", [&] {
        EXPECT_EQ(path.open(read("single")).readAnswer(answer), HttpReadResult::Broken);
        EXPECT_EQ(single.executions(), 1u);
    });
    section("others are resumed on the second target", [&] {
        EXPECT_EQ(path.open(read("cut")).readAnswer(answer), HttpReadResult::Broken);
        EXPECT_EQ(cut.executions(), 2u);
    });
}
