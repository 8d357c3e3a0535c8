/** @file ProbeBudget.h Bounds the load that probes put on targets and on this VM. */
#pragma once

#include "kingcup/DelayedVmCount.h"
#include "kingcup/ManifestTypes.h"

#include <map>
#include <string>

namespace kingcup {

/** Rate limiter for the probes of one service. Not thread-safe. */
class ProbeBudget {
public:
    /** @param assumedVms Number of entry VMs to assume at least while the number of live ones is unknown. */
    ProbeBudget(const MeasuringBudget& budget, uint32_t assumedVms);

    void setBudget(const MeasuringBudget& budget);

    /** Sets the share of the entry VMs that may use the same target, if each VM uses a subset of the targets; 1 without subsets. */
    void setTargetVmShare(double part) { this->targetVmShare = part; }

    /**
     * Sets the number of live entry VMs; 0 if unknown. Has to be called at every session answer and when the lease expires.
     * A lower number takes effect only after a lease term, and so does a number that follows an unknown one,
     * because until then the other VMs may not yet count this one.
     */
    void setLiveVms(uint32_t liveVms, Milliseconds leaseTerm, TimePoint now);

    /** Sets the number of entry VMs to assume while the number of live ones is unknown. A number below that of the constructor has no effect. */
    void setAssumedVms(uint32_t assumedVms);

    /** Takes one probe of a target from the budget. Returns false if the budget is used up, which it is at process start unless a burst is set. @param bytes Expected traffic in both directions. */
    bool takeProbe(const std::string& address, size_t bytes, TimePoint now);

    uint64_t granted() const; ///< Number of probes granted since the start.
    uint64_t denied() const; ///< Number of probes denied since the start.

private:
    /** Token bucket of one target. */
    struct Bucket {
        double tokens = 0; ///< Probes that may be sent now.
        TimePoint refilledAt {}; ///< Time of the last refill.
    };
    double initialTokens() const;
    double probesPerSecond() const;
    void applyCountedShare(TimePoint now);

    MeasuringBudget budget; ///< Budget from the manifest.
    double targetVmShare = 1; ///< Share of the entry VMs that may use the same target.
    uint32_t minAssumedVms; ///< Number of entry VMs to assume at least while the number of live ones is unknown.
    uint32_t assumedVms; ///< Number of entry VMs to assume while the number of live ones is unknown; the last known one if it is larger.
    DelayedVmCount liveVms; ///< Number of live entry VMs.
    Milliseconds leaseTerm { 0 }; ///< Last lease term received; 0 if none yet.
    TimePoint liveVmsSetAt {}; ///< Time of the last setLiveVms().
    TimePoint countedFrom {}; ///< Time from which all other VMs count this one.
    bool isCounted = false; ///< Whether the rate of a VM that the others count is in use.
    std::map<std::string, Bucket> buckets; ///< Buckets by target address.
    double byteTokens = 0; ///< Bytes that may be sent and received now, over all targets.
    TimePoint bytesRefilledAt {}; ///< Time of the last refill of the byte tokens.
    uint64_t grantedCount = 0;
    uint64_t deniedCount = 0;
};

} // namespace kingcup
