/** @file OrganisationParser.cpp Parses and validates organisations. Error messages name the place of a key, never the key. */
#include "OrganisationParser.h"

#include "ManifestText.h"
#include "kingcup/ApiKey.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <map>
#include <set>

namespace kingcup {

using nlohmann::json;

namespace {

constexpr size_t maxOrganisations = 10000; ///< Limit per manifest.
constexpr size_t maxKeys = 100; ///< Limit per organisation.
constexpr double maxRequestsPerSecond = 1e9;
constexpr uint64_t lowestPriority = 9; ///< Lowest admission priority; larger values are reduced to it.

/** Returns whether all characters are visible ASCII. */
bool isVisible(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return absl::ascii_isgraph(static_cast<unsigned char>(c)); });
}

/** Returns whether the text is a hash in its canonical form. */
bool isKeyHash(std::string_view text)
{
    return parseKeyHash(text).has_value();
}

constexpr TextRule apiKeyText = { 1, 255, isVisible, "visible ASCII characters" };
constexpr TextRule keyHashText = { 64, 64, isKeyHash, "64 lowercase hexadecimal digits" };

/** Passes the scalar members of an organisation to a JsonReader or JsonWriter. */
template <typename Visitor, typename OrganisationType>
void describeOrganisation(Visitor& visitor, OrganisationType& organisation)
{
    visitor.text("name", organisation.name, Presence::Required, nameText);
    visitor.number("requestsPerSecond", organisation.requestsPerSecond, Presence::Optional, 0, maxRequestsPerSecond);
    visitor.number("burst", organisation.burst, Presence::Optional, 0, maxRequestsPerSecond);
}

/** Reads the priority, which takes precedence over that of the kind if it is present. */
void readPriority(JsonReader& reader, Organisation& organisation)
{
    uint64_t priority = UINT64_MAX;
    reader.integer("priority", priority, Presence::Optional, 0, UINT32_MAX);
    if (priority != UINT64_MAX)
        organisation.priority = static_cast<int>(std::min(priority, lowestPriority));
}

/** Adds the hash of a key. An organisation must not have a key twice. */
void addHash(JsonReader& reader, std::string_view key, std::string hash, std::set<std::string>& hashes)
{
    if (!hashes.insert(std::move(hash)).second)
        reader.fail(ResultCode::ManifestOverlap, key, "contains a key twice");
}

/** Reads `apiKeys` and `keyHashes`. The hashes are ordered, so that the order of the keys does not change the document. */
std::vector<std::string> readHashes(JsonReader& reader)
{
    std::set<std::string> hashes;
    const json* keys = reader.array("apiKeys", Presence::Optional, 0, maxKeys);
    for (size_t i = 0; keys && i < keys->size(); i++)
        addHash(reader, "apiKeys", formatKeyHash(hashApiKey(reader.textElement(*keys, i, "apiKeys", apiKeyText))), hashes);
    const json* stored = reader.array("keyHashes", Presence::Optional, 0, maxKeys);
    for (size_t i = 0; stored && i < stored->size(); i++)
        addHash(reader, "keyHashes", reader.textElement(*stored, i, "keyHashes", keyHashText), hashes);
    return { hashes.begin(), hashes.end() };
}

} // namespace

Organisation readOrganisation(const json& value, const std::string& pointer, const DocumentCodes& codes, DocumentError& error)
{
    Organisation organisation;
    JsonReader reader(value, pointer, codes, error);
    describeOrganisation(reader, organisation);
    readPriority(reader, organisation);
    organisation.keyHashes = readHashes(reader);
    reader.finish();
    return organisation;
}

void readOrganisations(JsonReader& reader, Manifest& manifest, DocumentError& error)
{
    std::set<std::string> names;
    std::map<std::string, std::string> holders;
    const json* organisations = reader.array("organisations", Presence::Optional, 0, maxOrganisations);
    for (size_t i = 0; organisations && reader.good() && i < organisations->size(); i++) {
        std::string place = pointerTo(reader.pointerOf("organisations"), std::to_string(i));
        Organisation organisation = readOrganisation((*organisations)[i], place, reader.documentCodes(), error);
        if (reader.good() && !names.insert(organisation.name).second)
            error = { ResultCode::ManifestOverlap, place + "/name", absl::StrCat("organisation ", organisation.name, " is defined twice") };
        for (const std::string& hash : organisation.keyHashes) {
            auto [holder, isNew] = holders.emplace(hash, organisation.name);
            if (reader.good() && !isNew)
                error = { ResultCode::ManifestOverlap, place + "/apiKeys", absl::StrCat("contains a key of organisation ", holder->second) };
        }
        manifest.organisations.push_back(std::move(organisation));
    }
}

std::string writeOrganisation(const Organisation& organisation)
{
    JsonWriter writer;
    describeOrganisation(writer, organisation);
    writer.set("keyHashes", organisation.keyHashes);
    if (organisation.priority)
        writer.set("priority", *organisation.priority);
    return writer.object.dump();
}

} // namespace kingcup
