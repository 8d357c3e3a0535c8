/** @file StartupQueue.h Calls that arrive at an entry VM before its first configuration. */
#pragma once

#include "kingcup/MillisecondClock.h"
#include "kingcup/RandomSource.h"

#include <cstddef>
#include <optional>

namespace kingcup {

/**
 * Decides whether a call waits for the first configuration of an entry VM that has just started, and when a refused caller may
 * return. Load pattern: after a loss of power of the whole fleet all callers come at once, a few hundred milliseconds before the
 * first configuration does. A caller that is refused twice in that time has no further attempt. Without a configuration soon after
 * the start, control is unreachable, and calls are refused at once. Not thread-safe.
 */
class StartupQueue {
public:
    /** @param startTime Start of the process. */
    StartupQueue(TimePoint startTime, RandomSource random);

    /** Returns the time until which a call waits; empty if it is refused at once. leave() must follow a wait. @param deadline Deadline of the call. */
    std::optional<TimePoint> enter(TimePoint deadline, TimePoint now);

    /** Records that a call waits no longer. */
    void leave();

    /** Returns the delay after which a refused caller may return: the time until the configuration is expected, spread so that callers do not return together. */
    Milliseconds retryAfter(TimePoint now);

    size_t waiting() const { return this->waitingCalls; } ///< Calls that wait.

private:
    TimePoint startTime;
    RandomSource random; ///< Spreads the returns.
    size_t waitingCalls = 0;
};

} // namespace kingcup
