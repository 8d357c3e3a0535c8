/** @file ConcurrencyLimit.h Adaptive limit on the calls in flight from one entry VM to one service. */
#pragma once

#include "kingcup/MillisecondClock.h"

#include <cstdint>

namespace kingcup {

/** Increases the limit additively while latency is near its baseline, and decreases it multiplicatively when latency has risen or targets shed load. Not thread-safe. */
class ConcurrencyLimit {
public:
    /**
     * Sets the range of the limit. The limit grows with the slots. When slots return after none were usable, it starts at their number, and the
     * durations of earlier calls no longer count.
     * @param usableSlots Slots of the usable targets; 0 if unknown. @param maxInFlight Upper bound; 0 for none.
     */
    void setBounds(uint32_t usableSlots, uint32_t maxInFlight, TimePoint now);

    /** Adapts the limit to a finished call. @param overloaded Whether the target shed the call or it timed out. @param inFlight Calls in flight, including this one. */
    void recordCall(Milliseconds latency, bool overloaded, uint32_t inFlight, TimePoint now);

    /** Returns the current limit, at least 1. */
    uint32_t limit() const;

    /** Returns the moving average of call durations. */
    Milliseconds meanLatency() const { return Milliseconds(this->meanLatencyMs); }

private:
    static constexpr double initialLatencyMs = 5; ///< Assumed until the first call has finished.

    void clampLimit();
    void restartEstimates(TimePoint now);

    double currentLimit = 16; ///< Current limit; the initial value applies until the slots are known.
    double minLimit = 1; ///< Lower bound of the limit.
    double maxLimit = 64; ///< Upper bound of the limit.
    double slots = 0; ///< Slots of the usable targets; 0 if unknown.
    double slotsReached = 0; ///< Largest number of usable slots since there were none.
    TimePoint slotsReturnedAt {}; ///< Time at which slots became usable after none were.
    double meanLatencyMs = initialLatencyMs; ///< Moving average of call durations.
    double recentLogLatency = 0; ///< Moving average of the logarithm of recent durations.
    double baselineLogLatency = 0; ///< Estimated logarithm of the duration without congestion.
    uint64_t observations = 0; ///< Finished calls so far.
    uint64_t observationsSinceReturn = 0; ///< Finished calls that began after slots became usable.
    TimePoint decreasedAt {}; ///< Time of the last decrease.
};

} // namespace kingcup
