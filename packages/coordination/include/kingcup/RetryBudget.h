/** @file RetryBudget.h Bounds the arrivals at a service beyond the first of each request, over all entry VMs. */
#pragma once

#include "kingcup/MillisecondClock.h"
#include "kingcup/Settings.h"

#include <array>
#include <cstdint>

namespace kingcup {

/**
 * This VM's share of a budget for sliding windows: the share of its own requests, and its part of the slack. Not
 * thread-safe. A VM that has just started, or does not know how many others there are, has no part of the slack, because
 * the process before it may have spent it.
 */
class RetryBudget {
public:
    RetryBudget(const RetryBudgetLimits& limits, TimePoint now);

    /** Sets the number of entry VMs that share the slack; 0: not known. */
    void setLiveVms(uint32_t count) { this->liveVms = count; }

    /** Counts a request for the service. */
    void request(TimePoint now);

    /** Takes one further arrival. Returns false when the window has no room for it. */
    bool take(TimePoint now);

    /** Returns the arrivals that may still be taken. */
    double left(TimePoint now);

private:
    static constexpr size_t slotsPerWindow = 40; ///< Resolution of the window.

    /** Counts of one part of the window. */
    struct Slot {
        double requests = 0; ///< Requests for the service.
        double arrivals = 0; ///< Arrivals beyond the first.
    };

    void turn(TimePoint now);

    RetryBudgetLimits limits; ///< For all entry VMs together.
    TimePoint started; ///< Start of this VM's counting.
    uint32_t liveVms = 0; ///< Entry VMs that share the slack.
    std::array<Slot, slotsPerWindow + 1> slots {}; ///< Ring; one slot more than a window, because the oldest is counted in part.
    int64_t current = 0; ///< Number of the newest slot.
    Slot sum; ///< Over all slots.
};

} // namespace kingcup
