/** @file StopSchedule.h Times of a planned stop, and which calls still fit into it. */
#pragma once

#include "kingcup/MillisecondClock.h"

#include <optional>

namespace kingcup {

/** Durations of a planned stop, from the settings. */
struct StopTimes {
    Milliseconds notice { 1000 }; ///< Time between "not ready" and closed listeners.
    Milliseconds callLimit { 30000 }; ///< Longest time for calls in flight after the notice; not used with a grace period.
    std::optional<Milliseconds> gracePeriod; ///< Time from the stop signal until the platform kills the process; empty if it never does.
};

/**
 * Decides how long a process that was told to stop accepts connections and finishes calls. All times count from the stop signal, so
 * that a call is checked against the end of the stop from the first moment on: one that is accepted later than that and lasts
 * longer would be cut off while its target works on it. Immutable.
 */
class StopSchedule {
public:
    /** @param start Time of the stop signal. */
    StopSchedule(const StopTimes& times, TimePoint start);

    TimePoint noticeEnd() const { return this->noticeEndTime; } ///< Time at which the listeners close; at most callsEnd().
    TimePoint callsEnd() const { return this->callsEndTime; } ///< Time at which the calls that are still in flight are cut off.

    /** Returns the latest deadline of a call that is accepted from the stop signal on. Its answer still has to be sent by callsEnd(). */
    TimePoint latestDeadline() const;

    /** Returns the time by which the process must have ended; empty without a grace period. */
    std::optional<TimePoint> processEnd() const { return this->processEndTime; }

private:
    TimePoint noticeEndTime;
    TimePoint callsEndTime;
    std::optional<TimePoint> processEndTime;
};

} // namespace kingcup
