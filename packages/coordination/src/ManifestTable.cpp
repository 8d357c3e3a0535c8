/** @file ManifestTable.cpp Rules for manifest numbers, and documents and tombstones of services. */
#include "ManifestTable.h"

#include "kingcup/ManifestDigest.h"
#include "kingcup/ManifestParser.h"

#include <absl/strings/str_cat.h>
#include <set>

namespace kingcup {

namespace {

constexpr size_t digestDigits = 32; ///< 128 bits in hexadecimal.

/** Returns whether number, digest and names are valid and no service is listed twice. */
bool isWellFormed(const wire::ApplyManifest& command)
{
    std::set<std::string_view> names;
    for (const wire::ServiceDocument& document : command.changed()) {
        if (!hasValidLength(document.name(), maxDocumentKeyBytes) || document.json().empty() || !names.insert(document.name()).second)
            return false;
    }
    for (const std::string& name : command.removed()) {
        if (!names.insert(name).second)
            return false;
    }
    return command.number() > 0 && command.digest().size() == digestDigits;
}

/** Returns the log time at which a tombstone expires; 0 for a service in force. */
uint64_t expiryOf(const ServiceRow& row)
{
    return row.removedAtMs ? expiryAfter(row.removedAtMs, tombstoneRetentionMs) : 0;
}

} // namespace

Decision ManifestTable::decide(const wire::ApplyManifest& command, const ControlRules& rules) const
{
    if (!isWellFormed(command))
        return refusal(ResultCode::CommandMalformed, "manifest number, digest or service names are malformed");
    auto earlier = this->history.find(command.number());
    bool isEqual = command.number() == this->inForce.number;
    bool isLower = command.number() < this->inForce.number;
    if ((isEqual || isLower) && command.highest_number_wins())
        return acceptanceWithoutChange(earlier == this->history.end() ? 0 : earlier->second.index);
    bool isRefusedByNumber = (isEqual && rules.equalNumbersConflict) || (isLower && rules.manifestNumbersGrow);
    if (isRefusedByNumber && earlier != this->history.end())
        return this->decideByNumber(command, earlier->second);
    if (isRefusedByNumber)
        return refusal(ResultCode::ManifestOutdated, absl::StrCat("manifest number ", this->inForce.number, " is in force"));
    if (command.base_number() != this->inForce.number)
        return refusal(ResultCode::ManifestBaseChanged, absl::StrCat("manifest number ", this->inForce.number, " is in force"));
    if (this->digestAfter(command) != command.digest())
        return refusal(ResultCode::CommandMalformed, "the stated digest does not match the resulting manifest");
    return acceptance();
}

Decision ManifestTable::decideByNumber(const wire::ApplyManifest& command, const AcceptedManifestRow& earlier) const
{
    Decision decision;
    if (command.digest() != earlier.digest)
        decision = refusal(ResultCode::ManifestConflict, absl::StrCat("manifest number ", earlier.number, " was accepted with digest ", earlier.digest), earlier.index);
    else if (earlier.number == this->inForce.number)
        decision = acceptanceWithoutChange(earlier.index);
    else
        decision = refusal(ResultCode::ManifestSuperseded, absl::StrCat("manifest number ", this->inForce.number, " is in force"), earlier.index);
    decision.result.set_manifest_digest(earlier.digest);
    return decision;
}

std::string ManifestTable::digestAfter(const wire::ApplyManifest& command) const
{
    std::map<std::string_view, std::string_view> changed;
    for (const wire::ServiceDocument& document : command.changed())
        changed.emplace(document.name(), document.json());
    for (const std::string& name : command.removed())
        changed.emplace(name, "");
    ManifestDigest digest;
    auto change = changed.begin();
    auto addChange = [&] {
        if (!change->second.empty())
            digest.add(change->second);
        ++change;
    };
    for (const auto& [name, row] : this->rows) {
        while (change != changed.end() && change->first < name)
            addChange();
        if (change != changed.end() && change->first == name)
            addChange();
        else if (!row.removedAtMs)
            digest.add(row.json);
    }
    while (change != changed.end())
        addChange();
    return digest.text();
}

void ManifestTable::apply(LogIndex index, uint64_t nowMs, const wire::ApplyManifest& command)
{
    for (const wire::ServiceDocument& document : command.changed())
        this->put({ document.name(), document.json(), index, 0 });
    for (const std::string& name : command.removed()) {
        auto found = this->rows.find(name);
        if (found != this->rows.end() && !found->second.removedAtMs)
            this->put({ name, "", index, std::max<uint64_t>(nowMs, 1) });
    }
    this->inForce = { command.number(), command.digest() };
    this->history[command.number()] = { command.number(), command.digest(), index, nowMs };
    if (this->history.size() > maxAcceptedNumbers)
        this->history.erase(this->history.begin());
}

void ManifestTable::put(ServiceRow row)
{
    ServiceRow& stored = this->rows[row.name];
    this->modified.move(stored.index, row.index, row.name);
    this->removals.move(expiryOf(stored), expiryOf(row), row.name);
    stored = std::move(row);
}

void ManifestTable::addChanges(LogIndex index, bool full, wire::ConfigurationChanges& changes) const
{
    changes.set_manifest_number(this->inForce.number);
    changes.set_manifest_digest(this->inForce.digest);
    for (const std::string& name : this->modified.keysAfter(full ? 0 : index)) {
        const ServiceRow& row = this->rows.at(name);
        if (documentType(name) == DocumentType::Source)
            continue;
        if (!row.removedAtMs) {
            wire::ServiceDocument& document = *changes.add_services();
            document.set_name(row.name);
            document.set_json(row.json);
        } else if (!full)
            changes.add_removed_services(name);
    }
}

LogIndex ManifestTable::expire(uint64_t nowMs)
{
    LogIndex newest = 0;
    for (const std::string& name : this->removals.keysUpTo(nowMs)) {
        const ServiceRow& row = this->rows.at(name);
        newest = std::max(newest, row.index);
        this->modified.move(row.index, 0, name);
        this->removals.move(expiryOf(row), 0, name);
        this->rows.erase(name);
    }
    return newest;
}

bool ManifestTable::restore(ServiceRow row)
{
    if (this->rows.contains(row.name) || row.index == 0)
        return false;
    this->put(std::move(row));
    return true;
}

bool ManifestTable::restore(AcceptedManifestRow row)
{
    return this->history.emplace(row.number, row).second;
}

} // namespace kingcup
