/** @file ManifestParser.cpp Validates manifests, builds their model and writes their canonical text. */
#include "kingcup/ManifestParser.h"

#include "ManifestText.h"
#include "OrganisationParser.h"
#include "RouteParser.h"
#include "kingcup/ManifestDigest.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <map>
#include <set>

namespace kingcup {

using nlohmann::json;

namespace {

constexpr EnumName<WhenIsolated> whenIsolatedNames[] = {
    { WhenIsolated::Refuse, "refuse" },
    { WhenIsolated::Serve, "serve" },
};

constexpr EnumName<ZonePreference> zonePreferenceNames[] = {
    { ZonePreference::None, "none" },
    { ZonePreference::Own, "own" },
};

constexpr uint64_t maxNumber = (uint64_t(1) << 53) - 1; ///< 2^53 - 1, the largest integer that every JSON library represents exactly.
constexpr size_t maxServices = 10000; ///< Limit per manifest.
constexpr size_t maxRoutes = 100000; ///< Limit per manifest.
constexpr size_t maxKinds = 200; ///< Limit per service; the overlap check is quadratic.
constexpr size_t maxNotRunStatuses = 32; ///< Limit per kind.
constexpr double msPerSecond = 1000;

/** Returns whether a service's prefix is a plain path, or absent. */
bool isServicePrefix(std::string_view text)
{
    return text.empty() || prefixText.accepts(text);
}

constexpr TextRule servicePrefixText = { 0, 512, isServicePrefix, "an absolute path" };
constexpr TextRule healthPathText = { 0, 512, isServicePrefix, "an absolute path" };

/** Passes the members of a hedge rule to a JsonReader or JsonWriter. */
template <typename Visitor, typename Rule>
void describeHedge(Visitor& visitor, Rule& rule)
{
    visitor.number("percentile", rule.percentile, Presence::Optional, 0.001, 0.9999);
    visitor.number("budgetShare", rule.budgetShare, Presence::Optional, 0, 0.2);
}

/** Passes the scalar members of a kind to a JsonReader or JsonWriter. */
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
    visitor.milliseconds("objectiveMs", kind.objective, Presence::Optional, 0, dayMs);
    visitor.integer("maxAttempts", kind.maxAttempts, Presence::Optional, 1, 10);
}

/** Passes the limits of a service to a JsonReader or JsonWriter. */
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

/** Passes the probe budget of a service to a JsonReader or JsonWriter. */
template <typename Visitor, typename Budget>
void describeBudget(Visitor& visitor, Budget& budget)
{
    visitor.number("probesPerSecondPerTarget", budget.probesPerSecondPerTarget, Presence::Optional, 0, 1000);
    visitor.number("bytesPerSecondPerVm", budget.bytesPerSecondPerVm, Presence::Optional, 0, 1e9);
    visitor.number("burstSeconds", budget.burstSeconds, Presence::Optional, 0, 60);
}

/** Passes the scalar members of a service to a JsonReader or JsonWriter. */
template <typename Visitor, typename ServiceType>
void describeService(Visitor& visitor, ServiceType& service)
{
    visitor.text("name", service.name, Presence::Required, nameText);
    visitor.text("host", service.host, Presence::Optional, hostText);
    visitor.text("pathPrefix", service.pathPrefix, Presence::Optional, servicePrefixText);
    visitor.choice("zonePreference", service.zonePreference, Presence::Optional, zonePreferenceNames);
    visitor.text("healthPath", service.healthPath, Presence::Optional, healthPathText);
    visitor.integer("maxConnections", service.maxConnections, Presence::Optional, 0, 1000000);
}

/** Rules for cold targets, in the units of the manifest. */
struct ColdRules {
    double startSeconds = 0;
    double requestsPerSecond = 0;
};

/** Passes the rules for cold targets to a JsonReader or JsonWriter. */
template <typename Visitor, typename Rules>
void describeCold(Visitor& visitor, Rules& rules)
{
    visitor.number("coldStartSeconds", rules.startSeconds, Presence::Optional, 0, 3600);
    visitor.number("coldRequestsPerSecond", rules.requestsPerSecond, Presence::Optional, 0, 1000000);
}

/** Reads the HTTP statuses that guarantee that the target did not run the request. */
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
        reader.fail(manifestCodes.outOfRange, "notRunStatuses", "contains a status twice");
}

/** Checks the rules that involve several members of a kind. */
void checkKind(JsonReader& reader, const Kind& kind)
{
    if (kind.mayWait > kind.deadline)
        reader.fail(manifestCodes.outOfRange, "mayWaitMs", "must not exceed deadlineMs");
    if (kind.objective > kind.deadline)
        reader.fail(manifestCodes.outOfRange, "objectiveMs", "must not exceed deadlineMs");
    if (kind.hedge && !kind.repeatable)
        reader.fail(manifestCodes.outOfRange, "hedge", "requires a repeatable kind, because a hedge runs the request twice");
    if (kind.keyRequired && kind.whenIsolated == WhenIsolated::Serve)
        reader.fail(manifestCodes.outOfRange, "whenIsolated", "must be refuse with keyRequired, because claims need a connection to the control VMs");
}

/** Reads an optional nested object with the given function. */
template <typename Describe>
void readNested(JsonReader& reader, std::string_view key, DocumentError& error, Describe describe)
{
    const json* object = reader.object(key, Presence::Optional);
    if (!object)
        return;
    JsonReader nested(*object, reader.pointerOf(key), reader.documentCodes(), error);
    describe(nested);
    nested.finish();
}

/** Reads one kind. */
Kind readKind(const json& value, const std::string& pointer, const DocumentCodes& codes, DocumentError& error)
{
    Kind kind;
    JsonReader reader(value, pointer, codes, error);
    describeKind(reader, kind);
    readNested(reader, "hedge", error, [&](JsonReader& nested) { describeHedge(nested, kind.hedge.emplace()); });
    readStatuses(reader, kind);
    reader.finish();
    checkKind(reader, kind);
    return kind;
}

/** Returns whether some path matches both patterns. */
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

/** Returns whether some request matches both kinds. */
bool kindsOverlap(const Kind& first, const Kind& second)
{
    bool methodsOverlap = first.method == second.method || first.method == "*" || second.method == "*";
    return methodsOverlap && pathsOverlap(first.path, second.path);
}

/** Reports a kind that has the name of an earlier one or overlaps it. */
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
Service readService(const json& value, const std::string& pointer, const DocumentCodes& codes, DocumentError& error)
{
    Service service;
    JsonReader reader(value, pointer, codes, error);
    describeService(reader, service);
    ColdRules cold;
    describeCold(reader, cold);
    service.coldStart = Milliseconds(cold.startSeconds * msPerSecond);
    service.coldRequestsPerSecond = cold.requestsPerSecond;
    readNested(reader, "limits", error, [&](JsonReader& nested) { describeLimits(nested, service.limits); });
    readNested(reader, "measuringBudget", error, [&](JsonReader& nested) { describeBudget(nested, service.measuringBudget); });
    const json* kinds = reader.array("kinds", Presence::Optional, 0, maxKinds);
    for (size_t i = 0; kinds && reader.good() && i < kinds->size(); i++) {
        std::string place = pointerTo(reader.pointerOf("kinds"), std::to_string(i));
        Kind kind = readKind((*kinds)[i], place, codes, error);
        checkOverlap(service.kinds, kind, place, error);
        service.kinds.push_back(std::move(kind));
    }
    reader.finish();
    if (!service.kinds.empty() && service.pathPrefix.empty())
        reader.fail(manifestCodes.missingKey, "pathPrefix", "is required");
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

/** Writes the canonical document of a service: all members, ordered by key, without whitespace. It includes defaults, so that a version with other defaults reads the same values. The rules for cold targets are left out if not stated, so that documents and digests of earlier versions stay valid. */
std::string writeService(const Service& service)
{
    JsonWriter limits;
    JsonWriter budget;
    JsonWriter writer;
    describeLimits(limits, service.limits);
    describeBudget(budget, service.measuringBudget);
    describeService(writer, service);
    const ColdRules cold { service.coldStart.count() / msPerSecond, service.coldRequestsPerSecond };
    describeCold(writer, cold);
    for (const char* key : { "coldStartSeconds", "coldRequestsPerSecond" }) {
        if (writer.object[key] == 0)
            writer.object.erase(key);
    }
    writer.set("limits", std::move(limits.object));
    writer.set("measuringBudget", std::move(budget.object));
    json kinds = json::array();
    for (const Kind& kind : service.kinds)
        kinds.push_back(writeKind(kind));
    writer.set("kinds", std::move(kinds));
    return writer.object.dump();
}

/** Reports services with the same name, or with the same host and path prefix. Nested prefixes are allowed: the longest match is used. */
void checkServices(const std::vector<Service>& services, DocumentError& error)
{
    std::set<std::string> names;
    std::map<std::pair<std::string, std::string>, std::string> selectors;
    for (size_t i = 0; i < services.size() && error.code == ResultCode::Ok; i++) {
        const Service& service = services[i];
        std::string pointer = absl::StrCat("/services/", i);
        std::string prefix = service.pathPrefix.ends_with("/") ? service.pathPrefix : service.pathPrefix + "/";
        if (!names.insert(service.name).second) {
            error = { ResultCode::ManifestOverlap, pointer + "/name", absl::StrCat("service ", service.name, " is defined twice") };
            return;
        }
        if (service.kinds.empty())
            continue;
        auto [selector, isNew] = selectors.emplace(std::pair(service.host, prefix), service.name);
        if (!isNew)
            error = { ResultCode::ManifestOverlap, pointer + "/pathPrefix", absl::StrCat("service ", selector->second, " has the same host and path prefix") };
    }
}

/** Reports routes to services that the manifest does not define. */
void checkShares(const Manifest& manifest, DocumentError& error)
{
    std::set<std::string_view> services;
    for (const Service& service : manifest.services)
        services.insert(service.name);
    for (size_t i = 0; i < manifest.routes.size() && error.code == ResultCode::Ok; i++) {
        for (const RouteShare& share : manifest.routes[i].shares) {
            if (!services.contains(share.service))
                error = { ResultCode::ManifestOutOfRange, absl::StrCat("/routes/", i), absl::StrCat("refers to the unknown service ", share.service) };
        }
    }
}

/** Reports a service that no request can reach. Pipelines that list services before their routes need manifests with ignored keys, which skip this check. */
void checkReachable(const Manifest& manifest, DocumentError& error)
{
    std::set<std::string_view> reached;
    for (const Route& route : manifest.routes) {
        for (const RouteShare& share : route.shares)
            reached.insert(share.service);
    }
    for (size_t i = 0; i < manifest.services.size() && error.code == ResultCode::Ok; i++) {
        const Service& service = manifest.services[i];
        if (service.kinds.empty() && !reached.contains(service.name))
            error = { ResultCode::ManifestOutOfRange, absl::StrCat("/services/", i, "/kinds"), "is empty, and no route refers to the service" };
    }
}

/** Reads the routes. Two routes must not have the same name, or the same host and prefix. */
void readRoutes(JsonReader& reader, Manifest& manifest, DocumentError& error)
{
    std::set<std::string> names;
    std::map<std::pair<std::string, std::string>, std::string> selectors;
    const json* routes = reader.array("routes", Presence::Optional, 0, maxRoutes);
    for (size_t i = 0; routes && reader.good() && i < routes->size(); i++) {
        std::string place = pointerTo(reader.pointerOf("routes"), std::to_string(i));
        Route route = readRoute((*routes)[i], place, reader.documentCodes(), error);
        if (reader.good() && !names.insert(route.name).second)
            error = { ResultCode::ManifestOverlap, place + "/name", absl::StrCat("route ", route.name, " is defined twice") };
        auto [selector, isNew] = selectors.emplace(std::pair(absl::AsciiStrToLower(route.host), route.pathPrefix), route.name);
        if (reader.good() && !isNew)
            error = { ResultCode::ManifestOverlap, place + "/pathPrefix", absl::StrCat("route ", selector->second, " has the same host and path prefix") };
        manifest.routes.push_back(std::move(route));
    }
}

/** Reads the whole document. */
Manifest readManifest(const json& document, const DocumentCodes& codes, DocumentError& error)
{
    Manifest manifest;
    JsonReader reader(document, "", codes, error);
    reader.integer("number", manifest.number, Presence::Required, 1, maxNumber);
    const json* services = reader.array("services", Presence::Required, 0, maxServices);
    for (size_t i = 0; services && reader.good() && i < services->size(); i++)
        manifest.services.push_back(readService((*services)[i], absl::StrCat("/services/", i), codes, error));
    readRoutes(reader, manifest, error);
    readOrganisations(reader, manifest, error);
    if (const json* limits = reader.object("callerLimits", Presence::Optional))
        manifest.callerLimits = readCallerLimits(*limits, reader.pointerOf("callerLimits"), codes, error);
    reader.finish();
    checkServices(manifest.services, error);
    checkShares(manifest, error);
    if (codes.unknownKeys == UnknownKeys::Refuse)
        checkReachable(manifest, error);
    return manifest;
}

/** Returns the canonical documents of a manifest, ordered by key. */
std::vector<std::pair<std::string, std::string>> canonicalDocuments(const Manifest& manifest)
{
    std::vector<std::pair<std::string, std::string>> documents;
    for (const Service& service : manifest.services)
        documents.emplace_back(documentKey(DocumentType::Service, service.name), writeService(service));
    for (const Route& route : manifest.routes)
        documents.emplace_back(documentKey(DocumentType::Route, route.name), writeRoute(route));
    for (const Organisation& organisation : manifest.organisations)
        documents.emplace_back(documentKey(DocumentType::Organisation, organisation.name), writeOrganisation(organisation));
    if (manifest.callerLimits)
        documents.emplace_back(documentKey(DocumentType::CallerLimits), writeCallerLimits(*manifest.callerLimits));
    return documents;
}

/** Parses one stored document with the read function of its type. */
template <typename Model>
std::variant<Model, DocumentError> parseDocument(std::string_view text, Model (*read)(const json&, const std::string&, const DocumentCodes&, DocumentError&))
{
    std::variant<json, DocumentError> document = parseJson(text, storedDocumentCodes);
    if (auto* failure = std::get_if<DocumentError>(&document))
        return *failure;
    DocumentError error;
    Model model = read(std::get<json>(document), "", storedDocumentCodes, error);
    if (error.code != ResultCode::Ok)
        return error;
    return model;
}

/** Prefixes of document keys. Service names contain no slash, so they cannot collide with a prefixed key. */
constexpr EnumName<DocumentType> documentPrefixes[] = {
    { DocumentType::Service, "" },
    { DocumentType::Route, "route/" },
    { DocumentType::Organisation, "organisation/" },
    { DocumentType::CallerLimits, "callerLimits/" },
    { DocumentType::Source, "source/" },
};

} // namespace

std::string documentKey(DocumentType type, const std::string& name)
{
    return std::string(nameOf(documentPrefixes, type)) + name;
}

DocumentType documentType(std::string_view key)
{
    for (const EnumName<DocumentType>& row : documentPrefixes) {
        if (!row.name.empty() && key.starts_with(row.name))
            return row.value;
    }
    return DocumentType::Service;
}

std::variant<CheckedManifest, DocumentError> parseManifest(std::string_view text, const ManifestPolicy& policy)
{
    if (text.size() > maxManifestBytes)
        return DocumentError { ResultCode::ManifestTooLarge, "", absl::StrCat("has more than ", maxManifestBytes, " bytes") };
    std::variant<json, DocumentError> document = parseJson(text, manifestCodes);
    if (auto* failure = std::get_if<DocumentError>(&document))
        return *failure;
    DocumentError error;
    CheckedManifest checked;
    const DocumentCodes& codes = policy.unknownKeys == UnknownKeys::Ignore ? lenientManifestCodes : manifestCodes;
    checked.manifest = readManifest(std::get<json>(document), codes, error);
    if (error.code != ResultCode::Ok)
        return error;
    auto byName = [](const auto& a, const auto& b) { return a.name < b.name; };
    std::sort(checked.manifest.services.begin(), checked.manifest.services.end(), byName);
    std::sort(checked.manifest.routes.begin(), checked.manifest.routes.end(), byName);
    std::sort(checked.manifest.organisations.begin(), checked.manifest.organisations.end(), byName);
    checked.documents = canonicalDocuments(checked.manifest);
    if (policy.keepSource)
        checked.documents.emplace_back(documentKey(DocumentType::Source), text);
    std::sort(checked.documents.begin(), checked.documents.end());
    ManifestDigest digest;
    for (const auto& [key, json] : checked.documents)
        digest.add(json);
    checked.digest = digest.text();
    return checked;
}

std::variant<Service, DocumentError> parseService(std::string_view text)
{
    return parseDocument<Service>(text, readService);
}

std::variant<Route, DocumentError> parseRoute(std::string_view text)
{
    return parseDocument<Route>(text, readRoute);
}

std::variant<Organisation, DocumentError> parseOrganisation(std::string_view text)
{
    return parseDocument<Organisation>(text, readOrganisation);
}

std::variant<CallerLimits, DocumentError> parseCallerLimits(std::string_view text)
{
    return parseDocument<CallerLimits>(text, readCallerLimits);
}

} // namespace kingcup
