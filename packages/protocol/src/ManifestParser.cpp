/** @file ManifestParser.cpp Checks manifests, builds their model and writes their canonical text. */
#include "kingcup/ManifestParser.h"

#include "JsonReader.h"
#include "kingcup/ManifestDigest.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <map>
#include <set>

namespace kingcup {

using nlohmann::json;

namespace {

constexpr DocumentCodes manifestCodes = {
    ResultCode::ManifestSyntax,
    ResultCode::ManifestUnknownKey,
    ResultCode::ManifestWrongType,
    ResultCode::ManifestOutOfRange,
    ResultCode::ManifestMissingKey,
};

constexpr EnumName<WhenIsolated> whenIsolatedNames[] = {
    { WhenIsolated::Refuse, "refuse" },
    { WhenIsolated::Serve, "serve" },
};

constexpr EnumName<ZonePreference> zonePreferenceNames[] = {
    { ZonePreference::None, "none" },
    { ZonePreference::Own, "own" },
};

constexpr uint64_t maxNumber = (uint64_t(1) << 53) - 1; ///< Largest number that every JSON library keeps exact.
constexpr size_t maxServices = 10000; ///< Services of one manifest.
constexpr size_t maxKinds = 200; ///< Kinds of one service; the overlap check is quadratic.
constexpr size_t maxNotRunStatuses = 32; ///< Statuses of one kind.
constexpr double dayMs = 24.0 * 3600 * 1000;

/** Returns whether the text is an HTTP method in capitals, or "*". */
bool isMethod(std::string_view text)
{
    return text == "*" || std::all_of(text.begin(), text.end(), [](char c) { return absl::ascii_isupper(static_cast<unsigned char>(c)); });
}

/** Returns whether the text is an absolute path without query, empty segments and dot segments. */
bool isPlainPath(std::string_view text)
{
    auto allowed = [](char c) { return absl::ascii_isgraph(static_cast<unsigned char>(c)) && c != '?' && c != '#' && c != '*'; };
    if (!text.starts_with('/') || !std::all_of(text.begin(), text.end(), allowed))
        return false;
    std::string closed = std::string(text) + "/";
    bool emptySegment = text.find("//") != std::string_view::npos;
    return !emptySegment && !absl::StrContains(closed, "/./") && !absl::StrContains(closed, "/../");
}

/** Returns whether the text is a plain path or a prefix that ends in "/" followed by "*". */
bool isKindPath(std::string_view text)
{
    return isPlainPath(text.ends_with("/*") ? text.substr(0, text.size() - 1) : text);
}

/** Returns whether the text is a host name in small letters, with an optional port. */
bool isHost(std::string_view text)
{
    auto allowed = [](char c) { return absl::ascii_islower(static_cast<unsigned char>(c)) || absl::ascii_isdigit(static_cast<unsigned char>(c)) || c == '.' || c == '-' || c == ':'; };
    return std::all_of(text.begin(), text.end(), allowed);
}

constexpr TextRule methodText = { 1, 16, isMethod, "an HTTP method in capitals or \"*\"" };
constexpr TextRule kindPathText = { 1, 512, isKindPath, "a path, or a prefix that ends in \"/*\"" };
constexpr TextRule prefixText = { 1, 512, isPlainPath, "an absolute path" };
constexpr TextRule hostText = { 0, 255, isHost, "a host name in small letters" };

/** Describes the members of a hedge rule to a reader or writer. */
template <typename Visitor, typename Rule>
void describeHedge(Visitor& visitor, Rule& rule)
{
    visitor.number("percentile", rule.percentile, Presence::Optional, 0.001, 0.9999);
    visitor.number("budgetShare", rule.budgetShare, Presence::Optional, 0, 0.2);
}

/** Describes the plain members of a kind. */
template <typename Visitor, typename KindType>
void describeKind(Visitor& visitor, KindType& kind)
{
    visitor.text("name", kind.name, Presence::Required, nameText);
    visitor.text("method", kind.method, Presence::Required, methodText);
    visitor.text("path", kind.path, Presence::Required, kindPathText);
    visitor.flag("repeatable", kind.repeatable, Presence::Optional);
    visitor.milliseconds("deadlineMs", kind.deadline, Presence::Optional, 1, dayMs);
    visitor.milliseconds("mayWaitMs", kind.mayWait, Presence::Optional, 0, dayMs);
    visitor.flag("mayRefuse", kind.mayRefuse, Presence::Optional);
    visitor.integer("priority", kind.priority, Presence::Optional, 0, 9);
    visitor.choice("whenIsolated", kind.whenIsolated, Presence::Optional, whenIsolatedNames);
    visitor.flag("keyRequired", kind.keyRequired, Presence::Optional);
}

/** Describes the limits of a service. */
template <typename Visitor, typename Limits>
void describeLimits(Visitor& visitor, Limits& limits)
{
    visitor.integer("queueLength", limits.queueLength, Presence::Optional, 0, 100000);
    visitor.integer("maxInFlight", limits.maxInFlight, Presence::Optional, 0, 100000);
    visitor.number("retryShare", limits.retryShare, Presence::Optional, 0, 1);
    visitor.number("maxEjectedShare", limits.maxEjectedShare, Presence::Optional, 0, 1);
    visitor.integer("subsetSize", limits.subsetSize, Presence::Optional, 1, 10000);
    visitor.integer("maxBodyBytes", limits.maxBodyBytes, Presence::Optional, 0, 1u << 30);
    visitor.integer("maxHeldAnswerBytes", limits.maxHeldAnswerBytes, Presence::Optional, 0, 16u << 20);
    visitor.integer("maxRecordedAnswerBytes", limits.maxRecordedAnswerBytes, Presence::Optional, 0, 1u << 20);
    visitor.milliseconds("claimRetentionMs", limits.claimRetention, Presence::Optional, 1, 30 * dayMs);
    visitor.milliseconds("quarantineMs", limits.quarantine, Presence::Optional, 1, dayMs);
}

/** Describes the probe budget of a service. */
template <typename Visitor, typename Budget>
void describeBudget(Visitor& visitor, Budget& budget)
{
    visitor.number("probesPerSecondPerTarget", budget.probesPerSecondPerTarget, Presence::Optional, 0, 1000);
    visitor.number("bytesPerSecondPerVm", budget.bytesPerSecondPerVm, Presence::Optional, 0, 1e9);
}

/** Describes the plain members of a service. */
template <typename Visitor, typename ServiceType>
void describeService(Visitor& visitor, ServiceType& service)
{
    visitor.text("name", service.name, Presence::Required, nameText);
    visitor.text("host", service.host, Presence::Optional, hostText);
    visitor.text("pathPrefix", service.pathPrefix, Presence::Required, prefixText);
    visitor.choice("zonePreference", service.zonePreference, Presence::Optional, zonePreferenceNames);
}

/** Reads the statuses by which a target promises that it did not run a request. */
void readStatuses(JsonReader& reader, Kind& kind)
{
    const json* statuses = reader.array("notRunStatuses", Presence::Optional, 0, maxNotRunStatuses);
    for (size_t i = 0; statuses && i < statuses->size(); i++) {
        uint64_t status = 0;
        if (reader.integerElement(*statuses, i, "notRunStatuses", status, 400, 599))
            kind.notRunStatuses.push_back(static_cast<int>(status));
    }
    std::sort(kind.notRunStatuses.begin(), kind.notRunStatuses.end());
    if (std::adjacent_find(kind.notRunStatuses.begin(), kind.notRunStatuses.end()) != kind.notRunStatuses.end())
        reader.fail(manifestCodes.outOfRange, "notRunStatuses", "names a status twice");
}

/** Checks rules of a kind that concern several members. */
void checkKind(JsonReader& reader, const Kind& kind)
{
    if (kind.mayWait > kind.deadline)
        reader.fail(manifestCodes.outOfRange, "mayWaitMs", "must not exceed deadlineMs");
    if (kind.hedge && !kind.repeatable)
        reader.fail(manifestCodes.outOfRange, "hedge", "needs a repeatable kind, because a hedge runs the request twice");
    if (kind.keyRequired && kind.whenIsolated == WhenIsolated::Serve)
        reader.fail(manifestCodes.outOfRange, "whenIsolated", "must be refuse with keyRequired, because no claim is possible without control");
}

/** Reads one nested object by its description. */
template <typename Describe>
void readNested(JsonReader& reader, std::string_view key, DocumentError& error, Describe describe)
{
    const json* object = reader.object(key, Presence::Optional);
    if (!object)
        return;
    JsonReader nested(*object, reader.pointerOf(key), manifestCodes, error);
    describe(nested);
    nested.finish();
}

/** Reads one kind. */
Kind readKind(const json& value, const std::string& pointer, DocumentError& error)
{
    Kind kind;
    JsonReader reader(value, pointer, manifestCodes, error);
    describeKind(reader, kind);
    readNested(reader, "hedge", error, [&](JsonReader& nested) { describeHedge(nested, kind.hedge.emplace()); });
    readStatuses(reader, kind);
    reader.finish();
    checkKind(reader, kind);
    return kind;
}

/** Returns whether one path pattern matches a request that the other one matches too. */
bool pathsOverlap(std::string_view first, std::string_view second)
{
    bool firstPrefix = first.ends_with("/*");
    bool secondPrefix = second.ends_with("/*");
    std::string_view firstStem = firstPrefix ? first.substr(0, first.size() - 1) : first;
    std::string_view secondStem = secondPrefix ? second.substr(0, second.size() - 1) : second;
    if (firstPrefix && secondStem.starts_with(firstStem))
        return true;
    if (secondPrefix && firstStem.starts_with(secondStem))
        return true;
    return first == second;
}

/** Returns whether a request can match both kinds. */
bool kindsOverlap(const Kind& first, const Kind& second)
{
    bool methodsOverlap = first.method == second.method || first.method == "*" || second.method == "*";
    return methodsOverlap && pathsOverlap(first.path, second.path);
}

/** Refuses a kind that repeats the name of an earlier one or overlaps with it. */
void checkOverlap(const std::vector<Kind>& earlier, const Kind& kind, const std::string& pointer, DocumentError& error)
{
    for (const Kind& other : earlier) {
        if (error.code != ResultCode::Ok)
            return;
        if (other.name == kind.name)
            error = { ResultCode::ManifestOverlap, pointer + "/name", absl::StrCat("kind ", kind.name, " is defined twice") };
        else if (kindsOverlap(other, kind))
            error = { ResultCode::ManifestOverlap, pointer + "/path", absl::StrCat("a request can match both ", kind.name, " and ", other.name) };
    }
}

/** Reads one service. */
Service readService(const json& value, const std::string& pointer, DocumentError& error)
{
    Service service;
    JsonReader reader(value, pointer, manifestCodes, error);
    describeService(reader, service);
    readNested(reader, "limits", error, [&](JsonReader& nested) { describeLimits(nested, service.limits); });
    readNested(reader, "measuringBudget", error, [&](JsonReader& nested) { describeBudget(nested, service.measuringBudget); });
    const json* kinds = reader.array("kinds", Presence::Required, 1, maxKinds);
    for (size_t i = 0; kinds && reader.good() && i < kinds->size(); i++) {
        std::string place = pointerTo(reader.pointerOf("kinds"), std::to_string(i));
        Kind kind = readKind((*kinds)[i], place, error);
        checkOverlap(service.kinds, kind, place, error);
        service.kinds.push_back(std::move(kind));
    }
    reader.finish();
    return service;
}

/** Writes the canonical form of a kind. */
json writeKind(const Kind& kind)
{
    JsonWriter writer;
    describeKind(writer, kind);
    writer.set("notRunStatuses", kind.notRunStatuses);
    if (kind.hedge) {
        JsonWriter hedge;
        describeHedge(hedge, *kind.hedge);
        writer.set("hedge", std::move(hedge.object));
    }
    return std::move(writer.object);
}

/** Writes the canonical document of a service: every member, keys ordered, no blanks. Defaults are written out, so that another version reads the same values. */
std::string writeService(const Service& service)
{
    JsonWriter limits;
    JsonWriter budget;
    JsonWriter writer;
    describeLimits(limits, service.limits);
    describeBudget(budget, service.measuringBudget);
    describeService(writer, service);
    writer.set("limits", std::move(limits.object));
    writer.set("measuringBudget", std::move(budget.object));
    json kinds = json::array();
    for (const Kind& kind : service.kinds)
        kinds.push_back(writeKind(kind));
    writer.set("kinds", std::move(kinds));
    return writer.object.dump();
}

/** Refuses services with one name, or with one host and path prefix. Nested prefixes are allowed: the longest wins. */
void checkServices(const std::vector<Service>& services, DocumentError& error)
{
    std::set<std::string> names;
    std::map<std::pair<std::string, std::string>, std::string> selectors;
    for (size_t i = 0; i < services.size() && error.code == ResultCode::Ok; i++) {
        const Service& service = services[i];
        std::string pointer = absl::StrCat("/services/", i);
        std::string prefix = service.pathPrefix.ends_with("/") ? service.pathPrefix : service.pathPrefix + "/";
        auto [selector, isNew] = selectors.emplace(std::pair(service.host, prefix), service.name);
        if (!names.insert(service.name).second)
            error = { ResultCode::ManifestOverlap, pointer + "/name", absl::StrCat("service ", service.name, " is defined twice") };
        else if (!isNew)
            error = { ResultCode::ManifestOverlap, pointer + "/pathPrefix", absl::StrCat("service ", selector->second, " has the same host and path prefix") };
    }
}

/** Reads the whole document. */
Manifest readManifest(const json& document, DocumentError& error)
{
    Manifest manifest;
    JsonReader reader(document, "", manifestCodes, error);
    reader.integer("number", manifest.number, Presence::Required, 1, maxNumber);
    const json* services = reader.array("services", Presence::Required, 0, maxServices);
    for (size_t i = 0; services && reader.good() && i < services->size(); i++)
        manifest.services.push_back(readService((*services)[i], absl::StrCat("/services/", i), error));
    reader.finish();
    checkServices(manifest.services, error);
    return manifest;
}

} // namespace

std::variant<CheckedManifest, DocumentError> parseManifest(std::string_view text)
{
    if (text.size() > maxManifestBytes)
        return DocumentError { ResultCode::ManifestTooLarge, "", absl::StrCat("has more than ", maxManifestBytes, " bytes") };
    std::variant<json, DocumentError> document = parseJson(text, manifestCodes);
    if (auto* failure = std::get_if<DocumentError>(&document))
        return *failure;
    DocumentError error;
    CheckedManifest checked;
    checked.manifest = readManifest(std::get<json>(document), error);
    if (error.code != ResultCode::Ok)
        return error;
    std::vector<Service>& services = checked.manifest.services;
    std::sort(services.begin(), services.end(), [](const Service& a, const Service& b) { return a.name < b.name; });
    ManifestDigest digest;
    for (const Service& service : services) {
        checked.documents.emplace_back(service.name, writeService(service));
        digest.add(checked.documents.back().second);
    }
    checked.digest = digest.text();
    return checked;
}

std::variant<Service, DocumentError> parseService(std::string_view text)
{
    std::variant<json, DocumentError> document = parseJson(text, manifestCodes);
    if (auto* failure = std::get_if<DocumentError>(&document))
        return *failure;
    DocumentError error;
    Service service = readService(std::get<json>(document), "", error);
    if (error.code != ResultCode::Ok)
        return error;
    return service;
}

} // namespace kingcup
