/** @file TargetRateLimit.h Share of one entry VM in the request rate that a target accepts from all entry VMs together. */
#pragma once

#include <atomic>
#include <limits>
#include <mutex>

namespace kingcup {

/**
 * Spaces the requests of this VM to a target that has named a limit, so that all entry VMs together stay below it. A request
 * takes a permit. Unused permits of up to one second may be taken at once; below one permit a second none are saved.
 * Thread-safe. Times are in milliseconds. `vms` is the number of VMs that may use the target; it may change from call to call.
 */
class TargetRateLimit {
public:
    /**
     * Records the limit that the target named. The first permit after a time without a limit is due at a random time within one
     * interval, because all VMs learn of the limit at about the same time.
     * @param requestsPerSecond Requests that the target accepts from all VMs. @param phase Random number in [0, 1).
     */
    void setLimit(double requestsPerSecond, double phase, double nowMs);

    /** Records that the target named no limit in its latest answer. */
    void clear() { this->requestsPerSecond.store(unlimited, std::memory_order_relaxed); }

    bool isSet() const { return this->limit() != unlimited; }

    /** Returns the limit named last, in requests a second from all VMs; infinite: none. */
    double limit() const { return this->requestsPerSecond.load(std::memory_order_relaxed); }

    /** Returns whether a request may be sent now. */
    bool hasPermit(double vms, double nowMs) const { return !this->isSet() || nowMs >= this->nextPermitAt(vms); }

    /** Returns the time from which a request may be sent; before any time if there is no limit. */
    double nextPermitAt(double vms) const;

    /** Takes a permit for a request. Returns false if none is due. */
    bool takePermit(double vms, double nowMs);

    /** Returns a permit that was taken for a request that was not sent. */
    void returnPermit();

    /** Returns whether the target named its limit within the last `retentionMs`. */
    bool isNamedSince(double retentionMs, double nowMs) const;

private:
    static constexpr double unlimited = std::numeric_limits<double>::infinity();

    double intervalMs(double vms) const;
    double dueAt(double vms) const;

    std::atomic<double> requestsPerSecond { unlimited }; ///< From all VMs; infinite: no limit.
    mutable std::mutex mutex; ///< Guards the members below.
    double baseMs = 0; ///< Time from which the next permit is counted.
    double intervalsToNext = 0; ///< Intervals from there to the next permit, so that a change of the limit or of the VMs moves it.
    double namedAtMs = 0; ///< Time of the latest answer with a limit.
};

} // namespace kingcup
