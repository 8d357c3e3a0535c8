/** @file Settings.h The settings of one daemon process. */
#pragma once

#include "kingcup/ManifestParser.h"
#include "kingcup/MillisecondClock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace kingcup {

/** A control VM as its peers and the entry VMs reach it. */
struct ControlVmAddress {
    uint32_t id = 0; ///< 1 to 65535, unique.
    std::string link; ///< host:port of its link listener, as seen from this process.
    std::string publicKey; ///< CURVE public key, 40 characters of Z85.
};

/** How links between the processes are protected. */
enum class LinkSecurity {
    Curve, ///< Encrypted and authenticated with CURVE keys.
    None, ///< Plain, for a network that only VMs of the deployment reach.
};

/** Who may use the operator listener. */
enum class ListenerAccess {
    Tokens, ///< Holders of the bearer tokens.
    Open, ///< Everybody who can connect, for a network that the platform guards.
};

/** Which manifest numbers are errors. */
enum class NumberPolicy {
    Strict, ///< Equal numbers with other content and unknown lower numbers are refused.
    HighestWins, ///< A number that is not higher than the one in force is acknowledged and changes nothing.
};

/** Bound of the arrivals at a service beyond the first of each request, over all entry VMs. */
struct RetryBudgetLimits {
    double share = 0; ///< Of the requests of the window.
    double slack = 0; ///< Arrivals that are allowed besides, over all entry VMs.
    Milliseconds window { 10000 }; ///< Any span of this length counts.
};

/** Settings of one process. */
struct Settings {
    std::string deployment; ///< Deployment id; messages of another deployment are dropped.
    std::string vm; ///< Name of this VM, unique.
    std::string availabilityZone; ///< Zone of this VM.
    bool entry = false; ///< Whether the role entry runs here.
    bool control = false; ///< Whether the role control runs here.
    std::string callerListener; ///< host:port for callers; role entry.
    std::string operatorListener; ///< host:port for operators and targets.
    uint32_t controlId = 0; ///< Own id among the control VMs; role control.
    std::string linkListener; ///< host:port of the link listener; role control.
    std::string dataFolder; ///< Folder of the durable state; role control.
    std::vector<ControlVmAddress> controlVms; ///< All control VMs; empty when they are found through seeds.
    std::vector<std::string> controlSeeds; ///< host:port of some control VMs' operator listeners; their links use `linkPort`.
    uint32_t linkPort = 0; ///< Port of the link listeners of all control VMs; with seeds.
    bool formGroup = false; ///< Whether this is the first start of the whole deployment, so that the seeds form the group.
    uint32_t toleratedLosses = 2; ///< Control VMs that may be lost at once; with seeds the group grows to 2n + 1 voters.
    LinkSecurity linkSecurity = LinkSecurity::Curve; ///< Protection of links.
    ListenerAccess access = ListenerAccess::Tokens; ///< Protection of the operator listener.
    ManifestPolicy manifestPolicy; ///< How manifests are read.
    NumberPolicy numberPolicy = NumberPolicy::Strict; ///< Which numbers are errors.
    std::optional<RetryBudgetLimits> retryBudget; ///< Absent: the manifest's retryShare of each service.
    MeasuringBudget routeMeasuringBudget; ///< Of services that only routes lead to.
    Milliseconds suspicionWait { 500 }; ///< Longest wait of a retry for the leader's record of a suspicion.
    Milliseconds tickInterval { 10 }; ///< Between two turns of the timers of links and control.
    std::string curvePublicKey; ///< Own CURVE public key.
    std::string curveSecretKeyFile; ///< File with the own CURVE secret key.
    std::vector<std::string> allowedKeys; ///< CURVE public keys that may connect; role control.
    std::string operatorTokenFile; ///< File with the operators' bearer token.
    std::string targetTokenFile; ///< File with the targets' bearer token.
    std::string logFile; ///< JSON-lines log; empty: standard output.
    uint64_t seed = 0; ///< Seed of all random numbers; 0: taken from the machine.
    uint32_t callerThreads = 2; ///< Threads of the caller listener.
    uint32_t upstreamThreads = 2; ///< Threads of the upstream client.
    uint32_t maxCallerConnections = 4000; ///< Connections of callers.
    uint64_t maxHeaderBytes = 16u << 10; ///< Largest request header.
    Milliseconds slowSenderTimeout { 10000 }; ///< Longest pause of a caller that sends a request.
    Milliseconds stopNotice { 1000 }; ///< Time between readiness off and closed listeners.
    Milliseconds stopLimit { 30000 }; ///< Longest time for requests in flight at a stop.
    Milliseconds electionTimeout { 600 }; ///< Lower bound of the randomised election timeout.
    Milliseconds heartbeatInterval { 100 }; ///< Leader to followers.
    Milliseconds leaseTerm { 2500 }; ///< Lease of an entry VM.
    Milliseconds sessionInterval { 500 }; ///< Between two session requests of an entry VM.
    Milliseconds targetLease { 4000 }; ///< A target without heartbeat for so long is gone.
    uint64_t snapshotEntries = 4096; ///< Applied entries between two snapshots.
};

/** Checks the settings text; errors name the JSON pointer. */
std::variant<Settings, DocumentError> parseSettings(std::string_view text);

} // namespace kingcup
