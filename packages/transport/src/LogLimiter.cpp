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
bool LogLimiter::refill(Bucket& bucket, double perSecond, double burst, TimePoint now)
{
    bool isNew = bucket.refillTime == TimePoint {};
    double earned = std::max(0.0, (now - bucket.refillTime).count()) * perSecond / msPerSecond;
    bucket.tokens = isNew ? burst : std::min(bucket.tokens + earned, burst);
    bucket.refillTime = now;
    return bucket.tokens >= 1;
}

bool LogLimiter::tryAcquire(std::string_view event, TimePoint now)
{
    auto found = this->eventBuckets.find(event);
    if (found == this->eventBuckets.end())
        found = this->eventBuckets.emplace(std::string(event), Bucket {}).first;
    bool hasEventToken = refill(found->second, this->limits.eventPerSecond, this->limits.eventBurst, now);
    bool hasProcessToken = refill(this->processBucket, this->limits.processPerSecond, this->limits.processBurst, now);
    if (!hasEventToken || !hasProcessToken) {
        found->second.suppressed++;
        return false;
    }
    found->second.tokens -= 1;
    this->processBucket.tokens -= 1;
    return true;
}

std::vector<SuppressedLines> LogLimiter::takeSuppressed(TimePoint now)
{
    std::vector<SuppressedLines> lines;
    if (now < this->nextReport)
        return lines;
    this->nextReport = now + reportInterval;
    for (auto& [event, bucket] : this->eventBuckets) {
        if (!bucket.suppressed)
            continue;
        lines.push_back({ event, bucket.suppressed });
        bucket.suppressed = 0;
    }
    return lines;
}

} // namespace kingcup
