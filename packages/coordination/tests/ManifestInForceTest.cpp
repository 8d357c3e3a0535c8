/** @file ManifestInForceTest.cpp Guards against a manifest that control acknowledges and that entry VMs refuse, so that they serve the former one for good. */
#include "ControlCommands.h"

#include "kingcup/ChangesCache.h"
#include "kingcup/EntryConfiguration.h"
#include "testing/Story.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace kingcup;
using namespace kingcup::testing;
using nlohmann::json;

namespace {

constexpr uint64_t manifestsPerSeed = 400;

/** What happened to a manifest. */
enum class Outcome {
    Refused, ///< By the parser or the state machine.
    InForce, ///< On an entry VM.
    Lost, ///< Acknowledged, but refused by the entry VM.
};

/** Submits a manifest to control and passes the result to an entry VM, as over the links. */
Outcome submit(const std::string& text)
{
    auto parsed = parseManifest(text, { UnknownKeys::Ignore, true });
    auto* checked = std::get_if<CheckedManifest>(&parsed);
    if (!checked)
        return Outcome::Refused;
    ControlStateMachine machine;
    wire::Command command;
    command.set_log_time_ms(1000);
    *command.mutable_apply_manifest() = makeApplyManifest(machine, *checked);
    wire::Command received;
    EXPECT_TRUE(received.ParseFromString(command.SerializeAsString()));
    if (codeOf(machine.apply(1, received)) != ResultCode::Ok)
        return Outcome::Refused;
    ChangesCache cache;
    wire::ConfigurationPush push;
    *push.mutable_changes() = cache.changesSince(0, machine);
    EntryConfiguration entry("vm1", 9, "espoo", Milliseconds(2500));
    entry.receivePush(push, timeAt(100));
    return entry.snapshot()->manifestNumber == checked->manifest.number ? Outcome::InForce : Outcome::Lost;
}

/** Returns a manifest in which every list has an element. */
json fullManifest()
{
    return json::parse(R"({
        "number": 7,
        "routes": [{"name": "r", "host": "a.example", "pathPrefix": "/x/", "kind": "safe", "deadlineMs": 1200, "service": "a", "split": [{"service": "b", "weight": 90}]}],
        "services": [{"name": "a", "pathPrefix": "/", "kinds": [{"name": "k", "method": "GET", "path": "/k", "repeatable": true, "hedge": {}}], "limits": {}, "measuringBudget": {}}, {"name": "b"}],
        "organisations": [{"name": "o", "apiKeys": ["key"]}],
        "callerLimits": {}
    })");
}

/** Numbers at which types and ranges end, whole and fractional. */
json edgeNumber(RandomSource& random)
{
    static const json edges = json::parse(R"([-2147483648, -1, -0.0, 0, 1e-320, 0.2, 0.9999, 1, 3, 9, 10, 11, 60, 200, 599, 600, 1000, 1024, 3600, 10000, 100000, 600000, 1000000, 16777216, 86400000, 1073741824,
        2147483647, 2147483648, 2592000000, 4294967295, 4294967296, 1000000000000, 9007199254740991, 9007199254740992, 9223372036854775807, 9223372036854775808, 18446744073709551615, 1.5, 3599.9999999999995, 86399999.99999999])");
    json edge = edges[random.below(edges.size())];
    if (edge.is_number_unsigned() && random.below(3) == 0)
        edge = edge.get<uint64_t>() - (random.below(2) && edge.get<uint64_t>() ? 1 : 0);
    return edge;
}

/** Changes some numbers of a manifest. */
void drawNumbers(json& manifest, RandomSource& random)
{
    static const std::vector<std::string> places = { "/number", "/routes/0/deadlineMs", "/routes/0/objectiveMs", "/routes/0/priority", "/routes/0/maxAttempts", "/routes/0/split/0/weight",
        "/services/0/maxConnections", "/services/0/coldStartSeconds", "/services/0/coldRequestsPerSecond", "/services/0/kinds/0/deadlineMs", "/services/0/kinds/0/mayWaitMs",
        "/services/0/kinds/0/objectiveMs", "/services/0/kinds/0/priority", "/services/0/kinds/0/maxAttempts", "/services/0/kinds/0/hedge/percentile", "/services/0/kinds/0/hedge/budgetShare",
        "/services/0/limits/queueLength", "/services/0/limits/maxInFlight", "/services/0/limits/retryShare", "/services/0/limits/maxEjectedShare", "/services/0/limits/subsetSize",
        "/services/0/limits/maxBodyBytes", "/services/0/limits/maxHeldAnswerBytes", "/services/0/limits/maxRecordedAnswerBytes", "/services/0/limits/claimRetentionMs",
        "/services/0/limits/quarantineMs", "/services/0/measuringBudget/probesPerSecondPerTarget", "/services/0/measuringBudget/bytesPerSecondPerVm", "/services/0/measuringBudget/burstSeconds",
        "/organisations/0/requestsPerSecond", "/organisations/0/burst", "/organisations/0/priority", "/callerLimits/maxHeaderBytes", "/callerLimits/maxBodyBytes", "/callerLimits/headerTimeoutMs",
        "/callerLimits/idleTimeoutMs" };
    for (uint64_t changes = random.below(4); changes > 0; changes--)
        manifest[json::json_pointer(places[random.below(places.size())])] = edgeNumber(random);
}

/** Returns the limit of a list, a number next to it, or a small number. */
size_t drawLength(size_t limit, RandomSource& random)
{
    const size_t lengths[] = { 0, 1, limit / 2 + 1, limit - 1, limit, limit + 1 };
    return lengths[random.below(std::size(lengths))];
}

std::string indexed(const std::string& name, size_t index)
{
    return name + std::to_string(index);
}

/** Changes the length of some lists of a manifest to the neighbourhood of their limits. */
void drawLists(json& manifest, RandomSource& random)
{
    json& route = manifest["routes"][0];
    json& organisation = manifest["organisations"][0];
    json& kind = manifest["services"][0]["kinds"][0];
    if (random.below(4) == 0) {
        route["split"] = json::array();
        for (size_t i = drawLength(1000, random); i > 0; i--) {
            route["split"].push_back({ { "service", indexed("s", i) }, { "weight", i } });
            manifest["services"].push_back({ { "name", indexed("s", i) } });
        }
    }
    if (random.below(2) == 0) {
        organisation["apiKeys"] = json::array();
        for (size_t i = drawLength(100, random); i > 0; i--)
            organisation["apiKeys"].push_back(indexed("key", i));
    }
    if (random.below(2) == 0) {
        for (size_t i = drawLength(100, random); i > 0; i--) {
            std::string digits = std::to_string(i);
            organisation["keyHashes"].push_back(std::string(64 - digits.size(), '0') + digits);
        }
    }
    if (random.below(3) == 0) {
        for (size_t i = drawLength(32, random); i > 0; i--)
            kind["notRunStatuses"].push_back(399 + i);
    }
    if (random.below(8) == 0) {
        for (size_t i = drawLength(200, random); i > 1; i--)
            manifest["services"][0]["kinds"].push_back({ { "name", indexed("k", i) }, { "method", "GET" }, { "path", indexed("/k", i) } });
    }
}

/** Changes the length of some texts to the neighbourhood of their limits. */
void drawTexts(json& manifest, RandomSource& random)
{
    if (random.below(4) == 0)
        manifest["routes"][0]["name"] = std::string(drawLength(64, random), 'n');
    if (random.below(4) == 0)
        manifest["organisations"][0]["name"] = std::string(drawLength(64, random), 'n');
    if (random.below(4) == 0)
        manifest["routes"][0]["host"] = std::string(drawLength(255, random), 'H');
    if (random.below(4) == 0)
        manifest["routes"][0]["pathPrefix"] = "/" + std::string(drawLength(511, random), 'p');
}

} // namespace

TEST(ManifestInForceTest, acknowledgedManifestsAreInForceOnEntryVms)
{
    uint64_t first = testSeed(1);
    size_t inForce = 0;
    size_t refused = 0;
    for (uint64_t seed = first; seed < first + 5; seed++) {
        RandomSource random(seed);
        for (uint64_t position = 0; position < manifestsPerSeed; position++) {
            json manifest = fullManifest();
            drawNumbers(manifest, random);
            drawLists(manifest, random);
            drawTexts(manifest, random);
            Outcome outcome = submit(manifest.dump());
            EXPECT_NE(outcome, Outcome::Lost) << "seed " << seed << ", manifest " << position << ": " << manifest.dump().substr(0, 1500);
            (outcome == Outcome::InForce ? inForce : refused)++;
        }
    }
    EXPECT_GT(inForce, refused / 4) << "most draws are refused, so little is checked";
    EXPECT_GT(refused, inForce / 20) << "hardly any draw is beyond a limit";
}

TEST(ManifestInForceTest, listsThatGrowWhenStored)
{
    section("a route that names a service beside a full split is in force", [] {
        json manifest = fullManifest();
        manifest["routes"][0]["split"] = json::array();
        for (size_t i = 0; i < 1000; i++) {
            manifest["routes"][0]["split"].push_back({ { "service", indexed("s", i) }, { "weight", 1 } });
            manifest["services"].push_back({ { "name", indexed("s", i) } });
        }
        EXPECT_EQ(submit(manifest.dump()), Outcome::InForce);
    });
    section("an organisation with as many keys as hashes of keys is in force", [] {
        json manifest = fullManifest();
        manifest["organisations"][0]["apiKeys"] = json::array();
        for (size_t i = 0; i < 100; i++) {
            manifest["organisations"][0]["apiKeys"].push_back(indexed("key", i));
            manifest["organisations"][0]["keyHashes"].push_back(std::string(62, '0') + std::to_string(i / 10) + std::to_string(i % 10));
        }
        EXPECT_EQ(submit(manifest.dump()), Outcome::InForce);
    });
    section("a manifest with the largest number of services and organisations is in force", [] {
        json manifest = fullManifest();
        for (size_t i = 2; i < 10000; i++)
            manifest["services"].push_back({ { "name", indexed("s", i) } });
        for (size_t i = 1; i < 10000; i++)
            manifest["organisations"].push_back({ { "name", indexed("o", i) } });
        EXPECT_EQ(submit(manifest.dump()), Outcome::InForce);
    });
}
