/** @file TargetNoticeTest.cpp Guards against statements of targets that are missed, and against values that are taken for one. */
#include "kingcup/TargetNotice.h"

#include "testing/Story.h"

#include <gtest/gtest.h>

using namespace kingcup;
using kingcup::testing::section;

namespace {

/** Parses the statements of an answer with one header field. */
TargetNotice noticeOf(int status, std::string_view name, std::string_view value)
{
    HttpAnswerHead head;
    head.status = status;
    head.headers.add(name, value);
    return parseTargetNotice(head, { "Kingcup-Leaving", "Kingcup-Limit", "Kingcup-Cold-Ms" });
}

} // namespace

TEST(TargetNoticeTest, parsesDepartures)
{
    section("answers of every status state a departure, except 421, which another instance sends", [] {
        for (int status : { 200, 304, 404, 500, 503 })
            EXPECT_TRUE(noticeOf(status, "kingcup-leaving", "1").isLeaving) << status;
        EXPECT_FALSE(noticeOf(421, "Kingcup-Leaving", "1").isUnavailable());
    });
    section("other values state nothing", [] {
        for (const char* value : { "", "0", "11", "yes", "-1", "1, 1" })
            EXPECT_FALSE(noticeOf(200, "Kingcup-Leaving", value).isLeaving) << value;
        HttpAnswerHead head;
        head.headers.add("", "1");
        EXPECT_FALSE(parseTargetNotice(head, {}).isLeaving) << "the field has no name at this edge";
    });
}

TEST(TargetNoticeTest, parsesPauses)
{
    section("a 503 may state a pause in seconds, with fractions", [] {
        EXPECT_EQ(noticeOf(503, "Retry-After", "2").retryAfter, Milliseconds(2000));
        EXPECT_EQ(noticeOf(503, "Retry-After", "0.25").retryAfter, Milliseconds(250));
    });
    section("zero, negative, infinite and unreadable values, dates and other statuses state none", [] {
        for (const char* value : { "0", "0.0", "-3", "nan", "inf", "1e999", "soon", "", "Fri, 04 Dec 2026 05:00:00 GMT" })
            EXPECT_FALSE(noticeOf(503, "Retry-After", value).isUnavailable()) << value;
        EXPECT_FALSE(noticeOf(429, "Retry-After", "2").isUnavailable());
    });
}

TEST(TargetNoticeTest, parsesLimits)
{
    section("answers of every status may name a limit as a decimal number, except 421, which another instance sends", [] {
        for (int status : { 200, 404, 500, 503 })
            EXPECT_EQ(noticeOf(status, "kingcup-limit", "2.3").requestsPerSecond, 2.3) << status;
        EXPECT_EQ(noticeOf(200, "Kingcup-Limit", "0").requestsPerSecond, 0.0);
        EXPECT_EQ(noticeOf(421, "Kingcup-Limit", "2").requestsPerSecond, std::nullopt);
    });
    section("a target at its limit is still available", [] { EXPECT_FALSE(noticeOf(200, "Kingcup-Limit", "2").isUnavailable()); });
    section("an answer without the field ends the limit, but not one with an unreadable value or of another instance", [] {
        EXPECT_TRUE(noticeOf(200, "Kingcup-Load", "inflight=1").isWithoutLimit);
        EXPECT_FALSE(noticeOf(421, "Kingcup-Load", "inflight=1").isWithoutLimit);
        for (const char* value : { "", "-1", "nan", "inf", "two", "2, 3" }) {
            EXPECT_EQ(noticeOf(200, "Kingcup-Limit", value).requestsPerSecond, std::nullopt) << value;
            EXPECT_FALSE(noticeOf(200, "Kingcup-Limit", value).isWithoutLimit) << value;
        }
    });
}

// An answer without the field says nothing about the cold state, so that other answers do not end it.
TEST(TargetNoticeTest, parsesColdTimes)
{
    EXPECT_EQ(noticeOf(200, "kingcup-cold-ms", "2500").coldLeft, Milliseconds(2500));
    EXPECT_EQ(noticeOf(503, "Kingcup-Cold-Ms", "0").coldLeft, Milliseconds(0));
    EXPECT_EQ(noticeOf(200, "Kingcup-Load", "inflight=1").coldLeft, std::nullopt);
    EXPECT_EQ(noticeOf(421, "Kingcup-Cold-Ms", "2500").coldLeft, std::nullopt) << "another instance answers";
    for (const char* value : { "", "-1", "nan", "inf", "soon" })
        EXPECT_EQ(noticeOf(200, "Kingcup-Cold-Ms", value).coldLeft, std::nullopt) << value;
}
