/** @file RoutingTable.cpp Builds routing tables and selects the subset of targets that a VM uses. */
#include "RoutingTable.h"

#include <algorithm>
#include <xxhash.h>

namespace kingcup {

namespace {

constexpr double localShareOfSubset = 0.7; ///< The rest are targets of other zones, which take the load when the own zone is busy.
constexpr double msPerSecond = 1000;
constexpr Milliseconds maxColdWithoutStart { 60000 }; ///< Longest cold time that is taken from one statement if the service states no coldStartSeconds.

/** A target and its rank in the subset selection of one VM. */
struct RankedTarget {
    uint64_t rank; ///< Rendezvous hash; targets with the highest are used.
    const wire::TargetRecord* record;
};

/** Appends the `count` targets with the highest rank to the result. */
void appendBest(std::vector<RankedTarget>& ranked, size_t count, std::vector<const wire::TargetRecord*>& result)
{
    auto better = [](const RankedTarget& a, const RankedTarget& b) { return a.rank > b.rank; };
    auto middle = ranked.begin() + static_cast<ptrdiff_t>(std::min(count, ranked.size()));
    std::partial_sort(ranked.begin(), middle, ranked.end(), better);
    for (auto it = ranked.begin(); it != middle; ++it)
        result.push_back(it->record);
}

/** Returns the estimates of a target from the previous table; creates new ones for a new address or incarnation. */
std::shared_ptr<TargetEstimate> findOrCreateEstimate(const wire::TargetRecord& record, const RoutingTable& previous, uint32_t& lastSerial, const TableTime& time)
{
    auto isSame = [&](const TargetEstimate& target) { return target.address == record.address() && target.incarnation == record.incarnation(); };
    const RoutingEntry* existing = previous.find(record.address());
    if (existing && isSame(*existing->target))
        return existing->target;
    auto former = std::find_if(previous.formerTargets.begin(), previous.formerTargets.end(), [&](const auto& target) { return isSame(*target); });
    if (former != previous.formerTargets.end())
        return *former;
    // Without a previous table this VM has just started: its targets are new to it, but may have been running for long.
    double coldSinceMs = previous.entries.empty() ? neverMs : time.nowMs;
    return std::make_shared<TargetEstimate>(record, ++lastSerial, coldSinceMs);
}

/** Returns a number in [0, 1) that differs from VM to VM, so that their permits for the same target are due at different times. */
double coldPhase(const SubsetOwner& owner, const wire::TargetRecord& record)
{
    constexpr uint64_t phases = 1 << 20;
    uint64_t seed = XXH3_64bits_withSeed(owner.entryVm.data(), owner.entryVm.size(), record.cold_until_log_ms());
    return static_cast<double>(XXH3_64bits_withSeed(record.address().data(), record.address().size(), seed) % phases) / phases;
}

/**
 * Applies the cold time of a record that has not been applied yet. A repeated one must not replace what the target has stated since.
 * Without a limit on requests to cold targets, only the record of a new target is applied.
 */
void applyRecordedCold(TargetEstimate& target, bool isNew, const wire::TargetRecord& record, const SubsetOwner& owner, const RoutingTable& table, const TableTime& time)
{
    bool isLimited = table.coldRequestsPerSecond > 0;
    if (!time.logTimeMs || record.cold_until_log_ms() == target.recordedColdUntilMs || !(isNew || isLimited))
        return;
    target.recordedColdUntilMs = record.cold_until_log_ms();
    if (record.cold_until_log_ms() <= time.logTimeMs)
        return;
    auto coldLeftMs = static_cast<double>(record.cold_until_log_ms() - time.logTimeMs);
    double untilMs = time.nowMs + (isLimited ? std::min(coldLeftMs, table.maxCold.count()) : coldLeftMs);
    target.recordCold(std::max(untilMs, target.coldUntil()), coldPhase(owner, record), time.nowMs);
}

/** Takes over the targets of the previous table that are not in the next one and whose statements still hold. */
void keepFormerTargets(const RoutingTable& previous, RoutingTable& next, double nowMs)
{
    auto keep = [&](const std::shared_ptr<TargetEstimate>& target) {
        const RoutingEntry* entry = next.find(target->address);
        bool isColdLimited = next.coldRequestsPerSecond > 0 && target->isCold(nowMs);
        if (!(entry && entry->target == target) && (isColdLimited || target->hasCurrentStatement(nowMs)))
            next.formerTargets.push_back(target);
    };
    for (const std::shared_ptr<TargetEstimate>& target : previous.formerTargets)
        keep(target);
    for (const RoutingEntry& entry : previous.entries)
        keep(entry.target);
}

} // namespace

const RoutingEntry* RoutingTable::find(const std::string& address) const
{
    auto found = this->indexByAddress.find(address);
    return found == this->indexByAddress.end() ? nullptr : &this->entries[found->second];
}

double RoutingTable::coldIntervalMs(double vms) const
{
    return this->coldRequestsPerSecond > 0 ? msPerSecond * std::max(vms, 1.0) / this->coldRequestsPerSecond : 0;
}

std::vector<const wire::TargetRecord*> chooseSubset(const SubsetOwner& owner, const Service& service, const std::vector<wire::TargetRecord>& targets)
{
    bool prefersOwnZone = service.zonePreference == ZonePreference::Own;
    uint64_t seed = XXH3_64bits(owner.entryVm.data(), owner.entryVm.size());
    std::vector<RankedTarget> local;
    std::vector<RankedTarget> remote;
    for (const wire::TargetRecord& record : targets) {
        if (record.state() != wire::TARGET_SERVING)
            continue;
        uint64_t rank = XXH3_64bits_withSeed(record.address().data(), record.address().size(), seed);
        bool isLocal = prefersOwnZone && record.availability_zone() == owner.zone;
        (isLocal ? local : remote).push_back({ rank, &record });
    }
    size_t wanted = std::max(service.limits.subsetSize, 1u);
    auto localWanted = static_cast<size_t>(std::max(1.0, static_cast<double>(wanted) * localShareOfSubset));
    size_t remoteWanted = wanted - std::min(localWanted, local.size());
    size_t localTaken = wanted - std::min(remoteWanted, remote.size());
    std::vector<const wire::TargetRecord*> result;
    appendBest(local, localTaken, result);
    appendBest(remote, wanted - result.size(), result);
    return result;
}

std::unique_ptr<RoutingTable> buildRoutingTable(const SubsetOwner& owner, const Service& service, const std::vector<wire::TargetRecord>& targets, const RoutingTable& previous, uint32_t& lastSerial, const TableTime& time)
{
    auto table = std::make_unique<RoutingTable>();
    table->service = service.name;
    table->limits = service.limits;
    table->zonePreference = service.zonePreference;
    table->coldRequestsPerSecond = service.coldRequestsPerSecond;
    table->maxCold = service.coldStart.count() > 0 ? service.coldStart : maxColdWithoutStart;
    std::vector<const wire::TargetRecord*> used = chooseSubset(owner, service, targets);
    for (const wire::TargetRecord& record : targets) {
        table->serviceServingCount += record.state() == wire::TARGET_SERVING;
        table->serviceLocalCount += record.state() == wire::TARGET_SERVING && record.availability_zone() == owner.zone;
        // Targets that stop serving stay in the table, so that the ends of their attempts are recorded.
        if (record.state() != wire::TARGET_SERVING && previous.find(record.address()))
            used.push_back(&record);
    }
    for (const wire::TargetRecord* record : used) {
        bool isLocal = record->availability_zone() == owner.zone;
        uint32_t previousSerial = lastSerial;
        std::shared_ptr<TargetEstimate> estimate = findOrCreateEstimate(*record, previous, lastSerial, time);
        applyRecordedCold(*estimate, lastSerial != previousSerial, *record, owner, *table, time);
        table->entries.push_back({ std::move(estimate), std::max(record->slots(), 1u), isLocal, record->state() });
    }
    auto sortKey = [](const RoutingEntry& entry) { return entry.state != wire::TARGET_SERVING ? 2 : entry.isLocal ? 0
                                                                                                                  : 1; };
    std::stable_sort(table->entries.begin(), table->entries.end(), [&](const RoutingEntry& a, const RoutingEntry& b) { return sortKey(a) < sortKey(b); });
    for (const RoutingEntry& entry : table->entries) {
        table->indexByAddress[entry.target->address] = static_cast<uint32_t>(table->indexByAddress.size());
        table->localCount += sortKey(entry) == 0;
        table->servingCount += sortKey(entry) < 2;
    }
    keepFormerTargets(previous, *table, time.nowMs);
    return table;
}

} // namespace kingcup
