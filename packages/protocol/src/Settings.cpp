/** @file Settings.cpp Checks the settings of a daemon process. */
#include "kingcup/Settings.h"

#include "JsonReader.h"

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

constexpr size_t maxControlVms = 9; ///< Control VMs of one deployment.
constexpr size_t maxAllowedKeys = 10000; ///< Keys that may connect.
constexpr double minuteMs = 60 * 1000;
constexpr double hourMs = 60 * minuteMs;

/** Returns whether all characters belong to the alphabet of Z85 (ZeroMQ RFC 32). */
bool isZ85(std::string_view text)
{
    auto allowed = [](char c) { return absl::ascii_isalnum(static_cast<unsigned char>(c)) || std::string_view(".-:+=^!/*?&<>()[]{}@%$#").find(c) != std::string_view::npos; };
    return std::all_of(text.begin(), text.end(), allowed);
}

constexpr TextRule keyText = { 40, 40, isZ85, "a CURVE key in Z85" };

/** Returns Required when a key belongs to a role that runs here. */
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
            reader.fail(settingsCodes.outOfRange, "roles", "may name entry and control");
        else if (flag)
            reader.fail(settingsCodes.outOfRange, "roles", "names a role twice");
        flag = true;
    }
}

/** Reads the list of control VMs. */
void readControlVms(JsonReader& reader, Settings& settings, DocumentError& error)
{
    std::set<uint32_t> ids;
    const json* vms = reader.array("controlVms", Presence::Required, 1, maxControlVms);
    for (size_t i = 0; vms && i < vms->size(); i++) {
        ControlVmAddress vm;
        JsonReader nested((*vms)[i], pointerTo(reader.pointerOf("controlVms"), std::to_string(i)), settingsCodes, error);
        nested.integer("id", vm.id, Presence::Required, 1, 65535);
        nested.text("link", vm.link, Presence::Required, endpointText);
        nested.text("publicKey", vm.publicKey, Presence::Required, keyText);
        nested.finish();
        if (!ids.insert(vm.id).second)
            nested.fail(settingsCodes.outOfRange, "id", "is used twice");
        settings.controlVms.push_back(std::move(vm));
    }
}

/** Reads names, listeners and keys. */
void readIdentity(JsonReader& reader, Settings& settings)
{
    reader.text("deployment", settings.deployment, Presence::Required, nameText);
    reader.text("vm", settings.vm, Presence::Required, nameText);
    reader.text("availabilityZone", settings.availabilityZone, Presence::Required, nameText);
    reader.text("callerListener", settings.callerListener, requiredIf(settings.entry), endpointText);
    reader.text("operatorListener", settings.operatorListener, Presence::Required, endpointText);
    reader.integer("controlId", settings.controlId, requiredIf(settings.control), 1, 65535);
    reader.text("linkListener", settings.linkListener, requiredIf(settings.control), endpointText);
    reader.text("dataFolder", settings.dataFolder, requiredIf(settings.control), printableText);
    reader.text("curvePublicKey", settings.curvePublicKey, Presence::Required, keyText);
    reader.text("curveSecretKeyFile", settings.curveSecretKeyFile, Presence::Required, printableText);
    reader.text("operatorTokenFile", settings.operatorTokenFile, Presence::Required, printableText);
    reader.text("targetTokenFile", settings.targetTokenFile, Presence::Required, printableText);
    reader.text("logFile", settings.logFile, Presence::Optional, printableText);
    const json* keys = reader.array("allowedKeys", Presence::Optional, 0, maxAllowedKeys);
    for (size_t i = 0; keys && i < keys->size(); i++)
        settings.allowedKeys.push_back(reader.textElement(*keys, i, "allowedKeys", keyText));
}

/** Reads sizes and times. */
void readLimits(JsonReader& reader, Settings& settings)
{
    reader.integer("seed", settings.seed, Presence::Optional, 0, UINT64_MAX);
    reader.integer("callerThreads", settings.callerThreads, Presence::Optional, 1, 256);
    reader.integer("upstreamThreads", settings.upstreamThreads, Presence::Optional, 1, 256);
    reader.integer("maxCallerConnections", settings.maxCallerConnections, Presence::Optional, 1, 1000000);
    reader.integer("maxHeaderBytes", settings.maxHeaderBytes, Presence::Optional, 1024, 1u << 20);
    reader.milliseconds("slowSenderTimeoutMs", settings.slowSenderTimeout, Presence::Optional, 1, hourMs);
    reader.milliseconds("stopNoticeMs", settings.stopNotice, Presence::Optional, 0, hourMs);
    reader.milliseconds("stopLimitMs", settings.stopLimit, Presence::Optional, 0, 24 * hourMs);
    reader.milliseconds("electionTimeoutMs", settings.electionTimeout, Presence::Optional, 10, minuteMs);
    reader.milliseconds("heartbeatIntervalMs", settings.heartbeatInterval, Presence::Optional, 1, minuteMs);
    reader.milliseconds("leaseTermMs", settings.leaseTerm, Presence::Optional, 10, minuteMs);
    reader.milliseconds("sessionIntervalMs", settings.sessionInterval, Presence::Optional, 1, minuteMs);
    reader.milliseconds("targetLeaseMs", settings.targetLease, Presence::Optional, 10, hourMs);
    reader.integer("snapshotEntries", settings.snapshotEntries, Presence::Optional, 1, 1u << 24);
}

/** Checks rules that concern several members. */
void checkTogether(JsonReader& reader, const Settings& settings)
{
    auto isSelf = [&](const ControlVmAddress& vm) { return vm.id == settings.controlId; };
    bool listed = std::any_of(settings.controlVms.begin(), settings.controlVms.end(), isSelf);
    if (settings.control && !listed)
        reader.fail(settingsCodes.outOfRange, "controlId", "is not among controlVms");
    if (settings.heartbeatInterval * 2 > settings.electionTimeout)
        reader.fail(settingsCodes.outOfRange, "heartbeatIntervalMs", "must be at most half of electionTimeoutMs");
    if (settings.sessionInterval * 2 > settings.leaseTerm)
        reader.fail(settingsCodes.outOfRange, "sessionIntervalMs", "must be at most half of leaseTermMs");
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
    readIdentity(reader, settings);
    readControlVms(reader, settings, error);
    readLimits(reader, settings);
    reader.finish();
    checkTogether(reader, settings);
    if (error.code != ResultCode::Ok)
        return error;
    return settings;
}

} // namespace kingcup
