/** @file ZoneTransfer.h Decides which requests may be sent to targets of other availability zones. */
#pragma once

#include "kingcup/Settings.h"

#include <atomic>
#include <cstddef>
#include <vector>

namespace kingcup {

/** Newest load report of a target in use. */
struct ReportedTarget {
    double calls = 0; ///< Requests that it works on or that wait for it.
    double slots = 1; ///< Requests that it can work on at a time, at least 1.
    double slowdown = 1; ///< Time per request relative to the usual one.
};

/** Load reports of the targets in use in the own zone or in the others. */
struct ZoneReports {
    std::vector<ReportedTarget> targets; ///< Targets with a recent report.
    size_t usableTargets = 0; ///< Targets that may get a request, also those without a report.
    size_t serviceTargets = 0; ///< Serving targets of the service, including those that only other VMs use.
};

/** Input of ZoneTransfer::update(). */
struct ZoneTransferInput {
    ZoneReports local;
    ZoneReports remote;
    double workMs = 0; ///< Usual duration of a request at a target; 0: unknown.
};

/** Why a request went to the zone of its target. */
enum class ZoneReason {
    Local, ///< The target is in the zone of this VM.
    Cheaper, ///< Its expected time was lower, the cost of leaving the zone included.
    NoLocal, ///< No target of the own zone is usable.
};

/** Returns the name of a reason in metrics. */
const char* zoneReasonName(ZoneReason reason);

/** Figures of the latest update, for operators. */
struct ZoneTransferState {
    double share = 0; ///< Share of the requests whose first pick considers targets of other zones.
    double maxShare = 1; ///< Share for which the other zones report free slots.
    double localWaitMs = 0; ///< Expected wait in the own zone.
    double remoteWaitMs = 0; ///< Expected wait in the other zones.
    double costMs = 0; ///< Cost of leaving the zone.
    double bytesPerRequest = 0; ///< Moving average over request and answer.
};

/**
 * Decides for one service on one entry VM how many requests may leave the availability zone. Built for work of 70 to 140 ms on targets
 * with two slots, load reports that are up to 300 ms old, and demand that swings by 55% within 13 s. Has neither clock nor random
 * numbers. update() is called by one thread at a time, the other functions by any thread.
 *
 * The share follows the difference between the expected waits of the own zone and the others, less the cost of leaving, in steps
 * that are in proportion to it: requests that leave show in the reports only after their work and the age of a report, so a share that
 * jumped would overshoot, and two zones would send each other their requests in turn.
 */
class ZoneTransfer {
public:
    explicit ZoneTransfer(const ZoneTransferCosts& costs);

    /** Counts the bytes of one request and its answer. */
    void recordBytes(double bytes);

    /** Counts a first choice that considered targets of other zones. @param isRemote Whether it led to one. */
    void recordConsidered(bool isRemote);

    /** Moves the share by the newest load reports. @param nowMs Time of a monotonic clock. */
    void update(const ZoneTransferInput& input, double nowMs);

    /**
     * Returns whether one choice of a target considers targets of other zones.
     * @param fraction Random number in [0, 1). @param busyLocalTargets Targets of the own zone that this request has tried without success.
     */
    bool considersRemote(double fraction, size_t busyLocalTargets) const;

    /** Returns the cost of leaving the zone in milliseconds of waiting: the round trip and the price of the bytes. */
    double costMs() const;

    ZoneTransferState state() const;

private:
    /** Figures of one side, smoothed over successive reports. */
    struct Side {
        std::atomic<double> waitMs { 0 }; ///< Expected wait of a request that may choose among a few targets.
        std::atomic<double> busyShare { 0 }; ///< Share of targets at which a request takes notably longer than usual.
        std::atomic<double> busyWaitMs { 0 }; ///< Mean expected wait at these.
        std::atomic<double> freeShare { 1 }; ///< Free slots as a share of all slots.
        std::atomic<double> callsPerTarget { 0 };
    };
    static void updateSide(Side& side, const ZoneReports& reports, double workMs, double weight);
    double shareForFreeSlots(const ZoneTransferInput& input) const;

    const ZoneTransferCosts costs;
    std::atomic<double> bytesPerRequest { 0 };
    std::atomic<double> remoteOfConsidered { 1 }; ///< Share of the choices that considered targets of other zones and led to one.
    Side local;
    Side remote;
    std::atomic<double> share { 0 };
    std::atomic<double> maxShare { 1 };
    double updatedAtMs = 0; ///< Time of the latest update.
    bool isUpdated = false; ///< Whether there was an update.
};

} // namespace kingcup
