/** @file SerialExecutor.h Runs the event handlers of an object one at a time, without a thread of its own. */
#pragma once

#include <deque>
#include <functional>
#include <mutex>

namespace kingcup {

/**
 * Serialises functions that several threads post. A function runs on the thread that posted it, or on the thread that
 * is running an earlier function. No lock is held while a function runs, so functions may post others. Thread-safe.
 */
class SerialExecutor {
public:
    /** Runs a function after all that were posted before it. Returns without waiting for it if another thread, or an outer call, is running functions. */
    void post(std::function<void()> function)
    {
        {
            std::lock_guard<std::mutex> lock(this->mutex);
            this->functions.push_back(std::move(function));
            if (this->isDraining)
                return;
            this->isDraining = true;
        }
        this->drain();
    }

private:
    /** Runs queued functions until the queue is empty. */
    void drain()
    {
        for (;;) {
            std::function<void()> next;
            {
                std::lock_guard<std::mutex> lock(this->mutex);
                if (this->functions.empty()) {
                    this->isDraining = false;
                    return;
                }
                next = std::move(this->functions.front());
                this->functions.pop_front();
            }
            next();
        }
    }

    std::mutex mutex; ///< Guards all members below.
    std::deque<std::function<void()>> functions; ///< Queued functions, oldest first.
    bool isDraining = false; ///< Whether a thread is draining the queue.
};

} // namespace kingcup
