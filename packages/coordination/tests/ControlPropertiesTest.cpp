/** @file ControlPropertiesTest.cpp Property tests of the control state machine with random commands: equal replicas, lossless snapshots and rule violations. */
#include "ControlCommands.h"

#include "../src/ControlSnapshot.h"
#include "testing/Story.h"

#include <functional>
#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr int commandsPerRun = 400;
constexpr uint64_t smallLogTimeStepMs = 50; ///< Within a run only suspicions expire.
constexpr uint64_t largeLogTimeStepMs = 600000; ///< Within a run all kinds of rows expire.

/** Applies random commands to a new machine and returns the violations in their history. */
std::set<std::string> findViolations(ControlRules rules, uint64_t seed)
{
    ControlStateMachine machine(rules);
    HistoryChecker checker;
    RandomCommandGenerator source(seed, smallLogTimeStepMs);
    for (int i = 1; i <= commandsPerRun; i++) {
        wire::Command command = source.next(machine);
        checker.add(command, machine.apply(i, command));
    }
    return checker.violations;
}

/** Applies random commands to a machine. */
void applyRandomCommands(ControlStateMachine& machine, RandomCommandGenerator& source, LogIndex first, LogIndex count)
{
    for (LogIndex index = first; index < first + count; index++)
        machine.apply(index, source.next(machine));
}

/** Returns a copy of data with one random byte replaced, some bytes removed or inserted, or the end cut off. */
std::string mutate(std::string data, RandomSource& random)
{
    size_t position = random.below(data.size());
    switch (random.below(4)) {
    case 0:
        data[position] = static_cast<char>(random.next());
        break;
    case 1:
        data.erase(position, 1 + random.below(8));
        break;
    case 2:
        data.insert(position, 1 + random.below(8), static_cast<char>(random.next()));
        break;
    default:
        data.resize(position);
    }
    return data;
}

} // namespace

TEST(ControlPropertiesTest, replicasAndSnapshotsAgree)
{
    uint64_t seed = testSeed(20261203);
    for (uint64_t run = 0; run < 60; run++) {
        section("seed " + std::to_string(seed + run), [&] {
            RandomCommandGenerator source(seed + run, run % 2 ? smallLogTimeStepMs : largeLogTimeStepMs);
            RandomSource random(seed + run);
            ControlStateMachine first;
            auto second = std::make_unique<ControlStateMachine>();
            for (int i = 1; i <= commandsPerRun; i++) {
                wire::Command command = source.next(first);
                wire::CommandResult checked = first.check(command);
                wire::CommandResult result = first.apply(i, command);
                ASSERT_EQ(checked.result_code(), result.result_code());
                ASSERT_EQ(second->apply(i, command).SerializeAsString(), result.SerializeAsString()) << command.DebugString();
                if (random.below(10) == 0) {
                    std::string saved = second->save();
                    second = std::make_unique<ControlStateMachine>();
                    ASSERT_EQ(second->load(saved), ResultCode::Ok);
                }
                if (random.below(10) == 0) {
                    LogIndex since = random.below(i + 1);
                    ASSERT_EQ(second->changesSince(since).SerializeAsString(), first.changesSince(since).SerializeAsString());
                    ASSERT_EQ(second->stateDigest(), first.stateDigest());
                    ASSERT_EQ(second->dump(), first.dump());
                }
            }
        });
    }
}

TEST(ControlPropertiesTest, disabledRulesCauseViolations)
{
    uint64_t seed = testSeed(7);
    struct Row {
        const char* violation; ///< Violation that the checker must find.
        std::function<void(ControlRules&)> disable; ///< Disables the rule.
    };
    const Row rows[] = {
        { "key granted twice", [](ControlRules& rules) { rules.claimsAreExclusive = false; } },
        { "unknown outcome granted again", [](ControlRules& rules) { rules.unknownIsFinal = false; } },
        { "released attempt granted", [](ControlRules& rules) { rules.releaseLeavesTombstone = false; } },
        { "manifest number decreased", [](ControlRules& rules) { rules.manifestNumbersGrow = false; } },
        { "manifest number accepted with two digests", [](ControlRules& rules) { rules.equalNumbersConflict = false; } },
        { "old incarnation of a target accepted", [](ControlRules& rules) { rules.checkIncarnations = false; } },
    };
    section("all rules enabled: no violation", [&] {
        for (uint64_t run = 0; run < 200; run++)
            EXPECT_EQ(findViolations({}, seed + run), std::set<std::string>()) << "seed " << seed + run;
    });
    for (const Row& row : rows) {
        section(row.violation, [&] {
            ControlRules rules;
            row.disable(rules);
            std::set<std::string> violations;
            for (uint64_t run = 0; run < 20; run++)
                violations.merge(findViolations(rules, seed + run));
            EXPECT_TRUE(violations.contains(row.violation));
        });
    }
}

TEST(ControlPropertiesTest, damagedSnapshotsAreRefused)
{
    uint64_t seed = testSeed(11);
    RandomSource random(seed);
    RandomCommandGenerator source(seed, smallLogTimeStepMs);
    ControlStateMachine machine;
    applyRandomCommands(machine, source, 1, 500);
    std::string saved = machine.save();
    std::string body = saved.substr(0, saved.size() - 8);
    section("damage that the checksum detects is refused and keeps the state", [&] {
        for (int i = 0; i < 2000; i++) {
            std::string damaged = mutate(saved, random);
            if (damaged == saved)
                continue;
            ASSERT_NE(machine.load(damaged), ResultCode::Ok) << "mutation " << i;
        }
        EXPECT_EQ(machine.save(), saved);
    });
    section("damage with a valid checksum crashes neither loading nor later commands", [&] {
        int accepted = 0;
        for (int i = 0; i < 5000; i++) {
            ControlStateMachine other;
            if (other.load(appendChecksum(mutate(body, random))) != ResultCode::Ok)
                continue;
            accepted++;
            applyRandomCommands(other, source, 501, 20);
            other.apply(521, expireCommand(UINT64_MAX));
            other.save();
        }
        std::cout << accepted << " of 5000 mutations loaded" << std::endl;
    });
    section("an older version loads, and fields that it lacks have their defaults", [&] {
        ControlTables tables;
        ASSERT_EQ(loadTables(saved, tables), ResultCode::Ok);
        ControlStateMachine older;
        ASSERT_EQ(older.load(saveTables(tables, 1)), ResultCode::Ok);
        EXPECT_EQ(older.changesSince(0).SerializeAsString(), machine.changesSince(0).SerializeAsString());
        EXPECT_NE(machine.dump().find("\"acceptedAtMs\":1"), std::string::npos) << machine.dump();
        EXPECT_NE(older.dump().find("\"acceptedAtMs\":0"), std::string::npos) << older.dump();
    });
    section("a newer version and other files are refused with different result codes", [&] {
        std::string newer = body;
        newer[4] = static_cast<char>(snapshotVersion + 1);
        EXPECT_EQ(machine.load(appendChecksum(newer)), ResultCode::SnapshotVersion);
        EXPECT_EQ(machine.load(""), ResultCode::JournalDamaged);
        EXPECT_EQ(machine.load(std::string(100, 'x')), ResultCode::JournalDamaged);
    });
}
