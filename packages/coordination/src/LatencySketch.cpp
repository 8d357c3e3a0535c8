/** @file LatencySketch.cpp Histogram of recent latencies in two alternating windows. */
#include "kingcup/LatencySketch.h"

#include <algorithm>
#include <cmath>

namespace kingcup {

namespace {

constexpr auto relaxed = std::memory_order_relaxed;
constexpr double smallestBucketMs = 0.05;
constexpr double bucketGrowth = 1.05; ///< Ratio of successive bucket bounds; limits the error of a quantile to 5%.
constexpr double windowMs = 10000;

/** Returns the index of the bucket that holds a latency. */
size_t bucketOf(double ms, size_t count)
{
    if (!(ms > smallestBucketMs))
        return 0;
    double position = std::ceil(std::log(ms / smallestBucketMs) / std::log(bucketGrowth));
    return static_cast<size_t>(std::min(position, static_cast<double>(count - 1)));
}

} // namespace

void LatencySketch::add(Milliseconds latency, TimePoint now)
{
    this->rotateWindows(now);
    Window& window = this->windows[this->windowNumber.load(relaxed) % 2];
    window[bucketOf(latency.count(), bucketCount)].fetch_add(1, relaxed);
}

std::optional<Milliseconds> LatencySketch::quantile(double quantile, uint64_t minCount, TimePoint now)
{
    this->rotateWindows(now);
    std::array<uint64_t, bucketCount> counts {};
    uint64_t total = 0;
    for (size_t i = 0; i < bucketCount; ++i) {
        counts[i] = this->windows[0][i].load(relaxed) + this->windows[1][i].load(relaxed);
        total += counts[i];
    }
    if (total < std::max<uint64_t>(minCount, 1))
        return std::nullopt;
    auto rank = static_cast<uint64_t>(std::ceil(std::clamp(quantile, 0.0, 1.0) * static_cast<double>(total)));
    uint64_t cumulativeCount = 0;
    size_t bucket = 0;
    for (; bucket + 1 < bucketCount; ++bucket) {
        cumulativeCount += counts[bucket];
        if (cumulativeCount >= std::max<uint64_t>(rank, 1))
            break;
    }
    return Milliseconds(smallestBucketMs * std::pow(bucketGrowth, static_cast<double>(bucket)));
}

void LatencySketch::rotateWindows(TimePoint now)
{
    auto number = static_cast<uint64_t>(std::max(0.0, now.time_since_epoch().count()) / windowMs);
    uint64_t current = this->windowNumber.load(relaxed);
    if (number <= current || !this->windowNumber.compare_exchange_strong(current, number))
        return;
    bool areBothExpired = number > current + 1;
    for (size_t i = 0; i < 2; ++i) {
        if (!areBothExpired && i != number % 2)
            continue;
        for (std::atomic<uint32_t>& count : this->windows[i])
            count.store(0, relaxed);
    }
}

} // namespace kingcup
