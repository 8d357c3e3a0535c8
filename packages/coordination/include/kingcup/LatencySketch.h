/** @file LatencySketch.h Estimates quantiles of recent latencies in bounded memory. */
#pragma once

#include "kingcup/MillisecondClock.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <optional>

namespace kingcup {

/** Histogram with exponentially growing buckets over the last 10 to 20 s. Thread-safe. */
class LatencySketch {
public:
    void add(Milliseconds latency, TimePoint now);

    /** Returns the upper bound of the bucket that holds the quantile, at most 5% too high within the range of the buckets. @param minCount Minimum number of observations; empty with fewer. */
    std::optional<Milliseconds> quantile(double quantile, uint64_t minCount, TimePoint now);

private:
    static constexpr size_t bucketCount = 320;
    using Window = std::array<std::atomic<uint32_t>, bucketCount>;
    void rotateWindows(TimePoint now);

    std::array<Window, 2> windows {}; ///< Current and previous window; the parity of the number selects one.
    std::atomic<uint64_t> windowNumber { 0 }; ///< Windows since the epoch of the clock, up to the current one.
};

} // namespace kingcup
