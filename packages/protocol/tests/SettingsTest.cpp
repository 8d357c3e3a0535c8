/** @file SettingsTest.cpp Tests that invalid settings and settings without the keys of their roles are refused. */
#include "kingcup/Settings.h"

#include "testing/Story.h"

#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <nlohmann/json.hpp>

using namespace kingcup;
using kingcup::testing::section;
using nlohmann::json;

namespace {

/** Returns settings of a process with both roles. */
json plainSettings()
{
    std::string key(40, 'k');
    return { { "deployment", "laskutus" }, { "vm", "pasila-1" }, { "availabilityZone", "pasila" }, { "roles", { "entry", "control" } },
        { "callerListener", "127.0.0.1:8080" }, { "operatorListener", "127.0.0.1:8081" }, { "controlId", 2 }, { "linkListener", "127.0.0.1:8082" },
        { "dataFolder", "/data" }, { "curvePublicKey", key }, { "curveSecretKeyFile", "/secret" }, { "operatorTokenFile", "/operator" },
        { "targetTokenFile", "/target" }, { "stopNoticeMs", 50 },
        { "controlVms", { { { "id", 2 }, { "link", "127.0.0.1:8082" }, { "publicKey", key } } } } };
}

/** Returns the error of a document, or an empty one. */
DocumentError errorOf(const json& document)
{
    auto result = parseSettings(document.dump());
    auto* error = std::get_if<DocumentError>(&result);
    return error ? *error : DocumentError {};
}

} // namespace

TEST(SettingsTest, acceptsAndRefuses)
{
    section("values are stored in the model", [] {
        Settings settings = std::get<Settings>(parseSettings(plainSettings().dump()));
        EXPECT_TRUE(settings.entry && settings.control);
        EXPECT_EQ(settings.controlVms.at(0).id, 2u);
        EXPECT_EQ(settings.stopNotice, Milliseconds(50));
    });
    section("keys of a role are required only with that role", [] {
        json document = plainSettings();
        document.erase("dataFolder");
        EXPECT_EQ(errorOf(document).pointer, "/dataFolder");
        EXPECT_EQ(errorOf(document).code, ResultCode::SettingsMissingKey);
        document["roles"] = { "entry" };
        EXPECT_EQ(errorOf(document).code, ResultCode::Ok);
    });
    struct Row {
        const char* pointer; ///< Changed value and expected pointer.
        json value; ///< New value.
        ResultCode code; ///< Expected code.
    };
    const Row rows[] = {
        { "/unknown", 1, ResultCode::SettingsUnknownKey },
        { "/roles", json::array(), ResultCode::SettingsOutOfRange },
        { "/roles", { "entry", "entry" }, ResultCode::SettingsOutOfRange },
        { "/roles", { "voter" }, ResultCode::SettingsOutOfRange },
        { "/roles/0", 1, ResultCode::SettingsWrongType },
        { "/vm", "", ResultCode::SettingsOutOfRange },
        { "/callerListener", "127.0.0.1", ResultCode::SettingsOutOfRange },
        { "/callerListener", "127.0.0.1:70000", ResultCode::SettingsOutOfRange },
        { "/callerListener", "127.0.0.1:+80", ResultCode::SettingsOutOfRange },
        { "/controlId", 3, ResultCode::SettingsOutOfRange },
        { "/controlVms/0/publicKey", "short", ResultCode::SettingsOutOfRange },
        { "/controlVms/0/port", 1, ResultCode::SettingsUnknownKey },
        { "/controlVms", json::array(), ResultCode::SettingsOutOfRange },
        { "/heartbeatIntervalMs", 500, ResultCode::SettingsOutOfRange },
        { "/sessionIntervalMs", 2000, ResultCode::SettingsOutOfRange },
        { "/stopNoticeMs", "1s", ResultCode::SettingsWrongType },
        { "/usageCap", { { "overage", -1 } }, ResultCode::SettingsOutOfRange },
        { "/usageCap", { { "windowSeconds", 5 }, { "overage", 0.1 }, { "slack", 20 } }, ResultCode::Ok },
        { "/allowedKeys", json::array({ 1 }), ResultCode::SettingsWrongType },
    };
    for (const Row& row : rows) {
        section(std::string(row.pointer) + " = " + row.value.dump(), [&] {
            json document = plainSettings();
            document[json::json_pointer(row.pointer)] = row.value;
            DocumentError error = errorOf(document);
            EXPECT_EQ(resultCodeRow(error.code).name, resultCodeRow(row.code).name) << error.text;
            EXPECT_EQ(error.pointer.substr(0, std::string(row.pointer).size()), row.code == ResultCode::Ok ? "" : row.pointer);
        });
    }
}

TEST(SettingsTest, costOfLeavingTheZone)
{
    json document = plainSettings();
    section("without the object, nothing decides", [&] {
        EXPECT_FALSE(std::get<Settings>(parseSettings(document.dump())).zoneTransfer);
    });
    section("the round trip is enough", [&] {
        document["zoneTransfer"] = { { "roundTripMs", 1.8 } };
        EXPECT_EQ(std::get<Settings>(parseSettings(document.dump())).zoneTransfer->roundTripMs, 1.8);
    });
    section("a price needs the value of time", [&] {
        document["zoneTransfer"]["costPerGigabyte"] = 0.02;
        EXPECT_EQ(errorOf(document).code, ResultCode::SettingsMissingKey);
        document["zoneTransfer"]["valuePerSecond"] = 0;
        EXPECT_EQ(errorOf(document).pointer, "/zoneTransfer/valuePerSecond");
        document["zoneTransfer"]["valuePerSecond"] = 0.0001;
        EXPECT_EQ(errorOf(document).code, ResultCode::Ok);
    });
}

// Guards against a number at the edge of its type or range that takes effect as another one.
TEST(SettingsTest, numbersAreRefusedOrTakeEffectAsTheyAre)
{
    using Getter = std::function<double(const Settings&)>;
    const std::map<std::string, Getter> numbers = {
        { "/seed", [](const Settings& settings) { return static_cast<double>(settings.seed); } },
        { "/callerThreads", [](const Settings& settings) { return settings.callerThreads; } },
        { "/upstreamThreads", [](const Settings& settings) { return settings.upstreamThreads; } },
        { "/maxCallerConnections", [](const Settings& settings) { return settings.maxCallerConnections; } },
        { "/maxRelayedConnections", [](const Settings& settings) { return settings.maxRelayedConnections; } },
        { "/maxHeaderBytes", [](const Settings& settings) { return static_cast<double>(settings.maxHeaderBytes); } },
        { "/linkPort", [](const Settings& settings) { return settings.linkPort; } },
        { "/toleratedLosses", [](const Settings& settings) { return settings.toleratedLosses; } },
        { "/snapshotEntries", [](const Settings& settings) { return static_cast<double>(settings.snapshotEntries); } },
        { "/slowSenderTimeoutMs", [](const Settings& settings) { return settings.slowSenderTimeout.count(); } },
        { "/stopNoticeMs", [](const Settings& settings) { return settings.stopNotice.count(); } },
        { "/stopLimitMs", [](const Settings& settings) { return settings.stopLimit.count(); } },
        { "/stopGracePeriodSeconds", [](const Settings& settings) { return settings.stopGracePeriod->count() / 1000; } },
        { "/electionTimeoutMs", [](const Settings& settings) { return settings.electionTimeout.count(); } },
        { "/heartbeatIntervalMs", [](const Settings& settings) { return settings.heartbeatInterval.count(); } },
        { "/leaseTermMs", [](const Settings& settings) { return settings.leaseTerm.count(); } },
        { "/sessionIntervalMs", [](const Settings& settings) { return settings.sessionInterval.count(); } },
        { "/keyRevocationMs", [](const Settings& settings) { return settings.keyRevocation.count(); } },
        { "/targetLeaseMs", [](const Settings& settings) { return settings.targetLease.count(); } },
        { "/maxConnectionIdleMs", [](const Settings& settings) { return settings.maxConnectionIdle.count(); } },
        { "/suspicionWaitMs", [](const Settings& settings) { return settings.suspicionWait.count(); } },
        { "/tickMs", [](const Settings& settings) { return settings.tickInterval.count(); } },
        { "/retryBudget/share", [](const Settings& settings) { return settings.retryBudget->share; } },
        { "/retryBudget/slack", [](const Settings& settings) { return settings.retryBudget->slack; } },
        { "/retryBudget/windowSeconds", [](const Settings& settings) { return settings.retryBudget->window.count() / 1000; } },
        { "/usageCap/windowSeconds", [](const Settings& settings) { return settings.usageCap.window.count() / 1000; } },
        { "/usageCap/overage", [](const Settings& settings) { return settings.usageCap.overage; } },
        { "/usageCap/slack", [](const Settings& settings) { return settings.usageCap.slack; } },
        { "/zoneTransfer/roundTripMs", [](const Settings& settings) { return settings.zoneTransfer->roundTripMs; } },
        { "/zoneTransfer/costPerGigabyte", [](const Settings& settings) { return settings.zoneTransfer->costPerGigabyte; } },
        { "/zoneTransfer/valuePerSecond", [](const Settings& settings) { return settings.zoneTransfer->valuePerSecond; } },
        { "/routeMeasuringBudget/probesPerSecondPerTarget", [](const Settings& settings) { return settings.routeMeasuringBudget.probesPerSecondPerTarget; } },
        { "/routeMeasuringBudget/bytesPerSecondPerVm", [](const Settings& settings) { return settings.routeMeasuringBudget.bytesPerSecondPerVm; } },
        { "/routeMeasuringBudget/burstSeconds", [](const Settings& settings) { return settings.routeMeasuringBudget.burstSeconds; } },
    };
    const json edges = json::parse(R"([-9223372036854775808, -4294967295, -1, 0, 0.1, 0.5, 1, 4, 5, 10, 11, 60, 61, 256, 257, 1000, 1001, 1024, 3600, 3601, 60000, 60001, 65535, 65536, 100000, 1000000, 1048576, 16777216,
        16777217, 86400, 3600000, 3600001, 86400000, 86400001, 1000000000, 2147483647, 2147483648, 4294967295, 4294967296, 9223372036854775807, 9223372036854775808, 18446744073709551615])");
    size_t accepted = 0;
    for (const auto& [place, get] : numbers) {
        for (const json& edge : edges) {
            json document = plainSettings();
            document["retryBudget"] = { { "share", 0.2 }, { "slack", 10 }, { "windowSeconds", 10 } };
            document["zoneTransfer"] = { { "roundTripMs", 1 }, { "costPerGigabyte", 1 }, { "valuePerSecond", 1 } };
            document["controlSeeds"] = { "127.0.0.1:1" };
            document["linkPort"] = 7000;
            document[json::json_pointer(place)] = edge;
            auto result = parseSettings(document.dump());
            const Settings* settings = std::get_if<Settings>(&result);
            if (!settings)
                continue;
            accepted++;
            EXPECT_DOUBLE_EQ(get(*settings), edge.get<double>()) << place << " " << edge;
        }
    }
    EXPECT_GT(accepted, 3 * numbers.size()) << "most draws are refused, so little is checked";
}
