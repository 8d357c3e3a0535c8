/**
 * @file ZoneTableTest.cpp Guards against orders for availability zones that are lost by a snapshot, a repetition or an entry VM that was behind,
 * and against targets of a zone out of use that are still passed on.
 */
#include "ControlCommands.h"

#include "../src/ControlDecision.h"
#include "../src/ControlSnapshot.h"
#include "kingcup/EntryConfiguration.h"
#include "kingcup/Router.h"
#include "kingcup/ZonesOutOfUse.h"
#include "testing/Story.h"

#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

wire::Command zoneCommand(const std::string& zone, bool isOutOfUse, uint64_t logTimeMs = 1000)
{
    wire::Command command;
    command.set_log_time_ms(logTimeMs);
    command.mutable_change_zone()->set_availability_zone(zone);
    command.mutable_change_zone()->set_out_of_use(isOutOfUse);
    return command;
}

/** Returns the zones of changes as text, such as "a out, b in, ". */
std::string zonesOf(const wire::ConfigurationChanges& changes)
{
    std::string text;
    for (const wire::ZoneState& zone : changes.zones())
        text += zone.availability_zone() + (zone.out_of_use() ? " out, " : " in, ");
    return text;
}

/** Merges the changes after the index that an entry VM holds, or all. Returns its zones out of use. */
std::set<std::string> mergeInto(EntryConfiguration& entry, const ControlStateMachine& machine, bool full = false)
{
    wire::ConfigurationPush push;
    *push.mutable_changes() = machine.changesSince(full ? 0 : entry.snapshot()->index);
    entry.receivePush(push, timeAt(1000));
    return entry.snapshot()->zonesOutOfUse;
}

using Zones = std::set<std::string>;

} // namespace

TEST(ZoneTableTest, commands)
{
    ControlStateMachine machine;
    EXPECT_EQ(codeOf(machine.apply(1, zoneCommand("a", true, 5000))), ResultCode::Ok);
    section("a repeated command is accepted and changes neither the state nor its time", [&] {
        wire::CommandResult repeated = machine.apply(2, zoneCommand("a", true, 9000));
        EXPECT_EQ(codeOf(repeated), ResultCode::Ok);
        EXPECT_EQ(repeated.index(), 1u);
        EXPECT_EQ(machine.configurationIndex(), 1u);
        EXPECT_EQ(machine.zonesOutOfUse(), (ZonesOutOfUse { { "a", 5000 } }));
        EXPECT_EQ(codeOf(machine.apply(3, zoneCommand("never", false))), ResultCode::Ok);
        EXPECT_EQ(machine.configurationIndex(), 1u);
    });
    section("a name that is missing or too long is refused", [&] {
        EXPECT_EQ(codeOf(machine.apply(4, zoneCommand("", true))), ResultCode::CommandMalformed);
        EXPECT_EQ(codeOf(machine.apply(5, zoneCommand(std::string(maxNameBytes + 1, 'z'), true))), ResultCode::CommandMalformed);
        EXPECT_EQ(codeOf(machine.check(zoneCommand(std::string(maxNameBytes, 'z'), true))), ResultCode::Ok);
    });
    section("restoring ends it", [&] {
        EXPECT_EQ(codeOf(machine.apply(6, zoneCommand("a", false))), ResultCode::Ok);
        EXPECT_TRUE(machine.zonesOutOfUse().empty());
    });
}

TEST(ZoneTableTest, changesForEntryVms)
{
    ControlStateMachine machine;
    EntryConfiguration entry("vm1", 9, "espoo", Milliseconds(2500));
    machine.apply(1, zoneCommand("a", true));
    machine.apply(2, zoneCommand("b", true));
    EXPECT_EQ(mergeInto(entry, machine), (Zones { "a", "b" }));
    machine.apply(3, zoneCommand("a", false));
    section("incremental changes hold restored zones, full ones only those out of use", [&] {
        EXPECT_EQ(zonesOf(machine.changesSince(2)), "a in, ");
        EXPECT_EQ(zonesOf(machine.changesSince(1)), "b out, a in, ");
        EXPECT_EQ(zonesOf(machine.changesSince(0)), "b out, ");
        EXPECT_EQ(mergeInto(entry, machine), Zones { "b" });
    });
    section("an entry VM that missed a restored zone gets a full copy once the tombstone has expired", [&] {
        EntryConfiguration behind("vm2", 9, "espoo", Milliseconds(2500));
        wire::ConfigurationPush push;
        push.mutable_changes()->set_to_index(2);
        push.mutable_changes()->add_zones()->set_availability_zone("a");
        push.mutable_changes()->mutable_zones(0)->set_out_of_use(true);
        behind.receivePush(push, timeAt(1000));
        EXPECT_EQ(behind.snapshot()->zonesOutOfUse, Zones { "a" });
        machine.apply(4, expireCommand(1000 + tombstoneRetentionMs));
        EXPECT_TRUE(machine.changesSince(2).full());
        EXPECT_FALSE(machine.changesSince(3).full());
        EXPECT_EQ(mergeInto(behind, machine), Zones { "b" });
    });
    section("the expiry of tombstones does not restore a zone", [&] { EXPECT_EQ(machine.zonesOutOfUse().size(), 1u); });
}

TEST(ZoneTableTest, snapshots)
{
    ControlStateMachine machine;
    machine.apply(1, targetCommand("10.0.0.1:80", 2, wire::TARGET_SERVING));
    machine.apply(2, zoneCommand("a", true, 5000));
    machine.apply(3, zoneCommand("b", true));
    machine.apply(4, zoneCommand("b", false));
    std::string saved = machine.save();
    section("zones out of use and tombstones are restored", [&] {
        ControlStateMachine other;
        ASSERT_EQ(other.load(saved), ResultCode::Ok);
        EXPECT_EQ(other.zonesOutOfUse(), (ZonesOutOfUse { { "a", 5000 } }));
        EXPECT_EQ(other.stateDigest(), machine.stateDigest());
        EXPECT_EQ(zonesOf(other.changesSince(2)), "b in, ");
        EXPECT_EQ(other.apply(5, zoneCommand("a", true)).index(), 2u);
    });
    section("snapshots of all older versions load without zones", [&] {
        ControlTables tables;
        ASSERT_EQ(loadTables(saved, tables), ResultCode::Ok);
        for (uint32_t version = 1; version < snapshotVersion; ++version) {
            ControlStateMachine older;
            ASSERT_EQ(older.load(saveTables(tables, version)), ResultCode::Ok) << version;
            EXPECT_TRUE(older.zonesOutOfUse().empty());
            EXPECT_EQ(older.targets().size(), 1u);
        }
    });
}

TEST(ZoneTableTest, targetsInUse)
{
    ControlStateMachine machine;
    EntryConfiguration entry("vm1", 9, "espoo", Milliseconds(2500));
    constexpr int targets = 4;
    for (int number = 0; number < targets; ++number) {
        wire::Command command = targetCommand("10.0.0." + std::to_string(number) + ":80", 2, wire::TARGET_SERVING);
        command.mutable_change_target()->mutable_target()->set_availability_zone(number % 2 ? "odd" : "even");
        machine.apply(machine.appliedIndex() + 1, command);
    }
    mergeInto(entry, machine);
    Service service;
    service.name = "ledger";
    Router router(RoutingPolicy::Adaptive, "entry-1", "odd", RandomSource(testSeed(5)));
    auto applyConfiguration = [&] { router.update(service, targetsInUse(*entry.snapshot(), "ledger"), timeAt(0)); };
    applyConfiguration();
    std::vector<Pick> picks;
    for (int number = 0; number < targets; ++number) {
        std::vector<std::string> excluded;
        excluded.reserve(picks.size());
        for (const Pick& pick : picks)
            excluded.push_back(pick.address);
        picks.push_back(*router.pick(excluded, timeAt(1)));
    }
    machine.apply(machine.appliedIndex() + 1, zoneCommand("odd", true));
    mergeInto(entry, machine);
    section("targets of other zones remain, and the zone of the VM itself makes no difference", [&] {
        EXPECT_EQ(addressesInUse(*entry.snapshot()), (std::vector<std::string> { "10.0.0.0:80", "10.0.0.2:80" }));
        EXPECT_FALSE(hasOnlyTargetsOutOfUse(*entry.snapshot(), "ledger"));
    });
    section("picks of targets that went out of use are recognised before they are sent", [&] {
        applyConfiguration();
        for (const Pick& pick : picks) {
            bool isOdd = pick.address == "10.0.0.1:80" || pick.address == "10.0.0.3:80";
            EXPECT_EQ(router.isInUse(pick), !isOdd) << pick.address;
            router.abandon(pick, timeAt(2));
        }
        EXPECT_EQ(router.outstanding(), 0u);
    });
    section("without a target in another zone none is left", [&] {
        machine.apply(machine.appliedIndex() + 1, zoneCommand("even", true));
        mergeInto(entry, machine);
        applyConfiguration();
        EXPECT_TRUE(hasOnlyTargetsOutOfUse(*entry.snapshot(), "ledger"));
        EXPECT_FALSE(hasOnlyTargetsOutOfUse(*entry.snapshot(), "unknown"));
        EXPECT_FALSE(router.pick({}, timeAt(3)).has_value());
    });
    section("restored targets are used again", [&] {
        machine.apply(machine.appliedIndex() + 1, zoneCommand("odd", false));
        mergeInto(entry, machine);
        applyConfiguration();
        EXPECT_FALSE(hasOnlyTargetsOutOfUse(*entry.snapshot(), "ledger"));
        EXPECT_TRUE(router.pick({}, timeAt(4)).has_value());
    });
}
