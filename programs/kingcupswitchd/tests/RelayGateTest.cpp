/** @file RelayGateTest.cpp Guards against a VM that relays connections for strangers, to arbitrary addresses, or after a pause with what it knew before. */
#include "RelayGate.h"

#include "testing/Story.h"

#include <gtest/gtest.h>
#include <thread>

using namespace kingcup;
using kingcup::testing::section;

namespace {

constexpr Milliseconds longDelay { 300 }; ///< Longer than a tick may be late.

Settings settingsOf(const std::string& vm)
{
    Settings settings;
    settings.vm = vm;
    settings.entry = true;
    settings.relayListener = "127.0.0.1:7201";
    return settings;
}

} // namespace

TEST(RelayGateTest, relaysOnlyToTargetsForThoseWhoKnowTheToken)
{
    RelayGate gate(settingsOf("one"));
    gate.setTargets({ "10.0.0.2:80", "10.0.0.1:80" });
    section("nothing is offered or relayed until the VM serves", [&] {
        EXPECT_FALSE(gate.offer());
    });
    gate.setServing(true);
    ASSERT_TRUE(gate.offer());
    std::string token = relayTokenText(gate.offer()->token());
    section("the token of another process opens nothing", [&] {
        RelayGate other(settingsOf("one"));
        other.setServing(true);
        EXPECT_EQ(gate.decide(relayTokenText(other.offer()->token()), "10.0.0.1:80"), RelayDecision::WrongToken);
        EXPECT_EQ(gate.decide("", "10.0.0.1:80"), RelayDecision::WrongToken);
    });
    section("targets are reached, other addresses are not", [&] {
        EXPECT_EQ(gate.decide(token, "10.0.0.1:80"), RelayDecision::Accept);
        EXPECT_EQ(gate.decide(token, "10.0.0.2:80"), RelayDecision::Accept);
        EXPECT_EQ(gate.decide(token, "10.0.0.3:80"), RelayDecision::UnknownTarget);
    });
    section("a target that has left is reached no more", [&] {
        gate.setTargets({ "10.0.0.2:80" });
        EXPECT_EQ(gate.decide(token, "10.0.0.1:80"), RelayDecision::UnknownTarget);
    });
    section("a VM that is partitioned or stops refuses", [&] {
        gate.setServing(false);
        EXPECT_EQ(gate.decide(token, "10.0.0.2:80"), RelayDecision::NotServing);
        EXPECT_FALSE(gate.offer());
    });
}

TEST(RelayGateTest, refusesAfterAPauseOfTheProcess)
{
    RelayGate gate(settingsOf("one"));
    gate.setTargets({ "10.0.0.1:80" });
    gate.setServing(true);
    gate.recordTick(MillisecondClock::now());
    std::string token = relayTokenText(gate.offer()->token());
    ASSERT_EQ(gate.decide(token, "10.0.0.1:80"), RelayDecision::Accept);
    std::this_thread::sleep_for(longDelay);
    section("before its first tick after the pause", [&] {
        EXPECT_EQ(gate.decide(token, "10.0.0.1:80"), RelayDecision::NotServing);
    });
    section("and for a time after it", [&] {
        gate.recordTick(MillisecondClock::now());
        EXPECT_EQ(gate.decide(token, "10.0.0.1:80"), RelayDecision::NotServing);
        EXPECT_FALSE(gate.offer());
    });
    section("a VM without a relay listener offers nothing", [] {
        Settings settings = settingsOf("two");
        settings.relayListener.clear();
        RelayGate closed(settings);
        closed.setServing(true);
        EXPECT_FALSE(closed.offer());
    });
}
