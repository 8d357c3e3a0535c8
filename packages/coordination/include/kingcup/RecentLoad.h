/** @file RecentLoad.h Recent load of the probed targets of a service, as an estimate for targets that cannot be probed. */
#pragma once

#include "kingcup/MillisecondClock.h"

#include <deque>
#include <optional>

namespace kingcup {

/** Typical load of a target. */
struct TypicalLoad {
    double cost = 0; ///< Median of TargetSearch::costOf().
    bool full = false; ///< Most answers came from targets without a free slot.
};

/** Answers to the probes of the last 300 ms. Not thread-safe. */
class RecentLoad {
public:
    /** Records the answer of a target. @param cost As by TargetSearch::costOf(). @param full The target has no free slot. */
    void add(double cost, bool full, TimePoint now);

    /** Returns the typical load; empty with fewer than three recent answers. */
    std::optional<TypicalLoad> typical(TimePoint now);

private:
    struct Answer {
        TimePoint time; ///< Arrival.
        double cost; ///< As by TargetSearch::costOf().
        bool full; ///< The target had no free slot.
    };
    void forget(TimePoint now);

    std::deque<Answer> answers; ///< Oldest first.
};

} // namespace kingcup
