/** @file KeyLease.cpp Implementation of the key lease. */
#include "kingcup/KeyLease.h"

#include <algorithm>

namespace kingcup {

namespace {

constexpr double termShare = 0.6; ///< Duration of the lease as a share of the revocation bound.

} // namespace

KeyLease::KeyLease(Milliseconds revocationBound)
    : term(revocationBound.count() > 0 ? std::optional(revocationBound * termShare) : std::nullopt)
    , endTime(this->term ? TimePoint::min() : TimePoint::max())
{
}

void KeyLease::renew(std::optional<TimePoint> sentTime)
{
    if (this->term && sentTime)
        this->endTime = std::max(this->endTime, *sentTime + *this->term);
}

} // namespace kingcup
