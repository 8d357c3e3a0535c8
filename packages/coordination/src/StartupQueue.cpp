/** @file StartupQueue.cpp Limits of the wait for the first configuration, and the delay of refused callers. */
#include "kingcup/StartupQueue.h"

#include <algorithm>

namespace kingcup {

namespace {

constexpr Milliseconds expectedStartup { 1000 }; ///< From the start of all VMs at once to the first configuration: election, then the transfer to hundreds of VMs.
constexpr Milliseconds maxStartup { 3000 }; ///< Without a configuration by then, control is taken as unreachable.
constexpr double maxWaitShare = 0.4; ///< Share of a call's remaining time that it may wait, so that the rest suffices for the work.
constexpr size_t maxWaitingCalls = 200;
constexpr Milliseconds minRetryAfter { 250 };
constexpr Milliseconds maxRetryAfter { 1000 };
constexpr double unreachableShare = 0.2; ///< Retry delay as a share of the time for which control has been unreachable.
constexpr double retrySpread = 0.5; ///< Largest random addition to a delay, as a share of it.

} // namespace

StartupQueue::StartupQueue(TimePoint startTime, RandomSource random)
    : startTime(startTime)
    , random(random)
{
}

std::optional<TimePoint> StartupQueue::enter(TimePoint deadline, TimePoint now)
{
    TimePoint end = std::min(this->startTime + maxStartup, now + (deadline - now) * maxWaitShare);
    if (end <= now || this->waitingCalls >= maxWaitingCalls)
        return std::nullopt;
    this->waitingCalls++;
    return end;
}

void StartupQueue::leave()
{
    this->waitingCalls--;
}

Milliseconds StartupQueue::retryAfter(TimePoint now)
{
    Milliseconds untilExpected = this->startTime + expectedStartup - now;
    Milliseconds delay = untilExpected.count() > 0 ? untilExpected : (now - this->startTime) * unreachableShare;
    return std::clamp(delay, minRetryAfter, maxRetryAfter) * (1 + retrySpread * this->random.fraction());
}

} // namespace kingcup
