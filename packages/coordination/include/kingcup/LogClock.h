/** @file LogClock.h Log time: milliseconds that elapse while the replicated log has a leader, independent of wall clocks. */
#pragma once

#include "kingcup/MillisecondClock.h"

#include <algorithm>
#include <cstdint>

namespace kingcup {

/**
 * Extrapolates the log time on one VM with its monotonic clock. A leader starts from the newest time in the log, an entry VM
 * from the newest time that it has received, so that a step of a wall clock expires no claim, quarantine or tombstone early.
 */
class LogClock {
public:
    /** @param now Monotonic time at which the clock starts, with log time 1. */
    explicit LogClock(TimePoint now = MillisecondClock::now())
        : baseTime(now)
    {
    }

    /** Sets the clock to a log time that is ahead of it; an older one is ignored. */
    void advance(uint64_t logTimeMs, TimePoint now)
    {
        if (logTimeMs <= this->at(now))
            return;
        this->baseLogTimeMs = logTimeMs;
        this->baseTime = now;
    }

    /** Returns the log time in milliseconds at a monotonic time. */
    uint64_t at(TimePoint now) const
    {
        double elapsedMs = std::max(0.0, (now - this->baseTime).count());
        return this->baseLogTimeMs + static_cast<uint64_t>(elapsedMs);
    }

private:
    uint64_t baseLogTimeMs = 1; ///< Log time at `baseTime`. It starts at 1 because 0 means that no time is set.
    TimePoint baseTime; ///< Monotonic time at which `baseLogTimeMs` was set.
};

} // namespace kingcup
