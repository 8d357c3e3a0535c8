/** @file TargetSearch.cpp Rates probed targets and decides on the next action of a search. */
#include "kingcup/TargetSearch.h"

#include <algorithm>

namespace kingcup {

namespace {

constexpr double goodCost = 1.3; ///< Relative duration up to which a target is accepted at once.
constexpr double tolerableCost = 2.2; ///< Relative duration up to which a target is accepted after `answersBeforeTolerance` answers.
constexpr size_t answersBeforeTolerance = 3;
constexpr double queueFactor = 2.5; ///< Requests on a full target take longer than usual, so the wait in its queue is longer, too.
constexpr uint32_t maxUnaskedRounds = 1; ///< Rounds without any probe after which the search still waits for another round. With 0, a request would be sent before the budget allows the next probe; OverloadReplayTest limits what the wait may cost.
constexpr double unknownCost = 3; ///< Assumed for a target that did not answer: worse than a busy one, better than a slow one.
constexpr double unaskedCost = 2; ///< Minimum assumed for a target that was not probed: that of an average target.
constexpr double failedCost = 1000; ///< Assumed for a target whose probe failed: worse than any answer.
constexpr double nearlyFullShare = 0.8; ///< Share of busy slots above which a target slows down.
constexpr double nearlyFullFactor = 1.7; ///< Relative duration of a request on a nearly full target.

} // namespace

TargetSearch::TargetSearch(const TargetSearchLimits& limits, uint32_t unaskedBefore)
    : limits(limits)
    , unaskedBefore(unaskedBefore)
{
}

size_t TargetSearch::probing(TimePoint now)
{
    this->targets.push_back({ now, std::nullopt, false, false, false });
    this->roundEnd = now;
    return this->targets.size() - 1;
}

void TargetSearch::unasked(size_t position, const std::optional<TypicalLoad>& typical)
{
    this->targets[position].unasked = true;
    this->targets[position].cost = typical ? std::max(typical->cost, unaskedCost) : unaskedCost;
    this->targets[position].full = typical && typical->full;
}

double TargetSearch::costOf(const LoadReport& load)
{
    double slots = std::max(load.slots, 1u);
    double busyAfter = load.inFlight + 1.0;
    double rounds = std::max(0.0, (load.inFlight + load.waiting + 1.0 - slots) / slots);
    double crowding = busyAfter / slots > nearlyFullShare ? nearlyFullFactor : 1;
    return load.slowdown * (crowding + rounds * queueFactor);
}

SearchStep TargetSearch::answered(size_t position, const LoadReport& load, double coldFactor, TimePoint now)
{
    Asked& target = this->targets[position];
    target.cost = costOf(load) * coldFactor;
    target.answered = true;
    this->roundEnd = now;
    target.full = isFull(load);
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

/** Returns whether a probe is pending that has not timed out. */
bool TargetSearch::anyOpen(TimePoint now) const
{
    return std::any_of(this->targets.begin(), this->targets.end(), [&](const Asked& target) { return !target.cost && now - target.time < this->limits.silence; });
}

/** Returns whether a request of this cost that is sent now meets the objective; true if the usual time is unknown. */
bool TargetSearch::fits(double cost, TimePoint now) const
{
    return !this->limits.usualTime || now + *this->limits.usualTime * cost <= this->limits.objectiveEnd;
}

/** Returns whether enough targets have answered and the best of them is acceptable. */
bool TargetSearch::isTolerable(TimePoint now) const
{
    auto answers = static_cast<size_t>(std::count_if(this->targets.begin(), this->targets.end(), [](const Asked& target) { return target.answered; }));
    if (answers < answersBeforeTolerance || !this->targets[this->best()].answered)
        return false;
    return this->bestCost() <= tolerableCost && this->fits(this->bestCost(), now);
}

uint32_t TargetSearch::unaskedRounds() const
{
    bool noneAsked = !this->targets.empty() && std::all_of(this->targets.begin(), this->targets.end(), [](const Asked& target) { return target.unasked; });
    return this->unaskedBefore + (noneAsked ? 1 : 0);
}

/** Returns whether the search ends because the probe budget is exhausted: a target that answered is acceptable, or the maximum number of rounds without a probe is reached. */
bool TargetSearch::endsUnasked(TimePoint now) const
{
    bool anyUnasked = std::any_of(this->targets.begin(), this->targets.end(), [](const Asked& target) { return target.unasked; });
    const Asked& best = this->targets[this->best()];
    if (!anyUnasked || best.full || !this->fits(this->bestCost(), now))
        return false;
    return (best.answered && this->bestCost() <= tolerableCost) || this->unaskedRounds() > maxUnaskedRounds;
}

bool TargetSearch::mayTryAgain(TimePoint now) const
{
    return this->roundEnd && std::max(now, *this->roundEnd + this->limits.roundPause) < this->limits.latestStart;
}

SearchStep TargetSearch::advance(TimePoint now) const
{
    auto isGood = [](const Asked& target) { return target.cost && *target.cost <= goodCost; };
    if (std::any_of(this->targets.begin(), this->targets.end(), isGood) || this->isTolerable(now))
        return SearchStep::Send;
    if (this->targets.empty())
        return this->noneLeft ? SearchStep::Refuse : SearchStep::Probe;
    if (this->anyOpen(now))
        return SearchStep::Wait;
    if (!this->noneLeft && this->targets.size() < this->limits.maxProbes && now < this->limits.latestStart)
        return SearchStep::Probe;
    if (this->endsUnasked(now))
        return SearchStep::Send;
    if (this->mayTryAgain(now))
        return now < *this->roundEnd + this->limits.roundPause ? SearchStep::Wait : SearchStep::Again;
    bool allFull = std::all_of(this->targets.begin(), this->targets.end(), [](const Asked& target) { return target.full || target.failed; });
    return allFull && !this->fits(this->bestCost(), now) ? SearchStep::Refuse : SearchStep::Send;
}

size_t TargetSearch::best() const
{
    size_t best = 0;
    double bestCost = failedCost * 2;
    for (size_t position = 0; position < this->targets.size(); position++) {
        double cost = this->targets[position].cost.value_or(unknownCost);
        // The router picks targets in order of preference, so the first of those that were not probed is kept.
        if (cost > bestCost || (cost == bestCost && this->targets[position].unasked))
            continue;
        best = position;
        bestCost = cost;
    }
    return best;
}

double TargetSearch::bestCost() const
{
    if (this->targets.empty())
        return failedCost;
    return this->targets[this->best()].cost.value_or(unknownCost);
}

TimePoint TargetSearch::nextEvent(TimePoint now) const
{
    TimePoint next = TimePoint::max();
    auto consider = [&](TimePoint time) {
        if (time > now)
            next = std::min(next, time);
    };
    for (const Asked& target : this->targets) {
        if (!target.cost)
            consider(target.time + this->limits.silence);
    }
    if (this->roundEnd)
        consider(*this->roundEnd + this->limits.roundPause);
    return next == TimePoint::max() ? now : next;
}

} // namespace kingcup
