/** @file SettingsTest.cpp Tests that invalid settings and settings without the keys of their roles are refused. */
#include "kingcup/Settings.h"

#include "testing/Story.h"

#include <gtest/gtest.h>
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
