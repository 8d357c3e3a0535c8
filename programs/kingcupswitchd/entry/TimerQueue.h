/** @file TimerQueue.h Thread that runs functions at given times. */
#pragma once

#include "kingcup/MillisecondClock.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace kingcup {

using TimerId = uint64_t; ///< Identifier of a scheduled function; 0: none.

/** Runs functions in the order of their times on a thread of its own. Functions must not block. Thread-safe. */
class TimerQueue {
public:
    TimerQueue();
    ~TimerQueue();

    /** Schedules a function. One whose time has passed runs as soon as possible. Returns an id for cancel(). */
    TimerId schedule(TimePoint when, std::function<void()> function);

    /** Removes a function that has not started. Ids of unknown, started or finished functions are ignored. */
    void cancel(TimerId id);

    /** Waits for the running function and joins the thread. Functions that are still scheduled never run. */
    void stop();

private:
    void run();

    std::mutex mutex; ///< Guards the members below up to `isStopping`.
    std::condition_variable wakeCondition; ///< Signals that the earliest time changed or that the thread has to stop.
    std::map<std::pair<TimePoint, TimerId>, std::function<void()>> timers; ///< Scheduled functions in the order of time.
    std::map<TimerId, TimePoint> timesById; ///< Time of each scheduled function.
    TimerId lastId = 0; ///< Identifier assigned last.
    bool isStopping = false; ///< Whether the thread has to stop.
    std::thread thread; ///< Runs the functions.
};

} // namespace kingcup
