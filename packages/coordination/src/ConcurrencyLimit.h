/** @file ConcurrencyLimit.h Adaptive limit of the calls in flight from one entry VM to one service. */
#pragma once

#include "kingcup/MillisecondClock.h"

#include <cstdint>

namespace kingcup {

/** Additive increase while latency is normal, multiplicative decrease when it has risen or targets shed load. Not thread-safe. */
class ConcurrencyLimit {
public:
    /** Sets the range. @param usableSlots Slots of the targets in use; 0: unknown. @param maxInFlight Upper bound; 0: none. */
    void setBounds(uint32_t usableSlots, uint32_t maxInFlight);

    /** Learns from a finished call. @param inFlight Calls in flight, with this one. */
    void observe(Milliseconds latency, bool overloaded, uint32_t inFlight, TimePoint now);

    /** Returns the limit, at least 1. */
    uint32_t limit() const;

    /** Returns the usual duration of a call at present. */
    Milliseconds typicalLatency() const { return Milliseconds(this->meanMs); }

private:
    void clampLimit();

    double current = 16; ///< Limit before the slots are known.
    double lowest = 1; ///< Lower bound.
    double highest = 64; ///< Upper bound.
    double slots = 0; ///< Slots of the targets in use.
    double meanMs = 5; ///< Moving average of durations.
    double recentLog = 0; ///< Short moving average of the logarithm of durations.
    double normalLog = 0; ///< Logarithm of the duration without congestion.
    uint64_t observations = 0; ///< Calls seen.
    TimePoint decreasedAt {}; ///< Last decrease.
};

} // namespace kingcup
