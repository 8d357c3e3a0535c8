/** @file StopSchedule.cpp Implementation of the times of a planned stop. */
#include "kingcup/StopSchedule.h"

#include <algorithm>

namespace kingcup {

namespace {

constexpr double shutdownShare = 0.05; ///< Part of the grace period in which the process ends after its last call.
constexpr Milliseconds minShutdownTime { 300 }; ///< Time to close connections and join threads, however short the grace period is.
constexpr Milliseconds answerTime { 200 }; ///< From the deadline of a call until the last byte of its answer is sent.

/** Returns the time after the stop signal at which calls are cut off. */
Milliseconds callTime(const StopTimes& times)
{
    if (!times.gracePeriod)
        return times.notice + times.callLimit;
    Milliseconds shutdownTime = std::max(minShutdownTime, *times.gracePeriod * shutdownShare);
    return std::max(Milliseconds(0), *times.gracePeriod - shutdownTime);
}

} // namespace

StopSchedule::StopSchedule(const StopTimes& times, TimePoint start)
    : callsEndTime(start + callTime(times))
{
    this->noticeEndTime = std::min(start + times.notice, this->callsEndTime);
    if (times.gracePeriod)
        this->processEndTime = start + *times.gracePeriod;
}

TimePoint StopSchedule::latestDeadline() const
{
    return this->callsEndTime - answerTime;
}

} // namespace kingcup
