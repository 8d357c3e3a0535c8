/** @file SerialExecutor.h Runs the events of one object one after the other without a thread of its own. */
#pragma once

#include <deque>
#include <functional>
#include <mutex>

namespace kingcup {

/**
 * Serialises functions that several threads post. A function runs on the thread that posted it, or on the one that
 * is running an earlier function. No lock is held while a function runs, so functions may post further ones.
 */
class SerialExecutor {
public:
    /** Runs a function after all that were posted before it. */
    void post(std::function<void()> function)
    {
        {
            std::lock_guard<std::mutex> lock(this->mutex);
            this->functions.push_back(std::move(function));
            if (this->running)
                return;
            this->running = true;
        }
        this->drain();
    }

private:
    /** Runs functions until none is left. */
    void drain()
    {
        for (;;) {
            std::function<void()> next;
            {
                std::lock_guard<std::mutex> lock(this->mutex);
                if (this->functions.empty()) {
                    this->running = false;
                    return;
                }
                next = std::move(this->functions.front());
                this->functions.pop_front();
            }
            next();
        }
    }

    std::mutex mutex; ///< Guards all below.
    std::deque<std::function<void()>> functions; ///< Waiting functions.
    bool running = false; ///< Whether some thread drains the queue.
};

} // namespace kingcup
