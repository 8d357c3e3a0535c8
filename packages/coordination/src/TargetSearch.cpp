/** @file TargetSearch.cpp Costs and order of a search for a target. */
#include "kingcup/TargetSearch.h"

#include <algorithm>

namespace kingcup {

namespace {

constexpr double goodCost = 1.3; ///< A target whose requests take at most this much longer than usual is taken at once.
constexpr double unknownCost = 3; ///< Of a target that did not answer: worse than a busy one, better than a slow one.
constexpr double unaskedCost = 2; ///< Of a target that was not asked: as a mean one.
constexpr double failedCost = 1000; ///< Of a target that could not be reached.
constexpr double nearlyFullShare = 0.8; ///< Targets slow down beyond this share of busy slots.
constexpr double nearlyFullFactor = 1.7; ///< By this much.

} // namespace

TargetSearch::TargetSearch(const TargetSearchLimits& limits, TimePoint now)
    : limits(limits)
    , started(now)
{
}

size_t TargetSearch::probing(TimePoint now)
{
    this->targets.push_back({ now, std::nullopt, false, false });
    return this->targets.size() - 1;
}

void TargetSearch::unasked(size_t position)
{
    this->targets[position].cost = unaskedCost;
}

double TargetSearch::costOf(const LoadReport& load)
{
    double slots = std::max(load.slots, 1u);
    double busyAfter = load.inFlight + 1.0;
    double rounds = std::max(0.0, (load.inFlight + load.waiting + 1.0 - slots) / slots);
    double crowding = busyAfter / slots > nearlyFullShare ? nearlyFullFactor : 1;
    return load.slowdown * (crowding + rounds);
}

SearchStep TargetSearch::answered(size_t position, const LoadReport& load, double coldFactor, TimePoint now)
{
    Asked& target = this->targets[position];
    target.cost = costOf(load) * coldFactor;
    target.full = load.slots > 0 && load.inFlight + load.waiting >= load.slots;
    return this->advance(now);
}

SearchStep TargetSearch::failed(size_t position, TimePoint now)
{
    this->targets[position].failed = true;
    this->targets[position].cost = failedCost;
    return this->advance(now);
}

SearchStep TargetSearch::exhausted(TimePoint now)
{
    this->noneLeft = true;
    return this->advance(now);
}

/** Returns whether a target may still answer. */
bool TargetSearch::anyOpen(TimePoint now) const
{
    return std::any_of(this->targets.begin(), this->targets.end(), [&](const Asked& target) { return !target.cost && now - target.time < this->limits.silence; });
}

SearchStep TargetSearch::advance(TimePoint now) const
{
    auto isGood = [](const Asked& target) { return target.cost && *target.cost <= goodCost; };
    if (std::any_of(this->targets.begin(), this->targets.end(), isGood))
        return SearchStep::Send;
    bool over = now - this->started >= this->limits.duration;
    if (!over && this->anyOpen(now))
        return SearchStep::Wait;
    bool mayProbe = !over && !this->noneLeft && this->targets.size() < this->limits.maxProbes;
    if (mayProbe)
        return SearchStep::Probe;
    bool allFull = !this->targets.empty() && std::all_of(this->targets.begin(), this->targets.end(), [](const Asked& target) { return target.full || target.failed; });
    return allFull && this->bestCost() > this->limits.usefulCost ? SearchStep::Refuse : SearchStep::Send;
}

size_t TargetSearch::best() const
{
    size_t best = 0;
    double bestCost = failedCost * 2;
    for (size_t position = 0; position < this->targets.size(); position++) {
        double cost = this->targets[position].cost.value_or(unknownCost);
        if (cost > bestCost)
            continue;
        best = position;
        bestCost = cost;
    }
    return best;
}

double TargetSearch::bestCost() const
{
    return this->targets[this->best()].cost.value_or(unknownCost);
}

TimePoint TargetSearch::nextEvent() const
{
    TimePoint next = this->started + this->limits.duration;
    for (const Asked& target : this->targets) {
        if (!target.cost)
            next = std::min(next, target.time + this->limits.silence);
    }
    return next;
}

} // namespace kingcup
