/** @file TargetChooser.cpp Implements the load-balancing policies. */
#include "TargetChooser.h"

#include <algorithm>
#include <cmath>

namespace kingcup {

namespace {

constexpr auto relaxed = std::memory_order_relaxed;
constexpr int randomTries = 4;
constexpr double fleetRefreshMs = 5;
constexpr size_t maxAveragedTargets = 64;
constexpr int hotColdSamples = 3;
constexpr double hotQuantile = 0.84;
constexpr double unknownLatencyMs = 1;
constexpr int localSamples = 4;
constexpr int remoteSamples = 2;
constexpr double remoteCostMs = 2; ///< Twice the round trip between zones, so that of equal targets the local one is chosen.
constexpr double failureCost = 8;

/** Returns the eligible entry with the lowest cost. Scans from a random position, so that ties are broken at random. */
template <typename Cost>
const RoutingEntry* cheapest(const Choice& choice, Cost cost)
{
    const RoutingEntry* best = nullptr;
    double bestCost = 0;
    size_t count = choice.table.servingCount;
    size_t offset = choice.random.below(count);
    for (size_t i = 0; i < count; ++i) {
        const RoutingEntry& entry = choice.table.entries[(offset + i) % count];
        if (!choice.eligible(entry))
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
const RoutingEntry* cheapestOf(const Choice& choice, int samples, Cost cost)
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
        if (choice.eligible(entry))
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
    return std::max(entry.target->peakLatency(choice.nowMs), unknownLatencyMs) * (outstandingOf(entry) + 1);
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
    auto limit = loads.begin() + static_cast<ptrdiff_t>(hotQuantile * static_cast<double>(loads.size() - 1));
    std::nth_element(loads.begin(), limit, loads.end());
    double hotAbove = *limit;
    constexpr double hotOffset = 1e9; // Makes every hot target cost more than every cold one.
    return cheapestOf(choice, hotColdSamples, [&](const RoutingEntry& entry) {
        double load = reportedLoad(entry);
        return load > hotAbove ? hotOffset + load : entry.target->reportedLatency.load(relaxed);
    });
}

/** Returns the expected time of a request that is sent now, in milliseconds, plus penalties for failures and for another zone. */
double adaptiveCost(const Choice& choice, const RoutingEntry& entry)
{
    const TargetEstimate& target = *entry.target;
    double slots = entry.slots;
    double others = target.others(choice.fleet.othersPerSlot.load(relaxed) * slots, choice.nowMs);
    double load = outstandingOf(entry) + others + 1;
    double crowding = load / (slots * target.ramp(choice.nowMs));
    double latency = target.latency(std::max(choice.fleet.latencyMs.load(relaxed), unknownLatencyMs), choice.nowMs);
    double cost = latency * (1 + crowding) * (1 + failureCost * target.recentFailures(choice.nowMs));
    bool remote = choice.table.zonePreference == ZonePreference::Own && !entry.local;
    return remote ? cost + remoteCostMs : cost;
}

const RoutingEntry* chooseAdaptive(const Choice& choice)
{
    const RoutingEntry* best = nullptr;
    double bestCost = 0;
    auto offer = [&](const RoutingEntry* entry) {
        if (!entry)
            return;
        double cost = adaptiveCost(choice, *entry);
        if (best && bestCost <= cost)
            return;
        best = entry;
        bestCost = cost;
    };
    for (int i = 0; i < localSamples; ++i)
        offer(choice.sample(0, choice.table.localCount));
    for (int i = 0; i < remoteSamples; ++i)
        offer(choice.sample(choice.table.localCount, choice.table.servingCount));
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
    double last = this->refreshedMs.load(relaxed);
    if (nowMs < last + fleetRefreshMs || !this->refreshedMs.compare_exchange_strong(last, nowMs, relaxed))
        return;
    std::vector<double> latencies;
    double others = 0;
    double slots = 0;
    size_t step = table.servingCount / maxAveragedTargets + 1;
    for (size_t i = 0; i < table.servingCount; i += step) {
        const TargetEstimate& target = *table.entries[i].target;
        if (target.answers.load(relaxed))
            latencies.push_back(target.logLatency.load(relaxed));
        if (target.reportedMs.load(relaxed) == neverMs)
            continue;
        others += target.reportedOthers();
        slots += table.entries[i].slots;
    }
    if (slots > 0)
        this->othersPerSlot.store(others / slots, relaxed);
    if (latencies.empty())
        return;
    auto middle = latencies.begin() + static_cast<ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    this->latencyMs.store(std::exp(*middle), relaxed);
}

bool Choice::eligible(const RoutingEntry& entry) const
{
    if (entry.target->lost() || (!this->allowEjected && entry.target->ejected(this->nowMs)))
        return false;
    return std::find(this->excluded.begin(), this->excluded.end(), entry.target->address) == this->excluded.end();
}

const RoutingEntry* Choice::sample(size_t begin, size_t end) const
{
    size_t count = end - begin;
    if (!count)
        return nullptr;
    for (int i = 0; i < randomTries; ++i) {
        const RoutingEntry& entry = this->table.entries[begin + this->random.below(count)];
        if (this->eligible(entry))
            return &entry;
    }
    size_t offset = this->random.below(count);
    for (size_t i = 0; i < count; ++i) {
        const RoutingEntry& entry = this->table.entries[begin + (offset + i) % count];
        if (this->eligible(entry))
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
    reason.reportAgeMs = choice.nowMs - target.reportedMs.load(relaxed);
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
        return cheapest(choice, outstandingOf);
    case RoutingPolicy::PowerOfTwo:
        return cheapestOf(choice, 2, outstandingOf);
    case RoutingPolicy::PeakEwma:
        return cheapestOf(choice, 2, [&](const RoutingEntry& entry) { return peakCost(choice, entry); });
    case RoutingPolicy::HotCold:
        return chooseHotCold(choice);
    case RoutingPolicy::Adaptive:
        return chooseAdaptive(choice);
    }
    return nullptr;
}

} // namespace kingcup
