/** @file ZonePlacement.cpp Collects the load reports of the zones and limits choices to the own zone. */
#include "placement/ZonePlacement.h"

#include <algorithm>

namespace kingcup {

namespace {

constexpr auto relaxed = std::memory_order_relaxed;
constexpr double updateIntervalMs = 50;
constexpr double maxReportAgeMs = 1000; ///< Older reports say nothing: the load of a target changes within one request.
constexpr size_t fractionSteps = 1u << 20;

/** Returns whether a target may get requests of this VM, apart from those that a single request has tried. */
bool isUsable(const TargetEstimate& target, double vms, double nowMs)
{
    return !target.isReplaced() && !target.isEjected(nowMs) && !target.isLeaving() && !target.isDeclining(nowMs) && target.rateLimit.hasPermit(vms, nowMs);
}

/** Collects the reports of the entries with an index in [begin, end). */
ZoneReports collectReports(const RoutingTable& table, size_t begin, size_t end, double nowMs)
{
    ZoneReports reports;
    for (size_t i = begin; i < end; ++i) {
        const RoutingEntry& entry = table.entries[i];
        const TargetEstimate& target = *entry.target;
        // A target at its rate limit is usable again after a few requests; its zone is not lost.
        if (target.isReplaced() || target.isEjected(nowMs) || target.isLeaving() || target.isDeclining(nowMs))
            continue;
        ++reports.usableTargets;
        if (nowMs - target.reportedAtMs.load(relaxed) > maxReportAgeMs)
            continue;
        double slowdown = std::max(target.reportedSlowdown.load(relaxed), 1.0) * target.coldFactor(nowMs);
        reports.targets.push_back({ static_cast<double>(std::max(0, target.reportedInFlight.load(relaxed))), static_cast<double>(entry.slots), slowdown });
    }
    return reports;
}

} // namespace

void ZonePlacement::refresh(const RoutingTable& table, double workMs, double nowMs)
{
    double lastRefreshMs = this->refreshedAtMs.load(relaxed);
    if (nowMs < lastRefreshMs + updateIntervalMs || !this->refreshedAtMs.compare_exchange_strong(lastRefreshMs, nowMs, relaxed))
        return;
    ZoneTransferInput input;
    input.local = collectReports(table, 0, table.localCount, nowMs);
    input.local.serviceTargets = table.serviceLocalCount;
    input.remote = collectReports(table, table.localCount, table.servingCount, nowMs);
    input.remote.serviceTargets = table.serviceServingCount - table.serviceLocalCount;
    input.workMs = workMs;
    std::lock_guard<std::mutex> lock(this->updateMutex);
    this->transfer.update(input, nowMs);
}

void ZonePlacement::apply(Choice& choice) const
{
    if (choice.table.zonePreference != ZonePreference::Own)
        return;
    size_t busyLocalTargets = 0;
    for (const std::string& address : choice.excluded) {
        const RoutingEntry* entry = choice.table.find(address);
        busyLocalTargets += entry && entry->isLocal;
    }
    double fraction = static_cast<double>(choice.random.below(fractionSteps)) / fractionSteps;
    choice.considersRemote = this->transfer.considersRemote(fraction, busyLocalTargets);
    choice.remotePenaltyMs = this->transfer.costMs();
}

void ZonePlacement::recordChoice(const Choice& choice, const RoutingEntry& entry)
{
    if (choice.considersRemote && choice.excluded.empty() && choice.table.zonePreference == ZonePreference::Own)
        this->transfer.recordConsidered(!entry.isLocal);
}

nlohmann::json ZonePlacement::dump() const
{
    ZoneTransferState state = this->state();
    return { { "share", state.share }, { "maxShare", state.maxShare }, { "localWaitMs", state.localWaitMs }, { "remoteWaitMs", state.remoteWaitMs }, { "costMs", state.costMs }, { "bytesPerRequest", state.bytesPerRequest } };
}

ZoneReason zoneReasonOf(const Choice& choice, const RoutingEntry& entry)
{
    if (entry.isLocal)
        return ZoneReason::Local;
    for (size_t i = 0; i < choice.table.localCount; ++i) {
        if (isUsable(*choice.table.entries[i].target, choice.vmsPerTarget, choice.nowMs))
            return ZoneReason::Cheaper;
    }
    return ZoneReason::NoLocal;
}

} // namespace kingcup
