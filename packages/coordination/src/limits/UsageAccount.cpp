/** @file UsageAccount.cpp What an organisation may still send in the window, and how it is divided among the entry VMs. */
#include "UsageAccount.h"

#include <algorithm>

namespace kingcup {

namespace {

constexpr double msPerSecond = 1000;
constexpr double wideFactor = 2; ///< Sum of wide shares as a multiple of the rate of the cap.
constexpr double rationedFactor = 1.3; ///< Largest sum of rationed shares as a multiple of the rate that uses up the window evenly.
constexpr double horizonIntervals = 1.35; ///< A share is in use for one session interval, and the messages and unequal phases take the rest.
constexpr double rationFactor = 1.2; ///< Shares are rationed when the rate that can be lent is below the demand times this factor.
constexpr double rationRateFactor = 1.3; ///< The same for the rate of the cap, so that a demand that has not risen yet finds room.
constexpr double newLeaderDemandShare = 1.2; ///< A new leader, which does not know the use of the last window, rations shares from this multiple of the cap on; below it the demand is within its variation.
constexpr double minWideDepth = 8; ///< Requests that a VM may admit at once while nothing is rationed.
constexpr double wideDepthSeconds = 0.5; ///< Depth of a wide share in seconds of its rate.
constexpr double wideDepthRoomShare = 0.35; ///< Part of the room that the depths of all VMs may take.
constexpr double rationedDepth = 2.5; ///< Depth of a rationed share. With less, a VM with few requests loses permits between them.
constexpr double rationedDepthSeconds = 0.2; ///< Depth of a large rationed share in seconds of its rate.
constexpr double isolatedFactor = 0.5; ///< Part of a VM's share in the cap that it may use without contact.
constexpr double reserveShare = 0.25; ///< Part of the distance between budget and bound that keeps up the rate of the cap.
constexpr double minDemandPerSecond = 0.05; ///< A VM that reports counts at least with this demand.
constexpr Milliseconds minAge { 100 }; ///< Shortest time over which the rate of admitted requests is measured.
constexpr Milliseconds unreportedLifetime { 600000 }; ///< Time for which a VM without reports is assumed to serve. A longer partition is rare, and a lost VM costs the others little.

} // namespace

UsageAccount::UsageAccount(const UsageCap& cap, const UsageCapLimits& limits, const UsageTimes& times)
    : cap(cap)
    , limits(limits)
    , times(times)
    , admitted(limits.window)
{
}

void UsageAccount::setCap(const UsageCap& next, TimePoint now)
{
    double factor = this->limits.budget(next) / this->limits.budget(this->cap);
    this->admitted.advance(now);
    if (factor < 1)
        this->admitted.scale(factor);
    this->cap = next;
}

/** Returns the requests beyond the budget that may be used to keep up the rate of the cap after a jump. */
double UsageAccount::reserve() const
{
    return reserveShare * (this->limits.bound(this->cap) - this->limits.budget(this->cap));
}

/** Returns the time for which a granted share is in use. */
Milliseconds UsageAccount::horizon() const
{
    return this->times.sessionInterval * horizonIntervals;
}

/** Returns the sum of the shares while nothing is rationed. */
double UsageAccount::wideRate() const
{
    return std::max(wideFactor * this->cap.requestsPerSecond, this->limits.budget(this->cap) / (this->limits.window.count() / msPerSecond));
}

/** Returns the use before this VM became the leader, as far as it lies in the window. Reports of that time did not reach this VM, so at least the rate of the cap is assumed. */
double UsageAccount::assumedUse(TimePoint now) const
{
    double overlapMs = (this->times.leaderSince + this->limits.window - now).count();
    if (overlapMs <= 0)
        return 0;
    double budgetRate = this->limits.budget(this->cap) / this->limits.window.count();
    double rate = std::min(std::max(this->cap.requestsPerSecond, this->sumDemand) / msPerSecond, budgetRate);
    return overlapMs * rate;
}

/** Returns the requests that may still be admitted until the shares granted now have ended, the unreported use of all VMs subtracted. */
double UsageAccount::room(TimePoint now)
{
    this->admitted.advance(now);
    double sinceLeaderMs = (now - this->times.leaderSince).count();
    double unreported = std::max(this->sumUse * sinceLeaderMs - this->sumUseTime, 0.0) / msPerSecond;
    double leaving = this->admitted.leaving(this->horizon()) + this->assumedUse(now) - this->assumedUse(now + this->horizon());
    return this->limits.budget(this->cap) - this->admitted.total() - this->assumedUse(now) - unreported + leaving;
}

void UsageAccount::addSums(const Borrower& borrower, double sign)
{
    this->sumDemand += sign * borrower.demand;
    this->sumRecent += sign * borrower.recent;
    this->sumUse += sign * borrower.use;
    this->sumUseTime += sign * borrower.use * (borrower.reported - this->times.leaderSince).count();
}

void UsageAccount::setUse(Borrower& borrower, double use, TimePoint reported)
{
    this->addSums(borrower, -1);
    borrower.use = use;
    borrower.reported = reported;
    this->addSums(borrower, 1);
}

void UsageAccount::record(const std::string& vm, uint64_t incarnation, const wire::OrganisationUsage& usage, TimePoint now)
{
    this->admitted.advance(now);
    bool isKnown = this->borrowers.contains(vm);
    Borrower& borrower = this->borrowers[vm];
    Milliseconds age = isKnown ? now - borrower.contact : this->times.sessionInterval;
    double count = usage.admitted();
    bool hadNoContact = age > this->times.shareTerm;
    bool isRestarted = isKnown && incarnation != borrower.incarnation;
    if (isRestarted) {
        // The use of the former process after its last report is not reported any more.
        this->admitted.add(now, std::max(borrower.use * (now - borrower.reported).count() / msPerSecond, 0.0));
    } else if (hadNoContact) {
        count = std::max(count * std::min(1.0, this->limits.window / age) - borrower.estimated, 0.0);
    }
    // The use before the leadership is assumed already.
    bool isAssumed = !isKnown && now - this->times.leaderSince < this->times.shareTerm;
    if (!isAssumed)
        this->admitted.add(now - std::min(age, this->times.shareTerm) / 2, count);
    this->addSums(borrower, -1);
    borrower.incarnation = incarnation;
    borrower.contact = now;
    borrower.reported = now;
    borrower.estimated = 0;
    borrower.demand = std::max(usage.demand_per_second(), minDemandPerSecond);
    borrower.recent = hadNoContact ? 0 : usage.admitted() / (std::max(age, minAge).count() / msPerSecond);
    borrower.use = 0;
    this->addSums(borrower, 1);
}

wire::OrganisationShare UsageAccount::lend(const std::string& vm, TimePoint now)
{
    Borrower& borrower = this->borrowers.at(vm);
    wire::OrganisationShare share;
    double seconds = this->horizon().count() / msPerSecond;
    double left = this->room(now);
    bool isRationed = this->isTight(now);
    // The average of a VM with new demand is still too low. Rationed shares need exact parts instead.
    double demand = isRationed ? borrower.demand : std::max(borrower.demand, borrower.recent);
    double part = demand / std::max(this->sumDemand, demand);
    // A jump that used up the room at once would leave a gap in the next windows.
    double most = isRationed ? rationedFactor * this->limits.budget(this->cap) / (this->limits.window.count() / msPerSecond) : this->wideRate();
    if (isRationed && now < this->times.leaderSince + this->limits.window)
        most = this->cap.requestsPerSecond; // The use before the leadership is only assumed.
    double total = std::clamp(left / seconds, 0.0, most);
    double floor = std::max(std::min(this->cap.requestsPerSecond, (left + this->reserve()) / seconds), 0.0);
    total = std::max(total, floor);
    // While the other VMs have not reported a common rise, the part of this VM is too large. What they may use limits it.
    double unused = std::max(std::max(left / seconds, floor) - (this->sumUse - borrower.use), 0.0);
    borrower.rate = std::min(total * part, unused);
    borrower.isolatedRate = this->cap.requestsPerSecond * part * isolatedFactor;
    this->setUse(borrower, std::min(borrower.rate, std::max(borrower.demand, borrower.recent)), now);
    share.set_requests_per_second(borrower.rate);
    share.set_isolated_per_second(borrower.isolatedRate);
    share.set_closed(total <= 0);
    if (isRationed)
        share.set_depth(std::max(rationedDepth, borrower.rate * rationedDepthSeconds));
    else
        share.set_depth(std::max({ minWideDepth, borrower.rate * wideDepthSeconds, left * part * wideDepthRoomShare }));
    return share;
}

bool UsageAccount::isTight(TimePoint now)
{
    double seconds = this->horizon().count() / msPerSecond;
    bool isNewLeader = now < this->times.leaderSince + this->times.shareTerm;
    if (isNewLeader && this->sumDemand > newLeaderDemandShare * this->cap.requestsPerSecond)
        return true;
    return this->room(now) < seconds * std::max(rationRateFactor * this->cap.requestsPerSecond, rationFactor * std::max(this->sumDemand, this->sumRecent));
}

wire::OrganisationShare UsageAccount::lendWithoutDemand(uint32_t liveVms, TimePoint now)
{
    wire::OrganisationShare share;
    double rate = this->cap.requestsPerSecond / liveVms;
    share.set_closed(this->isClosed(now));
    share.set_requests_per_second(share.closed() ? 0 : rate);
    share.set_depth(rationedDepth);
    share.set_isolated_per_second(rate * isolatedFactor);
    return share;
}

void UsageAccount::forget(const std::string& vm)
{
    auto found = this->borrowers.find(vm);
    if (found == this->borrowers.end())
        return;
    this->addSums(found->second, -1);
    this->borrowers.erase(found);
}

void UsageAccount::estimateUnreported(TimePoint now)
{
    this->admitted.advance(now);
    std::erase_if(this->borrowers, [&](const auto& entry) { return now - entry.second.contact > unreportedLifetime; });
    // The sums are computed anew, so that rounding errors do not add up.
    this->sumDemand = this->sumRecent = this->sumUse = this->sumUseTime = 0;
    for (auto& [name, borrower] : this->borrowers) {
        if (now - borrower.contact > this->times.shareTerm) {
            double count = borrower.use * (now - borrower.reported).count() / msPerSecond;
            this->admitted.add(now, count);
            borrower.estimated = std::min(borrower.estimated + count, borrower.use * this->limits.window.count() / msPerSecond);
            borrower.reported = now;
            if (borrower.demand > 0)
                borrower.use = std::min(borrower.demand, borrower.isolatedRate);
            borrower.demand = borrower.recent = 0;
        }
        this->addSums(borrower, 1);
    }
}

} // namespace kingcup
