/** @file TimerQueue.cpp Implementation of the timer queue. */
#include "TimerQueue.h"

namespace kingcup {

TimerQueue::TimerQueue()
    : thread([this] { this->run(); })
{
}

TimerQueue::~TimerQueue()
{
    this->stop();
}

TimerId TimerQueue::schedule(TimePoint when, std::function<void()> function)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    TimerId id = ++this->lastId;
    auto [position, inserted] = this->timers.emplace(std::pair(when, id), std::move(function));
    this->times.emplace(id, when);
    if (position == this->timers.begin())
        this->changed.notify_one();
    return id;
}

void TimerQueue::cancel(TimerId id)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto time = this->times.find(id);
    if (time == this->times.end())
        return;
    this->timers.erase({ time->second, id });
    this->times.erase(time);
}

void TimerQueue::stop()
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->stopping = true;
        this->changed.notify_one();
    }
    if (this->thread.joinable())
        this->thread.join();
}

/** Main function of the thread: runs due functions without the lock until stop() is called. */
void TimerQueue::run()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->stopping) {
        if (this->timers.empty()) {
            this->changed.wait(lock);
            continue;
        }
        auto first = this->timers.begin();
        Milliseconds remaining = first->first.first - MillisecondClock::now();
        if (remaining.count() > 0) {
            this->changed.wait_for(lock, remaining);
            continue;
        }
        std::function<void()> function = std::move(first->second);
        this->times.erase(first->first.second);
        this->timers.erase(first);
        lock.unlock();
        function();
        lock.lock();
    }
}

} // namespace kingcup
