/** @file RelayDirectoryTest.cpp Guards against relays that are gone, crowded or all in one lost availability zone, and against lists that grow with the fleet. */
#include "kingcup/RelayDirectory.h"

#include "testing/Story.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <set>

using namespace kingcup;
using kingcup::testing::section;

namespace {

constexpr Milliseconds offerLifetime { 1000 };

wire::RelayOffer offerOf(const std::string& vm, const std::string& zone, bool isControl = false)
{
    wire::RelayOffer offer;
    offer.set_vm(vm);
    offer.set_availability_zone(zone);
    offer.set_address(vm + ":7201");
    offer.set_token("token of " + vm);
    offer.set_control(isControl);
    return offer;
}

/** Records the offers of a number of entry VMs in three zones, and of five control VMs. */
void recordFleet(RelayDirectory& directory, int entryVms, TimePoint now)
{
    for (int number = 0; number < entryVms; ++number)
        directory.record(offerOf("entry-" + std::to_string(number), std::string(1, static_cast<char>('a' + number % 3))), now);
    for (int number = 0; number < 5; ++number)
        directory.record(offerOf("control-" + std::to_string(number), "a", true), now);
}

} // namespace

TEST(RelayDirectoryTest, spreadsVmsOverRelays)
{
    RelayDirectory directory(offerLifetime);
    recordFleet(directory, 300, timeAt(0));
    std::map<std::string, int> users;
    for (int number = 0; number < 300; ++number) {
        std::string vm = "entry-" + std::to_string(number);
        const RelaySelection& selection = directory.select(vm, "b", timeAt(1));
        std::set<std::string> zones;
        int controls = 0;
        for (const wire::RelayOffer& relay : selection.relays) {
            EXPECT_NE(relay.vm(), vm);
            zones.insert(relay.availability_zone());
            controls += relay.control() ? 1 : 0;
            users[relay.vm()]++;
        }
        EXPECT_EQ(selection.relays.size(), 11u);
        EXPECT_EQ(controls, 3);
        EXPECT_GT(zones.size(), 1u) << "all relays could be lost with one zone";
    }
    auto busiest = std::max_element(users.begin(), users.end(), [](const auto& a, const auto& b) { return a.first.starts_with("control") || (!b.first.starts_with("control") && a.second < b.second); });
    std::cout << busiest->first << " is a relay of " << busiest->second << " of 300 VMs\n";
    EXPECT_LT(busiest->second, 40);
}

TEST(RelayDirectoryTest, followsTheOffers)
{
    RelayDirectory directory(offerLifetime);
    directory.record(offerOf("one", "a"), timeAt(0));
    directory.record(offerOf("two", "b"), timeAt(0));
    uint64_t version = directory.select("self", "a", timeAt(0)).version;
    section("repeated offers change nothing", [&] {
        directory.record(offerOf("one", "a"), timeAt(500));
        directory.record(offerOf("two", "b"), timeAt(500));
        EXPECT_EQ(directory.select("self", "a", timeAt(500)).version, version);
    });
    section("a VM that restarts has another token", [&] {
        wire::RelayOffer restarted = offerOf("one", "a");
        restarted.set_token("another");
        directory.record(restarted, timeAt(600));
        EXPECT_NE(directory.select("self", "a", timeAt(600)).version, version);
    });
    section("a withdrawn offer, and one that is not repeated, end", [&] {
        directory.remove("two");
        ASSERT_EQ(directory.select("self", "a", timeAt(700)).relays.size(), 1u);
        EXPECT_TRUE(directory.select("self", "a", timeAt(1700)).relays.empty());
    });
    section("nothing is kept for VMs that ask no more, as new names come with replaced VMs", [&] {
        for (int number = 0; number < 1000; ++number)
            directory.select("replaced-" + std::to_string(number), "a", timeAt(1700));
        directory.select("self", "a", timeAt(12000));
        EXPECT_EQ(directory.keptSelections(), 1u);
    });
    section("an empty selection has a version too, so that it replaces an older one", [&] {
        EXPECT_GT(directory.select("self", "a", timeAt(12000)).version, 0u);
    });
}
