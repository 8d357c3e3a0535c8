/** @file TargetSearch.h Finds a target that can work now by asking a few of them right before a request is sent. */
#pragma once

#include "kingcup/MillisecondClock.h"
#include "kingcup/RecentLoad.h"
#include "kingcup/Router.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace kingcup {

/** Bounds of a search. */
struct TargetSearchLimits {
    uint32_t maxProbes = 5; ///< Targets that one round asks.
    Milliseconds silence { 12 }; ///< A target that has not answered by then is passed over; another one is asked.
    Milliseconds roundPause { 20 }; ///< Between two rounds. Slots become free and machines change their speed meanwhile.
    TimePoint latestStart = TimePoint::max(); ///< No round begins after this time; the best known target is taken then.
    TimePoint objectiveEnd = TimePoint::max(); ///< An answer has its full value up to this time.
    std::optional<Milliseconds> usualTime; ///< Of the work on a free target of usual speed, if it is known.
};

/** What to do next. */
enum class SearchStep {
    Wait, ///< For an answer or for `nextEvent()`.
    Probe, ///< Ask a further target.
    Again, ///< Start another round, in which every target may be asked again.
    Send, ///< Send the request to `best()`.
    Refuse, ///< Every target is full, and the answer would come after the objective.
};

/**
 * One round of a search. Load reports that came with earlier answers are too old where the speed of a machine changes many
 * times a second, so targets are asked one after the other until one has a free slot on a machine of usual speed. After a
 * few answers a busier target will do, if the answer still comes in time. While there is none, the request waits for
 * another round as long as its work can still be done in time, but not for long if it may ask nobody. Not thread-safe.
 */
class TargetSearch {
public:
    /** @param unaskedBefore Earlier rounds of the request in which nobody could be asked. */
    explicit TargetSearch(const TargetSearchLimits& limits, uint32_t unaskedBefore = 0);

    /** Notes that a target is being asked. Returns its position. */
    size_t probing(TimePoint now);

    /** Notes that a target is not asked, because the budget for measuring has nothing left. @param typical Load of others a moment ago. */
    void unasked(size_t position, const std::optional<TypicalLoad>& typical);

    /** Takes a target's answer. @param coldFactor How many times longer work takes because the target has just started. */
    SearchStep answered(size_t position, const LoadReport& load, double coldFactor, TimePoint now);

    /** Notes that a target could not be asked. */
    SearchStep failed(size_t position, TimePoint now);

    /** Notes that there is no further target to ask. */
    SearchStep exhausted(TimePoint now);

    /** Returns whether another round follows once this one has found nothing. */
    bool mayTryAgain(TimePoint now) const;

    /** Returns the rounds so far, this one included, in which nobody could be asked. */
    uint32_t unaskedRounds() const;

    /** Decides by the time alone. */
    SearchStep advance(TimePoint now) const;

    /** Returns the position of the target with the lowest cost; of those that did not answer the one asked last, of those that were not asked the first. */
    size_t best() const;

    /** Returns the cost of that target. */
    double bestCost() const;

    /** Returns when advance() may give another step, after `now`. */
    TimePoint nextEvent(TimePoint now) const;

    /** Returns how many times longer than usual a request will take that is sent now, queueing included. */
    static double costOf(const LoadReport& load);

    /** Returns whether a target has no free slot. */
    static bool isFull(const LoadReport& load) { return load.slots > 0 && load.inFlight + load.waiting >= load.slots; }

private:
    /** One target. */
    struct Asked {
        TimePoint time {}; ///< When it was asked.
        std::optional<double> cost; ///< Set by its answer.
        bool failed = false; ///< It could not be asked.
        bool answered = false; ///< Its load is known.
        bool full = false; ///< It answered that it has no free slot.
        bool unasked = false; ///< The budget for measuring had nothing left for it.
    };
    bool anyOpen(TimePoint now) const;
    bool fits(double cost, TimePoint now) const;
    bool isTolerable(TimePoint now) const;
    bool endsUnasked(TimePoint now) const;

    TargetSearchLimits limits; ///< Bounds.
    uint32_t unaskedBefore; ///< Earlier rounds in which nobody could be asked.
    bool noneLeft = false; ///< There is no further target.
    std::optional<TimePoint> roundEnd; ///< When the last target of the round was asked or had answered.
    std::vector<Asked> targets; ///< In the order in which they were asked.
};

} // namespace kingcup
