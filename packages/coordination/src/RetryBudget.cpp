/** @file RetryBudget.cpp Sliding window of requests and extra attempts. */
#include "kingcup/RetryBudget.h"

#include "kingcup/EntryVmCount.h"

#include <algorithm>
#include <cmath>

namespace kingcup {

namespace {

constexpr double usableShare = 0.9; ///< Part of the budget in use. The rest is reserved because a VM counts an attempt slightly earlier than the target does.

} // namespace

RetryBudget::RetryBudget(const RetryBudgetLimits& limits, TimePoint now)
    : limits(limits)
{
    this->advanceWindow(now);
}

/** Resets the buckets that have left the window. */
void RetryBudget::advanceWindow(TimePoint now)
{
    double bucketMs = this->limits.window.count() / bucketsPerWindow;
    auto newest = static_cast<int64_t>(std::floor(now.time_since_epoch().count() / bucketMs));
    int64_t passed = std::clamp<int64_t>(newest - this->newestBucket, 0, static_cast<int64_t>(this->buckets.size()));
    for (int64_t step = 1; step <= passed; step++) {
        Bucket& bucket = this->buckets[static_cast<size_t>(newest - passed + step) % this->buckets.size()];
        this->totals.requests -= bucket.requests;
        this->totals.extraAttempts -= bucket.extraAttempts;
        bucket = {};
    }
    this->newestBucket = std::max(this->newestBucket, newest);
}

bool RetryBudget::isVmCountKnown(TimePoint now) const
{
    return this->liveVms.value() > 0 && now - this->liveVmsSetAt < isolationTerm;
}

void RetryBudget::setLiveVms(uint32_t count, Milliseconds leaseTerm, TimePoint now)
{
    if (!count)
        return;
    if (!this->isVmCountKnown(now)) {
        // Within this time, the previous process of this VM or the VMs that do not count this one yet may have used all of the slack.
        this->slackFrom = now + leaseTerm + this->limits.window;
        this->liveVms.reset(count);
    }
    this->liveVmsSetAt = now;
    this->liveVms.set(count, this->limits.window, now);
}

void RetryBudget::countRequest(TimePoint now)
{
    this->advanceWindow(now);
    this->buckets[static_cast<size_t>(this->newestBucket) % this->buckets.size()].requests++;
    this->totals.requests++;
}

double RetryBudget::remainingAttempts(TimePoint now)
{
    this->advanceWindow(now);
    bool hasSlack = this->isVmCountKnown(now) && now >= this->slackFrom;
    double slack = hasSlack ? this->limits.slack / this->liveVms.value() : 0;
    return usableShare * (this->limits.share * this->totals.requests + slack) - this->totals.extraAttempts;
}

bool RetryBudget::takeAttempt(TimePoint now)
{
    if (this->remainingAttempts(now) < 1)
        return false;
    this->buckets[static_cast<size_t>(this->newestBucket) % this->buckets.size()].extraAttempts++;
    this->totals.extraAttempts++;
    return true;
}

} // namespace kingcup
