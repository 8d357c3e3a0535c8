/** @file RelaySelectorTest.cpp Guards against a VM that keeps to a relay which is lost, partitioned itself or stopping, and against one that loads control VMs without need. */
#include "kingcup/RelaySelector.h"

#include "testing/Story.h"

#include <gtest/gtest.h>
#include <set>

using namespace kingcup;
using kingcup::testing::section;

namespace {

wire::RelayOffer offerOf(const std::string& vm, bool isControl = false)
{
    wire::RelayOffer offer;
    offer.set_vm(vm);
    offer.set_address(vm + ":7201");
    offer.set_token("token of " + vm);
    offer.set_control(isControl);
    return offer;
}

/** Returns the relays chosen for 100 targets. */
std::set<std::string> chosenRelays(const RelaySelector& selector, double nowMs)
{
    std::set<std::string> chosen;
    for (int target = 0; target < 100; ++target) {
        if (const wire::RelayOffer* relay = selector.select("10.0.0." + std::to_string(target) + ":80", timeAt(nowMs)))
            chosen.insert(relay->vm());
    }
    return chosen;
}

} // namespace

TEST(RelaySelectorTest, leavesOutRelaysThatFail)
{
    RelaySelector selector;
    EXPECT_EQ(selector.select("10.0.0.1:80", timeAt(0)), nullptr);
    selector.setRelays({ offerOf("one"), offerOf("two"), offerOf("control", true) });
    section("targets are spread over the entry VMs, and one target always goes the same way", [&] {
        EXPECT_EQ(chosenRelays(selector, 0), (std::set<std::string> { "one", "two" }));
        EXPECT_EQ(selector.select("10.0.0.1:80", timeAt(0)), selector.select("10.0.0.1:80", timeAt(5000)));
    });
    section("a relay that refuses is left out for a second", [&] {
        selector.recordResult("one:7201", RelayResult::Refused, timeAt(0));
        EXPECT_EQ(chosenRelays(selector, 999), std::set<std::string> { "two" });
        EXPECT_EQ(chosenRelays(selector, 1000).size(), 2u);
    });
    section("one silence may be due to the target, two in a row are not", [&] {
        selector.recordResult("one:7201", RelayResult::Unreachable, timeAt(2000));
        EXPECT_EQ(chosenRelays(selector, 2000).size(), 2u);
        selector.recordResult("one:7201", RelayResult::Connected, timeAt(2000));
        selector.recordResult("one:7201", RelayResult::Unreachable, timeAt(2000));
        EXPECT_EQ(chosenRelays(selector, 2000).size(), 2u);
        selector.recordResult("one:7201", RelayResult::Unreachable, timeAt(2000));
        EXPECT_EQ(chosenRelays(selector, 2000), std::set<std::string> { "two" });
    });
    section("control VMs relay when no entry VM does", [&] {
        selector.recordResult("two:7201", RelayResult::Refused, timeAt(2000));
        EXPECT_EQ(chosenRelays(selector, 2001), std::set<std::string> { "control" });
    });
    section("a new list keeps what is known of relays that stay; a restarted one starts anew", [&] {
        wire::RelayOffer restarted = offerOf("two");
        restarted.set_token("another");
        selector.setRelays({ offerOf("one"), restarted });
        EXPECT_EQ(chosenRelays(selector, 2002), std::set<std::string> { "two" });
    });
}
