/** @file KeyLease.h Time for which an entry VM may use its table of API keys. */
#pragma once

#include "kingcup/MillisecondClock.h"

#include <optional>

namespace kingcup {

/**
 * Decides until when keys may be used, so that a withdrawn key ends on every VM within a bound. A session request that a leader has
 * answered proves that the configuration holds all manifests acknowledged before the request was sent. The lease counts from that
 * time and is shorter than the bound: the rest covers the time that a leader without contact still answers (one election timeout),
 * differing clock rates, and the way of a request that was already checked. Times are of MillisecondClock, which runs on while the
 * VM is suspended. Not thread-safe.
 */
class KeyLease {
public:
    /** @param revocationBound Time after which no request with a withdrawn key may run; 0: no bound, the lease does not expire. */
    explicit KeyLease(Milliseconds revocationBound);

    /** Renews the lease. Earlier times than that of the last renewal have no effect. @param sentTime When the confirmed session request was sent; empty: none was confirmed yet. */
    void renew(std::optional<TimePoint> sentTime);

    /** Returns the end of the lease; the earliest time point before the first renewal, the latest one without a bound. */
    TimePoint end() const { return this->endTime; }

    /** Returns whether keys may be used. */
    bool isValid(TimePoint now) const { return now < this->endTime; }

private:
    std::optional<Milliseconds> term; ///< Duration; empty: the lease does not expire.
    TimePoint endTime; ///< End of the lease.
};

} // namespace kingcup
