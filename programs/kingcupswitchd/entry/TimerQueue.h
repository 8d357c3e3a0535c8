/** @file TimerQueue.h One thread that runs functions at given times. */
#pragma once

#include "kingcup/MillisecondClock.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace kingcup {

using TimerId = uint64_t; ///< Names a scheduled function; 0: none.

/** Runs functions at given times, in order, on its own thread. Functions must not block. Thread-safe. */
class TimerQueue {
public:
    TimerQueue();
    ~TimerQueue();

    /** Schedules a function. */
    TimerId schedule(TimePoint when, std::function<void()> function);

    /** Forgets a function that has not started. Unknown ids are ignored. */
    void cancel(TimerId id);

    /** Joins the thread; functions that are still scheduled never run. */
    void stop();

private:
    void run();

    std::mutex mutex; ///< Guards all below.
    std::condition_variable changed; ///< Signals an earlier first timer or the stop.
    std::map<std::pair<TimePoint, TimerId>, std::function<void()>> timers; ///< In order of time.
    std::map<TimerId, TimePoint> times; ///< Time of each id.
    TimerId lastId = 0; ///< Last id given.
    bool stopping = false; ///< Ends the thread.
    std::thread thread; ///< Runs the functions.
};

} // namespace kingcup
