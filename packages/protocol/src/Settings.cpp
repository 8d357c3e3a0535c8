/** @file Settings.cpp Parses and validates the settings of a daemon process. */
#include "kingcup/Settings.h"

#include "JsonReader.h"
#include "kingcup/ControlAddress.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <set>

namespace kingcup {

using nlohmann::json;

namespace {

constexpr DocumentCodes settingsCodes = {
    ResultCode::SettingsSyntax,
    ResultCode::SettingsUnknownKey,
    ResultCode::SettingsWrongType,
    ResultCode::SettingsOutOfRange,
    ResultCode::SettingsMissingKey,
};

constexpr size_t maxControlVms = 9; ///< Limit per deployment.
constexpr size_t maxSeeds = 32; ///< Limit per process.
constexpr size_t maxAllowedKeys = 10000; ///< Limit of CURVE keys that may connect.
constexpr double minuteMs = 60 * 1000;
constexpr double hourMs = 60 * minuteMs;
constexpr double minGracePeriodSeconds = 0.1;
constexpr double maxGracePeriodSeconds = 86400;

constexpr EnumName<LinkSecurity> linkSecurityNames[] = {
    { LinkSecurity::Curve, "curve" },
    { LinkSecurity::None, "none" },
};

constexpr EnumName<ListenerAccess> accessNames[] = {
    { ListenerAccess::Tokens, "tokens" },
    { ListenerAccess::Open, "open" },
};

constexpr EnumName<NumberPolicy> numberPolicyNames[] = {
    { NumberPolicy::Strict, "strict" },
    { NumberPolicy::HighestWins, "highest" },
};

constexpr EnumName<UnknownKeys> unknownKeysNames[] = {
    { UnknownKeys::Refuse, "refuse" },
    { UnknownKeys::Ignore, "ignore" },
};

/** Returns whether all characters are in the Z85 alphabet (ZeroMQ RFC 32). */
bool isZ85(std::string_view text)
{
    auto allowed = [](char c) { return absl::ascii_isalnum(static_cast<unsigned char>(c)) || std::string_view(".-:+=^!/*?&<>()[]{}@%$#").find(c) != std::string_view::npos; };
    return std::all_of(text.begin(), text.end(), allowed);
}

constexpr TextRule keyText = { 40, 40, isZ85, "a CURVE key in Z85" };

/** Returns Required if the condition holds, otherwise Optional. */
Presence requiredIf(bool role)
{
    return role ? Presence::Required : Presence::Optional;
}

/** Reads the roles. */
void readRoles(JsonReader& reader, Settings& settings)
{
    const json* roles = reader.array("roles", Presence::Required, 1, 2);
    for (size_t i = 0; roles && i < roles->size(); i++) {
        std::string role = reader.textElement(*roles, i, "roles", nameText);
        bool& flag = role == "entry" ? settings.entry : settings.control;
        if (role != "entry" && role != "control")
            reader.fail(settingsCodes.outOfRange, "roles", "may contain only entry and control");
        else if (flag)
            reader.fail(settingsCodes.outOfRange, "roles", "contains a role twice");
        flag = true;
    }
}

/** Reads the list of control VMs. */
void readControlVms(JsonReader& reader, Settings& settings, DocumentError& error)
{
    std::set<uint32_t> ids;
    const json* vms = reader.array("controlVms", requiredIf(settings.controlSeeds.empty()), 1, maxControlVms);
    for (size_t i = 0; vms && i < vms->size(); i++) {
        ControlVmAddress vm;
        JsonReader nested((*vms)[i], pointerTo(reader.pointerOf("controlVms"), std::to_string(i)), settingsCodes, error);
        nested.integer("id", vm.id, Presence::Required, 1, 65535);
        nested.text("link", vm.link, Presence::Required, endpointText);
        nested.text("publicKey", vm.publicKey, requiredIf(settings.linkSecurity == LinkSecurity::Curve), keyText);
        nested.finish();
        if (!ids.insert(vm.id).second)
            nested.fail(settingsCodes.outOfRange, "id", "is used twice");
        settings.controlVms.push_back(std::move(vm));
    }
}

/** Reads the settings for control VMs that are found through seeds instead of a list. */
void readSeeds(JsonReader& reader, Settings& settings)
{
    const json* seeds = reader.array("controlSeeds", Presence::Optional, 1, maxSeeds);
    for (size_t i = 0; seeds && i < seeds->size(); i++)
        settings.controlSeeds.push_back(reader.textElement(*seeds, i, "controlSeeds", endpointText));
    reader.integer("linkPort", settings.linkPort, requiredIf(seeds != nullptr), 1, 65535);
    reader.flag("formGroup", settings.formGroup, Presence::Optional);
    reader.integer("toleratedLosses", settings.toleratedLosses, Presence::Optional, 0, 4);
}

/** Reads the security settings and the manifest policies. */
void readPolicies(JsonReader& reader, Settings& settings)
{
    reader.choice("linkSecurity", settings.linkSecurity, Presence::Optional, linkSecurityNames);
    reader.choice("access", settings.access, Presence::Optional, accessNames);
    reader.choice("manifestUnknownKeys", settings.manifestPolicy.unknownKeys, Presence::Optional, unknownKeysNames);
    reader.flag("keepManifestSource", settings.manifestPolicy.keepSource, Presence::Optional);
    reader.choice("manifestNumbers", settings.numberPolicy, Presence::Optional, numberPolicyNames);
}

/** Reads the retry budget. */
void readRetryBudget(JsonReader& reader, Settings& settings, DocumentError& error)
{
    const json* object = reader.object("retryBudget", Presence::Optional);
    if (!object)
        return;
    RetryBudgetLimits& budget = settings.retryBudget.emplace();
    JsonReader nested(*object, reader.pointerOf("retryBudget"), settingsCodes, error);
    nested.number("share", budget.share, Presence::Required, 0, 1);
    nested.number("slack", budget.slack, Presence::Required, 0, 1e6);
    double windowSeconds = 0;
    nested.number("windowSeconds", windowSeconds, Presence::Required, 0.1, 3600);
    budget.window = Milliseconds(windowSeconds * 1000);
    nested.finish();
}

/** Reads the cost of leaving the zone. */
void readZoneTransfer(JsonReader& reader, Settings& settings, DocumentError& error)
{
    const json* object = reader.object("zoneTransfer", Presence::Optional);
    if (!object)
        return;
    ZoneTransferCosts& costs = settings.zoneTransfer.emplace();
    JsonReader nested(*object, reader.pointerOf("zoneTransfer"), settingsCodes, error);
    nested.number("roundTripMs", costs.roundTripMs, Presence::Required, 0, minuteMs);
    nested.number("costPerGigabyte", costs.costPerGigabyte, Presence::Optional, 0, 1e9);
    // Without a value of time, a price has no equivalent in milliseconds.
    nested.number("valuePerSecond", costs.valuePerSecond, requiredIf(costs.costPerGigabyte > 0), 1e-9, 1e9);
    nested.finish();
}

/** Reads the accuracy of usage caps. */
void readUsageCap(JsonReader& reader, Settings& settings, DocumentError& error)
{
    const json* object = reader.object("usageCap", Presence::Optional);
    if (!object)
        return;
    JsonReader nested(*object, reader.pointerOf("usageCap"), settingsCodes, error);
    double windowSeconds = settings.usageCap.window.count() / 1000;
    nested.number("windowSeconds", windowSeconds, Presence::Optional, 0.1, 3600);
    settings.usageCap.window = Milliseconds(windowSeconds * 1000);
    nested.number("overage", settings.usageCap.overage, Presence::Optional, 0, 10);
    nested.number("slack", settings.usageCap.slack, Presence::Optional, 0, 1e6);
    nested.finish();
}

/** Reads the probe budget of services that are reached only through routes. */
void readMeasuringBudget(JsonReader& reader, Settings& settings, DocumentError& error)
{
    const json* object = reader.object("routeMeasuringBudget", Presence::Optional);
    if (!object)
        return;
    JsonReader nested(*object, reader.pointerOf("routeMeasuringBudget"), settingsCodes, error);
    nested.number("probesPerSecondPerTarget", settings.routeMeasuringBudget.probesPerSecondPerTarget, Presence::Optional, 0, 1000);
    nested.number("bytesPerSecondPerVm", settings.routeMeasuringBudget.bytesPerSecondPerVm, Presence::Optional, 0, 1e9);
    nested.number("burstSeconds", settings.routeMeasuringBudget.burstSeconds, Presence::Optional, 0, 60);
    nested.finish();
}

/** Reads names, listeners, file names and keys. */
void readIdentity(JsonReader& reader, Settings& settings)
{
    reader.text("deployment", settings.deployment, Presence::Required, nameText);
    reader.text("vm", settings.vm, Presence::Required, nameText);
    reader.text("availabilityZone", settings.availabilityZone, Presence::Required, nameText);
    reader.text("callerListener", settings.callerListener, requiredIf(settings.entry), endpointText);
    reader.text("operatorListener", settings.operatorListener, Presence::Required, endpointText);
    bool listed = settings.controlSeeds.empty();
    bool secured = settings.linkSecurity == LinkSecurity::Curve;
    bool tokens = settings.access == ListenerAccess::Tokens;
    reader.integer("controlId", settings.controlId, requiredIf(settings.control && listed), 1, 65535);
    reader.text("linkListener", settings.linkListener, requiredIf(settings.control), endpointText);
    reader.text("relayListener", settings.relayListener, Presence::Optional, endpointText);
    reader.text("dataFolder", settings.dataFolder, requiredIf(settings.control), printableText);
    reader.text("curvePublicKey", settings.curvePublicKey, requiredIf(secured), keyText);
    reader.text("curveSecretKeyFile", settings.curveSecretKeyFile, requiredIf(secured), printableText);
    reader.text("operatorTokenFile", settings.operatorTokenFile, requiredIf(tokens), printableText);
    reader.text("targetTokenFile", settings.targetTokenFile, requiredIf(tokens), printableText);
    reader.text("logFile", settings.logFile, Presence::Optional, printableText);
    const json* keys = reader.array("allowedKeys", Presence::Optional, 0, maxAllowedKeys);
    for (size_t i = 0; keys && i < keys->size(); i++)
        settings.allowedKeys.push_back(reader.textElement(*keys, i, "allowedKeys", keyText));
}

/** Reads thread counts, size limits and durations. */
void readLimits(JsonReader& reader, Settings& settings)
{
    reader.integer("seed", settings.seed, Presence::Optional, 0, UINT64_MAX);
    reader.integer("callerThreads", settings.callerThreads, Presence::Optional, 1, 256);
    reader.integer("upstreamThreads", settings.upstreamThreads, Presence::Optional, 1, 256);
    reader.integer("maxCallerConnections", settings.maxCallerConnections, Presence::Optional, 1, 1000000);
    reader.integer("maxRelayedConnections", settings.maxRelayedConnections, Presence::Optional, 1, 100000);
    reader.integer("maxHeaderBytes", settings.maxHeaderBytes, Presence::Optional, 1024, 1u << 20);
    reader.milliseconds("slowSenderTimeoutMs", settings.slowSenderTimeout, Presence::Optional, 1, hourMs);
    reader.milliseconds("stopNoticeMs", settings.stopNotice, Presence::Optional, 0, hourMs);
    reader.milliseconds("stopLimitMs", settings.stopLimit, Presence::Optional, 0, 24 * hourMs);
    double gracePeriodSeconds = 0;
    reader.number("stopGracePeriodSeconds", gracePeriodSeconds, Presence::Optional, minGracePeriodSeconds, maxGracePeriodSeconds);
    if (gracePeriodSeconds > 0)
        settings.stopGracePeriod = Milliseconds(gracePeriodSeconds * 1000);
    reader.milliseconds("electionTimeoutMs", settings.electionTimeout, Presence::Optional, 10, minuteMs);
    reader.milliseconds("heartbeatIntervalMs", settings.heartbeatInterval, Presence::Optional, 1, minuteMs);
    reader.milliseconds("leaseTermMs", settings.leaseTerm, Presence::Optional, 10, minuteMs);
    reader.milliseconds("sessionIntervalMs", settings.sessionInterval, Presence::Optional, 1, minuteMs);
    reader.milliseconds("keyRevocationMs", settings.keyRevocation, Presence::Optional, 0, hourMs);
    reader.milliseconds("targetLeaseMs", settings.targetLease, Presence::Optional, 10, hourMs);
    reader.integer("snapshotEntries", settings.snapshotEntries, Presence::Optional, 1, 1u << 24);
    reader.milliseconds("maxConnectionIdleMs", settings.maxConnectionIdle, Presence::Optional, 0, minuteMs);
    reader.milliseconds("suspicionWaitMs", settings.suspicionWait, Presence::Optional, 0, minuteMs);
    reader.milliseconds("tickMs", settings.tickInterval, Presence::Optional, 1, 1000);
}

/** Derives the id of a control VM that is found through seeds from the IPv4 address of its link listener. */
void deriveControlId(JsonReader& reader, Settings& settings)
{
    if (!settings.control || settings.controlSeeds.empty())
        return;
    std::optional<uint32_t> id = vmIdOfEndpoint(settings.linkListener);
    if (!id)
        reader.fail(settingsCodes.outOfRange, "linkListener", "must be an IPv4 address with controlSeeds");
    settings.controlId = id.value_or(0);
}

/** Checks the rules that involve several settings. */
void checkTogether(JsonReader& reader, const Settings& settings)
{
    auto isSelf = [&](const ControlVmAddress& vm) { return vm.id == settings.controlId; };
    bool listed = std::any_of(settings.controlVms.begin(), settings.controlVms.end(), isSelf);
    if (settings.control && settings.controlSeeds.empty() && !listed)
        reader.fail(settingsCodes.outOfRange, "controlId", "is not among controlVms");
    if (settings.heartbeatInterval * 2 > settings.electionTimeout)
        reader.fail(settingsCodes.outOfRange, "heartbeatIntervalMs", "must be at most half of electionTimeoutMs");
    if (settings.sessionInterval * 2 > settings.leaseTerm)
        reader.fail(settingsCodes.outOfRange, "sessionIntervalMs", "must be at most half of leaseTermMs");
    if (settings.keyRevocation.count() > 0 && settings.sessionInterval * 2 > settings.keyRevocation)
        reader.fail(settingsCodes.outOfRange, "sessionIntervalMs", "must be at most half of keyRevocationMs");
}

} // namespace

std::variant<Settings, DocumentError> parseSettings(std::string_view text)
{
    std::variant<json, DocumentError> document = parseJson(text, settingsCodes);
    if (auto* failure = std::get_if<DocumentError>(&document))
        return *failure;
    DocumentError error;
    Settings settings;
    JsonReader reader(std::get<json>(document), "", settingsCodes, error);
    readRoles(reader, settings);
    readPolicies(reader, settings);
    readSeeds(reader, settings);
    readIdentity(reader, settings);
    readRetryBudget(reader, settings, error);
    readZoneTransfer(reader, settings, error);
    readUsageCap(reader, settings, error);
    readMeasuringBudget(reader, settings, error);
    readControlVms(reader, settings, error);
    readLimits(reader, settings);
    reader.finish();
    deriveControlId(reader, settings);
    checkTogether(reader, settings);
    if (error.code != ResultCode::Ok)
        return error;
    return settings;
}

} // namespace kingcup
