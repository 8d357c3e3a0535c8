/** @file UsageCap.h Usage cap of an organisation, and how exactly all entry VMs together keep it. */
#pragma once

#include "kingcup/MillisecondClock.h"

namespace kingcup {

/** Requests that one organisation may send through all entry VMs together. */
struct UsageCap {
    double requestsPerSecond = 0; ///< Sustained rate; 0: not limited.
    double burst = 0; ///< Requests in addition to the rate, once per window.

    bool operator==(const UsageCap&) const = default;
};

/** Accuracy of the usage caps: in each window at most (rate x window + burst) x (1 + overage) + slack requests of an organisation reach targets. */
struct UsageCapLimits {
    Milliseconds window { 5000 }; ///< Length of the sliding window.
    double overage = 0.1; ///< Relative tolerance.
    double slack = 20; ///< Tolerance in requests.

    static constexpr double targetShare = 0.2; ///< Part of the tolerance that is aimed at. The rest is for usage that the leader learns late.

    /** Returns the largest number of requests in a window. */
    double bound(const UsageCap& cap) const { return this->nominal(cap) * (1 + this->overage) + this->slack; }

    /** Returns the requests in a window that are aimed at: between the cap and the bound, so that neither error is systematic. */
    double budget(const UsageCap& cap) const { return this->nominal(cap) * (1 + this->overage * targetShare) + this->slack * targetShare; }

    /** Returns the requests in a window that the cap promises. */
    double nominal(const UsageCap& cap) const { return cap.requestsPerSecond * this->window.count() / 1000 + cap.burst; }
};

} // namespace kingcup
