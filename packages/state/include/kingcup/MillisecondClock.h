/** @file MillisecondClock.h The one clock type of the project. */
#pragma once

#include <chrono>
#include <cstdint>

namespace kingcup {

/** Monotonic clock that counts in fractional milliseconds, also while the machine is suspended. */
struct MillisecondClock {
    using rep = double;
    using period = std::milli;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<MillisecondClock>;
    static constexpr bool is_steady = true; ///< NOLINT(readability-identifier-naming) name set by std::chrono.

    /** Returns the monotonic time of this machine. */
    static time_point now();

    /** Returns the wall time in milliseconds since 1970-01-01 UTC, for logs only: it may jump. */
    static int64_t wallTimeMs();
};

using Milliseconds = MillisecondClock::duration;
using TimePoint = MillisecondClock::time_point;

/**
 * Makes a time point from a plain number, mainly for tests of decision classes.
 * @param ms Milliseconds since the origin of the clock.
 */
constexpr TimePoint timeAt(double ms)
{
    return TimePoint(Milliseconds(ms));
}

} // namespace kingcup
