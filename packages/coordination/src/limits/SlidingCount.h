/** @file SlidingCount.h Count of events in a sliding window. */
#pragma once

#include "kingcup/MillisecondClock.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace kingcup {

/** Number of events in a sliding window, with a resolution of a hundredth of it. */
class SlidingCount {
public:
    explicit SlidingCount(Milliseconds window)
        : bucketMs(window.count() / bucketsPerWindow)
    {
    }

    /** Adds events at a time within the last window. */
    void add(TimePoint when, double count)
    {
        int64_t bucket = std::clamp(this->numberOf(when), this->newest - bucketsPerWindow + 1, this->newest);
        this->at(bucket) += count;
        this->sum += count;
    }

    /** Moves the window to a time. Must be called before total() and leaving(). */
    void advance(TimePoint now)
    {
        int64_t target = this->numberOf(now);
        if (target - this->newest > bucketsPerWindow) {
            this->counts.fill(0);
            this->newest = target;
        }
        while (this->newest < target)
            this->at(++this->newest) = 0;
        this->sum = 0;
        for (double count : this->counts)
            this->sum += count;
    }

    /** Returns the events in the window. */
    double total() const { return this->sum; }

    /** Returns the events that leave the window within a time from now. */
    double leaving(Milliseconds time) const
    {
        double left = 0;
        auto buckets = std::min<int64_t>(static_cast<int64_t>(time.count() / this->bucketMs), bucketsPerWindow);
        for (int64_t bucket = this->newest - bucketsPerWindow + 1; bucket <= this->newest - bucketsPerWindow + buckets; bucket++)
            left += this->counts[this->indexOf(bucket)];
        return left;
    }

    /** Multiplies all counts. */
    void scale(double factor)
    {
        for (double& count : this->counts)
            count *= factor;
        this->sum *= factor;
    }

private:
    static constexpr int64_t bucketsPerWindow = 100;

    int64_t numberOf(TimePoint when) const { return static_cast<int64_t>(std::floor(when.time_since_epoch().count() / this->bucketMs)); }
    size_t indexOf(int64_t bucket) const { return static_cast<size_t>(((bucket % bucketsPerWindow) + bucketsPerWindow) % bucketsPerWindow); }
    double& at(int64_t bucket) { return this->counts[this->indexOf(bucket)]; }

    double bucketMs; ///< Length of a bucket.
    std::array<double, bucketsPerWindow> counts {}; ///< Ring buffer.
    int64_t newest = 0; ///< Number of the newest bucket.
    double sum = 0; ///< Sum of all buckets.
};

} // namespace kingcup
