/** @file EntryConfiguration.cpp Merges configuration changes and keeps the lease of an entry VM. */
#include "kingcup/EntryConfiguration.h"

#include "kingcup/ManifestParser.h"
#include "kingcup/ResultCode.h"

#include <algorithm>

namespace kingcup {

namespace {

/** Applies changed and removed services. Returns false when a document is not readable. */
bool mergeServices(const wire::ConfigurationChanges& changes, ConfigurationSnapshot& snapshot)
{
    for (const std::string& name : changes.removed_services())
        snapshot.services.erase(name);
    for (const wire::ServiceDocument& document : changes.services()) {
        std::variant<Service, DocumentError> parsed = parseService(document.json());
        if (!std::holds_alternative<Service>(parsed))
            return false;
        snapshot.services[document.name()] = std::make_shared<const Service>(std::get<Service>(std::move(parsed)));
    }
    return true;
}

/** Applies one target record to the ordered list of its service. */
void mergeTarget(const wire::TargetRecord& target, std::vector<wire::TargetRecord>& targets)
{
    auto precedes = [](const wire::TargetRecord& held, const std::string& address) { return held.address() < address; };
    auto place = std::lower_bound(targets.begin(), targets.end(), target.address(), precedes);
    bool isHeld = place != targets.end() && place->address() == target.address();
    bool isGone = target.state() == wire::TARGET_GONE;
    if (isHeld && isGone)
        targets.erase(place);
    else if (isHeld)
        *place = target;
    else if (!isGone)
        targets.insert(place, target);
}

/** Applies changed targets. */
void mergeTargets(const wire::ConfigurationChanges& changes, ConfigurationSnapshot& snapshot)
{
    for (const wire::TargetRecord& target : changes.targets()) {
        std::vector<wire::TargetRecord>& targets = snapshot.targets[target.service()];
        mergeTarget(target, targets);
        if (targets.empty())
            snapshot.targets.erase(target.service());
    }
}

/** Applies changed suspicions and quarantines. */
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

} // namespace

EntryConfiguration::EntryConfiguration(std::string entryVm, uint64_t incarnation, std::string availabilityZone, Milliseconds leaseTerm)
    : entryVm(std::move(entryVm))
    , incarnation(incarnation)
    , availabilityZone(std::move(availabilityZone))
    , leaseTerm(leaseTerm)
    , current(std::make_shared<const ConfigurationSnapshot>())
{
}

wire::SessionRequest EntryConfiguration::sessionRequest(uint64_t requestId, TimePoint now)
{
    std::erase_if(this->sentRequests, [&](const auto& sent) { return sent.second + this->leaseTerm <= now; });
    this->sentRequests[requestId] = now;
    wire::SessionRequest request;
    request.set_entry_vm(this->entryVm);
    request.set_incarnation(this->incarnation);
    request.set_held_index(this->current->index);
    request.set_held_manifest_number(this->current->manifestNumber);
    request.set_availability_zone(this->availabilityZone);
    return request;
}

bool EntryConfiguration::receive(uint64_t requestId, const wire::SessionAnswer& answer, TimePoint now)
{
    if (answer.result_code() != static_cast<int>(ResultCode::Ok))
        return false;
    MergeResult merged = this->merge(answer.changes());
    auto sent = this->sentRequests.find(requestId);
    if (merged == MergeResult::Refused || sent == this->sentRequests.end())
        return merged == MergeResult::Changed;
    Milliseconds granted = std::min(Milliseconds(static_cast<double>(answer.lease_ms())), this->leaseTerm);
    TimePoint end = sent->second + granted;
    this->sentRequests.erase(sent);
    if (end > this->leaseEndTime && end > now) {
        this->leaseEndTime = end;
        this->liveVms = answer.live_entry_vms();
    }
    return merged == MergeResult::Changed;
}

bool EntryConfiguration::receive(const wire::ConfigurationPush& push)
{
    return this->merge(push.changes()) == MergeResult::Changed;
}

bool EntryConfiguration::leaseValid(TimePoint now) const
{
    return now < this->leaseEndTime;
}

uint32_t EntryConfiguration::liveEntryVms(TimePoint now) const
{
    return this->leaseValid(now) ? this->liveVms : 0;
}

std::shared_ptr<const ConfigurationSnapshot> EntryConfiguration::snapshot() const
{
    return this->current;
}

TimePoint EntryConfiguration::leaseEnd() const
{
    return this->leaseEndTime;
}

EntryConfiguration::MergeResult EntryConfiguration::merge(const wire::ConfigurationChanges& changes)
{
    LogIndex held = this->current->index;
    bool isAdjacent = changes.full() || changes.from_index() <= held;
    if (changes.to_index() < held || !isAdjacent)
        return MergeResult::Refused;
    if (changes.to_index() == held)
        return MergeResult::Unchanged;
    auto next = std::make_shared<ConfigurationSnapshot>(changes.full() ? ConfigurationSnapshot() : *this->current);
    next->index = changes.to_index();
    next->manifestNumber = changes.manifest_number();
    next->manifestDigest = changes.manifest_digest();
    if (!mergeServices(changes, *next))
        return MergeResult::Refused;
    mergeTargets(changes, *next);
    mergeQuarantines(changes, *next);
    this->current = std::move(next);
    return MergeResult::Changed;
}

} // namespace kingcup
