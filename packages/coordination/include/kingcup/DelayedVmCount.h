/** @file DelayedVmCount.h Number of entry VMs that rises at once and falls after a delay. */
#pragma once

#include "kingcup/MillisecondClock.h"

#include <cstdint>
#include <vector>

namespace kingcup {

/**
 * Number of entry VMs by which a VM divides shared limits: the largest one set within a delay. VMs that are no longer counted may have used
 * their parts in this time. Not thread-safe.
 */
class DelayedVmCount {
public:
    /** Sets a number above 0. A higher one takes effect at once, a lower one when the delay has passed. */
    void set(uint32_t count, Milliseconds delay, TimePoint now);

    /** Sets a number without a delay; 0 if it is unknown. */
    void reset(uint32_t count);

    /** Returns the number in effect; 0 if it is unknown. */
    uint32_t value() const { return this->numbers.empty() ? 0 : this->numbers.front().count; }

private:
    /** A number that was set. */
    struct Number {
        uint32_t count = 0;
        TimePoint end = TimePoint::max(); ///< Time at which the next lower number takes effect; the greatest time for the last number.
    };
    std::vector<Number> numbers; ///< The one in effect and those that follow it, each lower than the one before.
};

} // namespace kingcup
