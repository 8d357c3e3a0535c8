/** @file CallHeadersTest.cpp Guards against callers that pass for an organisation by a header field of their own, and against API keys that reach a target. */
#include "CallHeaders.h"

#include "testing/Story.h"

#include <gtest/gtest.h>

using namespace kingcup;
using kingcup::testing::section;

namespace {

HttpRequestHead headWith(std::vector<HttpHeader> fields)
{
    HttpRequestHead head;
    head.headers.fields = std::move(fields);
    return head;
}

/** Returns the values of all fields that a target may take for the given one, joined by commas. */
std::string seenByTarget(const HttpHeaders& headers, std::string_view wanted)
{
    std::string values;
    for (const HttpHeader& field : headers.fields) {
        std::string name = field.name;
        std::replace(name.begin(), name.end(), '_', '-');
        if (equalsIgnoreCase(name, wanted))
            values += (values.empty() ? "" : ",") + field.value;
    }
    return values;
}

} // namespace

TEST(CallHeadersTest, onlyThisVmNamesTheOrganisation)
{
    HeaderNames names;
    HttpRequestHead head = headWith({ { "kingcup-organisation", "forged" }, { "Kingcup_Organisation", "forged" }, { "Connection", "Kingcup-Organisation" },
        { "KINGCUP-ORGANISATION", "" }, { "authorization", "Bearer secret" }, { "X-Other", "kept" } });
    auto sent = [&](const CallerIdentity& caller) { return targetHeaders(head, names, Milliseconds(100), 0, "", caller); };
    section("with organisations, the key is removed and the name is that of its holder", [&] {
        EXPECT_EQ(seenByTarget(sent({ true, "north" }), "Kingcup-Organisation"), "north");
        EXPECT_EQ(seenByTarget(sent({ true, "north" }), "Authorization"), "");
        EXPECT_EQ(seenByTarget(sent({ true, "" }), "Kingcup-Organisation"), "");
        EXPECT_EQ(seenByTarget(sent({ true, "" }), "X-Other"), "kept");
    });
    section("without organisations, only the name is removed", [&] {
        EXPECT_EQ(seenByTarget(sent({}), "Kingcup-Organisation"), "");
        EXPECT_EQ(seenByTarget(sent({}), "Authorization"), "Bearer secret");
    });
    section("an edge without the field leaves it alone", [&] {
        names.organisation.clear();
        EXPECT_EQ(seenByTarget(sent({ true, "north" }), "Kingcup-Organisation"), "forged");
    });
}

TEST(CallHeadersTest, lateAnswersOfRequestsAreNotThoseOfProbes)
{
    HeaderNames names;
    HttpAnswerHead answer;
    answer.status = 200;
    answer.headers.add("X-Request", "9c41");
    EXPECT_TRUE(isProbeAnswer(answer, names)) << "an edge without the field cannot tell";
    names.requestId = "x-request";
    EXPECT_FALSE(isProbeAnswer(answer, names));
    EXPECT_TRUE(isProbeAnswer(HttpAnswerHead(), names));
}

TEST(CallHeadersTest, lateCopiesOfRejectionsFindNoConnection)
{
    HeaderNames names;
    HttpAnswerHead rejection;
    rejection.status = 503;
    section("without request ids, a statement that a request was not run ends its connection", [&] {
        EXPECT_FALSE(mayKeepConnection(rejection, names, true));
        EXPECT_TRUE(mayKeepConnection(rejection, names, false));
    });
    section("with request ids, every answer but a success has to name its request", [&] {
        names.requestId = "x-request";
        EXPECT_FALSE(mayKeepConnection(rejection, names, true));
        EXPECT_FALSE(mayKeepConnection(rejection, names, false));
        HttpAnswerHead success;
        success.status = 200;
        EXPECT_TRUE(mayKeepConnection(success, names, false)) << "answers to probes name no request";
        rejection.headers.add("X-Request", "9c41");
        EXPECT_TRUE(mayKeepConnection(rejection, names, true));
    });
}

TEST(CallHeadersTest, readsExactlyOneBearerKey)
{
    auto keyOf = [](std::vector<HttpHeader> fields) { return parseApiKey(headWith(std::move(fields)).headers); };
    ApiKeyHash expected = hashApiKey("k-1");
    EXPECT_EQ(keyOf({ { "Authorization", "Bearer k-1" } }), expected);
    EXPECT_EQ(keyOf({ { "AUTHORIZATION", "bEaReR   k-1" } }), expected);
    for (const char* value : { "", "Bearer", "Bearer ", "k-1", "Basic k-1", "Bearerk-1", " Bearer k-1", "Bearer\tk-1" })
        EXPECT_EQ(keyOf({ { "Authorization", value } }), std::nullopt) << value;
    EXPECT_NE(keyOf({ { "Authorization", "Bearer k-1, Bearer k-1" } }), expected);
    EXPECT_EQ(keyOf({ { "Authorization", "Bearer k-1" }, { "authorization", "Bearer k-1" } }), std::nullopt);
    EXPECT_EQ(keyOf({}), std::nullopt);
}

// Guards against requests whose claim, or whose outcome, control cannot read, so that they time out or stay in doubt: messages between VMs hold valid UTF-8 only.
TEST(CallHeadersTest, textThatMessagesCannotHold)
{
    auto codeOfKey = [](const std::string& key) { return parseCallParameters(headWith({ { "Idempotency-Key", key } }).headers, HeaderNames()).code; };
    EXPECT_EQ(codeOfKey("k-1"), ResultCode::Ok);
    EXPECT_EQ(codeOfKey("\xc3\xa4 \"quoted\""), ResultCode::Ok);
    EXPECT_EQ(codeOfKey("k\xff"), ResultCode::BadRequest);
    EXPECT_EQ(recordedContentType(headWith({ { "Content-Type", "text/plain" } }).headers), "text/plain");
    EXPECT_EQ(recordedContentType(headWith({ { "Content-Type", "text/\xff" } }).headers), "");
}
