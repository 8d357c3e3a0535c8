/** @file UsageShare.cpp Token buckets of an entry VM, and the exchange of usage and shares with the leader. */
#include "kingcup/UsageShare.h"

#include "kingcup/ResultCode.h"

#include <algorithm>
#include <cmath>

namespace kingcup {

namespace {

constexpr double msPerSecond = 1000;
constexpr double demandSeconds = 1; ///< Time constant of the moving average of the demand.
constexpr Milliseconds demandMemory { 5000 }; ///< Time after the last request for which usage is reported.
constexpr double minNewDepth = 8; ///< Requests that a VM may admit at once before the leader has received its demand.
constexpr double minIsolatedDepth = 1; ///< The same for a VM without contact to the leader.
constexpr double isolatedFactor = 0.5; ///< Part of the equal share that a VM without contact may use.
constexpr double maxRationedDepth = 4; ///< Shares below this depth are rationed: the leader expects no saved permits.
constexpr Milliseconds minRetryAfter { 20 };
constexpr Milliseconds maxRetryAfter { 2000 };
constexpr Milliseconds logInterval { 1000 };

} // namespace

UsageShare::UsageShare(const UsageCapLimits& limits, Milliseconds shareTerm, uint32_t assumedVms, uint64_t seed)
    : limits(limits)
    , shareTerm(shareTerm)
    , vmCount(assumedVms)
    , random(seed)
{
}

/**
 * Returns the share of a VM that the leader has granted none. Its depth is the equal part of the window, so that the sum over
 * all VMs stays in the window when an organisation appears on all of them at once.
 */
UsageShare::Share UsageShare::newShare(const UsageCap& cap, TimePoint now)
{
    Share share;
    bool isIsolated = now >= this->contactEnd;
    share.rate = cap.requestsPerSecond / this->vmCount.assumedVms() * (isIsolated ? isolatedFactor : 1);
    share.isolatedRate = share.rate;
    share.depth = isIsolated ? std::max(minIsolatedDepth, share.rate) : std::max(minNewDepth, this->limits.budget(cap) / this->vmCount.assumedVms());
    share.level = share.depth;
    share.filled = now;
    return share;
}

/** Adds the permits since the last call. */
void UsageShare::fill(Share& share, TimePoint now)
{
    if (now <= share.filled)
        return;
    TimePoint change = std::clamp(share.end, share.filled, now);
    double added = share.rate * (change - share.filled).count() + share.isolatedRate * (now - change).count();
    if (now >= share.end)
        share.isClosed = false;
    share.level = std::min(share.level + added / msPerSecond, std::max(share.depth, share.level));
    share.filled = now;
}

double UsageShare::demandAt(const Share& share, TimePoint now)
{
    return share.demand * std::exp(-(now - share.asked).count() / (demandSeconds * msPerSecond));
}

UsagePermit UsageShare::takePermit(const std::string& organisation, const UsageCap& cap, TimePoint now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto [entry, isNew] = this->shares.try_emplace(organisation);
    Share& share = entry->second;
    if (isNew)
        share = this->newShare(cap, now);
    fill(share, now);
    share.demand = demandAt(share, now) + 1 / demandSeconds;
    share.asked = now;
    UsagePermit permit;
    permit.isGranted = !share.isClosed && share.level >= 1;
    if (permit.isGranted) {
        share.level -= 1;
        share.unreported += 1;
        return permit;
    }
    permit.retryAfter = this->retryAfter(share, now);
    permit.isFirstRefusal = share.logged == TimePoint {} || now - share.logged >= logInterval;
    if (permit.isFirstRefusal)
        share.logged = now;
    return permit;
}

/**
 * Returns the time until a caller that returns can expect a permit, spread at random over as much again, so that callers do not come back at once.
 * With more demand than permits, the callers of the last second compete for each permit: one that returns when the next permit is due would mostly be refused again.
 */
Milliseconds UsageShare::retryAfter(const Share& share, TimePoint now)
{
    Milliseconds wait = maxRetryAfter;
    double rate = now < share.end ? share.rate : share.isolatedRate;
    double demand = demandAt(share, now);
    bool isContended = demand > rate;
    if (share.isClosed)
        wait = share.end - now;
    else if (rate > 0)
        wait = Milliseconds(std::max(1 - share.level, isContended ? demand * demandSeconds : 0) / rate * msPerSecond);
    wait = std::clamp(wait, minRetryAfter, maxRetryAfter / 2);
    return wait * (1 + this->random.fraction());
}

void UsageShare::returnPermit(const std::string& organisation, TimePoint now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto found = this->shares.find(organisation);
    if (found == this->shares.end())
        return;
    fill(found->second, now);
    found->second.level = std::min(found->second.level + 1, std::max(found->second.depth, found->second.level));
    found->second.unreported -= 1;
}

void UsageShare::addUsage(uint64_t requestId, TimePoint now, wire::SessionRequest& request)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto hasDemand = [now](const Share& share) { return share.asked != TimePoint {} && now - share.asked < demandMemory; };
    std::erase_if(this->shares, [&](const auto& entry) {
        const Share& share = entry.second;
        // While the leader changes, an organisation that was nearly used up is not taken for a new one.
        bool isExpired = share.end == TimePoint::max() || share.end + this->shareTerm <= now;
        return !hasDemand(share) && share.unreported < 1 && isExpired;
    });
    std::erase_if(this->reports, [&](const auto& entry) { return entry.second.sent + this->shareTerm <= now; });
    Report& report = this->reports[requestId];
    report.sent = now;
    request.set_known_entry_vms(this->vmCount.statedVms());
    for (const auto& [name, share] : this->shares) {
        double admitted = std::max(share.unreported, 0.0);
        if (!hasDemand(share) && admitted < 1)
            continue;
        wire::OrganisationUsage* usage = request.add_usage();
        usage->set_organisation(name);
        usage->set_demand_per_second(demandAt(share, now));
        usage->set_admitted(static_cast<uint32_t>(admitted));
        report.admitted[name] = admitted;
    }
}

void UsageShare::receiveShares(uint64_t requestId, const wire::SessionAnswer& answer, TimePoint now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto report = this->reports.find(requestId);
    if (answer.result_code() != static_cast<int>(ResultCode::Ok) || report == this->reports.end())
        return;
    this->vmCount.record(answer);
    for (const auto& [name, admitted] : report->second.admitted) {
        if (auto share = this->shares.find(name); share != this->shares.end())
            share->second.unreported -= admitted;
        // A later request has reported the same again.
        for (auto later = std::next(report); later != this->reports.end(); ++later) {
            if (auto repeated = later->second.admitted.find(name); repeated != later->second.admitted.end())
                repeated->second = std::max(repeated->second - admitted, 0.0);
        }
    }
    this->contactEnd = std::max(this->contactEnd, report->second.sent + this->shareTerm);
    TimePoint end = report->second.sent + this->shareTerm;
    this->reports.erase(this->reports.begin(), std::next(report));
    for (const wire::OrganisationShare& granted : answer.shares())
        this->applyShare(granted, end, now);
}

/** Replaces a share. Saved permits are kept up to the new depth. */
void UsageShare::applyShare(const wire::OrganisationShare& granted, TimePoint end, TimePoint now)
{
    auto [entry, isNew] = this->shares.try_emplace(granted.organisation());
    Share& share = entry->second;
    fill(share, now);
    bool isRationed = granted.depth() < maxRationedDepth;
    bool wasRationed = !isNew && share.depth < maxRationedDepth;
    share.rate = granted.closed() ? 0 : granted.requests_per_second();
    share.isolatedRate = granted.isolated_per_second();
    share.depth = granted.depth();
    share.isClosed = granted.closed();
    share.end = end;
    share.filled = now;
    share.level = std::min(share.level, share.depth);
    // Permits that many VMs saved while nothing was rationed would be used at once. A random part of one keeps the phases of the VMs apart.
    if (isRationed && !wasRationed)
        share.level = isNew || share.level >= 1 ? this->random.fraction() : share.level;
}

uint32_t UsageShare::assumedVms() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->vmCount.assumedVms();
}

size_t UsageShare::closedOrganisations(TimePoint now) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return static_cast<size_t>(std::count_if(this->shares.begin(), this->shares.end(), [now](const auto& entry) { return entry.second.isClosed && now < entry.second.end; }));
}

} // namespace kingcup
