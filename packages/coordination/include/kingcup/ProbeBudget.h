/** @file ProbeBudget.h Bounds the load that measuring puts on targets and on this VM. */
#pragma once

#include "kingcup/ManifestTypes.h"

#include <map>
#include <string>

namespace kingcup {

/** Grants probes within the budget of one service. Not thread-safe. */
class ProbeBudget {
public:
    /** @param assumedVms Divisor while the number of live entry VMs is unknown. */
    ProbeBudget(const MeasuringBudget& budget, uint32_t assumedVms);

    /** Changes the budget. */
    void setBudget(const MeasuringBudget& budget);

    /** Sets the part of all VMs that may use one target, when each VM uses a subset of the targets; 1 without subsets. */
    void setUsingPart(double part) { this->usingPart = part; }

    /**
     * Sets the number of live entry VMs; 0: unknown. To be called with every session answer and when the lease lapses.
     * A fall in number takes effect only after a lease term, and so does a number that follows an unknown one:
     * until then other VMs may not count this one.
     */
    void setLiveVms(uint32_t liveVms, Milliseconds leaseTerm, TimePoint now);

    /** Takes one probe of a target from the budget. A process that just started has no saved-up budget. @param bytes Expected cost, both ways. */
    bool take(const std::string& address, size_t bytes, TimePoint now);

    uint64_t granted() const; ///< Probes granted so far.
    uint64_t denied() const; ///< Probes denied so far.

private:
    struct Bucket {
        double tokens = 0; ///< Probes.
        TimePoint filled {}; ///< Last refill.
    };
    double firstTokens() const;
    double share() const;
    void settle(TimePoint now);

    MeasuringBudget budget; ///< From the manifest.
    double usingPart = 1; ///< Part of the VMs that may use one target.
    uint32_t assumedVms; ///< Divisor when unknown.
    uint32_t liveVms = 0; ///< Divisor in use; 0: unknown.
    Milliseconds leaseTerm { 0 }; ///< Last one heard; 0: none yet.
    TimePoint heardAt {}; ///< When the number was last set.
    TimePoint settledAt {}; ///< From when on all other VMs count this one.
    bool settled = false; ///< Whether the share of a counted VM is in use.
    uint32_t pendingVms = 0; ///< Lower number that waits for a lease term.
    TimePoint pendingSince {}; ///< When it was first heard.
    Milliseconds pendingTerm { 0 }; ///< How long it waits.
    std::map<std::string, Bucket> buckets; ///< By address.
    double byteTokens = 0; ///< Bytes.
    TimePoint bytesFilled {}; ///< Last refill.
    uint64_t grantedCount = 0; ///< Probes granted.
    uint64_t deniedCount = 0; ///< Probes denied.
};

} // namespace kingcup
