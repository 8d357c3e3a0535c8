/** @file KeysTest.cpp Guards against API keys that are accepted after they were withdrawn: by a table that is not current, or by an entry VM that has lost control, was paused or was restarted. */
#include "ControlCommands.h"

#include "kingcup/EntryConfiguration.h"
#include "kingcup/KeyLease.h"
#include "kingcup/KeyTable.h"
#include "testing/Story.h"

#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr Milliseconds bound { 5000 };
constexpr double boundMs = 5000;

/** Returns the document of an organisation with one key. */
std::string document(const std::string& name, const std::string& key)
{
    return R"({"name":")" + name + R"(","keyHashes":[")" + formatKeyHash(hashApiKey(key)) + R"("]})";
}

wire::SessionAnswer answerWith(wire::ConfigurationChanges changes)
{
    wire::SessionAnswer answer;
    answer.set_lease_ms(1000);
    *answer.mutable_changes() = std::move(changes);
    return answer;
}

/** Entry VM with its configuration and key lease. */
struct EntryVm {
    EntryConfiguration configuration { "vm1", 1, "a", Milliseconds(1000) };
    KeyLease lease { bound };

    /** Sends a session request that control answers with its present state, which arrives at a later time. */
    void renew(uint64_t id, const ControlStateMachine& control, TimePoint sent, TimePoint arrived)
    {
        LogIndex held = this->configuration.createSessionRequest(id, sent).held_index();
        this->configuration.receiveAnswer(id, answerWith(control.changesSince(held)), arrived);
        this->lease.renew(this->configuration.lastConfirmedRequest());
    }

    KeyRefusal check(const std::string& key, TimePoint now) const
    {
        KeyTable table(this->configuration.snapshot()->organisations);
        return checkApiKey(table, hashApiKey(key), false, this->lease.isValid(now)).refusal;
    }
};

} // namespace

TEST(KeyTableTest, findsHoldersOfKeys)
{
    OrganisationMap organisations;
    constexpr int count = 3000;
    for (int i = 0; i < count; i++) {
        std::string name = "o" + std::to_string(i);
        organisations[name] = std::make_shared<const Organisation>(Organisation { name, { formatKeyHash(hashApiKey(name + "a")), formatKeyHash(hashApiKey(name + "b")) }, {}, 0, 0 });
    }
    KeyTable table(organisations);
    for (int i = 0; i < count; i++) {
        std::string name = "o" + std::to_string(i);
        EXPECT_EQ(table.find(hashApiKey(name + "b")), organisations[name]);
    }
    EXPECT_EQ(table.find(hashApiKey("o1")), nullptr);
    section("the prefix of a hash is not enough", [&] {
        ApiKeyHash similar = hashApiKey("o1a");
        similar.back() ^= 1;
        EXPECT_EQ(table.find(similar), nullptr);
    });
    section("a changed organisation is noticed", [&] {
        EXPECT_TRUE(table.isBuiltFrom(organisations));
        organisations["o1"] = std::make_shared<const Organisation>(*organisations["o1"]);
        EXPECT_FALSE(table.isBuiltFrom(organisations));
    });
}

TEST(KeyTableTest, decidesWhichRequestsMayBeSent)
{
    OrganisationMap organisations { { "organisation/x", std::make_shared<const Organisation>(Organisation { "x", { formatKeyHash(hashApiKey("k")) }, {}, 0, 0 }) } };
    KeyTable none;
    KeyTable keys(organisations);
    ApiKeyHash known = hashApiKey("k");
    ApiKeyHash unknown = hashApiKey("l");
    section("without organisations no request needs a key", [&] {
        EXPECT_EQ(checkApiKey(none, std::nullopt, false, false).refusal, KeyRefusal::None);
        EXPECT_EQ(checkApiKey(none, known, false, true).organisation, nullptr);
    });
    section("with organisations, a request needs a known key and a lease", [&] {
        EXPECT_EQ(checkApiKey(keys, known, false, true).organisation->name, "x");
        EXPECT_EQ(checkApiKey(keys, unknown, false, true).refusal, KeyRefusal::Unknown);
        EXPECT_EQ(checkApiKey(keys, std::nullopt, false, true).refusal, KeyRefusal::Unknown);
        EXPECT_EQ(checkApiKey(keys, known, false, false).refusal, KeyRefusal::Lease);
        EXPECT_EQ(checkApiKey(keys, unknown, false, false).refusal, KeyRefusal::Lease);
    });
    section("on a public route it needs neither, and only a key that can be checked names its holder", [&] {
        EXPECT_EQ(checkApiKey(keys, known, true, true).organisation->name, "x");
        for (const KeyDecision& decision : { checkApiKey(keys, known, true, false), checkApiKey(keys, unknown, true, true), checkApiKey(keys, std::nullopt, true, false) }) {
            EXPECT_EQ(decision.refusal, KeyRefusal::None);
            EXPECT_EQ(decision.organisation, nullptr);
        }
    });
    section("organisations without keys let no request pass", [] {
        KeyTable empty({ { "organisation/y", std::make_shared<const Organisation>(Organisation { "y", {}, {}, 0, 0 }) } });
        EXPECT_EQ(checkApiKey(empty, std::nullopt, false, true).refusal, KeyRefusal::Unknown);
    });
}

TEST(KeyLeaseTest, endsWithdrawnKeysOnEveryVmWithinTheBound)
{
    ControlStateMachine control;
    control.apply(1, manifestCommand(control, 1, { { "organisation/x", document("x", "old") } }));
    EntryVm vm;
    EntryVm silent;
    vm.renew(1, control, timeAt(1000), timeAt(1100));
    silent.renew(1, control, timeAt(1000), timeAt(1100));
    section("a VM has no lease before the first confirmed request, and accepts the key after it", [&] {
        EXPECT_FALSE(EntryVm().lease.isValid(timeAt(0)));
        EXPECT_EQ(vm.check("old", timeAt(1200)), KeyRefusal::None);
    });
    wire::ConfigurationChanges before = control.changesSince(0);
    constexpr double withdrawnMs = 1500; ///< Acknowledgement of the manifest that withdraws the key.
    control.apply(2, manifestCommand(control, 2, { { "organisation/x", document("x", "new") } }));
    section("a VM without contact refuses the key well before the bound", [&] {
        EXPECT_EQ(silent.check("old", timeAt(withdrawnMs + 100)), KeyRefusal::None);
        EXPECT_EQ(silent.lease.end(), timeAt(1000 + 0.6 * boundMs));
        EXPECT_EQ(silent.check("old", timeAt(withdrawnMs + boundMs)), KeyRefusal::Lease);
    });
    section("an answer from before the withdrawal that arrives after a pause does not renew the lease beyond it", [&] {
        EntryVm paused;
        paused.configuration.createSessionRequest(1, timeAt(1400));
        paused.configuration.receiveAnswer(1, answerWith(before), timeAt(withdrawnMs + boundMs));
        paused.lease.renew(paused.configuration.lastConfirmedRequest());
        EXPECT_EQ(paused.check("old", timeAt(withdrawnMs + boundMs)), KeyRefusal::Lease);
    });
    section("a push alone proves nothing about later times", [&] {
        wire::ConfigurationPush push;
        *push.mutable_changes() = before;
        EntryVm restarted;
        EXPECT_TRUE(restarted.configuration.receivePush(push, timeAt(2000)));
        restarted.lease.renew(restarted.configuration.lastConfirmedRequest());
        EXPECT_EQ(restarted.check("old", timeAt(2000)), KeyRefusal::Lease);
        restarted.renew(9, control, timeAt(2000), timeAt(2001));
        EXPECT_EQ(restarted.check("old", timeAt(2002)), KeyRefusal::Unknown);
        EXPECT_EQ(restarted.check("new", timeAt(2002)), KeyRefusal::None);
    });
    section("an answer whose changes are refused confirms nothing", [&] {
        wire::ConfigurationChanges unreadable = control.changesSince(1);
        unreadable.add_services()->set_name("organisation/y");
        vm.configuration.createSessionRequest(5, timeAt(3000));
        vm.configuration.receiveAnswer(5, answerWith(unreadable), timeAt(3001));
        vm.lease.renew(vm.configuration.lastConfirmedRequest());
        EXPECT_EQ(vm.lease.end(), timeAt(1000 + 0.6 * boundMs));
    });
    section("removed organisations are removed on the VM", [&] {
        control.apply(3, manifestCommand(control, 3, {}));
        vm.renew(6, control, timeAt(3100), timeAt(3101));
        EXPECT_TRUE(vm.configuration.snapshot()->organisations.empty());
    });
    section("a late renewal does not shorten the lease; without a bound it never expires", [&] {
        KeyLease lease { bound };
        lease.renew(timeAt(500));
        lease.renew(timeAt(100));
        EXPECT_EQ(lease.end(), timeAt(3500));
        EXPECT_TRUE(KeyLease(Milliseconds(0)).isValid(timeAt(1e15)));
    });
}
