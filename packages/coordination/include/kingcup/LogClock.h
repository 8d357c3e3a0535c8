/** @file LogClock.h Time of the replicated log: elapsed time under leaders, independent of wall clocks. */
#pragma once

#include "kingcup/MillisecondClock.h"

#include <algorithm>
#include <cstdint>

namespace kingcup {

/**
 * Carries the time of the log forward on one VM. A leader goes on from the newest time in the log, and entry VMs from the
 * newest one that they were told, so that a step of a wall clock ends no claim, quarantine or tombstone early.
 */
class LogClock {
public:
    /** @param now Start of the clock. */
    explicit LogClock(TimePoint now = MillisecondClock::now())
        : baseTime(now)
    {
    }

    /** Takes over a time of the log, unless the clock is ahead of it. */
    void advance(uint64_t logTimeMs, TimePoint now)
    {
        if (logTimeMs <= this->at(now))
            return;
        this->baseMs = logTimeMs;
        this->baseTime = now;
    }

    /** Returns the time of the log in milliseconds. */
    uint64_t at(TimePoint now) const
    {
        double elapsedMs = std::max(0.0, (now - this->baseTime).count());
        return this->baseMs + static_cast<uint64_t>(elapsedMs);
    }

private:
    uint64_t baseMs = 1; ///< Time of the log at `baseTime`; 0 stands for no time.
    TimePoint baseTime; ///< When `baseMs` was taken over.
};

} // namespace kingcup
