/** @file HistoryCheckerTest.cpp Guards against a checker that overlooks a violation or reports one that is none. */
#include "testing/HistoryChecker.h"
#include "testing/Story.h"

#include <gtest/gtest.h>

using namespace kingcup::testing;

namespace {

/** Returns a keyed call that was answered by its target. */
CallerView answeredCall(const std::string& callId, const std::string& key)
{
    CallerView view;
    view.callId = callId;
    view.key = key;
    view.told = ToldRun::Ran;
    view.status = 200;
    view.body = BodyState::Whole;
    view.bodyCallId = callId;
    return view;
}

/** Returns the only violation of a history, by name; "none" or "several" otherwise. */
std::string onlyViolation(const History& history)
{
    std::vector<Violation> violations = checkHistory(history);
    if (violations.size() > 1)
        return "several";
    return violations.empty() ? "none" : std::string(violationName(violations.front().kind));
}

/** Returns a history without violations. */
History soundHistory()
{
    History history;
    history.calls = { answeredCall("a-0", "key-a"), answeredCall("b-0", "") };
    history.executions = { { "target-1", "a-0", "key-a", 1, 2 }, { "target-2", "b-0", "", 1, 2 } };
    history.configurations = { { "entry-1", 1, 4 }, { "entry-2", 2, 3 }, { "entry-1", 3, 5 } };
    return history;
}

} // namespace

TEST(HistoryChecker, findsDoubledExecutions)
{
    History history = soundHistory();
    ASSERT_EQ(onlyViolation(history), "none");

    section("a resend that runs again under the same key", [&] {
        history.calls.push_back(answeredCall("a-1", "key-a"));
        history.executions.push_back({ "target-2", "a-1", "key-a", 5, -1 });
        EXPECT_EQ(onlyViolation(history), "doubled");
    });
    section("a call without key that may not be repeated", [&] {
        history = soundHistory();
        history.executions.push_back({ "target-1", "b-0", "", 5, 6 });
        EXPECT_EQ(onlyViolation(history), "doubled");
    });
    section("a call that may be repeated is not reported", [&] {
        history.calls[1].repeatable = true;
        EXPECT_EQ(onlyViolation(history), "none");
    });
}

TEST(HistoryChecker, findsExecutionsOfRefusedCalls)
{
    History history = soundHistory();
    history.calls[1].body = BodyState::None;
    history.calls[1].told = ToldRun::Unknown;
    EXPECT_EQ(onlyViolation(history), "none");
    history.calls[1].told = ToldRun::NotRun;
    EXPECT_EQ(onlyViolation(history), "ran_though_refused");
}

TEST(HistoryChecker, findsWrongAndDamagedAnswers)
{
    History history = soundHistory();

    section("the answer of another call", [&] {
        history.calls[1].bodyCallId = "a-0";
        EXPECT_EQ(onlyViolation(history), "wrong_answer");
    });
    section("a recorded answer of the same key is right", [&] {
        history = soundHistory();
        history.calls.push_back(answeredCall("a-1", "key-a"));
        history.calls.back().bodyCallId = "a-0";
        EXPECT_EQ(onlyViolation(history), "none");
    });
    section("a body that is not whole although it ended cleanly", [&] {
        history = soundHistory();
        history.calls[0].body = BodyState::Damaged;
        EXPECT_EQ(onlyViolation(history), "damaged_answer");
    });
    section("a request body that changed on its way", [&] {
        history = soundHistory();
        history.calls[0].requestWhole = false;
        EXPECT_EQ(onlyViolation(history), "damaged_answer");
    });
    section("a broken connection that the caller noticed is allowed", [&] {
        history = soundHistory();
        history.calls[0].body = BodyState::Broken;
        EXPECT_EQ(onlyViolation(history), "none");
    });
}

TEST(HistoryChecker, findsConfigurationsThatWentBack)
{
    History history = soundHistory();
    history.configurations.push_back({ "entry-2", 4, 2 });
    EXPECT_EQ(onlyViolation(history), "configuration_went_back");
}

TEST(EchoBody, detectsAnyChange)
{
    std::string body = makeEchoBody("call-1", "request", 1000);
    EXPECT_EQ(readEchoBody(body).state, BodyState::Whole);
    EXPECT_EQ(readEchoBody(body).callId, "call-1");
    EXPECT_EQ(readEchoBody(body.substr(0, body.size() - 1)).state, BodyState::Damaged);
    body[body.size() / 2] ^= 1;
    EXPECT_EQ(readEchoBody(body).state, BodyState::Damaged);
    EXPECT_EQ(readEchoBody("{\"code\":1}").state, BodyState::None);
}
