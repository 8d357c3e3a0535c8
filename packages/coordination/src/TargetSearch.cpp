/** @file TargetSearch.cpp Rates probed targets and decides on the next action of a search. */
#include "kingcup/TargetSearch.h"

#include <algorithm>

namespace kingcup {

namespace {

constexpr double maxImmediateCost = 1.3; ///< Relative duration up to which a target is accepted at once.
constexpr double maxTolerableCost = 2.2; ///< Relative duration up to which a target is accepted after `minAnswersForTolerance` answers.
constexpr size_t minAnswersForTolerance = 3;
constexpr double queueFactor = 2.5; ///< Requests on a full target take longer than usual, so the wait in its queue is longer, too.
constexpr uint32_t maxUnprobedRounds = 1; ///< Rounds without any probe after which the search still waits for another round. With 0, a request would be sent before the budget allows the next probe; OverloadReplayTest limits what the wait may cost.
constexpr double unansweredCost = 3; ///< Assumed for a target that did not answer: worse than a busy one, better than a slow one.
constexpr double minUnprobedCost = 2; ///< Minimum assumed for a target that was not probed: that of an average target.
constexpr double failedProbeCost = 1000; ///< Assumed for a target whose probe failed: worse than any answer.
constexpr double unavailableCost = 2000; ///< Assumed for a target that must not get the request: worse than any other.
constexpr double nearlyFullShare = 0.8; ///< Share of busy slots above which a target slows down.
constexpr double nearlyFullFactor = 1.7; ///< Relative duration of a request on a nearly full target.

constexpr double searchObjectiveShare = 0.125; ///< Share of the objective that a search may take while the usual time of the work is unknown.
constexpr double workTimeFactor = 1.25; ///< Multiple of the usual time of the work that must fit between the latest start and the objective.
constexpr Milliseconds minSearchTime { 40 }; ///< Suffices for three or more probes.

} // namespace

TargetSearchLimits limitsOfSearch(const SearchTimes& times)
{
    TargetSearchLimits limits;
    limits.usualServiceTime = times.usualServiceTime;
    limits.objectiveEnd = std::min(times.arrival + times.objective, times.deadline);
    if (limits.usualServiceTime)
        limits.latestStart = limits.objectiveEnd - *limits.usualServiceTime * workTimeFactor;
    else
        limits.latestStart = times.arrival + times.objective * searchObjectiveShare;
    limits.latestStart = std::max(limits.latestStart, std::min(times.searchStart + minSearchTime, times.deadline));
    return limits;
}

TargetSearch::TargetSearch(const TargetSearchLimits& limits, uint32_t earlierUnprobedRounds)
    : limits(limits)
    , earlierUnprobedRounds(earlierUnprobedRounds)
{
}

size_t TargetSearch::addTarget(TimePoint now)
{
    Candidate target;
    target.probedAt = now;
    this->targets.push_back(target);
    this->lastProbeTime = now;
    return this->targets.size() - 1;
}

void TargetSearch::skipProbe(size_t position, const std::optional<TypicalLoad>& typical)
{
    this->targets[position].isUnprobed = true;
    this->targets[position].cost = typical ? std::max(typical->cost, minUnprobedCost) : minUnprobedCost;
    this->targets[position].hasNoFreeSlot = typical && typical->hasNoFreeSlot;
}

double TargetSearch::costOf(const LoadReport& load)
{
    double slots = std::max(load.slots, 1u);
    double busyAfter = load.inFlight + 1.0;
    double queueRounds = std::max(0.0, (load.inFlight + load.waiting + 1.0 - slots) / slots);
    double crowding = busyAfter / slots > nearlyFullShare ? nearlyFullFactor : 1;
    return load.slowdown * (crowding + queueRounds * queueFactor);
}

SearchStep TargetSearch::recordAnswer(size_t position, const LoadReport& load, double coldFactor, TimePoint now)
{
    Candidate& target = this->targets[position];
    target.cost = costOf(load) * coldFactor;
    target.hasAnswered = true;
    this->lastProbeTime = now;
    target.hasNoFreeSlot = isFull(load);
    return this->nextStep(now);
}

SearchStep TargetSearch::recordFailure(size_t position, TimePoint now)
{
    this->targets[position].hasFailed = true;
    this->targets[position].cost = failedProbeCost;
    return this->nextStep(now);
}

SearchStep TargetSearch::recordUnavailable(size_t position, TimePoint now)
{
    this->targets[position].isUnavailable = true;
    this->targets[position].hasFailed = true;
    this->targets[position].cost = unavailableCost;
    return this->nextStep(now);
}

SearchStep TargetSearch::recordColdTarget(size_t position, TimePoint now)
{
    this->targets[position].isCold = true;
    return this->recordUnavailable(position, now);
}

bool TargetSearch::hasAvailableTarget() const
{
    return std::any_of(this->targets.begin(), this->targets.end(), [](const Candidate& target) { return !target.isUnavailable; });
}

SearchStep TargetSearch::markExhausted(TimePoint now)
{
    this->isExhausted = true;
    return this->nextStep(now);
}

/** Returns whether a probe is pending that has not timed out. */
bool TargetSearch::hasPendingProbe(TimePoint now) const
{
    return std::any_of(this->targets.begin(), this->targets.end(), [&](const Candidate& target) { return !target.cost && now - target.probedAt < this->limits.probeTimeout; });
}

/**
 * Returns whether the round may probe a further target. A zone of cold targets must not use up the round: cold ones don't count, and while no other
 * one was found the latest start doesn't apply. Each cold target that a probe finds is not picked again soon, so this ends.
 */
bool TargetSearch::mayProbeAnother(TimePoint now) const
{
    auto coldTargets = static_cast<size_t>(std::count_if(this->targets.begin(), this->targets.end(), [](const Candidate& target) { return target.isCold; }));
    bool isInTime = now < this->limits.latestStart || (coldTargets > 0 && !this->hasAvailableTarget());
    return !this->isExhausted && this->targets.size() - coldTargets < this->limits.maxProbes && isInTime;
}

/** Returns whether a request of this cost that is sent now meets the objective; true if the usual service time is unknown. */
bool TargetSearch::meetsObjective(double cost, TimePoint now) const
{
    return !this->limits.usualServiceTime || now + *this->limits.usualServiceTime * cost <= this->limits.objectiveEnd;
}

/** Returns whether enough targets have answered and the best of them is acceptable. */
bool TargetSearch::isBestTolerable(TimePoint now) const
{
    auto answers = static_cast<size_t>(std::count_if(this->targets.begin(), this->targets.end(), [](const Candidate& target) { return target.hasAnswered; }));
    if (answers < minAnswersForTolerance || !this->targets[this->best()].hasAnswered)
        return false;
    return this->bestCost() <= maxTolerableCost && this->meetsObjective(this->bestCost(), now);
}

uint32_t TargetSearch::unprobedRounds() const
{
    bool isNoneProbed = !this->targets.empty() && std::all_of(this->targets.begin(), this->targets.end(), [](const Candidate& target) { return target.isUnprobed; });
    return this->earlierUnprobedRounds + (isNoneProbed ? 1 : 0);
}

/** Returns whether the search ends because the probe budget is exhausted: a target that answered is acceptable, or the maximum number of rounds without a probe is reached. */
bool TargetSearch::isEndedByProbeBudget(TimePoint now) const
{
    bool hasUnprobed = std::any_of(this->targets.begin(), this->targets.end(), [](const Candidate& target) { return target.isUnprobed; });
    const Candidate& best = this->targets[this->best()];
    if (!hasUnprobed || best.hasNoFreeSlot || !this->meetsObjective(this->bestCost(), now))
        return false;
    return (best.hasAnswered && this->bestCost() <= maxTolerableCost) || this->unprobedRounds() > maxUnprobedRounds;
}

bool TargetSearch::canStartNextRound(TimePoint now) const
{
    return this->lastProbeTime && std::max(now, *this->lastProbeTime + this->limits.roundPause) < this->limits.latestStart;
}

SearchStep TargetSearch::nextStep(TimePoint now) const
{
    auto isAcceptableAtOnce = [](const Candidate& target) { return target.cost && *target.cost <= maxImmediateCost; };
    if (std::any_of(this->targets.begin(), this->targets.end(), isAcceptableAtOnce) || this->isBestTolerable(now))
        return SearchStep::Send;
    if (this->targets.empty())
        return this->isExhausted ? SearchStep::Refuse : SearchStep::Probe;
    if (this->hasPendingProbe(now))
        return SearchStep::Wait;
    if (this->mayProbeAnother(now))
        return SearchStep::Probe;
    if (this->isEndedByProbeBudget(now))
        return SearchStep::Send;
    if (this->canStartNextRound(now))
        return now < *this->lastProbeTime + this->limits.roundPause ? SearchStep::Wait : SearchStep::NextRound;
    if (!this->hasAvailableTarget())
        return SearchStep::Refuse;
    bool hasNoCapacity = std::all_of(this->targets.begin(), this->targets.end(), [](const Candidate& target) { return target.hasNoFreeSlot || target.hasFailed; });
    return hasNoCapacity && !this->meetsObjective(this->bestCost(), now) ? SearchStep::Refuse : SearchStep::Send;
}

size_t TargetSearch::best() const
{
    size_t best = 0;
    double bestCost = unavailableCost;
    for (size_t position = 0; position < this->targets.size(); position++) {
        double cost = this->targets[position].cost.value_or(unansweredCost);
        // The router picks targets in order of preference, so the first of those that were not probed is kept.
        if (cost > bestCost || (cost == bestCost && this->targets[position].isUnprobed))
            continue;
        best = position;
        bestCost = cost;
    }
    return best;
}

double TargetSearch::bestCost() const
{
    if (this->targets.empty())
        return failedProbeCost;
    return this->targets[this->best()].cost.value_or(unansweredCost);
}

TimePoint TargetSearch::nextEventTime(TimePoint now) const
{
    TimePoint next = TimePoint::max();
    auto consider = [&](TimePoint time) {
        if (time > now)
            next = std::min(next, time);
    };
    for (const Candidate& target : this->targets) {
        if (!target.cost)
            consider(target.probedAt + this->limits.probeTimeout);
    }
    if (this->lastProbeTime)
        consider(*this->lastProbeTime + this->limits.roundPause);
    return next == TimePoint::max() ? now : next;
}

} // namespace kingcup
