/** @file RetryBudget.h Bounds the extra attempts (retries and hedges) that all entry VMs together send to a service. */
#pragma once

#include "kingcup/DelayedVmCount.h"
#include "kingcup/Settings.h"

#include <array>
#include <cstdint>

namespace kingcup {

/**
 * This VM's part of a budget per sliding window: a share of its own requests, plus an equal part of the slack. Not
 * thread-safe. The parts of all VMs that send attempts within a window add up to the slack at most: a lower number of entry VMs takes
 * effect after a window, and a VM gets no slack while the number is unknown, nor in the first window after that.
 */
class RetryBudget {
public:
    RetryBudget(const RetryBudgetLimits& limits, TimePoint now);

    /**
     * Sets the number of entry VMs that share the slack; 0 if the leader does not know it. Called at every session answer. Without a number
     * above 0 for the isolation term, the number is unknown. @param leaseTerm Time after which all other VMs count this one.
     */
    void setLiveVms(uint32_t count, Milliseconds leaseTerm, TimePoint now);

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
    bool isVmCountKnown(TimePoint now) const;

    RetryBudgetLimits limits; ///< Budget of all entry VMs together.
    DelayedVmCount liveVms; ///< Entry VMs that share the slack.
    TimePoint liveVmsSetAt {}; ///< Time at which a number above 0 was last set.
    TimePoint slackFrom {}; ///< Time from which this VM uses its part of the slack.
    std::array<Bucket, bucketsPerWindow + 1> buckets {}; ///< Ring buffer; one bucket more than a window, because the window covers the oldest one only in part.
    int64_t newestBucket = 0; ///< Number of the newest bucket.
    Bucket totals; ///< Total over all buckets.
};

} // namespace kingcup
