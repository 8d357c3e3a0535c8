/** @file LogLimiter.cpp Token-bucket rate limits of log lines. */
#include "kingcup/LogLimiter.h"

#include <algorithm>

namespace kingcup {

namespace {

constexpr double msPerSecond = 1000;
constexpr Milliseconds reportInterval { 1000 };

} // namespace

LogLimiter::LogLimiter(LogLimits limits)
    : limits(limits)
{
}

/** Refills a bucket for the time since its last refill and returns whether it holds a token. */
bool LogLimiter::hasToken(Bucket& bucket, double perSecond, double burst, TimePoint now)
{
    bool isNew = bucket.filled == TimePoint {};
    double earned = std::max(0.0, (now - bucket.filled).count()) * perSecond / msPerSecond;
    bucket.tokens = isNew ? burst : std::min(bucket.tokens + earned, burst);
    bucket.filled = now;
    return bucket.tokens >= 1;
}

bool LogLimiter::take(std::string_view event, TimePoint now)
{
    auto found = this->events.find(event);
    if (found == this->events.end())
        found = this->events.emplace(std::string(event), Bucket {}).first;
    bool eventAllows = hasToken(found->second, this->limits.eventPerSecond, this->limits.eventBurst, now);
    bool processAllows = hasToken(this->process, this->limits.processPerSecond, this->limits.processBurst, now);
    if (!eventAllows || !processAllows) {
        found->second.suppressed++;
        return false;
    }
    found->second.tokens -= 1;
    this->process.tokens -= 1;
    return true;
}

std::vector<SuppressedLines> LogLimiter::takeSuppressed(TimePoint now)
{
    std::vector<SuppressedLines> lines;
    if (now < this->nextReport)
        return lines;
    this->nextReport = now + reportInterval;
    for (auto& [event, bucket] : this->events) {
        if (!bucket.suppressed)
            continue;
        lines.push_back({ event, bucket.suppressed });
        bucket.suppressed = 0;
    }
    return lines;
}

} // namespace kingcup
