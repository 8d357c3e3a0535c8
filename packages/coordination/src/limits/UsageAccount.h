/** @file UsageAccount.h Use of one organisation in the window, and the shares that the entry VMs hold. */
#pragma once

#include "SlidingCount.h"
#include "kingcup/ReplicatedLogTypes.h"
#include "kingcup/UsageCap.h"

#include <map>
#include <string>

namespace kingcup {

/** Times that an account needs. */
struct UsageTimes {
    Milliseconds shareTerm { 1000 }; ///< Time after which a share expires.
    Milliseconds sessionInterval { 450 }; ///< Interval of the session requests of an entry VM.
    TimePoint leaderSince {}; ///< Start of the leadership; the use before it is unknown.
};

/** Account of one organisation on the leader. All sums over VMs are kept up to date, so that a report has a constant cost. */
class UsageAccount {
public:
    UsageAccount(const UsageCap& cap, const UsageCapLimits& limits, const UsageTimes& times);

    /** Replaces the cap. The use before a lowered cap is reduced in proportion. */
    void setCap(const UsageCap& next, TimePoint now);

    /** Records the usage of a VM. */
    void record(const std::string& vm, uint64_t incarnation, const wire::OrganisationUsage& usage, TimePoint now);

    /** Returns the share of a VM that has reported usage. */
    wire::OrganisationShare lend(const std::string& vm, TimePoint now);

    /** Returns whether a VM that reported no usage is sent its share, because the window is nearly or wholly used up. */
    bool isTight(TimePoint now);

    /** Returns the share of a VM that reported no usage. @param liveVms Number of entry VMs, above 0. */
    wire::OrganisationShare lendWithoutDemand(uint32_t liveVms, TimePoint now);

    /** Returns whether the window is used up. */
    bool isClosed(TimePoint now) { return this->room(now) + this->reserve() <= 0; }

    /** Removes a VM that stops. */
    void forget(const std::string& vm);

    /** Adds the estimated use of VMs without reports to the window and removes VMs that have not reported for long. */
    void estimateUnreported(TimePoint now);

    /** Returns whether nothing is known of the organisation any more. */
    bool isEmpty() const { return this->borrowers.empty() && this->admitted.total() < 1; }

private:
    /** Entry VM that holds a share. */
    struct Borrower {
        uint64_t incarnation = 0; ///< Incarnation of its process.
        TimePoint reported {}; ///< Time up to which its use is in the window.
        TimePoint contact {}; ///< Time of its last report.
        double demand = 0; ///< Requests per second that it was asked for.
        double recent = 0; ///< Requests per second that it admitted between its last two reports, which rises before `demand` does.
        double rate = 0; ///< Rate of its share.
        double isolatedRate = 0; ///< Rate after its share has expired.
        double use = 0; ///< Estimated rate of admitted requests since `reported`.
        double estimated = 0; ///< Requests that were added by estimate since the last report.
    };
    double room(TimePoint now);
    double assumedUse(TimePoint now) const;
    double wideRate() const;
    double reserve() const;
    Milliseconds horizon() const;
    void addSums(const Borrower& borrower, double sign);
    void setUse(Borrower& borrower, double use, TimePoint reported);

    UsageCap cap; ///< Rate and burst.
    UsageCapLimits limits; ///< Accuracy of the cap.
    UsageTimes times; ///< Times of the exchange.
    SlidingCount admitted; ///< Admitted requests by the time of their admission.
    std::map<std::string, Borrower> borrowers; ///< Entry VMs with recent demand, by name.
    double sumDemand = 0; ///< Sum of the demands.
    double sumRecent = 0; ///< Sum of the rates admitted between the last two reports.
    double sumUse = 0; ///< Sum of the estimated rates.
    double sumUseTime = 0; ///< Sum of the estimated rates times the time of the report, in milliseconds since `times.leaderSince`.
};

} // namespace kingcup
