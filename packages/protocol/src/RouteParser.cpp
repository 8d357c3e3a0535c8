/** @file RouteParser.cpp Parses and validates routes and the limits for callers. */
#include "RouteParser.h"

#include "ManifestText.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace kingcup {

using nlohmann::json;

namespace {

constexpr EnumName<RouteKind> routeKindNames[] = {
    { RouteKind::Safe, "safe" },
    { RouteKind::Unsafe, "unsafe" },
    { RouteKind::Download, "download" },
};

/** Returns whether a text consists of printable ASCII without spaces and slashes; uppercase letters are allowed. */
bool isRouteHost(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f && c != '/'; });
}

constexpr TextRule routeHostText = { 1, 255, isRouteHost, "a host name" };

constexpr char anyMethod = '*'; ///< Method of a kind that matches requests by path only.
constexpr size_t maxShares = 1000; ///< Limit of services per route.
constexpr double longestDeadlineMs = 10.0 * 60 * 1000; ///< Longer deadlines are most likely mistakes and are refused.
constexpr double objectiveSlackMs = 60.0 * 1000; ///< An objective may exceed the deadline by less than this; it then has no effect.
constexpr double anyTimeMs = 1e12; ///< Upper bound of durations that are checked elsewhere or only stored.
constexpr uint64_t lowestPriority = 9; ///< Lowest admission priority; larger values are reduced to it.

/** Passes the scalar members of a route to a JsonReader or JsonWriter. */
template <typename Visitor, typename RouteType>
void describeRoute(Visitor& visitor, RouteType& route)
{
    visitor.text("name", route.name, Presence::Required, nameText);
    visitor.text("host", route.host, Presence::Required, routeHostText);
    visitor.text("pathPrefix", route.pathPrefix, Presence::Required, prefixText);
    visitor.choice("kind", route.kind, Presence::Required, routeKindNames);
    visitor.milliseconds("deadlineMs", route.rules.deadline, Presence::Required, 1, longestDeadlineMs);
    visitor.milliseconds("objectiveMs", route.rules.objective, Presence::Optional, 0, longestDeadlineMs + objectiveSlackMs);
    visitor.integer("priority", route.rules.priority, Presence::Optional, 0, UINT32_MAX);
    visitor.integer("maxAttempts", route.rules.maxAttempts, Presence::Optional, 0, UINT32_MAX);
}

/** Passes the limits for callers to a JsonReader or JsonWriter. */
template <typename Visitor, typename Limits>
void describeCallerLimits(Visitor& visitor, Limits& limits)
{
    visitor.integer("maxHeaderBytes", limits.maxHeaderBytes, Presence::Optional, 0, UINT32_MAX);
    visitor.integer("maxBodyBytes", limits.maxBodyBytes, Presence::Optional, 0, UINT64_MAX);
    visitor.milliseconds("headerTimeoutMs", limits.headerTimeout, Presence::Optional, 0, anyTimeMs);
    visitor.milliseconds("idleTimeoutMs", limits.idleTimeout, Presence::Optional, 0, anyTimeMs);
}

/** Reads `service`, or the services of `split` with their weights. */
std::vector<RouteShare> readShares(JsonReader& reader, DocumentError& error)
{
    RouteShare only;
    reader.text("service", only.service, Presence::Optional, nameText);
    std::vector<RouteShare> shares;
    const json* split = reader.array("split", Presence::Optional, 0, maxShares);
    for (size_t i = 0; split && reader.good() && i < split->size(); i++) {
        RouteShare& share = shares.emplace_back();
        JsonReader nested((*split)[i], pointerTo(reader.pointerOf("split"), std::to_string(i)), reader.documentCodes(), error);
        nested.text("service", share.service, Presence::Required, nameText);
        nested.integer("weight", share.weight, Presence::Required, 0, UINT32_MAX);
        nested.finish();
    }
    auto isOnly = [&](const RouteShare& share) { return share.service == only.service; };
    if (shares.empty() && !only.service.empty())
        shares.push_back(only);
    else if (!only.service.empty() && std::none_of(shares.begin(), shares.end(), isOnly))
        shares.push_back({ only.service, 0 }); // Gets no requests beside a split, but has to be known.
    if (shares.empty())
        reader.fail(manifestCodes.missingKey, "service", "or a split is required");
    auto hasWeight = [](const RouteShare& share) { return share.weight > 0; };
    if (!shares.empty() && std::none_of(shares.begin(), shares.end(), hasWeight))
        reader.fail(manifestCodes.outOfRange, "split", "must have a weight above 0");
    return shares;
}

/** Derives the remaining rules of a route and clamps values to their ranges. */
void completeRules(Route& route)
{
    Kind& rules = route.rules;
    rules.name = route.name;
    rules.method.assign(1, anyMethod);
    rules.path = absl::StrCat(route.pathPrefix, "*");
    rules.repeatable = route.kind != RouteKind::Unsafe;
    rules.whenIsolated = WhenIsolated::Serve;
    rules.mayWait = rules.deadline;
    rules.priority = std::min(rules.priority, static_cast<int>(lowestPriority));
    rules.maxAttempts = std::max(rules.maxAttempts, 1u);
    bool hasObjective = rules.objective.count() > 0 && rules.objective < rules.deadline;
    rules.objective = hasObjective ? rules.objective : rules.deadline;
}

} // namespace

Route readRoute(const json& value, const std::string& pointer, const DocumentCodes& codes, DocumentError& error)
{
    Route route;
    JsonReader reader(value, pointer, codes, error);
    describeRoute(reader, route);
    reader.flag("public", route.isPublic, Presence::Optional);
    route.shares = readShares(reader, error);
    reader.finish();
    if (route.rules.objective.count() >= route.rules.deadline.count() + objectiveSlackMs)
        reader.fail(manifestCodes.outOfRange, "objectiveMs", "must exceed deadlineMs by less than 60000 ms");
    completeRules(route);
    return route;
}

std::string writeRoute(const Route& route)
{
    JsonWriter writer;
    describeRoute(writer, route);
    json split = json::array();
    for (const RouteShare& share : route.shares)
        split.push_back({ { "service", share.service }, { "weight", share.weight } });
    writer.set("split", std::move(split));
    // Left out by default, so that the digests of manifests without public routes stay as they are.
    if (route.isPublic)
        writer.set("public", true);
    return writer.object.dump();
}

CallerLimits readCallerLimits(const json& value, const std::string& pointer, const DocumentCodes& codes, DocumentError& error)
{
    CallerLimits limits;
    JsonReader reader(value, pointer, codes, error);
    describeCallerLimits(reader, limits);
    reader.finish();
    return limits;
}

std::string writeCallerLimits(const CallerLimits& limits)
{
    JsonWriter writer;
    describeCallerLimits(writer, limits);
    return writer.object.dump();
}

} // namespace kingcup
