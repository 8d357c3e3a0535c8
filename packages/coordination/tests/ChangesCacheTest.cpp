/** @file ChangesCacheTest.cpp Guards against entry VMs that read other changes than the state machine has, and against work that grows with the number of VMs. */
#include "ControlCommands.h"

#include "kingcup/ChangesCache.h"
#include "kingcup/CommandCodec.h"
#include "kingcup/Compression.h"
#include "kingcup/EntryConfiguration.h"
#include "testing/Story.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

/** Returns services with a description of about 200 bytes each. */
Documents manyServices(size_t count)
{
    Documents documents;
    for (size_t i = 0; i < count; ++i) {
        std::string name = "service-" + std::to_string(i);
        nlohmann::json kind = { { "name", "read" }, { "method", "GET" }, { "path", "/" + name + "/*" }, { "repeatable", true }, { "deadlineMs", 3000 }, { "mayWaitMs", 1000 } };
        documents[name] = nlohmann::json({ { "name", name }, { "pathPrefix", "/" + name + "/" }, { "kinds", { kind } } }).dump();
    }
    return documents;
}

} // namespace

TEST(ChangesCacheTest, sharesCompressedChanges)
{
    ControlStateMachine machine;
    machine.apply(1, manifestCommand(machine, 1, manyServices(300)));
    for (LogIndex index = 2; index < 200; ++index)
        machine.apply(index, targetCommand("127.0.0.1:" + std::to_string(9000 + index), 1, wire::TARGET_SERVING));
    ChangesCache cache;
    section("an entry VM reads from compressed changes what the state machine has", [&] {
        wire::ConfigurationChanges sent = cache.changesSince(0, machine);
        sent.set_log_time_ms(77);
        EXPECT_LT(sent.ByteSizeLong(), machine.changesSince(0).ByteSizeLong() / 5) << "a fresh VM on a slow link waits for these bytes";
        std::optional<wire::ConfigurationChanges> read = decompressChanges(sent);
        ASSERT_TRUE(read);
        EXPECT_EQ(read->log_time_ms(), 77u);
        read->set_log_time_ms(0);
        EXPECT_EQ(read->SerializeAsString(), machine.changesSince(0).SerializeAsString());
    });
    section("its configuration is the same as from changes that are not compressed", [&] {
        wire::SessionAnswer plain;
        *plain.mutable_changes() = machine.changesSince(0);
        wire::SessionAnswer compressed;
        *compressed.mutable_changes() = cache.changesSince(0, machine);
        EntryConfiguration first("vm1", 1, "espoo", Milliseconds(1000));
        EntryConfiguration second("vm2", 1, "espoo", Milliseconds(1000));
        EXPECT_TRUE(first.receiveAnswer(1, plain, timeAt(1)));
        EXPECT_TRUE(second.receiveAnswer(1, compressed, timeAt(1)));
        EXPECT_EQ(first.snapshot()->services.size(), 300u);
        EXPECT_EQ(second.snapshot()->services.size(), 300u);
        EXPECT_EQ(second.snapshot()->index, first.snapshot()->index);
        EXPECT_EQ(second.snapshot()->targets.at("ledger").size(), 198u);
    });
    section("damaged changes are refused, and what is in force stays", [&] {
        EntryConfiguration entry("vm1", 1, "espoo", Milliseconds(1000));
        wire::SessionAnswer answer;
        *answer.mutable_changes() = cache.changesSince(0, machine);
        std::string& data = *answer.mutable_changes()->mutable_compressed();
        data.resize(data.size() / 2);
        EXPECT_FALSE(entry.receiveAnswer(1, answer, timeAt(1)));
        EXPECT_EQ(entry.snapshot()->index, 0u);
    });
    section("changes are collected once for all VMs, and again after the next change", [&] {
        const wire::ConfigurationChanges* first = &cache.changesSince(0, machine);
        EXPECT_EQ(first, &cache.changesSince(0, machine));
        machine.apply(200, targetCommand("127.0.0.1:9001", 1, wire::TARGET_SERVING));
        EXPECT_EQ(decompressChanges(cache.changesSince(0, machine))->to_index(), 200u);
        EXPECT_EQ(cache.changesSince(199, machine).targets_size(), 1) << "few changes are not compressed";
    });
}

TEST(ChangesCacheTest, encodesCommands)
{
    ControlStateMachine machine;
    wire::Command command = manifestCommand(machine, 1, manyServices(2000));
    section("a large command is stored in compressed form, a small one as it is", [&] {
        std::string payload = encodeCommand(command);
        EXPECT_LT(payload.size(), command.ByteSizeLong() / 5);
        EXPECT_EQ(decodeCommand(payload)->SerializeAsString(), command.SerializeAsString());
        wire::Command small = targetCommand("127.0.0.1:9001", 1, wire::TARGET_SERVING);
        EXPECT_EQ(encodeCommand(small), small.SerializeAsString());
        EXPECT_EQ(decodeCommand(small.SerializeAsString())->SerializeAsString(), small.SerializeAsString());
    });
    section("damaged and nested payloads give no command", [&] {
        std::string payload = encodeCommand(command);
        EXPECT_FALSE(decodeCommand(payload.substr(0, payload.size() / 2)));
        wire::Command inner;
        inner.set_compressed("no frame");
        EXPECT_FALSE(decodeCommand(inner.SerializeAsString()));
        wire::Command nested;
        nested.set_compressed(compress(payload));
        EXPECT_FALSE(decodeCommand(nested.SerializeAsString()));
    });
}
