/** @file ManifestTypes.h Model of a manifest: services, routes and the rules for each kind of request. */
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
    Serve, ///< Serves it with the last configuration received, with a single attempt.
};

/** Rules for hedged requests; only for repeatable kinds. */
struct HedgeRule {
    double percentile = 0.95; ///< Latency percentile after which a second attempt starts, in (0, 1).
    double budgetShare = 0.02; ///< Hedges as a share of the calls of the service, in [0, 0.2].
};

/** One kind of request of a service and the rules for it. */
struct Kind {
    std::string name; ///< Unique within its service.
    std::string method; ///< HTTP method, or "*" for any.
    std::string path; ///< Exact path, or a prefix that ends in "/" followed by "*".
    bool repeatable = false; ///< Whether an attempt may be repeated.
    Milliseconds deadline { 1000 }; ///< Time from the arrival of the request to the end of the answer.
    Milliseconds objective { 0 }; ///< Latency objective, the time within which an answer has its full value; 0: any time before the deadline.
    Milliseconds mayWait { 100 }; ///< Longest wait for admission.
    bool mayRefuse = true; ///< Whether it may be refused early under load.
    int priority = 5; ///< 0 (highest) to 9.
    std::optional<HedgeRule> hedge; ///< Absent: no hedging.
    WhenIsolated whenIsolated = WhenIsolated::Refuse; ///< Treatment of calls while the entry VM has no valid lease.
    bool keyRequired = false; ///< Whether an Idempotency-Key must be present.
    std::vector<int> notRunStatuses; ///< HTTP statuses that guarantee that the target did not run the request.
    uint32_t maxAttempts = 3; ///< Largest number of attempts of one request, at least 1.
};

/** Preference for targets in the entry VM's own availability zone. */
enum class ZonePreference {
    None, ///< Zones are ignored.
    Own, ///< Targets of the same zone are preferred until they are busier than the others.
};

/** Limits of one service. */
struct ServiceLimits {
    uint32_t queueLength = 200; ///< Most requests that wait for admission on one entry VM.
    uint32_t maxInFlight = 0; ///< Most calls in flight on one entry VM; 0: only the adaptive limit applies.
    double retryShare = 0.1; ///< Largest share of retries among the calls, in [0, 1].
    double maxEjectedShare = 0.5; ///< Largest share of targets ejected at once, in [0, 1].
    uint32_t subsetSize = 20; ///< Number of targets that one entry VM uses.
    uint64_t maxBodyBytes = 16u << 20; ///< Largest request body.
    uint64_t maxHeldAnswerBytes = 64u << 10; ///< Answers up to this size are buffered completely before their first byte is sent.
    uint64_t maxRecordedAnswerBytes = 16u << 10; ///< Largest answer body that is stored with a claim.
    Milliseconds claimRetention { 24.0 * 3600 * 1000 }; ///< How long a claim is kept.
    Milliseconds quarantine { 60000 }; ///< How long a request that crashed two targets is refused.
};

/** Rate limits for probes of targets. */
struct MeasuringBudget {
    double probesPerSecondPerTarget = 1; ///< Of all entry VMs together.
    double bytesPerSecondPerVm = 4096; ///< Limit on one entry VM for all probes to this service.
    double burstSeconds = 0; ///< Seconds of unused budget that may be spent in one burst; 0: probes are spaced evenly.
};

/** One service and its kinds. */
struct Service {
    std::string name; ///< Unique within the manifest.
    std::string host; ///< Host header that selects the service; empty: any.
    std::string pathPrefix; ///< Path prefix that selects the service; may be empty only if the service has no kinds.
    ZonePreference zonePreference = ZonePreference::Own; ///< Use of availability zones.
    ServiceLimits limits; ///< Queue, concurrency and size limits.
    MeasuringBudget measuringBudget; ///< Probe budget.
    std::string healthPath; ///< Path of the targets' health check; empty: none.
    Milliseconds coldStart { 0 }; ///< Time for which a target stays cold after a start during operation; 0: not stated. Longer statements of targets are cut to it.
    double coldRequestsPerSecond = 0; ///< Requests a second that a cold target can handle from all entry VMs together; 0: not limited.
    uint32_t maxConnections = 0; ///< Connections that one target accepts from all entry VMs together; 0: not limited.
    std::vector<Kind> kinds; ///< Empty for a service that is reached only through routes.
};

/** Whether requests of a route may run more than once; determines `Kind::repeatable`. */
enum class RouteKind {
    Safe, ///< A request may run more than once.
    Unsafe, ///< A request may run at most once.
    Download, ///< Same as Safe, with large answers.
};

/** One service of a route with its weight. */
struct RouteShare {
    std::string service; ///< Name of a service of the manifest.
    uint32_t weight = 1; ///< Relative to the other shares of the route.
};

/** Maps requests with a host and a path prefix to services. */
struct Route {
    std::string name; ///< Unique among the routes.
    std::string host; ///< Host header, compared without port.
    std::string pathPrefix; ///< Absolute path prefix; the longest match is used.
    RouteKind kind = RouteKind::Unsafe; ///< Whether requests may be repeated.
    bool isPublic = false; ///< Whether requests need no API key.
    Kind rules; ///< Treatment of the requests; method and path are not used.
    std::vector<RouteShare> shares; ///< At least one.
};

/** Limits for requests and connections of callers to an entry VM. */
struct CallerLimits {
    uint64_t maxHeaderBytes = 16u << 10; ///< Largest request header.
    uint64_t maxBodyBytes = 64u << 20; ///< Largest request body.
    Milliseconds headerTimeout { 10000 }; ///< Longest time in which a caller must send a header.
    Milliseconds idleTimeout { 60000 }; ///< Connections without a request are closed after this time.
};

/** Holder of API keys. While a manifest has organisations, requests need a key of one of them. */
struct Organisation {
    std::string name; ///< Unique among the organisations.
    std::vector<std::string> keyHashes; ///< SHA-256 of each API key in hexadecimal; unique over all organisations.
    std::optional<int> priority; ///< 0 (highest) to 9, in place of the priority of the kind; absent: that of the kind.
    double requestsPerSecond = 0; ///< Usage cap over all entry VMs; 0: not limited.
    double burst = 0; ///< Requests above the cap that may come at once.
};

/** A whole manifest. */
struct Manifest {
    uint64_t number = 0; ///< Version number, chosen by the operators; it increases.
    std::vector<Service> services; ///< Ordered by name.
    std::vector<Route> routes; ///< Ordered by name.
    std::vector<Organisation> organisations; ///< Ordered by name; empty: requests need no key.
    std::optional<CallerLimits> callerLimits; ///< Absent: the limits of the settings apply.
};

} // namespace kingcup
