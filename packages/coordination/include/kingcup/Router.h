/** @file Router.h Chooses a target for each attempt from stale reports and own observations. */
#pragma once

#include "kingcup/ManifestTypes.h"
#include "kingcup/MillisecondClock.h"
#include "kingcup/RandomSource.h"
#include "kingcup/ReplicatedLogTypes.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace kingcup {

/** Ways to choose a target; all but one serve as baselines of the benchmark. */
enum class RoutingPolicy {
    Random, ///< Any eligible target.
    RoundRobin, ///< In turn.
    LeastOutstanding, ///< Fewest own calls.
    PowerOfTwo, ///< Better of two random ones by own calls.
    PeakEwma, ///< Better of two by peak-sensitive latency times own calls.
    HotCold, ///< Probed load first split into hot and cold, then by latency.
    Adaptive, ///< The policy of the product.
};

/** How an attempt ended, as the router needs to know it. */
enum class AttemptOutcome {
    Answered, ///< A whole answer.
    ServerError, ///< A whole answer that says that the target failed or shed load (5xx or 429).
    ConnectFailed, ///< No connection.
    ConnectionLost, ///< Sent, no whole answer.
    TimedOut, ///< Gave up on it.
    Cancelled, ///< Loser of a hedge, or the caller went away; says nothing bad about the target.
};

/** A target's own report of its load. */
struct LoadReport {
    uint32_t inFlight = 0; ///< Requests in flight at the target.
    uint32_t slots = 0; ///< Its slots; 0: not stated.
    double latencyMs = 0; ///< Its own estimate, milliseconds; 0: not stated.
    uint32_t waiting = 0; ///< Requests in its queue, not counted in `inFlight`.
    double slowdown = 1; ///< How many times longer work takes on its machine at this moment than usual.
};

/** Parses the value of the header Kingcup-Load: "inflight=3, slots=6, latency-ms=4.5, waiting=2, slowdown=1.5". */
std::optional<LoadReport> parseLoadReport(std::string_view value);

/** What decided for a target, for logs. */
struct PickReason {
    double costMs = 0; ///< Expected time with penalties; 0 for policies without one.
    double slowdown = 1; ///< By the newest report.
    double reportAgeMs = 0; ///< Age of that report.
    int32_t outstanding = 0; ///< Own calls in flight before this one.
    uint32_t candidates = 0; ///< Targets that take work.
    double coldFactor = 1; ///< How many times longer work takes because the target has just started.
};

/** A chosen target. */
struct Pick {
    std::string address; ///< host:port.
    uint64_t incarnation = 0; ///< Incarnation of the target.
    std::string instance; ///< Name of the incarnation; empty: none.
    uint64_t ticket = 0; ///< Names this attempt in finish().
    PickReason reason; ///< For logs.
};

/** Chooses targets of one service on one entry VM. Thread-safe. */
class Router {
public:
    /** @param ownZone Availability zone of this VM. @param entryVm Own name, which selects the subset. */
    Router(RoutingPolicy policy, std::string entryVm, std::string ownZone, RandomSource random);
    ~Router();

    /** Replaces limits and targets. Estimates of targets that stay are kept; a new incarnation starts cold. @param logTimeMs Time of the log, by which targets say how long they are cold. */
    void update(const Service& service, const std::vector<wire::TargetRecord>& targets, TimePoint now, uint64_t logTimeMs = 0);

    /** Chooses a target that is not excluded and counts the attempt. Empty when none takes work. */
    std::optional<Pick> pick(std::span<const std::string> excluded, TimePoint now);

    /** Ends an attempt. @param latency Time from sending to the first byte of the answer. */
    void finish(const Pick& pick, AttemptOutcome outcome, Milliseconds latency, TimePoint now);

    /** Takes a target out of use because another instance has its address, until the table names that one. */
    void instanceGone(const Pick& pick);

    /** Records a load report. @param age Age of the report when it arrived. */
    void report(const std::string& address, const LoadReport& load, Milliseconds age, TimePoint now);

    /** Returns the part of the targets that take work which this VM uses; 1 without targets. */
    double subsetPart() const;

    /** Returns the calls in flight from this VM. */
    uint32_t outstanding() const;

    /** Returns the sum of slots that this VM may count on: its subset's slots, less ejected and draining targets. */
    uint32_t usableSlots(TimePoint now) const;

    /** Returns the addresses in use, least recently observed first, for probing. */
    std::vector<std::string> leastObserved(size_t count, TimePoint now) const;

    /** Returns own observations worth sharing with other VMs. */
    std::vector<wire::TargetLoad> observations(TimePoint now) const;

    /** Returns the state of each target as JSON. */
    std::string dump(TimePoint now) const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace kingcup
