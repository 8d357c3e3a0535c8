/** @file OrganisationParserTest.cpp Guards against manifests that give one API key to two organisations, and against keys that leave the parser in a document or an error message. */
#include "kingcup/ApiKey.h"
#include "kingcup/ManifestParser.h"
#include "testing/Story.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace kingcup;
using kingcup::testing::section;
using nlohmann::json;

namespace {

constexpr const char* secretMark = "s3cret"; ///< Part of every key in these tests.

json manifestWithKeys()
{
    return json::parse(R"({
        "number": 4, "services": [{"name": "ledger"}],
        "routes": [{"name": "open", "host": "a", "pathPrefix": "/o/", "kind": "safe", "deadlineMs": 100, "service": "ledger", "public": true},
                   {"name": "closed", "host": "a", "pathPrefix": "/c/", "kind": "safe", "deadlineMs": 100, "service": "ledger"}],
        "organisations": [
            {"name": "north", "apiKeys": ["s3cret-n1", "s3cret-n2"], "priority": 77, "requestsPerSecond": 12.5, "burst": 3},
            {"name": "east", "apiKeys": ["s3cret-e1"]}, {"name": "idle"}]
    })");
}

std::variant<CheckedManifest, DocumentError> parsed(const json& patch, const ManifestPolicy& policy = {})
{
    json manifest = manifestWithKeys();
    for (const auto& [pointer, value] : patch.items())
        manifest[json::json_pointer(pointer)] = value;
    return parseManifest(manifest.dump(), policy);
}

/** Returns the error of a changed manifest, and checks that it holds no key. */
DocumentError errorOf(const json& patch, const ManifestPolicy& policy = {})
{
    auto result = parsed(patch, policy);
    auto* error = std::get_if<DocumentError>(&result);
    EXPECT_FALSE(error && (error->text + error->pointer).find(secretMark) != std::string::npos) << error->text;
    return error ? *error : DocumentError {};
}

} // namespace

TEST(OrganisationParserTest, storesHashesInPlaceOfKeys)
{
    CheckedManifest checked = std::get<CheckedManifest>(parsed(json::object()));
    const std::vector<Organisation>& organisations = checked.manifest.organisations;
    ASSERT_EQ(organisations.size(), 3u);
    section("priorities are clamped, absent values mean no limit and the priority of the kind", [&] {
        EXPECT_EQ(organisations[2].name, "north");
        EXPECT_EQ(organisations[2].priority, 9);
        EXPECT_EQ(organisations[2].requestsPerSecond, 12.5);
        EXPECT_EQ(organisations[0].priority, std::nullopt);
        EXPECT_EQ(organisations[0].burst, 0);
        EXPECT_TRUE(organisations[1].keyHashes.empty());
    });
    section("no document holds a key, and each one is read back equal", [&] {
        size_t read = 0;
        for (const auto& [key, text] : checked.documents) {
            EXPECT_EQ(text.find(secretMark), std::string::npos) << key;
            if (documentType(key) != DocumentType::Organisation)
                continue;
            Organisation stored = std::get<Organisation>(parseOrganisation(text));
            EXPECT_EQ(key, "organisation/" + stored.name);
            EXPECT_EQ(stored.keyHashes, organisations[read].keyHashes);
            EXPECT_EQ(stored.priority, organisations[read].priority);
            read++;
        }
        EXPECT_EQ(read, 3u);
        EXPECT_EQ(organisations[0].keyHashes[0], formatKeyHash(hashApiKey("s3cret-e1")));
        EXPECT_EQ(formatKeyHash(hashApiKey("abc")), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    });
    section("the order of the keys changes nothing; a hash stands for its key", [&] {
        EXPECT_EQ(std::get<CheckedManifest>(parsed({ { "/organisations/0/apiKeys", { "s3cret-n2", "s3cret-n1" } } })).digest, checked.digest);
        json hashed = { { "name", "east" }, { "keyHashes", { formatKeyHash(hashApiKey("s3cret-e1")) } } };
        EXPECT_EQ(std::get<CheckedManifest>(parsed({ { "/organisations/1", hashed } })).digest, checked.digest);
    });
    section("routes are public only if they say so, and others keep their document", [&] {
        EXPECT_FALSE(checked.manifest.routes[0].isPublic);
        EXPECT_TRUE(checked.manifest.routes[1].isPublic);
        for (const auto& [key, text] : checked.documents) {
            if (documentType(key) != DocumentType::Route)
                continue;
            EXPECT_EQ(std::get<Route>(parseRoute(text)).isPublic, text.find("public") != std::string::npos) << text;
        }
    });
}

TEST(OrganisationParserTest, refusesRepeatedAndInvalidValues)
{
    section("names and keys that occur twice", [] {
        EXPECT_EQ(errorOf({ { "/organisations/1/name", "north" } }).code, ResultCode::ManifestOverlap);
        EXPECT_EQ(errorOf({ { "/organisations/1/apiKeys/0", "s3cret-n2" } }).code, ResultCode::ManifestOverlap);
        EXPECT_EQ(errorOf({ { "/organisations/0/apiKeys/1", "s3cret-n1" } }).pointer, "/organisations/0/apiKeys");
        EXPECT_EQ(errorOf({ { "/organisations/2/keyHashes", { formatKeyHash(hashApiKey("s3cret-n1")) } } }).code, ResultCode::ManifestOverlap);
        EXPECT_EQ(errorOf({ { "/organisations/1/apiKeys/0", "s3cret-n2" } }, { UnknownKeys::Ignore, true }).code, ResultCode::ManifestOverlap);
    });
    section("keys that are empty, too long, not visible ASCII or too many", [] {
        EXPECT_EQ(errorOf({ { "/organisations/0/apiKeys/0", "" } }).pointer, "/organisations/0/apiKeys/0");
        EXPECT_EQ(errorOf({ { "/organisations/0/apiKeys/0", "s3cret with blank" } }).code, ResultCode::ManifestOutOfRange);
        EXPECT_EQ(errorOf({ { "/organisations/0/apiKeys/0", std::string(256, 'k') } }).code, ResultCode::ManifestOutOfRange);
        EXPECT_EQ(errorOf({ { "/organisations/0/apiKeys/0", std::string(255, '~') } }).code, ResultCode::Ok);
        json many = json::array();
        for (int i = 0; i < 101; i++)
            many.push_back("s3cret-" + std::to_string(i));
        EXPECT_EQ(errorOf({ { "/organisations/0/apiKeys", many } }).code, ResultCode::ManifestOutOfRange);
        EXPECT_EQ(errorOf({ { "/organisations/0/apiKeys", "s3cret" } }).code, ResultCode::ManifestWrongType);
        EXPECT_EQ(errorOf({ { "/organisations/0/keyHashes", { std::string(64, 'G') } } }).code, ResultCode::ManifestOutOfRange);
    });
    section("unknown members follow the policy", [] {
        EXPECT_EQ(errorOf({ { "/organisations/0/colour", 1 } }).code, ResultCode::ManifestUnknownKey);
        EXPECT_EQ(errorOf({ { "/organisations/0/colour", 1 } }, { UnknownKeys::Ignore, false }).code, ResultCode::Ok);
    });
    section("syntax errors at a key do not quote it", [] {
        for (const char* broken : { R"({"organisations":[{"apiKeys":["s3cret)", R"({"organisations":[{"apiKeys":["a" "s3cret"]}]})", "{\"apiKeys\":[s3cret]}", "{\"apiKeys\":[\"s3cret\n\"]}", "{\"apiKeys\":[\"s3cret\xff\"]}" }) {
            DocumentError error = std::get<DocumentError>(parseManifest(broken));
            EXPECT_EQ(error.code, ResultCode::ManifestSyntax);
            EXPECT_EQ(error.text.find(secretMark), std::string::npos) << error.text;
            EXPECT_NE(error.text.find("line"), std::string::npos) << error.text;
        }
    });
}
