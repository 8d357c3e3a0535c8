/** @file EntryConfiguration.cpp Merging of configuration changes, and the lease of an entry VM. */
#include "kingcup/EntryConfiguration.h"

#include "kingcup/ChangesCache.h"
#include "kingcup/ManifestParser.h"
#include "kingcup/ResultCode.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace kingcup {

namespace {

/** Stores a parsed document. Returns the error and stores nothing if parsing failed. */
template <typename Document>
std::optional<DocumentError> storeParsed(std::variant<Document, DocumentError> parsed, std::shared_ptr<const Document>& destination)
{
    if (auto* error = std::get_if<DocumentError>(&parsed))
        return *error;
    destination = std::make_shared<const Document>(std::get<Document>(std::move(parsed)));
    return std::nullopt;
}

/** Parses a changed document and stores it by its type. Returns an error if it is invalid. */
std::optional<DocumentError> mergeDocument(const wire::ServiceDocument& document, ConfigurationSnapshot& snapshot)
{
    switch (documentType(document.name())) {
    case DocumentType::Service:
        return storeParsed(parseService(document.json()), snapshot.services[document.name()]);
    case DocumentType::Route:
        return storeParsed(parseRoute(document.json()), snapshot.routes[document.name()]);
    case DocumentType::Organisation:
        return storeParsed(parseOrganisation(document.json()), snapshot.organisations[document.name()]);
    case DocumentType::CallerLimits:
        return storeParsed(parseCallerLimits(document.json()), snapshot.callerLimits);
    case DocumentType::Source:
        break;
    }
    return std::nullopt;
}

/** Removes the documents that are no longer part of the manifest. */
void removeDocuments(const wire::ConfigurationChanges& changes, ConfigurationSnapshot& snapshot)
{
    for (const std::string& name : changes.removed_services()) {
        snapshot.services.erase(name);
        snapshot.routes.erase(name);
        snapshot.organisations.erase(name);
        if (documentType(name) == DocumentType::CallerLimits)
            snapshot.callerLimits.reset();
    }
}

/** Changed target records of one service, by address. */
using RecordChanges = std::map<std::string_view, const wire::TargetRecord*>;

/**
 * Returns a copy of the list with the changes applied. Both inputs are ordered by address and merged in one pass; targets
 * that are gone are removed.
 */
TargetList mergeTargetList(const TargetList& previous, const RecordChanges& changes)
{
    std::vector<wire::TargetRecord> merged;
    merged.reserve(previous.size() + changes.size());
    auto change = changes.begin();
    auto appendChange = [&] {
        if (change->second->state() != wire::TARGET_GONE)
            merged.push_back(*change->second);
        ++change;
    };
    for (const wire::TargetRecord& record : previous) {
        while (change != changes.end() && change->first < record.address())
            appendChange();
        if (change != changes.end() && change->first == record.address())
            appendChange();
        else
            merged.push_back(record);
    }
    while (change != changes.end())
        appendChange();
    return TargetList(std::move(merged));
}

/**
 * Applies changed targets. Copies only the target lists of services with changes; all others stay shared with the previous
 * snapshot.
 */
void mergeTargets(const wire::ConfigurationChanges& changes, ConfigurationSnapshot& snapshot)
{
    std::map<std::string, RecordChanges> changesByService;
    for (const wire::TargetRecord& target : changes.targets())
        changesByService[target.service()][target.address()] = &target;
    for (const auto& [service, records] : changesByService) {
        TargetList& targets = snapshot.targets[service];
        targets = mergeTargetList(targets, records);
        if (targets.size() == 0)
            snapshot.targets.erase(service);
    }
}

/** Applies changed suspicions and quarantines, and removes cleared ones. */
void mergeQuarantines(const wire::ConfigurationChanges& changes, ConfigurationSnapshot& snapshot)
{
    for (const wire::Quarantine& quarantine : changes.quarantines()) {
        std::pair<std::string, std::string> key { quarantine.service(), quarantine.fingerprint() };
        if (quarantine.cleared())
            snapshot.quarantines.erase(key);
        else
            snapshot.quarantines[key] = quarantine;
    }
}

/** Applies the changed zones. */
void mergeZones(const wire::ConfigurationChanges& changes, ConfigurationSnapshot& snapshot)
{
    for (const wire::ZoneState& zone : changes.zones()) {
        if (zone.out_of_use())
            snapshot.zonesOutOfUse.insert(zone.availability_zone());
        else
            snapshot.zonesOutOfUse.erase(zone.availability_zone());
    }
}

} // namespace

EntryConfiguration::EntryConfiguration(std::string entryVm, uint64_t incarnation, std::string availabilityZone, Milliseconds leaseTerm)
    : entryVm(std::move(entryVm))
    , incarnation(incarnation)
    , availabilityZone(std::move(availabilityZone))
    , leaseTerm(leaseTerm)
    , current(std::make_shared<const ConfigurationSnapshot>())
{
}

wire::SessionRequest EntryConfiguration::createSessionRequest(uint64_t requestId, TimePoint now)
{
    std::erase_if(this->sentRequests, [&](const auto& sent) { return sent.second + this->leaseTerm <= now; });
    this->sentRequests[requestId] = now;
    wire::SessionRequest request;
    request.set_entry_vm(this->entryVm);
    request.set_incarnation(this->incarnation);
    request.set_held_index(this->current->index);
    request.set_held_manifest_number(this->current->manifestNumber);
    request.set_availability_zone(this->availabilityZone);
    request.set_accepts_compressed(true);
    return request;
}

bool EntryConfiguration::receiveAnswer(uint64_t requestId, const wire::SessionAnswer& answer, TimePoint now)
{
    if (answer.result_code() != static_cast<int>(ResultCode::Ok))
        return false;
    MergeResult merged = this->merge(answer.changes(), now);
    auto sent = this->sentRequests.find(requestId);
    if (merged == MergeResult::Refused || sent == this->sentRequests.end())
        return merged == MergeResult::Changed;
    Milliseconds granted = std::min(Milliseconds(static_cast<double>(answer.lease_ms())), this->leaseTerm);
    TimePoint end = sent->second + granted;
    this->lastConfirmed = std::max(this->lastConfirmed.value_or(sent->second), sent->second);
    this->sentRequests.erase(sent);
    if (end > this->leaseEndTime && end > now) {
        this->leaseEndTime = end;
        this->liveVms = answer.live_entry_vms();
    }
    return merged == MergeResult::Changed;
}

bool EntryConfiguration::receivePush(const wire::ConfigurationPush& push, TimePoint now)
{
    return this->merge(push.changes(), now) == MergeResult::Changed;
}

bool EntryConfiguration::isLeaseValid(TimePoint now) const
{
    return now < this->leaseEndTime;
}

uint32_t EntryConfiguration::liveEntryVms(TimePoint now) const
{
    return this->isLeaseValid(now) ? this->liveVms : 0;
}

std::shared_ptr<const ConfigurationSnapshot> EntryConfiguration::snapshot() const
{
    return this->current;
}

TimePoint EntryConfiguration::leaseEnd() const
{
    return this->leaseEndTime;
}

void EntryConfiguration::reportUnreadable(LogIndex index, const std::string& document, const DocumentError& error)
{
    if (std::exchange(this->unreadableIndex, index) != index && this->unreadableHook)
        this->unreadableHook(document, error);
}

EntryConfiguration::MergeResult EntryConfiguration::merge(const wire::ConfigurationChanges& received, TimePoint now)
{
    this->clock.advance(received.log_time_ms(), now);
    std::optional<wire::ConfigurationChanges> decompressed = decompressChanges(received);
    if (!decompressed)
        return MergeResult::Refused;
    const wire::ConfigurationChanges& changes = *decompressed;
    LogIndex heldIndex = this->current->index;
    bool isAdjacent = changes.full() || changes.from_index() <= heldIndex;
    if (changes.to_index() < heldIndex || !isAdjacent)
        return MergeResult::Refused;
    if (changes.to_index() == heldIndex)
        return MergeResult::Unchanged;
    auto next = std::make_shared<ConfigurationSnapshot>(changes.full() ? ConfigurationSnapshot() : *this->current);
    next->index = changes.to_index();
    next->manifestNumber = changes.manifest_number();
    next->manifestDigest = changes.manifest_digest();
    removeDocuments(changes, *next);
    for (const wire::ServiceDocument& document : changes.services()) {
        if (std::optional<DocumentError> error = mergeDocument(document, *next)) {
            this->reportUnreadable(changes.to_index(), document.name(), *error);
            return MergeResult::Refused;
        }
    }
    mergeTargets(changes, *next);
    mergeQuarantines(changes, *next);
    mergeZones(changes, *next);
    this->current = std::move(next);
    return MergeResult::Changed;
}

} // namespace kingcup
