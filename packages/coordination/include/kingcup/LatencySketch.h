/** @file LatencySketch.h Quantiles of recent latencies in bounded memory. */
#pragma once

#include "kingcup/MillisecondClock.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <optional>

namespace kingcup {

/** Histogram with exponentially growing buckets over the last one to two windows. Thread-safe. */
class LatencySketch {
public:
    /** Counts a latency. */
    void add(Milliseconds latency, TimePoint now);

    /** Returns the upper bound of the bucket that holds a quantile. @param fewest Observations below which the result is empty. */
    std::optional<Milliseconds> quantile(double quantile, uint64_t fewest, TimePoint now);

private:
    static constexpr size_t bucketCount = 320;
    using Window = std::array<std::atomic<uint32_t>, bucketCount>;
    void rotate(TimePoint now);

    std::array<Window, 2> windows {}; ///< Current and previous.
    std::atomic<uint64_t> windowNumber { 0 }; ///< Number of the current window.
};

} // namespace kingcup
