/** @file RecentLoad.h What the targets of a service told of their load a moment ago, as a stand-in for those that cannot be asked. */
#pragma once

#include "kingcup/MillisecondClock.h"

#include <deque>
#include <optional>

namespace kingcup {

/** Typical state of a target. */
struct TypicalLoad {
    double cost = 0; ///< Median of the costs by TargetSearch.
    bool full = false; ///< Whether most targets had no free slot.
};

/** Costs that searches found within the last moments. Not thread-safe. */
class RecentLoad {
public:
    /** Records the answer of a target. */
    void add(double cost, bool full, TimePoint now);

    /** Returns the typical load; empty without recent answers. */
    std::optional<TypicalLoad> typical(TimePoint now);

private:
    /** One answer. */
    struct Answer {
        TimePoint time; ///< When it came.
        double cost; ///< By TargetSearch.
        bool full; ///< No free slot.
    };
    void forget(TimePoint now);

    std::deque<Answer> answers; ///< Oldest first.
};

} // namespace kingcup
