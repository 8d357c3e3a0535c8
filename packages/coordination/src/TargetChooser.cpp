/** @file TargetChooser.cpp Implements the load-balancing policies. */
#include "TargetChooser.h"

#include <algorithm>
#include <cmath>

namespace kingcup {

namespace {

constexpr auto relaxed = std::memory_order_relaxed;
constexpr int maxRandomTries = 4;
constexpr double fleetRefreshIntervalMs = 5;
constexpr size_t maxAveragedTargets = 64;
constexpr int hotColdSampleCount = 3;
constexpr double hotQuantile = 0.84;
constexpr double minLatencyMs = 1;
constexpr int localSampleCount = 4;
constexpr int remoteSampleCount = 2;
constexpr double failurePenaltyFactor = 8;

/** Returns the eligible entry with the lowest cost. Scans from a random position, so that ties are broken at random. */
template <typename Cost>
const RoutingEntry* chooseCheapest(const Choice& choice, Cost cost)
{
    const RoutingEntry* best = nullptr;
    double bestCost = 0;
    size_t count = choice.table.servingCount;
    size_t offset = choice.random.below(count);
    for (size_t i = 0; i < count; ++i) {
        const RoutingEntry& entry = choice.table.entries[(offset + i) % count];
        if (!choice.isEligible(entry))
            continue;
        double entryCost = cost(entry);
        if (best && bestCost <= entryCost)
            continue;
        best = &entry;
        bestCost = entryCost;
    }
    return best;
}

/** Returns the entry with the lowest cost among `samples` random eligible entries. */
template <typename Cost>
const RoutingEntry* chooseCheapestSample(const Choice& choice, int samples, Cost cost)
{
    const RoutingEntry* best = nullptr;
    for (int i = 0; i < samples; ++i) {
        const RoutingEntry* entry = choice.sample(0, choice.table.servingCount);
        if (entry && (!best || cost(*entry) < cost(*best)))
            best = entry;
    }
    return best;
}

const RoutingEntry* chooseRoundRobin(const Choice& choice)
{
    size_t count = choice.table.servingCount;
    for (size_t i = 0; i < count; ++i) {
        const RoutingEntry& entry = choice.table.entries[(choice.number + i) % count];
        if (choice.isEligible(entry))
            return &entry;
    }
    return nullptr;
}

double outstandingOf(const RoutingEntry& entry)
{
    return entry.target->outstanding.load(relaxed);
}

double peakCost(const Choice& choice, const RoutingEntry& entry)
{
    return std::max(entry.target->peakLatency(choice.nowMs), minLatencyMs) * (outstandingOf(entry) + 1);
}

/** Returns the requests at the target by the newest report, plus own attempts started since. */
double reportedLoad(const RoutingEntry& entry)
{
    const TargetEstimate& target = *entry.target;
    return target.reportedInFlight.load(relaxed) + static_cast<double>(target.picksSinceReport.load(relaxed));
}

const RoutingEntry* chooseHotCold(const Choice& choice)
{
    std::vector<double> loads;
    for (size_t i = 0; i < choice.table.servingCount; ++i)
        loads.push_back(reportedLoad(choice.table.entries[i]));
    auto threshold = loads.begin() + static_cast<ptrdiff_t>(hotQuantile * static_cast<double>(loads.size() - 1));
    std::nth_element(loads.begin(), threshold, loads.end());
    double hotThreshold = *threshold;
    constexpr double hotPenalty = 1e9; // Makes every hot target cost more than every cold one.
    return chooseCheapestSample(choice, hotColdSampleCount, [&](const RoutingEntry& entry) {
        double load = reportedLoad(entry);
        return load > hotThreshold ? hotPenalty + load : entry.target->reportedLatencyMs.load(relaxed);
    });
}

/** Returns the expected time of a request that is sent now, in milliseconds, plus penalties for failures and for another zone. */
double adaptiveCost(const Choice& choice, const RoutingEntry& entry)
{
    const TargetEstimate& target = *entry.target;
    double slots = entry.slots;
    double otherCalls = target.otherCalls(choice.fleetAverages.otherCallsPerSlot.load(relaxed) * slots, choice.nowMs);
    double load = outstandingOf(entry) + otherCalls + 1;
    double utilisation = load / (slots * target.slowStartShare(choice.nowMs));
    double latency = target.latency(std::max(choice.fleetAverages.latencyMs.load(relaxed), minLatencyMs), choice.nowMs);
    double cost = latency * (1 + utilisation) * (1 + failurePenaltyFactor * target.recentFailures(choice.nowMs));
    bool isRemote = choice.table.zonePreference == ZonePreference::Own && !entry.isLocal;
    return isRemote ? cost + choice.remotePenaltyMs : cost;
}

const RoutingEntry* chooseAdaptive(const Choice& choice)
{
    const RoutingEntry* best = nullptr;
    double bestCost = 0;
    auto consider = [&](const RoutingEntry* entry) {
        if (!entry)
            return;
        double cost = adaptiveCost(choice, *entry);
        if (best && bestCost <= cost)
            return;
        best = entry;
        bestCost = cost;
    };
    for (int i = 0; i < localSampleCount; ++i)
        consider(choice.sample(0, choice.table.localCount));
    const RoutingEntry* localBest = best;
    for (int i = 0; i < remoteSampleCount && (choice.considersRemote || !localBest); ++i)
        consider(choice.sample(choice.table.localCount, choice.table.servingCount));
    return best;
}

} // namespace

ChoiceRandom::ChoiceRandom(uint64_t seed, uint64_t number)
    : state(seed + number * 0xd1342543de82ef95)
{
}

size_t ChoiceRandom::below(size_t bound)
{
    this->state += 0x9e3779b97f4a7c15;
    uint64_t mixed = this->state;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
    mixed ^= mixed >> 31;
    return bound ? mixed % bound : 0;
}

void FleetAverages::refresh(const RoutingTable& table, double nowMs)
{
    double lastRefreshMs = this->refreshedAtMs.load(relaxed);
    if (nowMs < lastRefreshMs + fleetRefreshIntervalMs || !this->refreshedAtMs.compare_exchange_strong(lastRefreshMs, nowMs, relaxed))
        return;
    std::vector<double> latencies;
    double otherCalls = 0;
    double slots = 0;
    size_t step = table.servingCount / maxAveragedTargets + 1;
    for (size_t i = 0; i < table.servingCount; i += step) {
        const TargetEstimate& target = *table.entries[i].target;
        if (target.latencyCount.load(relaxed))
            latencies.push_back(target.logLatency.load(relaxed));
        if (target.reportedAtMs.load(relaxed) == neverMs)
            continue;
        otherCalls += target.reportedOtherCalls();
        slots += table.entries[i].slots;
    }
    if (slots > 0)
        this->otherCallsPerSlot.store(otherCalls / slots, relaxed);
    if (latencies.empty())
        return;
    auto median = latencies.begin() + static_cast<ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), median, latencies.end());
    this->latencyMs.store(std::exp(*median), relaxed);
}

bool Choice::isEligible(const RoutingEntry& entry) const
{
    const TargetEstimate& target = *entry.target;
    if (target.isReplaced() || target.isDeclining(this->nowMs) || !target.rateLimit.hasPermit(this->vmsPerTarget, this->nowMs) || !target.hasColdPermit(this->coldIntervalMs, this->nowMs) || (!this->mayUseEjected && target.isEjected(this->nowMs)))
        return false;
    if (target.isLeaving() && !(this->mayUseLeaving && target.isLeavingLastResort(this->nowMs)))
        return false;
    return std::find(this->excluded.begin(), this->excluded.end(), entry.target->address) == this->excluded.end();
}

const RoutingEntry* Choice::sample(size_t begin, size_t end) const
{
    size_t count = end - begin;
    if (!count)
        return nullptr;
    for (int i = 0; i < maxRandomTries; ++i) {
        const RoutingEntry& entry = this->table.entries[begin + this->random.below(count)];
        if (this->isEligible(entry))
            return &entry;
    }
    size_t offset = this->random.below(count);
    for (size_t i = 0; i < count; ++i) {
        const RoutingEntry& entry = this->table.entries[begin + (offset + i) % count];
        if (this->isEligible(entry))
            return &entry;
    }
    return nullptr;
}

PickReason pickReason(RoutingPolicy policy, const Choice& choice, const RoutingEntry& entry)
{
    const TargetEstimate& target = *entry.target;
    PickReason reason;
    reason.costMs = policy == RoutingPolicy::Adaptive ? adaptiveCost(choice, entry) : 0;
    reason.slowdown = target.reportedSlowdown.load(relaxed);
    reason.reportAgeMs = choice.nowMs - target.reportedAtMs.load(relaxed);
    reason.outstanding = target.outstanding.load(relaxed);
    reason.coldFactor = target.coldFactor(choice.nowMs);
    reason.candidates = static_cast<uint32_t>(choice.table.servingCount);
    return reason;
}

const RoutingEntry* chooseTarget(RoutingPolicy policy, const Choice& choice)
{
    if (!choice.table.servingCount)
        return nullptr;
    switch (policy) {
    case RoutingPolicy::Random:
        return choice.sample(0, choice.table.servingCount);
    case RoutingPolicy::RoundRobin:
        return chooseRoundRobin(choice);
    case RoutingPolicy::LeastOutstanding:
        return chooseCheapest(choice, outstandingOf);
    case RoutingPolicy::PowerOfTwo:
        return chooseCheapestSample(choice, 2, outstandingOf);
    case RoutingPolicy::PeakEwma:
        return chooseCheapestSample(choice, 2, [&](const RoutingEntry& entry) { return peakCost(choice, entry); });
    case RoutingPolicy::HotCold:
        return chooseHotCold(choice);
    case RoutingPolicy::Adaptive:
        return chooseAdaptive(choice);
    }
    return nullptr;
}

} // namespace kingcup
