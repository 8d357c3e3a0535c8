/** @file WeightedSplit.h Splits the requests of a route among its shares by weight. */
#pragma once

#include "kingcup/ManifestTypes.h"

#include <atomic>
#include <cstdint>

namespace kingcup {

/**
 * Chooses a share for each request by a low-discrepancy sequence: each run of consecutive requests is split nearly by weight,
 * not only the long-term average.
 * Thread-safe.
 */
class WeightedSplit {
public:
    /** @param offset Start of the sequence in [0, 1); differs between VMs, so that they do not choose the same shares in lockstep. */
    explicit WeightedSplit(double offset)
        : offset(offset)
    {
    }

    /** Returns the index of the share for the next request. If all weights are 0, the shares are treated as equal. @param shares Must not be empty. */
    size_t next(const std::vector<RouteShare>& shares);

private:
    double offset;
    std::atomic<uint64_t> requestCount { 0 }; ///< Requests assigned so far.
};

} // namespace kingcup
