/** @file ColdPermits.h Share of one entry VM in the requests that a cold target can handle. */
#pragma once

#include <limits>
#include <mutex>

namespace kingcup {

/**
 * Permits of one entry VM to send requests to a cold target, due at equal intervals from a random phase. A permit that is not used within 250 ms
 * lapses: the VMs that need a cold target only at a peak of the load would otherwise all hold one by then. In any second, all VMs together have
 * at most the permits of 1.25 s. Built for a rate of a few requests a second that is divided between up to 140 VMs for a few seconds. Thread-safe.
 * Times are in milliseconds. `intervalMs` is the time between two permits of this VM, above 0; it may change from call to call.
 */
class ColdPermits {
public:
    /** Starts a cold period, in which the first permit is due after at most one interval. @param phase Random number in [0, 1). */
    void start(double phase, double nowMs);

    bool hasPermit(double intervalMs, double nowMs) const;

    /** Returns the time at which the next permit is due, at least `nowMs`. */
    double nextPermitAt(double intervalMs, double nowMs) const;

    /** Takes a permit for a request. Returns false if none is due. */
    bool takePermit(double intervalMs, double nowMs);

    /** Returns a permit that was taken for a request that was not sent. It lapses as if it had not been taken. */
    void returnPermit();

private:
    void advance(double intervalMs, double nowMs) const;

    mutable std::mutex mutex; ///< Guards the members below.
    mutable double permits = 0; ///< Permits that are due, and the elapsed part of the interval before the next one.
    mutable double countedAtMs = -std::numeric_limits<double>::infinity(); ///< Time up to which permits are counted.
};

} // namespace kingcup
