/** @file ManifestParserTest.cpp Tests that invalid manifests are refused and that equal manifests have equal digests. */
#include "kingcup/ManifestParser.h"

#include "testing/Story.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace kingcup;
using kingcup::testing::section;
using nlohmann::json;

namespace {

/** Returns a valid manifest with two services. */
json plainManifest()
{
    return json::parse(R"({"number": 7, "services": [
        {"name": "matters", "pathPrefix": "/matters", "kinds": [
            {"name": "balance", "method": "GET", "path": "/matters/*", "repeatable": true, "deadlineMs": 250.5, "hedge": {"percentile": 0.9}},
            {"name": "log", "method": "POST", "path": "/matters/hours", "notRunStatuses": [503, 429]}]},
        {"name": "ledger", "host": "ledger.example", "pathPrefix": "/", "limits": {"queueLength": 3, "claimRetentionMs": 1000},
         "measuringBudget": {"probesPerSecondPerTarget": 0.5}, "zonePreference": "none", "kinds": [
            {"name": "post", "method": "POST", "path": "/invoices", "keyRequired": true, "whenIsolated": "refuse"}]}]})");
}

/** A change that makes the plain manifest invalid. */
struct Refusal {
    const char* place; ///< JSON pointer of the changed value.
    const char* value; ///< JSON text of the new value; "-" removes it.
    ResultCode code; ///< Expected code.
    const char* pointer; ///< Expected JSON pointer.
};

const Refusal refusals[] = {
    { "/number", "-", ResultCode::ManifestMissingKey, "/number" },
    { "/number", "0", ResultCode::ManifestOutOfRange, "/number" },
    { "/number", "-1", ResultCode::ManifestOutOfRange, "/number" },
    { "/number", "1.5", ResultCode::ManifestWrongType, "/number" },
    { "/number", "\"7\"", ResultCode::ManifestWrongType, "/number" },
    { "/extra", "1", ResultCode::ManifestUnknownKey, "/extra" },
    { "/services", "{}", ResultCode::ManifestWrongType, "/services" },
    { "/services/0", "[]", ResultCode::ManifestWrongType, "/services/0" },
    { "/services/0/a~1b", "1", ResultCode::ManifestUnknownKey, "/services/0/a~1b" },
    { "/services/0/pathPrefix", "-", ResultCode::ManifestMissingKey, "/services/0/pathPrefix" },
    { "/services/0/pathPrefix", "\"matters\"", ResultCode::ManifestOutOfRange, "/services/0/pathPrefix" },
    { "/services/0/name", "\"ledger\"", ResultCode::ManifestOverlap, "/services/1/name" },
    { "/services/0/kinds", "[]", ResultCode::ManifestOutOfRange, "/services/0/kinds" },
    { "/services/0/kinds/0/path", "\"/a/../b\"", ResultCode::ManifestOutOfRange, "/services/0/kinds/0/path" },
    { "/services/0/kinds/0/path", "\"/a*\"", ResultCode::ManifestOutOfRange, "/services/0/kinds/0/path" },
    { "/services/0/kinds/0/method", "\"get\"", ResultCode::ManifestOutOfRange, "/services/0/kinds/0/method" },
    { "/services/0/kinds/0/method", "\"*\"", ResultCode::ManifestOverlap, "/services/0/kinds/1/path" },
    { "/services/0/kinds/1/name", "\"balance\"", ResultCode::ManifestOverlap, "/services/0/kinds/1/name" },
    { "/services/0/kinds/0/repeatable", "false", ResultCode::ManifestOutOfRange, "/services/0/kinds/0/hedge" },
    { "/services/0/kinds/0/repeatable", "1", ResultCode::ManifestWrongType, "/services/0/kinds/0/repeatable" },
    { "/services/0/kinds/0/hedge/budgetShare", "0.3", ResultCode::ManifestOutOfRange, "/services/0/kinds/0/hedge/budgetShare" },
    { "/services/0/kinds/0/hedge/percentage", "1", ResultCode::ManifestUnknownKey, "/services/0/kinds/0/hedge/percentage" },
    { "/services/0/kinds/0/deadlineMs", "20", ResultCode::ManifestOutOfRange, "/services/0/kinds/0/mayWaitMs" },
    { "/services/0/kinds/1/priority", "10", ResultCode::ManifestOutOfRange, "/services/0/kinds/1/priority" },
    { "/services/0/kinds/1/notRunStatuses", "[429, 200]", ResultCode::ManifestOutOfRange, "/services/0/kinds/1/notRunStatuses/1" },
    { "/services/0/kinds/1/notRunStatuses", "[503, 503]", ResultCode::ManifestOutOfRange, "/services/0/kinds/1/notRunStatuses" },
    { "/services/1/kinds/0/whenIsolated", "\"serve\"", ResultCode::ManifestOutOfRange, "/services/1/kinds/0/whenIsolated" },
    { "/services/1/kinds/0/whenIsolated", "\"later\"", ResultCode::ManifestOutOfRange, "/services/1/kinds/0/whenIsolated" },
    { "/services/1/limits/queueLength", "4294967296", ResultCode::ManifestOutOfRange, "/services/1/limits/queueLength" },
    { "/services/1/limits", "3", ResultCode::ManifestWrongType, "/services/1/limits" },
};

/** Applies a change to a document. */
json changed(json document, const Refusal& refusal)
{
    json::json_pointer place(refusal.place);
    if (std::string_view(refusal.value) == "-")
        document[place.parent_pointer()].erase(place.back());
    else
        document[place] = json::parse(refusal.value);
    return document;
}

/** Parses a manifest that must be valid. */
CheckedManifest accepted(const std::string& text)
{
    auto result = parseManifest(text);
    if (auto* error = std::get_if<DocumentError>(&result)) {
        ADD_FAILURE() << error->pointer << ": " << error->text;
        return {};
    }
    return std::get<CheckedManifest>(std::move(result));
}

} // namespace

TEST(ManifestParserTest, acceptsAndRefuses)
{
    CheckedManifest plain = accepted(plainManifest().dump());
    section("values are stored in the model and services are sorted by name", [&] {
        ASSERT_EQ(plain.manifest.services.size(), 2u);
        const Service& ledger = plain.manifest.services[0];
        const Kind& balance = plain.manifest.services[1].kinds[0];
        EXPECT_EQ(ledger.limits.queueLength, 3u);
        EXPECT_EQ(ledger.limits.claimRetention, Milliseconds(1000));
        EXPECT_EQ(ledger.zonePreference, ZonePreference::None);
        EXPECT_TRUE(ledger.kinds[0].keyRequired);
        EXPECT_EQ(balance.deadline, Milliseconds(250.5));
        EXPECT_EQ(balance.hedge->percentile, 0.9);
        EXPECT_EQ(plain.manifest.services[1].kinds[1].notRunStatuses, (std::vector<int> { 429, 503 }));
    });
    for (const Refusal& refusal : refusals) {
        section(std::string(refusal.place) + " = " + refusal.value, [&] {
            auto result = parseManifest(changed(plainManifest(), refusal).dump());
            auto* error = std::get_if<DocumentError>(&result);
            ASSERT_NE(error, nullptr) << "accepted";
            EXPECT_EQ(resultCodeRow(error->code).name, resultCodeRow(refusal.code).name) << error->text;
            EXPECT_EQ(error->pointer, refusal.pointer);
        });
    }
    section("repeated keys, invalid syntax and excessive size are refused", [] {
        for (std::string text : { R"({"number": 1, "number": 2, "services": []})", "{", "", "\xff", "1e999" })
            EXPECT_EQ(std::get<DocumentError>(parseManifest(text)).code, ResultCode::ManifestSyntax) << text;
        EXPECT_EQ(std::get<DocumentError>(parseManifest(std::string(100000, '['))).code, ResultCode::ManifestSyntax);
        EXPECT_EQ(std::get<DocumentError>(parseManifest(std::string(maxManifestBytes + 1, ' '))).code, ResultCode::ManifestTooLarge);
    });
}

TEST(ManifestParserTest, digestIdentifiesContent)
{
    CheckedManifest plain = accepted(plainManifest().dump());
    section("order of services, whitespace, explicit defaults and the number do not change the digest", [&] {
        json other = plainManifest();
        std::swap(other["services"][0], other["services"][1]);
        other["number"] = 8;
        other["services"][0]["limits"]["maxInFlight"] = 0;
        other["services"][1]["kinds"][0]["mayWaitMs"] = 100.0;
        EXPECT_EQ(accepted(other.dump(4)).digest, plain.digest);
        EXPECT_EQ(plain.digest.size(), 32u);
    });
    section("a changed value changes the digest", [&] {
        json other = plainManifest();
        other["services"][0]["kinds"][0]["deadlineMs"] = 250.25;
        EXPECT_NE(accepted(other.dump()).digest, plain.digest);
    });
    section("canonical documents are unchanged when they are parsed and written again", [&] {
        json again = { { "number", 7 }, { "services", json::array() } };
        for (const auto& [name, document] : plain.documents) {
            EXPECT_EQ(std::get<Service>(parseService(document)).name, name);
            again["services"].push_back(json::parse(document));
        }
        EXPECT_EQ(accepted(again.dump()).documents, plain.documents);
    });
}
