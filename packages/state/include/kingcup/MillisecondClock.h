/** @file MillisecondClock.h Clock type that all code of the project uses. */
#pragma once

#include <chrono>
#include <cstdint>

namespace kingcup {

/** Monotonic clock in fractional milliseconds that also advances while the machine is suspended. */
struct MillisecondClock {
    using rep = double;
    using period = std::milli;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<MillisecondClock>;
    static constexpr bool is_steady = true; ///< NOLINT(readability-identifier-naming) name set by std::chrono.

    /** Returns the time since the machine was booted, including suspended time. */
    static time_point now();

    /** Returns the wall time in milliseconds since 1970-01-01 UTC, for logs only: it may jump when the system clock is set. */
    static int64_t wallTimeMs();
};

using Milliseconds = MillisecondClock::duration;
using TimePoint = MillisecondClock::time_point;

/**
 * Converts a number to a time point; mainly for tests of classes that take the time as a parameter.
 * @param ms Milliseconds since the origin of the clock.
 */
constexpr TimePoint timeAt(double ms)
{
    return TimePoint(Milliseconds(ms));
}

} // namespace kingcup
