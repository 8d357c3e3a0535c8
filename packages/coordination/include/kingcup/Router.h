/** @file Router.h Chooses a target for each attempt from load reports of the targets and from the outcomes of own attempts. */
#pragma once

#include "kingcup/ManifestTypes.h"
#include "kingcup/MillisecondClock.h"
#include "kingcup/RandomSource.h"
#include "kingcup/ReplicatedLogTypes.h"
#include "kingcup/ZoneTransfer.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace kingcup {

/** Load-balancing policies. Production uses Adaptive; the others are baselines of the benchmark. */
enum class RoutingPolicy {
    Random, ///< Uniformly at random.
    RoundRobin, ///< Each eligible target in turn.
    LeastOutstanding, ///< The target with the fewest own calls in flight.
    PowerOfTwo, ///< Of two random targets, the one with fewer own calls in flight.
    PeakEwma, ///< Of two random targets, the one with the lower product of peak-sensitive latency and own calls in flight.
    HotCold, ///< Of a few random targets, those with high reported load last; among the others, the lowest reported latency.
    Adaptive, ///< Of a few random targets, the lowest expected time by latency, load, failures and zone.
};

/** How an attempt ended. */
enum class AttemptOutcome {
    Answered, ///< A complete answer arrived.
    ServerError, ///< A complete answer with status 5xx or 429: the target failed or shed load.
    ConnectFailed, ///< No connection could be opened.
    ConnectionLost, ///< The request was sent, but the connection ended before a complete answer.
    TimedOut, ///< No complete answer before the timeout.
    Cancelled, ///< The other attempt of a hedge won, or the caller disconnected; not counted against the target.
};

/** Load that a target reports about itself. */
struct LoadReport {
    uint32_t inFlight = 0; ///< Requests that the target is working on.
    uint32_t slots = 0; ///< Requests that the target can work on at a time; 0: not stated.
    double latencyMs = 0; ///< Latency as estimated by the target; 0: not stated.
    uint32_t waiting = 0; ///< Queued requests, not counted in `inFlight`.
    double slowdown = 1; ///< Current time per request relative to the usual one, because of the speed of the machine.
};

/**
 * Parses the value of the header Kingcup-Load, such as "inflight=3, slots=6, latency-ms=4.5, waiting=2, slowdown=1.5".
 * Unknown names are ignored. Empty if a known value is malformed or out of range, or if "inflight" is missing.
 */
std::optional<LoadReport> parseLoadReport(std::string_view value);

/** Figures behind the choice of a target, for logs. */
struct PickReason {
    double costMs = 0; ///< Expected time of the request plus penalties; 0 for policies other than Adaptive.
    double slowdown = 1; ///< From the newest load report.
    double reportAgeMs = 0; ///< Age of the newest load report; infinite without one.
    int32_t outstanding = 0; ///< Own calls in flight at the target, without this one.
    uint32_t candidates = 0; ///< Serving targets in the routing table.
    ZoneReason zone = ZoneReason::Local;
    double coldFactor = 1; ///< Time per request relative to the usual one, because the target has just started.
};

/** A target chosen for one attempt. */
struct Pick {
    std::string address; ///< host:port.
    uint64_t incarnation = 0;
    std::string instance; ///< Name of the incarnation; empty: it has none.
    uint64_t ticket = 0; ///< Identifies the attempt in finish().
    bool hasPermit = false; ///< Whether the attempt counts towards the limit that the target named.
    bool hasColdPermit = false; ///< Whether the attempt counts towards the requests that a cold target can handle.
    PickReason reason;
};

/** Load balancer of one service on one entry VM. Thread-safe. */
class Router {
public:
    /** @param entryVm Name of this VM, which determines its subset of the targets. @param ownZone Availability zone of this VM. */
    Router(RoutingPolicy policy, std::string entryVm, std::string ownZone, RandomSource random);
    ~Router();

    /**
     * Replaces limits and targets. Keeps the estimates of targets that remain; a new incarnation starts without any and gets less load at first.
     * @param logTimeMs Time of the replicated log, the clock of `cold_until_log_ms` in the records; 0: unknown.
     */
    void update(const Service& service, const std::vector<wire::TargetRecord>& targets, TimePoint now, uint64_t logTimeMs = 0);

    /** Lets ZoneTransfer decide which requests leave the zone, in place of a fixed penalty. Must precede the first pick(). */
    void setZoneTransfer(const ZoneTransferCosts& costs);

    /** Counts the bytes of one request and its answer, for the cost of leaving the zone. */
    void recordTransferBytes(uint64_t bytes);

    /** Returns the state of ZoneTransfer; empty if it does not decide. */
    std::optional<ZoneTransferState> zoneTransfer() const;

    /**
     * Chooses a target and counts an attempt in flight on it; finish() or abandon() must follow. Empty if no serving target remains that
     * may get a request now. @param excluded Addresses that must not be chosen.
     */
    std::optional<Pick> pick(std::span<const std::string> excluded, TimePoint now);

    /** Records the end of an attempt. @param latency Time from sending the request to the first byte of the answer. */
    void finish(const Pick& pick, AttemptOutcome outcome, Milliseconds latency, TimePoint now);

    /** Returns whether the target of a pick is still in use. A pick of a target that is not must be given to abandon() instead of being sent. */
    bool isInUse(const Pick& pick) const;

    /** Records that the attempt was not sent, so that it does not count towards the limits of the target. */
    void abandon(const Pick& pick, TimePoint now);

    /** Stops using a target, because another instance answers at its address, until update() brings the new incarnation. */
    void markInstanceGone(const Pick& pick);

    /**
     * Records that a target stated in an answer that it leaves. It gets no further attempt; within a second it may still be used if
     * no other target is left. Holds for this incarnation also when the target returns to the table.
     * @return Whether this was its first statement.
     */
    bool recordLeaving(const std::string& address, uint64_t incarnation, TimePoint now);

    /** Records that a target turned a request away and wants none for `delay`. It is not chosen before that. Delays over 60 s are cut. */
    void recordRetryAfter(const std::string& address, uint64_t incarnation, Milliseconds delay, TimePoint now);

    /**
     * Records the limit that a target named in an answer: the requests a second that it accepts from all entry VMs together. It gets no
     * request beyond the share of this VM until clearLimit().
     */
    void recordLimit(const std::string& address, uint64_t incarnation, double requestsPerSecond, TimePoint now);

    /** Records that a target named no limit in an answer. */
    void clearLimit(const std::string& address, uint64_t incarnation);

    /**
     * Records how long a target stays cold by its answer to a probe; 0: it is not cold. Longer times are cut to the cold start of the service, or to
     * 60 s without one. Ignored if the service does not limit the requests to cold targets. While the target is cold, it gets no request beyond the
     * share of this VM.
     */
    void recordCold(const std::string& address, uint64_t incarnation, Milliseconds coldLeft, TimePoint now);

    /**
     * Takes the permit that a request to a picked target needs if the target has become cold since it was picked. Returns false if the request
     * must not be sent because none is due.
     */
    bool takeColdPermit(Pick& pick, TimePoint now);

    /** Returns the number of cold targets in use whose requests are limited. */
    uint32_t coldTargets(TimePoint now) const;

    /** Sets the number of entry VMs that may use the same target, this one included; below 1: unknown, which keeps the earlier number. */
    void setVmsPerTarget(double vms);

    /** Returns the incarnation of the target in use at an address; empty if there is none. */
    std::optional<uint64_t> incarnationOf(const std::string& address) const;

    /** Returns the time until the first target accepts requests again; empty if none has asked for a delay, has named a limit or is cold with a limit. */
    std::optional<Milliseconds> timeUntilAccepted(TimePoint now) const;

    /** Records a load report; ignored for an unknown address or if a newer report is stored. @param age Age of the report on arrival. */
    void recordReport(const std::string& address, const LoadReport& load, Milliseconds age, TimePoint now);

    /** Returns the share of the service's serving targets that this VM uses; 1 without targets. */
    double subsetShare() const;

    /** Returns the attempts of this VM that are in flight. */
    uint32_t outstanding() const;

    /** Returns the slots of the serving targets in the subset of this VM, without those of ejected targets. A cold target counts with the slots that its permitted requests occupy. */
    uint32_t usableSlots(TimePoint now) const;

    /** Returns up to `count` addresses of serving targets for probing, those with the oldest load report first. Targets that leave, accept no requests for a time or have reached their limit are left out. */
    std::vector<std::string> leastRecentlyReported(size_t count, TimePoint now) const;

    /** Returns own observations of the last 5 s to share with other VMs, those that deviate most from the fleet first. */
    std::vector<wire::TargetLoad> observations(TimePoint now) const;

    /** Returns the state of each target as JSON, for operators. */
    std::string dump(TimePoint now) const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace kingcup
