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
    this->timesById.emplace(id, when);
    if (position == this->timers.begin())
        this->wakeCondition.notify_one();
    return id;
}

void TimerQueue::cancel(TimerId id)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto time = this->timesById.find(id);
    if (time == this->timesById.end())
        return;
    this->timers.erase({ time->second, id });
    this->timesById.erase(time);
}

void TimerQueue::stop()
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->isStopping = true;
        this->wakeCondition.notify_one();
    }
    if (this->thread.joinable())
        this->thread.join();
}

/** Main function of the thread: runs due functions without the lock until stop() is called. */
void TimerQueue::run()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->isStopping) {
        if (this->timers.empty()) {
            this->wakeCondition.wait(lock);
            continue;
        }
        auto first = this->timers.begin();
        Milliseconds remaining = first->first.first - MillisecondClock::now();
        if (remaining.count() > 0) {
            this->wakeCondition.wait_for(lock, remaining);
            continue;
        }
        std::function<void()> function = std::move(first->second);
        this->timesById.erase(first->first.second);
        this->timers.erase(first);
        lock.unlock();
        function();
        lock.lock();
    }
}

} // namespace kingcup
