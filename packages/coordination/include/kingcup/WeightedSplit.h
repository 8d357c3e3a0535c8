/** @file WeightedSplit.h Divides requests among the shares of a route by weight. */
#pragma once

#include "kingcup/ManifestTypes.h"

#include <atomic>
#include <cstdint>

namespace kingcup {

/**
 * Chooses a share for each request so that every run of requests is divided nearly by weight, not only on average.
 * Thread-safe.
 */
class WeightedSplit {
public:
    /** @param offset Start of the sequence in [0, 1), so that several VMs do not choose in step. */
    explicit WeightedSplit(double offset)
        : offset(offset)
    {
    }

    /** Returns the position of the share for the next request. Shares without any weight count alike. */
    size_t next(const std::vector<RouteShare>& shares);

private:
    double offset; ///< Start of the sequence.
    std::atomic<uint64_t> number { 0 }; ///< Requests so far.
};

} // namespace kingcup
