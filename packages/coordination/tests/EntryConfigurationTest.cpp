/** @file EntryConfigurationTest.cpp Guards against entry VMs that serve an outdated configuration, or serve under an expired lease. */
#include "ControlCommands.h"

#include "kingcup/EntryConfiguration.h"
#include "testing/Story.h"

#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

/** Returns the document of a service with one kind. */
std::string document(const std::string& name, int priority = 5)
{
    return R"({"name":")" + name + R"(","pathPrefix":"/","kinds":[{"name":"k","method":"GET","path":"/k","priority":)" + std::to_string(priority) + "}]}";
}

/** Returns a successful session answer with the changes. */
wire::SessionAnswer answerWith(wire::ConfigurationChanges changes, uint64_t leaseMs = 2000)
{
    wire::SessionAnswer answer;
    answer.set_lease_ms(leaseMs);
    answer.set_live_entry_vms(3);
    *answer.mutable_changes() = std::move(changes);
    return answer;
}

/** Returns a push with the changes. */
wire::ConfigurationPush pushOf(wire::ConfigurationChanges changes)
{
    wire::ConfigurationPush push;
    *push.mutable_changes() = std::move(changes);
    return push;
}

} // namespace

TEST(EntryConfigurationTest, extendsLeases)
{
    ControlStateMachine machine;
    machine.apply(1, manifestCommand(machine, 1, { { "a", document("a") } }));
    EntryConfiguration entry("vm1", 9, "espoo", Milliseconds(2500));
    section("a lease starts when its request is sent", [&] {
        EXPECT_FALSE(entry.isLeaseValid(timeAt(100)));
        EXPECT_EQ(entry.createSessionRequest(1, timeAt(100)).held_index(), 0u);
        EXPECT_TRUE(entry.receiveAnswer(1, answerWith(machine.changesSince(0)), timeAt(900)));
        EXPECT_EQ(entry.leaseEnd(), timeAt(2100));
        EXPECT_EQ(entry.liveEntryVms(timeAt(2099)), 3u);
        EXPECT_EQ(entry.liveEntryVms(timeAt(2100)), 0u);
    });
    section("unsolicited, late, repeated and refused answers do not extend the lease", [&] {
        entry.receiveAnswer(77, answerWith(machine.changesSince(1)), timeAt(1000));
        entry.receiveAnswer(1, answerWith(machine.changesSince(1)), timeAt(1000));
        entry.createSessionRequest(2, timeAt(1100));
        wire::SessionAnswer refused = answerWith(machine.changesSince(1));
        refused.set_result_code(static_cast<int>(ResultCode::NotLeader));
        entry.receiveAnswer(2, refused, timeAt(1200));
        EXPECT_EQ(entry.leaseEnd(), timeAt(2100));
        entry.receiveAnswer(2, answerWith(machine.changesSince(1)), timeAt(9000));
        EXPECT_FALSE(entry.isLeaseValid(timeAt(9000)));
    });
    section("the configured lease term limits the lease that an answer grants", [&] {
        entry.createSessionRequest(3, timeAt(10000));
        entry.receiveAnswer(3, answerWith(machine.changesSince(1), 1000000), timeAt(10001));
        EXPECT_EQ(entry.leaseEnd(), timeAt(12500));
    });
    section("an answer that is older than the configuration or cannot be merged does not extend the lease", [&] {
        entry.createSessionRequest(4, timeAt(11000));
        wire::ConfigurationChanges behind = machine.changesSince(1);
        behind.set_to_index(0);
        EXPECT_FALSE(entry.receiveAnswer(4, answerWith(behind), timeAt(11001)));
        wire::ConfigurationChanges unreadable = machine.changesSince(1);
        unreadable.set_to_index(2);
        unreadable.add_services()->set_json("{}");
        EXPECT_FALSE(entry.receiveAnswer(4, answerWith(unreadable), timeAt(11001)));
        EXPECT_EQ(entry.leaseEnd(), timeAt(12500));
        EXPECT_EQ(entry.snapshot()->index, 1u);
    });
}

// Guards against a VM that serves an old configuration for good while nothing tells which document it cannot read.
TEST(EntryConfigurationTest, reportsUnreadableDocuments)
{
    ControlStateMachine machine;
    machine.apply(1, manifestCommand(machine, 1, { { "a", document("a") }, { "b", R"({"name":"b","maxConnections":-5000000000})" } }));
    EntryConfiguration entry("vm1", 1, "espoo", Milliseconds(2500));
    std::vector<std::string> reports;
    entry.setUnreadableHook([&](const std::string& name, const DocumentError& error) { reports.push_back(name + error.pointer); });
    section("the document and the place are reported once for each configuration", [&] {
        for (int repetition = 0; repetition < 3; repetition++)
            EXPECT_FALSE(entry.receivePush(pushOf(machine.changesSince(0)), timeAt(0)));
        EXPECT_EQ(reports, (std::vector<std::string> { "b/maxConnections" }));
    });
    section("nothing is reported of a configuration that can be read", [&] {
        machine.apply(2, manifestCommand(machine, 2, { { "a", document("a") }, { "b", document("b") } }));
        EXPECT_TRUE(entry.receivePush(pushOf(machine.changesSince(0)), timeAt(0)));
        EXPECT_EQ(reports.size(), 1u);
    });
}

TEST(EntryConfigurationTest, mergesConfigurationChanges)
{
    ControlStateMachine machine;
    EntryConfiguration entry("vm1", 1, "espoo", Milliseconds(2500));
    machine.apply(1, manifestCommand(machine, 1, { { "a", document("a") }, { "b", document("b") } }));
    machine.apply(2, targetCommand("t2:80", 1, wire::TARGET_SERVING));
    machine.apply(3, targetCommand("t1:80", 1, wire::TARGET_SERVING));
    machine.apply(4, suspicionCommand('s', "t1:80", 1));
    EXPECT_TRUE(entry.receivePush(pushOf(machine.changesSince(0)), timeAt(0)));
    std::shared_ptr<const ConfigurationSnapshot> first = entry.snapshot();
    section("a full copy contains all services, targets and quarantines", [&] {
        EXPECT_EQ(first->services.size(), 2u);
        EXPECT_EQ(first->targets.at("ledger").size(), 2u);
        EXPECT_EQ(first->quarantines.size(), 1u);
    });
    machine.apply(5, manifestCommand(machine, 2, { { "a", document("a", 1) } }));
    machine.apply(6, targetCommand("t2:80", 1, wire::TARGET_GONE));
    section("unchanged target lists are shared with the previous snapshot", [&] {
        EntryConfiguration other("vm2", 1, "espoo", Milliseconds(2500));
        other.receivePush(pushOf(machine.changesSince(0)), timeAt(0));
        std::shared_ptr<const ConfigurationSnapshot> before = other.snapshot();
        ControlStateMachine later;
        ASSERT_EQ(later.load(machine.save()), ResultCode::Ok);
        later.apply(7, suspicionCommand('t', "t1:80", 1));
        EXPECT_TRUE(other.receivePush(pushOf(later.changesSince(6)), timeAt(0)));
        EXPECT_TRUE(other.snapshot()->targets.at("ledger").sharesRecordsWith(before->targets.at("ledger")));
    });
    section("pushes that are older than the configuration or not adjacent to it are ignored", [&] {
        EXPECT_FALSE(entry.receivePush(pushOf(machine.changesSince(5)), timeAt(0)));
        EXPECT_FALSE(entry.receivePush(pushOf(machine.changesSince(99)), timeAt(0)));
        EXPECT_EQ(entry.snapshot()->index, 4u);
    });
    machine.apply(7, clearSuspicionCommand('s'));
    section("changes and removals are merged into a new snapshot", [&] {
        EXPECT_TRUE(entry.receivePush(pushOf(machine.changesSince(3)), timeAt(0)));
        EXPECT_EQ(entry.snapshot()->services.size(), 1u);
        EXPECT_EQ(entry.snapshot()->services.at("a")->kinds[0].priority, 1);
        EXPECT_EQ(entry.snapshot()->targets.at("ledger").begin()->address(), "t1:80");
        EXPECT_TRUE(entry.snapshot()->quarantines.empty());
        EXPECT_EQ(first->services.size(), 2u);
    });
    section("repeated changes and an older full copy are ignored", [&] {
        EXPECT_FALSE(entry.receivePush(pushOf(machine.changesSince(3)), timeAt(0)));
        ControlStateMachine older;
        older.apply(1, manifestCommand(older, 1, { { "a", document("a") } }));
        EXPECT_FALSE(entry.receivePush(pushOf(older.changesSince(0)), timeAt(0)));
        EXPECT_EQ(entry.snapshot()->manifestNumber, 2u);
    });
}

TEST(EntryConfigurationTest, convergesForAnyOrderOfPushes)
{
    uint64_t seed = testSeed(5);
    for (uint64_t run = 0; run < 30; run++) {
        RandomSource random(seed + run);
        ControlStateMachine machine;
        EntryConfiguration entry("vm1", 1, "espoo", Milliseconds(2500));
        std::vector<wire::ConfigurationChanges> sent;
        for (LogIndex index = 1; index <= 150; index++) {
            std::string address = "t" + std::to_string(random.below(6)) + ":80";
            wire::TargetState state = static_cast<wire::TargetState>(random.below(4));
            machine.apply(index, random.below(5) ? targetCommand(address, 1 + index / 20, state, index * 60000) : expireCommand(index * 60000));
            sent.push_back(machine.changesSince(random.below(2) ? entry.snapshot()->index : random.below(index)));
            LogIndex before = entry.snapshot()->index;
            entry.receivePush(pushOf(sent[random.below(sent.size())]), timeAt(0));
            ASSERT_GE(entry.snapshot()->index, before) << "seed " << seed + run;
        }
        entry.receivePush(pushOf(machine.changesSince(entry.snapshot()->index)), timeAt(0));
        wire::ConfigurationChanges expected;
        wire::ConfigurationChanges held;
        for (const wire::TargetRecord& target : machine.targets())
            *expected.add_targets() = target;
        for (const auto& [service, targets] : entry.snapshot()->targets)
            held.mutable_targets()->Add(targets.begin(), targets.end());
        EXPECT_EQ(held.SerializeAsString(), expected.SerializeAsString()) << "seed " << seed + run;
    }
}
