/** @file RetryBudget.h Bounds the extra attempts (retries and hedges) that all entry VMs together send to a service. */
#pragma once

#include "kingcup/MillisecondClock.h"
#include "kingcup/Settings.h"

#include <array>
#include <cstdint>

namespace kingcup {

/**
 * This VM's part of a budget per sliding window: a share of its own requests, plus an equal part of the slack. Not
 * thread-safe. A VM gets no slack during the first window after its start, because its previous process may have spent it,
 * nor while the number of entry VMs is unknown.
 */
class RetryBudget {
public:
    RetryBudget(const RetryBudgetLimits& limits, TimePoint now);

    /** Sets the number of entry VMs that share the slack; 0 if unknown. */
    void setLiveVms(uint32_t count) { this->liveVms = count; }

    /** Counts a request for the service, which adds to the budget. */
    void countRequest(TimePoint now);

    /** Takes one extra attempt from the budget. Returns false if the budget of the window is used up. */
    bool takeAttempt(TimePoint now);

    /** Returns the number of extra attempts left; may be a fraction or negative. */
    double remainingAttempts(TimePoint now);

private:
    static constexpr size_t bucketsPerWindow = 40; ///< Time resolution of the window.

    /** Counts of one part of the window. */
    struct Bucket {
        double requests = 0;
        double extraAttempts = 0; ///< Attempts beyond the first of a request.
    };

    void advanceWindow(TimePoint now);

    RetryBudgetLimits limits; ///< Budget of all entry VMs together.
    TimePoint startedAt; ///< Time since which this process counts.
    uint32_t liveVms = 0; ///< Entry VMs that share the slack; 0 if unknown.
    std::array<Bucket, bucketsPerWindow + 1> buckets {}; ///< Ring buffer; one bucket more than a window, because the window covers the oldest one only in part.
    int64_t newestBucket = 0; ///< Number of the newest bucket.
    Bucket totals; ///< Total over all buckets.
};

} // namespace kingcup
