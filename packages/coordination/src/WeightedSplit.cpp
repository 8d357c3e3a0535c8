/** @file WeightedSplit.cpp Chooses shares by weight with a low-discrepancy sequence. */
#include "kingcup/WeightedSplit.h"

#include <cmath>

namespace kingcup {

namespace {

constexpr double goldenRatio = 0.6180339887498949; ///< Steps of this size, taken modulo 1, fill the unit interval evenly (Weyl sequence).

} // namespace

size_t WeightedSplit::next(const std::vector<RouteShare>& shares)
{
    if (shares.size() == 1)
        return 0;
    double total = 0;
    for (const RouteShare& share : shares)
        total += share.weight;
    double step = this->offset + goldenRatio * static_cast<double>(this->number.fetch_add(1, std::memory_order_relaxed));
    double place = step - std::floor(step);
    if (total <= 0)
        return static_cast<size_t>(place * static_cast<double>(shares.size()));
    double reached = 0;
    size_t last = 0;
    for (size_t position = 0; position < shares.size(); position++) {
        reached += shares[position].weight / total;
        if (!shares[position].weight)
            continue;
        last = position;
        if (place < reached)
            return position;
    }
    return last;
}

} // namespace kingcup
