/** @file Settings.h The settings of one daemon process. */
#pragma once

#include "kingcup/ManifestParser.h"
#include "kingcup/MillisecondClock.h"

#include <cstdint>
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

/** Settings of one process, read once at its start. */
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
    std::vector<ControlVmAddress> controlVms; ///< All control VMs.
    std::string curvePublicKey; ///< Own CURVE public key.
    std::string curveSecretKeyFile; ///< File with the own CURVE secret key.
    std::vector<std::string> allowedKeys; ///< CURVE public keys that may connect; role control.
    std::string operatorTokenFile; ///< File with the operators' bearer token.
    std::string targetTokenFile; ///< File with the targets' bearer token.
    std::string logFile; ///< JSON-lines log; empty: standard error.
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
