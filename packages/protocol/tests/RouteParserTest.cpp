/** @file RouteParserTest.cpp Tests routes, limits for callers and the policies for manifests of pipelines that write additional keys. */
#include "kingcup/ControlAddress.h"
#include "kingcup/ManifestParser.h"

#include "testing/Story.h"

#include <gtest/gtest.h>
#include <map>
#include <nlohmann/json.hpp>

using namespace kingcup;
using kingcup::testing::section;
using nlohmann::json;

namespace {

json routedManifest()
{
    return json::parse(R"({
        "number": 7,
        "routes": [
            {"name": "lookups", "host": "a.example", "pathPrefix": "/x/", "kind": "safe", "deadlineMs": 1200, "objectiveMs": 400, "priority": 2, "maxAttempts": 2,
             "split": [{"service": "matters", "weight": 90}, {"service": "ledger", "weight": 10}]},
            {"name": "posts", "host": "b.example", "pathPrefix": "/y/", "kind": "unsafe", "deadlineMs": 1500, "service": "ledger"}],
        "services": [{"name": "matters", "healthPath": "/health", "maxConnections": 260}, {"name": "ledger"}],
        "callerLimits": {"maxHeaderBytes": 16384, "idleTimeoutMs": 15000}
    })");
}

/** Returns the error of a changed manifest. */
DocumentError errorOf(const std::string& place, const json& value, const ManifestPolicy& policy = {})
{
    json changed = routedManifest();
    changed[json::json_pointer(place)] = value;
    auto result = parseManifest(changed.dump(), policy);
    auto* error = std::get_if<DocumentError>(&result);
    return error ? *error : DocumentError {};
}

} // namespace

TEST(RouteParserTest, readsRoutes)
{
    auto parsed = parseManifest(routedManifest().dump());
    ASSERT_TRUE(std::holds_alternative<CheckedManifest>(parsed)) << std::get<DocumentError>(parsed).text;
    const CheckedManifest& checked = std::get<CheckedManifest>(parsed);
    section("rules are derived from the kind", [&] {
        const Route& lookups = checked.manifest.routes[0];
        const Route& posts = checked.manifest.routes[1];
        EXPECT_TRUE(lookups.rules.repeatable);
        EXPECT_FALSE(posts.rules.repeatable);
        EXPECT_EQ(lookups.rules.objective, Milliseconds(400));
        EXPECT_EQ(posts.rules.objective, posts.rules.deadline);
        EXPECT_EQ(lookups.shares.size(), 2u);
        EXPECT_EQ(posts.shares[0].service, "ledger");
        EXPECT_EQ(posts.rules.whenIsolated, WhenIsolated::Serve);
    });
    section("document keys encode the type, and stored routes can be parsed", [&] {
        size_t routes = 0;
        for (const auto& [key, text] : checked.documents) {
            if (documentType(key) != DocumentType::Route)
                continue;
            routes++;
            EXPECT_TRUE(std::holds_alternative<Route>(parseRoute(text))) << text;
        }
        EXPECT_EQ(routes, 2u);
        EXPECT_EQ(documentType("route"), DocumentType::Service);
        EXPECT_EQ(documentType(documentKey(DocumentType::CallerLimits)), DocumentType::CallerLimits);
    });
}

// Guards against a manifest that control accepts and no entry VM can put in force, because the stored document is refused: a number beyond the range of its type was stored as another one.
TEST(RouteParserTest, storedDocumentsOfAcceptedManifestsCanBeParsed)
{
    const uint64_t edges[] = { 0, 1, 9, 10, INT32_MAX - 1ull, INT32_MAX, INT32_MAX + 1ull, UINT32_MAX, UINT32_MAX + 1ull, INT64_MAX, INT64_MAX + 1ull, UINT64_MAX };
    const char* places[] = { "/number", "/routes/0/priority", "/routes/0/maxAttempts", "/routes/0/deadlineMs", "/routes/0/objectiveMs", "/routes/0/split/0/weight", "/routes/0/split/1/weight",
        "/services/0/maxConnections", "/services/0/coldStartSeconds", "/services/0/coldRequestsPerSecond", "/callerLimits/maxHeaderBytes", "/callerLimits/maxBodyBytes", "/callerLimits/headerTimeoutMs", "/callerLimits/idleTimeoutMs" };
    auto isReadable = [](const std::string& key, const std::string& text) {
        switch (documentType(key)) {
        case DocumentType::Route:
            return std::holds_alternative<Route>(parseRoute(text));
        case DocumentType::Service:
            return std::holds_alternative<Service>(parseService(text));
        case DocumentType::CallerLimits:
            return std::holds_alternative<CallerLimits>(parseCallerLimits(text));
        default:
            return true;
        }
    };
    size_t accepted = 0;
    for (const char* place : places) {
        for (uint64_t edge : edges) {
            json changed = routedManifest();
            changed[json::json_pointer(place)] = edge;
            auto result = parseManifest(changed.dump());
            auto* checked = std::get_if<CheckedManifest>(&result);
            if (!checked)
                continue;
            accepted++;
            for (const auto& [key, text] : checked->documents)
                EXPECT_TRUE(isReadable(key, text)) << place << " " << edge << ": " << text;
        }
    }
    EXPECT_GT(accepted, std::size(places)) << "most places accept several of the numbers";
}

// Guards against a route that stays out of force after an upgrade: an earlier build stored its priority, a number above 2^31, as a negative one.
TEST(RouteParserTest, storedNegativePrioritiesAreTheLowestPriority)
{
    auto priorityOf = [](int64_t stored) {
        json route = json::parse(R"({"name": "r", "host": "a.example", "pathPrefix": "/", "kind": "safe", "deadlineMs": 100, "split": [{"service": "a", "weight": 1}]})");
        route["priority"] = stored;
        auto parsed = parseRoute(route.dump());
        return std::holds_alternative<Route>(parsed) ? std::get<Route>(parsed).rules.priority : -1;
    };
    section("a stored number that was above 2^31 is read as the lowest priority", [&] {
        EXPECT_EQ(priorityOf(-1), 9);
        EXPECT_EQ(priorityOf(INT32_MIN), 9);
        EXPECT_EQ(priorityOf(0), 0);
    });
    section("a submitted negative number is refused, and so is a stored one that no build has written", [&] {
        EXPECT_EQ(errorOf("/routes/0/priority", -1).code, ResultCode::ManifestOutOfRange);
        EXPECT_EQ(priorityOf(INT32_MIN - 1ll), -1);
    });
}

// Documents of earlier versions have no rules for cold targets. A manifest without these rules must keep its digest when the version changes.
TEST(RouteParserTest, readsRulesForColdTargets)
{
    json manifest = routedManifest();
    manifest["services"][0]["coldStartSeconds"] = 2.5;
    manifest["services"][0]["coldRequestsPerSecond"] = 5.8;
    auto parsed = parseManifest(manifest.dump());
    ASSERT_TRUE(std::holds_alternative<CheckedManifest>(parsed)) << std::get<DocumentError>(parsed).text;
    std::map<std::string, std::string> documents(std::get<CheckedManifest>(parsed).documents.begin(), std::get<CheckedManifest>(parsed).documents.end());
    Service stored = std::get<Service>(parseService(documents["matters"]));
    EXPECT_EQ(stored.coldStart, Milliseconds(2500));
    EXPECT_EQ(stored.coldRequestsPerSecond, 5.8);
    EXPECT_EQ(documents["ledger"].find("cold"), std::string::npos);
    EXPECT_EQ(std::get<Service>(parseService(documents["ledger"])).coldRequestsPerSecond, 0);
    EXPECT_EQ(errorOf("/services/0/coldRequestsPerSecond", -1).code, ResultCode::ManifestOutOfRange);
}

TEST(RouteParserTest, refusesInvalidRoutes)
{
    section("a route to an unknown service", [] { EXPECT_EQ(errorOf("/routes/1/service", "nobody").code, ResultCode::ManifestOutOfRange); });
    section("a share of an unknown service", [] { EXPECT_EQ(errorOf("/routes/0/split/1/service", "nobody").pointer, "/routes/0"); });
    section("an unknown service beside a split of known ones", [] {
        EXPECT_EQ(errorOf("/routes/0/service", "nobody").pointer, "/routes/0");
        EXPECT_EQ(errorOf("/routes/0/service", "ledger").code, ResultCode::Ok);
    });
    section("a deadline over ten minutes", [] {
        EXPECT_EQ(errorOf("/routes/0/deadlineMs", 600001).pointer, "/routes/0/deadlineMs");
        EXPECT_EQ(errorOf("/routes/0/deadlineMs", 600000).code, ResultCode::Ok);
    });
    section("an objective that exceeds the deadline by a minute or more", [] {
        EXPECT_EQ(errorOf("/routes/0/objectiveMs", 61200).pointer, "/routes/0/objectiveMs");
        EXPECT_EQ(errorOf("/routes/0/objectiveMs", 61199).code, ResultCode::Ok);
    });
    section("a route with deadline 0, also if unknown keys are ignored", [] {
        EXPECT_EQ(errorOf("/routes/0/deadlineMs", 0, { UnknownKeys::Ignore, true }).pointer, "/routes/0/deadlineMs");
    });
    section("a split whose weights are all 0", [] { EXPECT_EQ(errorOf("/routes/0/split", { { { "service", "ledger" }, { "weight", 0 } } }).pointer, "/routes/0/split"); });
    section("two routes with the same host and prefix", [] {
        json twin = { { "name", "twin" }, { "host", "A.example" }, { "pathPrefix", "/x/" }, { "kind", "safe" }, { "deadlineMs", 100 }, { "service", "ledger" } };
        EXPECT_EQ(errorOf("/routes/2", twin).code, ResultCode::ManifestOverlap);
        twin["host"] = "c.example";
        EXPECT_EQ(errorOf("/routes/2", twin).code, ResultCode::Ok);
    });
    section("an unknown kind", [] { EXPECT_EQ(errorOf("/routes/0/kind", "streaming").pointer, "/routes/0/kind"); });
    section("a service that no route refers to, unless unknown keys are ignored", [] {
        json unused = { { "name", "unused" } };
        EXPECT_EQ(errorOf("/services/2", unused).pointer, "/services/2/kinds");
        EXPECT_EQ(errorOf("/services/2", unused, { UnknownKeys::Ignore, false }).code, ResultCode::Ok);
    });
    section("a truncated manifest", [] {
        std::string text = routedManifest().dump();
        for (size_t length = 0; length < text.size(); length += 7)
            EXPECT_TRUE(std::holds_alternative<DocumentError>(parseManifest(text.substr(0, length), { UnknownKeys::Ignore, true }))) << length;
    });
}

TEST(RouteParserTest, appliesPolicy)
{
    section("unknown keys are refused or ignored", [] {
        EXPECT_EQ(errorOf("/routes/0/color", "blue").code, ResultCode::ManifestUnknownKey);
        EXPECT_EQ(errorOf("/routes/0/color", "blue", { UnknownKeys::Ignore, false }).code, ResultCode::Ok);
        EXPECT_EQ(errorOf("/services/0/Protocol", "h1", { UnknownKeys::Ignore, false }).code, ResultCode::Ok);
    });
    section("the original text is stored unchanged", [] {
        std::string text = routedManifest().dump(3);
        auto parsed = parseManifest(text, { UnknownKeys::Refuse, true });
        bool found = false;
        for (const auto& [key, document] : std::get<CheckedManifest>(parsed).documents)
            found = found || (documentType(key) == DocumentType::Source && document == text);
        EXPECT_TRUE(found);
    });
}

TEST(ControlAddressTest, convertsAddressesToIds)
{
    EXPECT_EQ(vmIdOfEndpoint("10.1.0.21:8382"), 0x0a010015u);
    EXPECT_EQ(hostOfVmId(0x0a010015u), "10.1.0.21");
    EXPECT_EQ(vmIdOfEndpoint("control-1:8382"), std::nullopt);
    EXPECT_EQ(vmIdOfEndpoint("0.0.0.0:1"), std::nullopt);
}
