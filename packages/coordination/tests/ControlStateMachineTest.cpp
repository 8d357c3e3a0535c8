/** @file ControlStateMachineTest.cpp Tests decisions of the control state machine on manifests, targets, claims and suspicions. */
#include "ControlCommands.h"

#include "../src/ControlSnapshot.h"
#include "../src/ManifestTable.h"
#include "testing/Story.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr uint64_t hourMs = 3600 * 1000;

/** State machine with consecutive log indexes. */
struct TestLog {
    ControlStateMachine machine;
    LogIndex index = 0; ///< Index of the last entry.

    /** Applies a command as the next log entry. */
    wire::CommandResult apply(const wire::Command& command) { return this->machine.apply(++this->index, command); }

    /** Applies a command and returns the name of its result code, which is readable in test output. */
    std::string applyForCode(const wire::Command& command) { return std::string(resultCodeRow(codeOf(this->apply(command))).name); }

    /** Applies a manifest and returns the name of the result code. */
    std::string applyManifest(uint64_t number, const Documents& documents) { return this->applyForCode(manifestCommand(this->machine, number, documents)); }
};

} // namespace

TEST(ControlStateMachineTest, manifests)
{
    TestLog log;
    section("the command contains only changes relative to the base", [&] {
        EXPECT_EQ(log.applyManifest(5, { { "a", "{}" }, { "b", "{}" } }), "ok");
        wire::Command command = manifestCommand(log.machine, 6, { { "b", "{1}" }, { "c", "{}" } });
        const wire::ApplyManifest& apply = command.apply_manifest();
        EXPECT_EQ(apply.base_number(), 5u);
        ASSERT_EQ(apply.changed_size(), 2);
        EXPECT_EQ(apply.changed(0).name(), "b");
        EXPECT_EQ(apply.removed(0), "a");
        EXPECT_EQ(log.applyForCode(command), "ok");
        EXPECT_EQ(log.machine.serviceDocuments().size(), 2u);
    });
    section("a resent manifest gets the index of the first decision, also if it was built on another base", [&] {
        wire::CommandResult result = log.apply(manifestCommand(log.machine, 6, { { "b", "{1}" }, { "c", "{}" } }));
        EXPECT_EQ(codeOf(result), ResultCode::Ok);
        EXPECT_EQ(result.index(), 2u);
    });
    section("a conflict on the number in force returns the accepted digest", [&] {
        wire::CommandResult result = log.apply(manifestCommand(log.machine, 6, { { "z", "{}" } }));
        EXPECT_EQ(codeOf(result), ResultCode::ManifestConflict);
        EXPECT_EQ(result.manifest_digest(), log.machine.manifestDigest());
    });
    section("a lower number is superseded if it was accepted before, in conflict if its digest differs, and outdated otherwise", [&] {
        EXPECT_EQ(log.applyManifest(5, { { "a", "{}" }, { "b", "{}" } }), "manifest_superseded");
        EXPECT_EQ(log.applyManifest(5, { { "a", "{2}" } }), "manifest_conflict");
        EXPECT_EQ(log.applyManifest(4, { { "a", "{}" } }), "manifest_outdated");
        EXPECT_EQ(log.machine.manifestNumber(), 6u);
    });
    section("a command with an old base or a wrong digest is refused", [&] {
        wire::Command late = manifestCommand(log.machine, 8, { { "a", "{}" } });
        wire::Command wrong = manifestCommand(log.machine, 7, { { "a", "{}" } });
        wrong.mutable_apply_manifest()->mutable_changed(0)->set_json("{3}");
        EXPECT_EQ(log.applyForCode(wrong), "command_malformed");
        EXPECT_EQ(log.applyManifest(7, {}), "ok");
        EXPECT_EQ(log.applyForCode(late), "manifest_base_changed");
    });
    section("the history is bounded, and numbers that left it are refused as outdated", [&] {
        for (uint64_t number = 8; number < 8 + ManifestTable::maxAcceptedNumbers; number++)
            ASSERT_EQ(log.applyManifest(number, {}), "ok");
        EXPECT_EQ(log.applyManifest(7, {}), "manifest_outdated");
        EXPECT_EQ(log.applyManifest(8, {}), "manifest_superseded");
    });
}

TEST(ControlStateMachineTest, targets)
{
    TestLog log;
    const std::string address = "10.0.0.1:80";
    EXPECT_EQ(log.applyForCode(targetCommand(address, 2, wire::TARGET_GONE)), "unknown_target");
    EXPECT_EQ(log.applyForCode(targetCommand(address, 2, wire::TARGET_SERVING)), "ok");
    section("an announcement without a change is not sent to entry VMs", [&] {
        LogIndex before = log.machine.configurationIndex();
        EXPECT_EQ(log.applyForCode(targetCommand(address, 2, wire::TARGET_SERVING)), "ok");
        EXPECT_EQ(log.machine.configurationIndex(), before);
    });
    section("late messages of an older incarnation or an earlier state are refused", [&] {
        EXPECT_EQ(log.applyForCode(targetCommand(address, 1, wire::TARGET_GONE)), "old_incarnation");
        EXPECT_EQ(log.applyForCode(targetCommand(address, 2, wire::TARGET_DRAINING)), "ok");
        EXPECT_EQ(log.applyForCode(targetCommand(address, 2, wire::TARGET_SERVING)), "old_incarnation");
        EXPECT_EQ(log.applyForCode(targetCommand(address, 2, wire::TARGET_GONE)), "ok");
        EXPECT_EQ(log.applyForCode(targetCommand(address, 2, wire::TARGET_SERVING)), "old_incarnation");
        EXPECT_TRUE(log.machine.targets().empty());
    });
    section("a new incarnation is accepted, and may return after its lease expired", [&] {
        EXPECT_EQ(log.applyForCode(targetCommand(address, 3, wire::TARGET_SERVING)), "ok");
        EXPECT_EQ(log.applyForCode(targetCommand(address, 3, wire::TARGET_GONE)), "ok");
        EXPECT_EQ(log.applyForCode(targetCommand(address, 3, wire::TARGET_SERVING)), "ok");
        EXPECT_EQ(log.machine.findTarget("ledger", address)->state(), wire::TARGET_SERVING);
    });
}

TEST(ControlStateMachineTest, targetsNamedByInstance)
{
    TestLog log;
    const std::string address = "10.0.0.1:80";
    auto announce = [&](const std::string& instance, wire::TargetState state, const std::string& service = "ledger") {
        wire::Command command = targetCommand(address, 0, state);
        command.mutable_change_target()->mutable_target()->set_instance(instance);
        command.mutable_change_target()->mutable_target()->set_service(service);
        command.mutable_change_target()->set_left(state == wire::TARGET_GONE);
        if (!log.machine.assignIncarnation(*command.mutable_change_target()->mutable_target()))
            return std::string("replaced");
        return log.applyForCode(command);
    };
    EXPECT_EQ(announce("i-1", wire::TARGET_SERVING), "ok");
    section("a repeated announcement keeps its incarnation", [&] {
        EXPECT_EQ(announce("i-1", wire::TARGET_SERVING), "ok");
        EXPECT_EQ(log.machine.findTarget("ledger", address)->incarnation(), 1u);
    });
    section("a new instance at the address gets the next incarnation, and delayed messages of the old one are refused", [&] {
        EXPECT_EQ(announce("i-2", wire::TARGET_SERVING), "ok");
        EXPECT_EQ(log.machine.findTarget("ledger", address)->incarnation(), 2u);
        EXPECT_EQ(announce("i-1", wire::TARGET_SERVING), "replaced");
        EXPECT_EQ(announce("i-1", wire::TARGET_GONE), "replaced");
        EXPECT_EQ(log.machine.findTarget("ledger", address)->instance(), "i-2");
    });
    section("if two instances were assigned the same incarnation, the first one is kept", [&] {
        wire::Command late = targetCommand(address, 2, wire::TARGET_SERVING);
        late.mutable_change_target()->mutable_target()->set_instance("i-3");
        EXPECT_EQ(log.applyForCode(late), "old_incarnation");
    });
    section("a delayed message does not restore an instance that left", [&] {
        EXPECT_EQ(announce("i-2", wire::TARGET_GONE), "ok");
        EXPECT_EQ(announce("i-2", wire::TARGET_SERVING), "old_incarnation");
        EXPECT_TRUE(log.machine.targets().empty());
    });
    section("the address can move to another service, and replaced instances stay known after a restart", [&] {
        EXPECT_EQ(announce("i-4", wire::TARGET_SERVING, "archive"), "ok");
        EXPECT_EQ(log.machine.findTarget("archive", address)->incarnation(), 3u);
        ControlStateMachine restarted;
        ASSERT_EQ(restarted.load(log.machine.save()), ResultCode::Ok);
        wire::TargetRecord old;
        old.set_service("ledger");
        old.set_address(address);
        old.set_instance("i-1");
        EXPECT_FALSE(restarted.assignIncarnation(old));
        EXPECT_EQ(restarted.findTarget("archive", address)->instance(), "i-4");
    });
}

TEST(ControlStateMachineTest, highestManifestNumberWins)
{
    TestLog log;
    auto apply = [&](uint64_t number, const Documents& documents) {
        wire::Command command = manifestCommand(log.machine, number, documents);
        command.mutable_apply_manifest()->set_highest_number_wins(true);
        return log.applyForCode(command);
    };
    EXPECT_EQ(apply(7, { { "a", "{}" } }), "ok");
    section("an equal or lower number is acknowledged without a change, whatever its content", [&] {
        LogIndex before = log.machine.configurationIndex();
        EXPECT_EQ(apply(7, { { "a", "{2}" } }), "ok");
        EXPECT_EQ(apply(3, { { "b", "{}" } }), "ok");
        EXPECT_EQ(log.machine.configurationIndex(), before);
        EXPECT_EQ(log.machine.serviceDocuments()[0].json(), "{}");
    });
    section("any higher number is accepted", [&] {
        EXPECT_EQ(apply(90, { { "b", "{}" } }), "ok");
        EXPECT_EQ(log.machine.manifestNumber(), 90u);
    });
}

TEST(ControlStateMachineTest, claims)
{
    TestLog log;
    wire::AttemptId first = attemptId("vm1", 1, 1);
    wire::AttemptId second = attemptId("vm2", 1, 1);
    section("a running key is refused to other attempts and granted again to a resent claim", [&] {
        EXPECT_EQ(log.applyForCode(claimCommand("k", first)), "ok");
        EXPECT_EQ(log.applyForCode(claimCommand("k", first)), "ok");
        EXPECT_EQ(log.applyForCode(claimCommand("k", second)), "key_running");
        EXPECT_EQ(log.applyForCode(claimCommand("k", second, 'b')), "key_mismatch");
        EXPECT_EQ(log.applyForCode(finishClaimCommand("k", second, wire::OUTCOME_FINISHED)), "not_found");
    });
    section("a claim of a finished key gets the recorded answer, also a late resent one", [&] {
        EXPECT_EQ(log.applyForCode(finishClaimCommand("k", first, wire::OUTCOME_FINISHED)), "ok");
        EXPECT_EQ(log.apply(claimCommand("k", second)).answer().body(), "posted by 1");
        EXPECT_EQ(log.applyForCode(claimCommand("k", first)), "key_finished");
        EXPECT_EQ(log.applyForCode(finishClaimCommand("k", first, wire::OUTCOME_NOT_RUN)), "key_finished");
    });
    section("a release frees the key, and later claims of the released attempt are refused", [&] {
        EXPECT_EQ(log.applyForCode(claimCommand("r", first)), "ok");
        EXPECT_EQ(log.applyForCode(finishClaimCommand("r", first, wire::OUTCOME_NOT_RUN)), "ok");
        EXPECT_EQ(log.applyForCode(claimCommand("r", first)), "claim_released");
        EXPECT_EQ(log.applyForCode(claimCommand("r", second, 'b')), "ok");
    });
    section("a release that arrives before its claim causes the claim to be refused and does not affect the holder", [&] {
        wire::AttemptId late = attemptId("vm2", 1, 2);
        EXPECT_EQ(log.applyForCode(finishClaimCommand("r", late, wire::OUTCOME_NOT_RUN)), "ok");
        EXPECT_EQ(log.applyForCode(claimCommand("r", late)), "claim_released");
        EXPECT_EQ(log.applyForCode(claimCommand("r", attemptId("vm3", 1, 1), 'b')), "key_running");
    });
    section("after a crash of the entry VM the outcome of its claims is unknown until their own attempts report it", [&] {
        wire::AttemptId lost = attemptId("vm1", 1, 7);
        EXPECT_EQ(log.applyForCode(claimCommand("u", lost)), "ok");
        EXPECT_EQ(log.applyForCode(entryVmGoneCommand("vm1", 2)), "ok");
        EXPECT_EQ(log.applyForCode(claimCommand("u", second)), "key_outcome_unknown");
        EXPECT_EQ(log.applyForCode(claimCommand("u", lost)), "old_incarnation");
        EXPECT_EQ(log.applyForCode(finishClaimCommand("u", lost, wire::OUTCOME_NOT_RUN)), "key_outcome_unknown");
        EXPECT_EQ(log.applyForCode(finishClaimCommand("u", lost, wire::OUTCOME_FINISHED)), "ok");
        EXPECT_EQ(log.applyForCode(claimCommand("u", second)), "key_finished");
    });
    section("a departure that is reported after a claim of a newer incarnation makes older claims unknown", [&] {
        EXPECT_EQ(log.applyForCode(claimCommand("old", attemptId("vm5", 1, 1))), "ok");
        EXPECT_EQ(log.applyForCode(claimCommand("new", attemptId("vm5", 3, 1))), "ok");
        EXPECT_EQ(log.applyForCode(entryVmGoneCommand("vm5", 2)), "ok");
        EXPECT_EQ(log.applyForCode(claimCommand("old", second)), "key_outcome_unknown");
        EXPECT_EQ(log.applyForCode(claimCommand("new", second)), "key_running");
        EXPECT_EQ(log.applyForCode(claimCommand("older", attemptId("vm5", 2, 1))), "old_incarnation");
    });
    section("an expired running claim becomes unknown first and is deleted after another retention", [&] {
        EXPECT_EQ(log.applyForCode(claimCommand("e", attemptId("vm4", 1, 1))), "ok");
        log.apply(expireCommand(hourMs + 2000));
        EXPECT_EQ(log.applyForCode(claimCommand("e", second, 'a', hourMs + 2000)), "key_outcome_unknown");
        EXPECT_EQ(log.applyForCode(claimCommand("k", second, 'a', hourMs + 2000)), "ok");
        log.apply(expireCommand(2 * hourMs + 3000));
        EXPECT_EQ(log.applyForCode(claimCommand("e", second)), "ok");
    });
    section("a new leader with a late clock neither sets the log time back nor expires claims early", [&] {
        EXPECT_EQ(log.applyForCode(claimCommand("c", attemptId("vm4", 1, 2), 'a', 5)), "ok");
        log.apply(expireCommand(2 * hourMs + 4000));
        EXPECT_EQ(log.applyForCode(claimCommand("c", second, 'a', 5)), "key_running");
    });
}

TEST(ControlStateMachineTest, suspicions)
{
    TestLog log;
    section("the loss of two distinct targets causes a quarantine; the same target twice does not", [&] {
        EXPECT_EQ(log.apply(suspicionCommand('q', "t1", 1)).suspected_targets(), 1u);
        EXPECT_EQ(log.apply(suspicionCommand('q', "t1", 1)).suspected_targets(), 1u);
        wire::CommandResult second = log.apply(suspicionCommand('q', "t1", 2));
        EXPECT_EQ(second.suspected_targets(), 2u);
        EXPECT_EQ(second.quarantined_until_ms(), 61000u);
    });
    section("a success clears a suspicion but not a quarantine", [&] {
        EXPECT_EQ(log.applyForCode(clearSuspicionCommand('q')), "quarantined");
        EXPECT_EQ(log.apply(suspicionCommand('s', "t1", 1)).suspected_targets(), 1u);
        EXPECT_EQ(log.applyForCode(clearSuspicionCommand('s')), "ok");
        EXPECT_EQ(log.apply(suspicionCommand('s', "t2", 1)).suspected_targets(), 1u);
    });
    section("an expired quarantine is ignored even before it is deleted", [&] {
        EXPECT_EQ(log.apply(suspicionCommand('q', "t3", 1, 61000)).suspected_targets(), 1u);
    });
    section("the end of a quarantine is sent to entry VMs", [&] {
        LogIndex held = log.machine.configurationIndex();
        log.apply(expireCommand(200000));
        wire::ConfigurationChanges changes = log.machine.changesSince(held);
        ASSERT_EQ(changes.quarantines_size(), 2);
        EXPECT_TRUE(changes.quarantines(0).cleared());
    });
}

TEST(ControlStateMachineTest, changesSince)
{
    TestLog log;
    log.applyManifest(1, { { "a", "{}" }, { "b", "{}" } });
    log.apply(targetCommand("t1:80", 1, wire::TARGET_SERVING));
    LogIndex held = log.machine.configurationIndex();
    section("claims do not change the configuration", [&] {
        log.apply(claimCommand("k", attemptId("vm", 1, 1)));
        EXPECT_EQ(log.machine.configurationIndex(), held);
    });
    section("only changes are sent, with removals as tombstones", [&] {
        log.applyManifest(2, { { "b", "{2}" } });
        log.apply(targetCommand("t1:80", 1, wire::TARGET_GONE));
        wire::ConfigurationChanges changes = log.machine.changesSince(held);
        EXPECT_FALSE(changes.full());
        EXPECT_EQ(changes.services_size(), 1);
        EXPECT_EQ(changes.removed_services(0), "a");
        EXPECT_EQ(changes.targets(0).state(), wire::TARGET_GONE);
        EXPECT_EQ(changes.to_index(), log.machine.configurationIndex());
    });
    section("after tombstones are deleted, older configurations get a full copy", [&] {
        LogIndex current = log.machine.configurationIndex();
        log.apply(expireCommand(2 * hourMs));
        wire::ConfigurationChanges changes = log.machine.changesSince(held);
        EXPECT_TRUE(changes.full());
        EXPECT_EQ(changes.services_size(), 1);
        EXPECT_EQ(changes.targets_size(), 0);
        EXPECT_FALSE(log.machine.changesSince(current).full());
    });
}
