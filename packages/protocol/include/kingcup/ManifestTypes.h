/** @file ManifestTypes.h The model of a manifest: services and the rules of each kind of request. */
#pragma once

#include "kingcup/MillisecondClock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kingcup {

/** What an entry VM does with a call when its lease has lapsed. */
enum class WhenIsolated {
    Refuse, ///< Refuses the call as not run.
    Serve, ///< Serves it from the last configuration, with a single attempt.
};

/** Rules for hedged attempts of a repeatable kind. */
struct HedgeRule {
    double percentile = 0.95; ///< Latency percentile after which a second attempt starts, in (0, 1).
    double budgetShare = 0.02; ///< Hedges as a share of the calls of the service, in [0, 0.2].
};

/** One kind of request of a service and how it may be treated. */
struct Kind {
    std::string name; ///< Unique within its service.
    std::string method; ///< HTTP method, or "*" for any.
    std::string path; ///< Exact path, or a prefix that ends in "/" followed by "*".
    bool repeatable = false; ///< Whether an attempt may be repeated.
    Milliseconds deadline { 1000 }; ///< From arrival to the end of the answer.
    Milliseconds objective { 0 }; ///< Within this time an answer has its full value; 0: any time before the deadline.
    Milliseconds mayWait { 100 }; ///< Longest wait for admission.
    bool mayRefuse = true; ///< Whether it may be refused early under load.
    int priority = 5; ///< 0 (highest) to 9.
    std::optional<HedgeRule> hedge; ///< Absent: no hedging.
    WhenIsolated whenIsolated = WhenIsolated::Refuse; ///< Treatment past the lease.
    bool keyRequired = false; ///< Whether an Idempotency-Key must be present.
    std::vector<int> notRunStatuses; ///< Statuses by which the target promises that it did not run the request.
    uint32_t maxAttempts = 3; ///< Targets to which one request may be sent, at least 1.
};

/** Preference for targets in the entry VM's own availability zone. */
enum class ZonePreference {
    None, ///< Zones do not matter.
    Own, ///< The own zone is preferred until its targets are busier.
};

/** Bounds of one service. */
struct ServiceLimits {
    uint32_t queueLength = 200; ///< Requests waiting for admission on one entry VM.
    uint32_t maxInFlight = 0; ///< Calls in flight on one entry VM; 0: adaptive only.
    double retryShare = 0.1; ///< Retries as a share of calls, in [0, 1].
    double maxEjectedShare = 0.5; ///< Largest share of targets ejected at once, in [0, 1].
    uint32_t subsetSize = 20; ///< Targets one entry VM uses.
    uint64_t maxBodyBytes = 16u << 20; ///< Largest request body.
    uint64_t maxHeldAnswerBytes = 64u << 10; ///< Answers up to this size are held whole before the first byte.
    uint64_t maxRecordedAnswerBytes = 16u << 10; ///< Largest answer body that a claim records.
    Milliseconds claimRetention { 24.0 * 3600 * 1000 }; ///< How long a claim is kept.
    Milliseconds quarantine { 60000 }; ///< How long a request that crashed two targets is refused.
};

/** Budget for measuring targets. */
struct MeasuringBudget {
    double probesPerSecondPerTarget = 1; ///< Over all entry VMs.
    double bytesPerSecondPerVm = 4096; ///< On one entry VM, over all services' probes to this service.
    double burstSeconds = 0; ///< Probes of so many seconds may be made at once; 0: they are spaced evenly.
};

/** One service and its kinds. */
struct Service {
    std::string name; ///< Unique within the manifest.
    std::string host; ///< Host header that selects the service; empty: any.
    std::string pathPrefix; ///< Path prefix that selects the service, "/" at least.
    ZonePreference zonePreference = ZonePreference::Own; ///< Use of availability zones.
    ServiceLimits limits; ///< Bounds.
    MeasuringBudget measuringBudget; ///< Probe budget.
    std::string healthPath; ///< Path of the targets' health check; empty: none.
    uint32_t maxConnections = 0; ///< Connections that one target accepts from all entry VMs together; 0: not limited.
    std::vector<Kind> kinds; ///< Empty for a service that only routes lead to.
};

/** How often requests of a route may run; sets `Kind::repeatable`. */
enum class RouteKind {
    Safe, ///< A request may run more than once.
    Unsafe, ///< A request may run at most once.
    Download, ///< As safe, with large answers.
};

/** Part of a route's requests that goes to one service. */
struct RouteShare {
    std::string service; ///< Name of a service of the manifest.
    uint32_t weight = 1; ///< Relative to the other shares of the route.
};

/** Requests of one host below one path prefix, and the services that serve them. */
struct Route {
    std::string name; ///< Unique among the routes.
    std::string host; ///< Host header, compared without port.
    std::string pathPrefix; ///< Begins and ends with "/"; of several matches the longest wins.
    RouteKind kind = RouteKind::Unsafe; ///< What may be repeated.
    Kind rules; ///< Treatment of the requests; method and path are not used.
    std::vector<RouteShare> shares; ///< At least one.
};

/** Bounds of what callers may send to an entry VM. */
struct CallerLimits {
    uint64_t maxHeaderBytes = 16u << 10; ///< Largest request header.
    uint64_t maxBodyBytes = 64u << 20; ///< Largest request body.
    Milliseconds headerTimeout { 10000 }; ///< Longest time for sending a header.
    Milliseconds idleTimeout { 60000 }; ///< Connections without a request are closed after this time.
};

/** A whole manifest. */
struct Manifest {
    uint64_t number = 0; ///< Chosen by the operators; grows.
    std::vector<Service> services; ///< Ordered by name.
    std::vector<Route> routes; ///< Ordered by name.
    std::optional<CallerLimits> callerLimits; ///< Absent: those of the settings.
};

} // namespace kingcup
