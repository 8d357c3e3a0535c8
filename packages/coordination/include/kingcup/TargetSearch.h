/** @file TargetSearch.h Finds a target that can work now by asking a few of them right before a request is sent. */
#pragma once

#include "kingcup/MillisecondClock.h"
#include "kingcup/Router.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace kingcup {

/** Bounds of a search. */
struct TargetSearchLimits {
    uint32_t maxProbes = 6; ///< Targets that one search asks.
    Milliseconds silence { 12 }; ///< A target that has not answered by then is passed over; another one is asked.
    Milliseconds duration { 40 }; ///< Afterwards the best known target is taken.
    double usefulCost = std::numeric_limits<double>::infinity(); ///< A request that waits for longer than this many usual times of work is refused.
};

/** What to do next. */
enum class SearchStep {
    Wait, ///< For an answer or for `nextEvent()`.
    Probe, ///< Ask a further target.
    Send, ///< Send the request to `best()`.
    Refuse, ///< Every target is full, and the request would wait too long.
};

/**
 * One search. Load reports that came with earlier answers are too old where the speed of a machine changes many times a
 * second, so targets are asked one after the other until one has a free slot on a machine of usual speed. Not thread-safe.
 */
class TargetSearch {
public:
    TargetSearch(const TargetSearchLimits& limits, TimePoint now);

    /** Notes that a target is being asked. Returns its position. */
    size_t probing(TimePoint now);

    /** Notes that a target is not asked, because the budget for measuring has nothing left. */
    void unasked(size_t position);

    /** Takes a target's answer. @param coldFactor How many times longer work takes because the target has just started. */
    SearchStep answered(size_t position, const LoadReport& load, double coldFactor, TimePoint now);

    /** Notes that a target could not be asked. */
    SearchStep failed(size_t position, TimePoint now);

    /** Notes that there is no further target to ask. */
    SearchStep exhausted(TimePoint now);

    /** Decides by the time alone. */
    SearchStep advance(TimePoint now) const;

    /** Returns the position of the target with the lowest cost; of those that did not answer the one asked last. */
    size_t best() const;

    /** Returns the cost of that target. */
    double bestCost() const;

    /** Returns when advance() may give another step. */
    TimePoint nextEvent() const;

    /** Returns how many times longer than usual a request will take that is sent now, queueing included. */
    static double costOf(const LoadReport& load);

private:
    /** One target. */
    struct Asked {
        TimePoint time {}; ///< When it was asked.
        std::optional<double> cost; ///< Set by its answer.
        bool failed = false; ///< It could not be asked.
        bool full = false; ///< It answered that requests wait.
    };
    bool anyOpen(TimePoint now) const;

    TargetSearchLimits limits; ///< Bounds.
    TimePoint started; ///< Start of the search.
    bool noneLeft = false; ///< There is no further target.
    std::vector<Asked> targets; ///< In the order in which they were asked.
};

} // namespace kingcup
