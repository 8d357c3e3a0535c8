/** @file RecentLoad.h Recent load of the probed targets of a service, as an estimate for targets that cannot be probed. */
#pragma once

#include "kingcup/MillisecondClock.h"

#include <deque>
#include <optional>

namespace kingcup {

/** Typical load of a target. */
struct TypicalLoad {
    double cost = 0; ///< Median of TargetSearch::costOf().
    bool hasNoFreeSlot = false; ///< Most answers came from targets without a free slot.
};

/** Answers to the probes of the last 300 ms. Not thread-safe. */
class RecentLoad {
public:
    /** Records the answer of a target. @param cost As by TargetSearch::costOf(). */
    void add(double cost, bool hasNoFreeSlot, TimePoint now);

    /** Returns the typical load; empty with fewer than three recent answers. */
    std::optional<TypicalLoad> typicalLoad(TimePoint now);

private:
    struct Answer {
        TimePoint arrivedAt;
        double cost; ///< As by TargetSearch::costOf().
        bool hasNoFreeSlot;
    };
    void removeExpired(TimePoint now);

    std::deque<Answer> answers; ///< Oldest first.
};

} // namespace kingcup
