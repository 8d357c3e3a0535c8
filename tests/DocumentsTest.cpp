/** @file DocumentsTest.cpp Guards against pages of docs/ that differ from the code: result codes, keys, ranges, defaults, metrics and log events; and against links that lead nowhere. */
#include "DocumentPage.h"
#include "testing/Story.h"

#include "kingcup/ManifestParser.h"
#include "kingcup/ResultCode.h"
#include "kingcup/Settings.h"

#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <nlohmann/json.hpp>

using namespace kingcup;
using namespace kingcup::testing;
using nlohmann::json;

namespace {

constexpr Milliseconds commandLimit { 10000 };

/** Returns all sources of the product, without tests and generated code. */
std::string productSources()
{
    std::string text;
    for (const char* folder : { "/packages", "/programs" }) {
        for (const auto& entry : std::filesystem::recursive_directory_iterator(std::string(KINGCUP_SOURCE) + folder)) {
            std::string path = entry.path().string();
            bool isProduct = path.find("/tests/") == std::string::npos && path.find("/generated/") == std::string::npos;
            if (isProduct && (path.ends_with(".cpp") || path.ends_with(".h")))
                text += readFile(path);
        }
    }
    return text;
}

/** Returns the keys that a parser reads, from its source. */
std::set<std::string> keysOfParser(const std::string& file)
{
    return matches(sourceText(file), "(?:text|integer|milliseconds|number|flag|choice|array|object|readNested)\\((?:reader, )?\"(\\w+)\"");
}

/** Checks a document and returns its error. */
using Check = std::function<DocumentError(const std::string& text)>;

/** Turns a parser into a check. */
template <typename Parser>
Check checkWith(Parser parser)
{
    return [parser](const std::string& text) {
        auto result = parser(text);
        auto* error = std::get_if<DocumentError>(&result);
        return error ? *error : DocumentError {};
    };
}

/** Returns the pointer of a key in a document; at the top when it is absent. */
std::string pointerOf(const json& document, const std::string& key)
{
    json leaves = document.flatten();
    for (const auto& [pointer, value] : leaves.items()) {
        if (pointer.ends_with("/" + key))
            return pointer;
    }
    return "/" + key;
}

/** Returns whether a check refuses a value of a key by its range. Rules that concern two keys do not count. */
bool isRefused(const Check& check, json document, const std::string& pointer, const json& value)
{
    document[json::json_pointer(pointer)] = value;
    DocumentError error = check(document.dump());
    bool concernsTwo = error.text.find("at most half of") != std::string::npos || error.text.find("is not among") != std::string::npos;
    return error.code != ResultCode::Ok && error.pointer == pointer && !concernsTwo;
}

/** Returns the value next to a bound. @param step 1 or -1. */
json neighbour(const std::string& type, const json& bound, int step)
{
    constexpr double smallStep = 0.00005;
    if (type == "number")
        return bound.get<double>() + step * smallStep;
    return bound.get<int64_t>() + step;
}

/** Tries both bounds of each row with a numeric range, and the values just outside. Returns the number of such rows. */
size_t checkRanges(const std::string& page, const json& document, const Check& check)
{
    size_t checked = 0;
    for (const std::vector<std::string>& row : tableRows(page, "key")) {
        std::smatch range;
        if (!std::regex_match(row.at(3), range, std::regex("([0-9.]+) to ([0-9.]+)")) || plain(row[0]) == "number")
            continue;
        checked++;
        section(row[0] + " " + row[3], [&] {
            json lowest = json::parse(range[1].str());
            json highest = json::parse(range[2].str());
            std::string pointer = pointerOf(document, plain(row[0]));
            EXPECT_FALSE(isRefused(check, document, pointer, lowest));
            EXPECT_FALSE(isRefused(check, document, pointer, highest));
            EXPECT_TRUE(isRefused(check, document, pointer, neighbour(row[1], lowest, -1)));
            bool hasNeighbour = highest != UINT64_MAX;
            EXPECT_EQ(hasNeighbour && isRefused(check, document, pointer, neighbour(row[1], highest, 1)), hasNeighbour);
        });
    }
    return checked;
}

/** Returns the canonical form of a service with one kind that sets only what is required, and a hedge. */
json smallestService()
{
    json kind = { { "name", "k" }, { "method", "GET" }, { "path", "/" }, { "repeatable", true }, { "hedge", json::object() } };
    json manifest = { { "number", 1 }, { "services", { { { "name", "s" }, { "pathPrefix", "/" }, { "kinds", { kind } } } } } };
    auto parsed = parseManifest(manifest.dump());
    return json::parse(std::get<CheckedManifest>(parsed).documents.at(0).second);
}

/** Returns the numbers of default settings, by key. */
std::map<std::string, double> defaultSettings()
{
    Settings settings;
    return {
        { "seed", settings.seed },
        { "callerThreads", settings.callerThreads },
        { "upstreamThreads", settings.upstreamThreads },
        { "maxCallerConnections", settings.maxCallerConnections },
        { "maxHeaderBytes", settings.maxHeaderBytes },
        { "slowSenderTimeoutMs", settings.slowSenderTimeout.count() },
        { "stopNoticeMs", settings.stopNotice.count() },
        { "stopLimitMs", settings.stopLimit.count() },
        { "electionTimeoutMs", settings.electionTimeout.count() },
        { "heartbeatIntervalMs", settings.heartbeatInterval.count() },
        { "leaseTermMs", settings.leaseTerm.count() },
        { "sessionIntervalMs", settings.sessionInterval.count() },
        { "toleratedLosses", settings.toleratedLosses },
        { "suspicionWaitMs", settings.suspicionWait.count() },
        { "tickMs", settings.tickInterval.count() },
        { "targetLeaseMs", settings.targetLease.count() },
        { "keyRevocationMs", settings.keyRevocation.count() },
        { "snapshotEntries", settings.snapshotEntries },
    };
}

} // namespace

TEST(Documents, resultCodesAreThoseOfTheTable)
{
    std::string page = sourceText("docs/RESULT_CODES.md");
    std::vector<std::vector<std::string>> expected;
    for (const ResultCodeRow& row : resultCodeTable()) {
        std::string name = "`" + std::string(row.name) + "`";
        expected.push_back({ std::to_string(static_cast<int>(row.code)), name, std::to_string(row.httpStatus),
            std::string(runStateName(row.runState)), row.hasRetryAfter ? "yes" : "no", std::string(row.text) });
    }
    std::vector<std::vector<std::string>> rows = tableRows(page, "code");
    std::string help = runCommand({ KINGCUPCTL, "--help" }, ScratchFolder().path(), commandLimit).output;
    auto isExitCode = [](const std::vector<std::string>& row) { return row.size() == 2; };
    for (const std::vector<std::string>& row : rows) {
        bool isNamed = help.find(row[0] + "     " + row[1]) != std::string::npos;
        EXPECT_TRUE(isNamed || !isExitCode(row)) << row[0] << " " << row[1] << "\n"
                                                 << help;
    }
    EXPECT_EQ(std::erase_if(rows, isExitCode), 8u);
    EXPECT_EQ(rows, expected);
}

TEST(Documents, manifestKeysRangesAndDefaults)
{
    std::string page = sourceText("docs/MANIFEST.md");
    std::set<std::string> keys = keysOfParser("packages/protocol/src/ManifestParser.cpp");
    keys.merge(keysOfParser("packages/protocol/src/RouteParser.cpp"));
    keys.merge(keysOfParser("packages/protocol/src/OrganisationParser.cpp"));
    EXPECT_EQ(firstCells(page, "key"), keys);
    section("the example is valid", [&] {
        for (const std::string& example : codeBlocks(page, "json"))
            EXPECT_EQ(checkWith([](const std::string& text) { return parseManifest(text); })(example).text, "");
        EXPECT_EQ(codeBlocks(page, "json").size(), 1u);
    });
    json service = smallestService();
    section("defaults are those that the parser fills in", [&] {
        size_t compared = 0;
        for (const std::vector<std::string>& row : tableRows(page, "key")) {
            if (row.at(4).front() != '`')
                continue;
            json::json_pointer pointer(pointerOf(service, plain(row[0])));
            json expected = plain(row[0]) == "repeatable" ? json(Kind().repeatable) : service.at(pointer);
            EXPECT_EQ(json::parse(plain(row[4])), expected) << row[0];
            compared++;
        }
        EXPECT_EQ(compared, 29u);
    });
    section("ranges are those that the parser enforces", [&] {
        service["kinds"][0]["deadlineMs"] = 86400000;
        service["kinds"][0]["mayWaitMs"] = 0;
        EXPECT_EQ(checkRanges(page, service, checkWith(parseService)), 23u);
    });
}

TEST(Documents, settingsKeysRangesAndDefaults)
{
    std::string page = sourceText("docs/SETTINGS.md");
    EXPECT_EQ(firstCells(page, "key"), keysOfParser("packages/protocol/src/Settings.cpp"));
    std::vector<std::string> examples = codeBlocks(page, "json");
    ASSERT_EQ(examples.size(), 2u);
    for (const std::string& example : examples)
        EXPECT_EQ(checkWith(parseSettings)(example).text, "") << example;
    section("defaults are those of the model", [&] {
        std::map<std::string, double> defaults = defaultSettings();
        for (const std::vector<std::string>& row : tableRows(page, "key")) {
            auto found = defaults.find(plain(row[0]));
            if (found == defaults.end())
                continue;
            EXPECT_EQ(json::parse(plain(row.at(4))), found->second) << row[0];
            defaults.erase(found);
        }
        EXPECT_TRUE(defaults.empty());
    });
    section("ranges are those that the parser enforces", [&] {
        EXPECT_EQ(checkRanges(page, json::parse(examples[0]), checkWith(parseSettings)), 23u);
    });
}

TEST(Documents, operationsNamesAllMetricsAndLogEvents)
{
    std::string page = sourceText("docs/OPERATIONS.md");
    std::string sources = productSources();
    EXPECT_EQ(firstCells(page, "metric"), matches(sources, "\"(kingcup_[a-z_]+)\""));
    std::set<std::string> events;
    for (const std::string& call : matches(sources, "logLine\\((?:kingcup::)?LogLevel::\\w+, ([^;{]*)"))
        events.merge(matches(call, "\"([a-z_]+)\""));
    EXPECT_FALSE(events.empty());
    EXPECT_EQ(firstCells(page, "event"), events);
}

TEST(Documents, linksLeadToFiles)
{
    const std::filesystem::path root = KINGCUP_SOURCE;
    for (const char* page : { "README.md", "CONTRIBUTING.md", "CHANGELOG.md", "docs/MANIFEST.md", "docs/OPERATIONS.md", "docs/PROTOCOL.md", "docs/RESULT_CODES.md", "docs/SETTINGS.md" }) {
        std::string text = sourceText(page);
        EXPECT_FALSE(text.empty()) << page;
        for (const std::string& link : matches(text, "\\]\\(([^)#]+)\\)"))
            EXPECT_TRUE(std::filesystem::exists((root / page).parent_path() / link)) << page << ": " << link;
    }
}
