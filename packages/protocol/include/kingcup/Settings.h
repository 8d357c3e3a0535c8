/** @file Settings.h Settings of one daemon process. */
#pragma once

#include "kingcup/ManifestParser.h"
#include "kingcup/MillisecondClock.h"
#include "kingcup/UsageCap.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace kingcup {

/** Address and key under which the other VMs reach a control VM. */
struct ControlVmAddress {
    uint32_t id = 0; ///< 1 to 65535, unique.
    std::string link; ///< host:port of its link listener, as seen from this process.
    std::string publicKey; ///< CURVE public key, 40 characters of Z85.
};

/** Protection of the links between processes. */
enum class LinkSecurity {
    Curve, ///< Encrypted and authenticated with CURVE keys.
    None, ///< Neither encrypted nor authenticated, for a network that only VMs of the deployment can access.
};

/** Access control of the operator listener. */
enum class ListenerAccess {
    Tokens, ///< Requests need a bearer token.
    Open, ///< No authentication, for a network to which the platform restricts access.
};

/** Rules for the numbers of new manifests. */
enum class NumberPolicy {
    Strict, ///< Equal numbers with other content and unknown lower numbers are refused.
    HighestWins, ///< A manifest whose number is not higher than the current one is acknowledged but has no effect.
};

/** Limit of the attempts at a service beyond the first of each request, over all entry VMs. */
struct RetryBudgetLimits {
    double share = 0; ///< Additional attempts as a share of the requests in the window.
    double slack = 0; ///< Attempts that are allowed in addition to the share, over all entry VMs.
    Milliseconds window { 10000 }; ///< Length of the sliding window.
};

/** What it costs to send a request to a target of another availability zone. */
struct ZoneTransferCosts {
    double roundTripMs = 0; ///< Round trip between zones, in milliseconds.
    double costPerGigabyte = 0; ///< Price of 1e9 bytes between zones, in any currency.
    double valuePerSecond = 1; ///< Worth of one second less of waiting for one request, in the same currency.
};

/** Settings of one process. */
struct Settings {
    std::string deployment; ///< Deployment id; messages of another deployment are dropped.
    std::string vm; ///< Name of this VM, unique.
    std::string availabilityZone; ///< Zone of this VM.
    bool entry = false; ///< Whether this process has the role entry.
    bool control = false; ///< Whether this process has the role control.
    std::string callerListener; ///< host:port for callers; role entry.
    std::string operatorListener; ///< host:port for operators and targets.
    uint32_t controlId = 0; ///< Id of this control VM; role control.
    std::string linkListener; ///< host:port of the link listener; role control.
    std::string relayListener; ///< host:port for VMs that cannot reach targets themselves; empty: this VM relays no connections.
    std::string dataFolder; ///< Directory of the durable state; role control.
    std::vector<ControlVmAddress> controlVms; ///< All control VMs; empty when they are found through seeds.
    std::vector<std::string> controlSeeds; ///< Operator listeners, as host:port, of some control VMs; their links use `linkPort`.
    uint32_t linkPort = 0; ///< Port of the link listeners of all control VMs; required with seeds.
    bool formGroup = false; ///< Whether the deployment starts for the first time, so that the seeds form the initial group of voters.
    uint32_t toleratedLosses = 2; ///< Number n of control VMs that may fail at once; with seeds the group grows to 2n + 1 voters.
    LinkSecurity linkSecurity = LinkSecurity::Curve; ///< Protection of links.
    ListenerAccess access = ListenerAccess::Tokens; ///< Protection of the operator listener.
    ManifestPolicy manifestPolicy; ///< Options for parsing manifests.
    NumberPolicy numberPolicy = NumberPolicy::Strict; ///< Rules for the numbers of new manifests.
    std::optional<RetryBudgetLimits> retryBudget; ///< Absent: the retryShare of each service in the manifest applies.
    std::optional<ZoneTransferCosts> zoneTransfer; ///< Absent: targets of other zones are compared with a fixed penalty.
    UsageCapLimits usageCap; ///< Accuracy of the usage caps of organisations.
    MeasuringBudget routeMeasuringBudget; ///< Probe budget of services that are reached only through routes.
    Milliseconds maxConnectionIdle { 0 }; ///< Longest time that a kept connection may have been idle when a request that must not be repeated is sent on it; 0: such requests open a connection each.
    Milliseconds suspicionWait { 500 }; ///< Longest time a retry waits until the leader has recorded a suspicion.
    Milliseconds tickInterval { 10 }; ///< Interval of the timers of links and control.
    std::string curvePublicKey; ///< CURVE public key of this process.
    std::string curveSecretKeyFile; ///< File with the CURVE secret key of this process.
    std::vector<std::string> allowedKeys; ///< CURVE public keys that may connect; role control.
    std::string operatorTokenFile; ///< File with the operators' bearer token.
    std::string targetTokenFile; ///< File with the targets' bearer token.
    std::string logFile; ///< JSON-lines log; empty: standard output.
    uint64_t seed = 0; ///< Seed of all random numbers; 0: a random seed of the operating system.
    uint32_t callerThreads = 2; ///< Threads of the caller listener.
    uint32_t upstreamThreads = 2; ///< Threads of the upstream client.
    uint32_t maxCallerConnections = 4000; ///< Most open connections of callers.
    uint32_t maxRelayedConnections = 512; ///< Most connections that are relayed at once.
    uint64_t maxHeaderBytes = 16u << 10; ///< Largest request header.
    Milliseconds slowSenderTimeout { 10000 }; ///< Longest pause while a caller sends a request.
    Milliseconds stopNotice { 1000 }; ///< Time from reporting "not ready" until the listeners close.
    Milliseconds stopLimit { 30000 }; ///< Longest time that a stop waits for requests in flight, after the notice; not used with a grace period.
    std::optional<Milliseconds> stopGracePeriod; ///< Time from the stop signal until the platform kills the process; absent: it never does.
    Milliseconds electionTimeout { 600 }; ///< Lower bound of the randomised election timeout.
    Milliseconds heartbeatInterval { 100 }; ///< Interval of the leader's heartbeats to followers.
    Milliseconds leaseTerm { 2500 }; ///< Duration of the lease of an entry VM.
    Milliseconds sessionInterval { 500 }; ///< Interval of the session requests of an entry VM.
    Milliseconds keyRevocation { 0 }; ///< Bound of the time after which no request with a withdrawn API key runs; 0: no bound.
    Milliseconds targetLease { 4000 }; ///< A target without a heartbeat for this time is considered gone.
    uint64_t snapshotEntries = 4096; ///< Number of applied log entries between two snapshots.
};

/** Parses and validates the settings. The error holds the JSON pointer of the invalid value. */
std::variant<Settings, DocumentError> parseSettings(std::string_view text);

} // namespace kingcup
