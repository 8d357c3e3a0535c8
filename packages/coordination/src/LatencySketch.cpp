/** @file LatencySketch.cpp Histogram of recent latencies in two alternating windows. */
#include "kingcup/LatencySketch.h"

#include <algorithm>
#include <cmath>

namespace kingcup {

namespace {

constexpr auto relaxed = std::memory_order_relaxed;
constexpr double smallestMs = 0.05;
constexpr double growth = 1.05; ///< Ratio of successive bucket bounds; limits the error of a quantile to 5%.
constexpr double windowMs = 10000;

/** Returns the index of the bucket that holds a latency. */
size_t bucketOf(double ms, size_t count)
{
    if (!(ms > smallestMs))
        return 0;
    double position = std::ceil(std::log(ms / smallestMs) / std::log(growth));
    return static_cast<size_t>(std::min(position, static_cast<double>(count - 1)));
}

} // namespace

void LatencySketch::add(Milliseconds latency, TimePoint now)
{
    this->rotate(now);
    Window& window = this->windows[this->windowNumber.load(relaxed) % 2];
    window[bucketOf(latency.count(), bucketCount)].fetch_add(1, relaxed);
}

std::optional<Milliseconds> LatencySketch::quantile(double quantile, uint64_t fewest, TimePoint now)
{
    this->rotate(now);
    std::array<uint64_t, bucketCount> counts {};
    uint64_t total = 0;
    for (size_t i = 0; i < bucketCount; ++i) {
        counts[i] = this->windows[0][i].load(relaxed) + this->windows[1][i].load(relaxed);
        total += counts[i];
    }
    if (total < std::max<uint64_t>(fewest, 1))
        return std::nullopt;
    auto wanted = static_cast<uint64_t>(std::ceil(std::clamp(quantile, 0.0, 1.0) * static_cast<double>(total)));
    uint64_t seen = 0;
    size_t bucket = 0;
    for (; bucket + 1 < bucketCount; ++bucket) {
        seen += counts[bucket];
        if (seen >= std::max<uint64_t>(wanted, 1))
            break;
    }
    return Milliseconds(smallestMs * std::pow(growth, static_cast<double>(bucket)));
}

void LatencySketch::rotate(TimePoint now)
{
    auto number = static_cast<uint64_t>(std::max(0.0, now.time_since_epoch().count()) / windowMs);
    uint64_t current = this->windowNumber.load(relaxed);
    if (number <= current || !this->windowNumber.compare_exchange_strong(current, number))
        return;
    bool bothOld = number > current + 1;
    for (size_t i = 0; i < 2; ++i) {
        if (!bothOld && i != number % 2)
            continue;
        for (std::atomic<uint32_t>& count : this->windows[i])
            count.store(0, relaxed);
    }
}

} // namespace kingcup
