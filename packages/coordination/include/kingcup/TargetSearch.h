/** @file TargetSearch.h Finds a target with free capacity by probing a few targets right before a request is sent. */
#pragma once

#include "kingcup/MillisecondClock.h"
#include "kingcup/RecentLoad.h"
#include "kingcup/Router.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace kingcup {

/** Limits of a search. */
struct TargetSearchLimits {
    uint32_t maxProbes = 5; ///< Maximum number of targets per round.
    Milliseconds probeTimeout { 12 }; ///< Time without an answer after which another target is probed.
    Milliseconds roundPause { 20 }; ///< Between two rounds, in which slots become free and the speed of machines changes.
    TimePoint latestStart = TimePoint::max(); ///< Time after which no further target is probed and no further round begins; the search then ends with the best target so far or a refusal.
    TimePoint objectiveEnd = TimePoint::max(); ///< Time by which the caller wants the answer.
    std::optional<Milliseconds> usualServiceTime; ///< Duration of the work on a free target of usual speed; empty: unknown.
};

/** Times of a request, from which the limits of its search follow. */
struct SearchTimes {
    TimePoint arrival {}; ///< Arrival of the request at this VM.
    TimePoint searchStart {}; ///< Start of its first search.
    TimePoint deadline = TimePoint::max(); ///< End of the time that the caller waits.
    Milliseconds objective { 0 }; ///< Time after the arrival within which the caller wants the answer.
    std::optional<Milliseconds> usualServiceTime; ///< Duration of the work on a free target of usual speed; empty: unknown.
};

/**
 * Returns the limits of a search. A request that comes to its search late, such as one that waited for the first configuration of the
 * VM, still gets the time for a few probes: without them a quarter or more of such requests would go to a slow machine and hold its
 * slots several times as long.
 */
TargetSearchLimits limitsOfSearch(const SearchTimes& times);

/** Next action of a search. */
enum class SearchStep {
    Wait, ///< Wait for an answer or until nextEventTime().
    Probe, ///< Probe another target.
    NextRound, ///< Start another round, in which every target may be probed again.
    Send, ///< Send the request to best().
    Refuse, ///< Refuse the request: no target has a free slot, and the answer would miss the objective; or no target may get it.
};

/**
 * One round of a search for a target. Load reports from earlier answers are too old where the speed of a machine changes many
 * times a second. The search therefore probes targets one after the other until one has a free slot on a machine of usual
 * speed. After three answers it accepts a busier target that can still meet the objective. If there is none, the request
 * waits for another round as long as it can still meet the objective, but for at most one round if the probe budget is
 * exhausted. Not thread-safe.
 */
class TargetSearch {
public:
    /** @param earlierUnprobedRounds Earlier rounds of the request in which the probe budget allowed no probe. */
    explicit TargetSearch(const TargetSearchLimits& limits, uint32_t earlierUnprobedRounds = 0);

    /** Adds a target whose probe starts now. Returns its position in the round. */
    size_t addTarget(TimePoint now);

    /** Records that a target is not probed, because the probe budget is exhausted. @param typical Recent load of other targets, which is assumed for this one. */
    void skipProbe(size_t position, const std::optional<TypicalLoad>& typical);

    /** Records the answer to a probe. @param coldFactor Time per request relative to the usual one, because the target has just started. */
    SearchStep recordAnswer(size_t position, const LoadReport& load, double coldFactor, TimePoint now);

    /** Records a failed probe. */
    SearchStep recordFailure(size_t position, TimePoint now);

    /** Records that a target must not get the request, because its answer to the probe says that it leaves or accepts no requests for a time. */
    SearchStep recordUnavailable(size_t position, TimePoint now);

    /** Records that a target must not get the request, because it is cold and no permit is due. It does not count towards the targets of the round. */
    SearchStep recordColdTarget(size_t position, TimePoint now);

    /** Returns whether at least one target may get the request. */
    bool hasAvailableTarget() const;

    /** Records that there is no further target to probe. */
    SearchStep markExhausted(TimePoint now);

    /** Returns whether another round can begin before the latest start if this one finds no target. */
    bool canStartNextRound(TimePoint now) const;

    /** Returns the rounds so far, this one included, in which the probe budget allowed no probe. */
    uint32_t unprobedRounds() const;

    /** Returns the next action without a new answer, such as when a timer fires. */
    SearchStep nextStep(TimePoint now) const;

    /** Returns the position of the target with the lowest cost. Of targets with the same cost it is the latest, but one that was not probed never replaces an earlier one. */
    size_t best() const;

    /** Returns the cost of best(). */
    double bestCost() const;

    /** Returns the earliest time after `now` at which nextStep() may return another action; `now` if there is none. */
    TimePoint nextEventTime(TimePoint now) const;

    /** Returns the expected duration of a request that is sent now, queueing included, relative to the usual one. */
    static double costOf(const LoadReport& load);

    /** Returns whether a target has no free slot; false if it states no number of slots. */
    static bool isFull(const LoadReport& load) { return load.slots > 0 && load.inFlight + load.waiting >= load.slots; }

private:
    struct Candidate {
        TimePoint probedAt {}; ///< Start of the probe.
        std::optional<double> cost; ///< Relative duration as by costOf(); empty: the probe is pending.
        bool hasFailed = false; ///< The probe failed.
        bool hasAnswered = false; ///< The probe returned a load report.
        bool hasNoFreeSlot = false; ///< It has no free slot, by its answer or by the load assumed for it.
        bool isUnprobed = false; ///< The probe budget allowed no probe.
        bool isUnavailable = false; ///< It must not get the request.
        bool isCold = false; ///< It must not get the request because it is cold.
    };
    bool hasPendingProbe(TimePoint now) const;
    bool mayProbeAnother(TimePoint now) const;
    bool meetsObjective(double cost, TimePoint now) const;
    bool isBestTolerable(TimePoint now) const;
    bool isEndedByProbeBudget(TimePoint now) const;

    TargetSearchLimits limits;
    uint32_t earlierUnprobedRounds;
    bool isExhausted = false; ///< There is no further target to probe.
    std::optional<TimePoint> lastProbeTime; ///< Latest start or answer of a probe of the round.
    std::vector<Candidate> targets; ///< In the order in which they were added.
};

} // namespace kingcup
