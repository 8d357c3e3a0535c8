/** @file RetryBudget.cpp Sliding window of requests and extra attempts. */
#include "kingcup/RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace kingcup {

namespace {

constexpr double usedPart = 0.9; ///< Part of the budget in use. The rest is reserved because a VM counts an attempt slightly earlier than the target does.

} // namespace

RetryBudget::RetryBudget(const RetryBudgetLimits& limits, TimePoint now)
    : limits(limits)
    , started(now)
{
    this->turn(now);
}

/** Resets the slots that have left the window. */
void RetryBudget::turn(TimePoint now)
{
    double slotMs = this->limits.window.count() / slotsPerWindow;
    auto newest = static_cast<int64_t>(std::floor(now.time_since_epoch().count() / slotMs));
    int64_t passed = std::clamp<int64_t>(newest - this->current, 0, static_cast<int64_t>(this->slots.size()));
    for (int64_t step = 1; step <= passed; step++) {
        Slot& slot = this->slots[static_cast<size_t>(newest - passed + step) % this->slots.size()];
        this->sum.requests -= slot.requests;
        this->sum.arrivals -= slot.arrivals;
        slot = {};
    }
    this->current = std::max(this->current, newest);
}

void RetryBudget::request(TimePoint now)
{
    this->turn(now);
    this->slots[static_cast<size_t>(this->current) % this->slots.size()].requests++;
    this->sum.requests++;
}

double RetryBudget::left(TimePoint now)
{
    this->turn(now);
    bool knowsItsPart = this->liveVms > 0 && now - this->started >= this->limits.window;
    double slack = knowsItsPart ? this->limits.slack / this->liveVms : 0;
    return usedPart * (this->limits.share * this->sum.requests + slack) - this->sum.arrivals;
}

bool RetryBudget::take(TimePoint now)
{
    if (this->left(now) < 1)
        return false;
    this->slots[static_cast<size_t>(this->current) % this->slots.size()].arrivals++;
    this->sum.arrivals++;
    return true;
}

} // namespace kingcup
