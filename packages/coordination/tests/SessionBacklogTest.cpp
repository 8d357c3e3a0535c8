/**
 * @file SessionBacklogTest.cpp Replays the return of all VMs after a loss of power. Guards against entry VMs that learn of a new leader only by polling, so that their
 * callers wait for the polling interval.
 */
#include "kingcup/SessionBacklog.h"

#include "testing/Story.h"

#include <gtest/gtest.h>
#include <string>

using namespace kingcup;
using kingcup::testing::section;

namespace {

constexpr Milliseconds maxHold { 150 };

} // namespace

TEST(SessionBacklogTest, entryVmsAreAnsweredOnceThereIsALeader)
{
    SessionBacklog backlog(maxHold);
    constexpr int entryVms = 102;
    std::vector<int> answers(entryVms, 0);
    auto hold = [&](int vm, double ms) { return backlog.hold(
                                             "vm-" + std::to_string(vm), [&answers, vm] { answers[vm]++; }, timeAt(ms)); };
    section("each entry VM asks again every 50 ms and gets one answer, at the time of the election", [&] {
        for (double ms = 0; ms < 120; ms += 50) {
            for (int vm = 0; vm < entryVms; vm++)
                EXPECT_TRUE(hold(vm, ms));
            EXPECT_TRUE(backlog.takeExpired(timeAt(ms + 49)).empty());
        }
        EXPECT_EQ(backlog.size(), static_cast<size_t>(entryVms));
        for (const SessionBacklog::Answer& answer : backlog.takeAll())
            answer();
        EXPECT_EQ(answers, std::vector<int>(entryVms, 1));
        EXPECT_EQ(backlog.size(), 0u);
    });
    section("without a leader, a request is answered before the entry VM would ask another control VM", [&] {
        hold(0, 1000);
        hold(1, 1100);
        EXPECT_TRUE(backlog.takeExpired(timeAt(1149)).empty());
        EXPECT_EQ(backlog.takeExpired(timeAt(1150)).size(), 1u);
        EXPECT_EQ(backlog.size(), 1u);
    });
    section("an answer may hold the request again", [&] {
        for (const SessionBacklog::Answer& answer : backlog.takeAll()) {
            answer();
            hold(1, 1200);
        }
        EXPECT_EQ(backlog.size(), 1u);
    });
}

TEST(SessionBacklogTest, isBounded)
{
    SessionBacklog backlog(maxHold);
    int held = 0;
    while (held < 100000 && backlog.hold(
               std::to_string(held), [] {}, timeAt(0)))
        held++;
    EXPECT_EQ(backlog.size(), static_cast<size_t>(held));
    EXPECT_LT(held, 10000);
    EXPECT_TRUE(backlog.hold(
        "0", [] {}, timeAt(1)))
        << "a request that is held may be replaced";
}
