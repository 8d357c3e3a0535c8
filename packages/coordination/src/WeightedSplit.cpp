/** @file WeightedSplit.cpp Chooses shares by weight with a low-discrepancy sequence. */
#include "kingcup/WeightedSplit.h"

#include <cmath>

namespace kingcup {

namespace {

constexpr double goldenRatioConjugate = 0.6180339887498949; ///< Steps of this size, taken modulo 1, fill the unit interval evenly (Weyl sequence).

} // namespace

size_t WeightedSplit::next(const std::vector<RouteShare>& shares)
{
    if (shares.size() == 1)
        return 0;
    double total = 0;
    for (const RouteShare& share : shares)
        total += share.weight;
    double sequenceValue = this->offset + goldenRatioConjugate * static_cast<double>(this->requestCount.fetch_add(1, std::memory_order_relaxed));
    double point = sequenceValue - std::floor(sequenceValue);
    if (total <= 0)
        return static_cast<size_t>(point * static_cast<double>(shares.size()));
    double cumulativeShare = 0;
    size_t lastWeighted = 0;
    for (size_t position = 0; position < shares.size(); position++) {
        cumulativeShare += shares[position].weight / total;
        if (!shares[position].weight)
            continue;
        lastWeighted = position;
        if (point < cumulativeShare)
            return position;
    }
    return lastWeighted;
}

} // namespace kingcup
