/** @file Deployment.h A whole deployment of real processes on the loopback network. */
#pragma once

#include "testing/FakeTarget.h"
#include "testing/FaultProxy.h"
#include "testing/ProcessHarness.h"
#include "testing/Workload.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace kingcup::testing {

/** What a deployment consists of. */
struct DeploymentOptions {
    std::string daemon; ///< Path of kingcupswitchd.
    std::string controlTool; ///< Path of kingcupctl.
    std::string name = "test"; ///< Deployment id.
    uint32_t controlVms = 3; ///< Processes with the role control.
    uint32_t entryVms = 2; ///< Processes with the role entry.
    std::vector<std::string> zones = { "a", "b", "c" }; ///< Zones, used in turn.
    std::vector<ServiceLayout> services = { { "matters", 2, 6 } }; ///< Services and targets.
    uint32_t targetsPerProcess = 1; ///< Targets that share a process. A crash ends all of them.
    uint32_t targetsAlone = 0; ///< The first so many targets have a process of their own.
    bool proxyLinks = false; ///< Whether each link runs through a proxy.
    bool proxyTargets = false; ///< Whether entry VMs reach each target through a proxy.
    uint64_t seed = 1; ///< Seed of all processes.
    nlohmann::json settings = nlohmann::json::object(); ///< Settings of all daemons that differ from the defaults.
    nlohmann::json targetFaults = nlohmann::json::object(); ///< Initial faults of all targets.
};

/** What an operator listener answered. */
struct OperatorAnswer {
    int status = 0; ///< HTTP status; 0: no answer.
    nlohmann::json body; ///< Null when there is none.

    int code() const; ///< Numbered result code; -1: none.
};

/** One daemon process. */
struct Vm {
    std::string name; ///< VM name.
    uint32_t controlId = 0; ///< Control VM id; 0 for entry VMs.
    std::string callerAddress; ///< Listener for callers.
    std::string operatorAddress; ///< Listener for operators and targets.
    std::string linkAddress; ///< Link listener.
    std::string relayAddress; ///< Relay listener.
    std::string publicKey; ///< CURVE public key.
    std::string secretKeyFile; ///< File with the CURVE secret key.
    std::string folder; ///< Holds its files.
    nlohmann::json settings; ///< Its settings.
    std::unique_ptr<Process> process; ///< The process.
    std::map<uint32_t, std::unique_ptr<FaultProxy>> links; ///< Proxies towards the control VMs, by id.

    std::string dataFolder() const { return this->folder + "/data"; } ///< Data folder of a control VM.
};

/** One target of a deployment. */
struct TargetPlace {
    std::string service; ///< Service.
    std::string address; ///< Where it listens.
    std::string announcedAddress; ///< Where entry VMs reach it.
    std::string availabilityZone; ///< Zone.
    std::string executionLog; ///< Its log of executions.
    size_t process = 0; ///< Position of its process.
    std::unique_ptr<FaultProxy> proxy; ///< Proxy in front of it, or null.
};

/** Folders, keys, settings and processes of one deployment. Everything ends with it. */
class Deployment {
public:
    explicit Deployment(DeploymentOptions options);
    ~Deployment();

    /** Starts all processes, forms the group and puts a manifest in force. Returns what failed; empty: nothing. */
    std::string start(const nlohmann::json& manifest);

    bool startControl(); ///< Starts the control VMs.
    bool startEntries(); ///< Starts the entry VMs.
    bool startTargets(); ///< Starts the targets.

    /** Runs kingcupctl against a VM with the operators' token. */
    CommandResult control(const Vm& vm, std::vector<std::string> command);

    /** Forms the control group. Returns whether it succeeded within the limit. */
    bool bootstrap(Milliseconds limit);

    /** Applies a manifest through a VM. */
    OperatorAnswer applyManifest(const Vm& vm, const nlohmann::json& manifest) const { return this->ask(vm.operatorAddress, "POST", "/v1/manifest", manifest.dump()); }

    /** Sends a request with the operators' token to an operator listener. */
    OperatorAnswer ask(const std::string& address, const std::string& method, const std::string& path, const std::string& body = {}) const;

    /** Returns the JSON that a VM gives for a path; null when it gives none. */
    nlohmann::json query(const Vm& vm, const std::string& path) const { return this->ask(vm.operatorAddress, "GET", path).body; }

    Vm* leader(); ///< The control VM that leads by its own word and runs, or null.
    Vm* waitLeader(Milliseconds limit); ///< Waits for a leader; null when the limit passed.
    uint64_t manifestInForce(const Vm& vm) const; ///< Manifest number in force on an entry VM; 0: none.
    bool ready(const Vm& vm) const; ///< Whether a VM reports itself ready.
    bool allTargetsKnown() const; ///< Whether all targets are serving in the table of each entry VM.
    bool waitReady(Milliseconds limit); ///< Waits until all entry VMs are ready.

    std::vector<Vm>& controlVms() { return this->controls; } ///< Control VMs, in the order of their ids.
    std::vector<Vm>& entryVms() { return this->entries; } ///< Entry VMs.
    std::vector<TargetPlace>& targets() { return this->places; } ///< Targets.
    Process& targetProcess(size_t target) { return *this->targetProcesses[this->places[target].process]; } ///< Process of a target.
    std::vector<std::string> callerAddresses() const; ///< Caller listeners of all entry VMs.

    nlohmann::json changeFaults(size_t target, const nlohmann::json& patch); ///< Changes faults of a target.
    FakeTargetStats targetStats(size_t target) const; ///< Counters of a target; zero when it does not answer.
    std::vector<Execution> executions() const; ///< Executions of all targets, also of killed ones.

    const std::string& folder() const { return this->files.path(); } ///< Holds all files.
    const std::string& operatorToken() const { return this->tokenOfOperators; } ///< Token of operators.
    const std::string& targetToken() const { return this->tokenOfTargets; } ///< Token of targets.
    const DeploymentOptions& plan() const { return this->options; } ///< Options.

    /** Proxies of the links of a VM. */
    struct VmLinks {
        std::vector<FaultProxy*> outward; ///< From this VM to control VMs.
        std::vector<FaultProxy*> inward; ///< From other VMs to this one; none for entry VMs.
    };

    VmLinks linksOf(Vm& vm); ///< Returns the proxies of all links of a VM; needs proxyLinks.
    nlohmann::json ownStatus(const Vm& vm) const; ///< Returns what a control VM says of itself, without asking the leader; an empty object when it does not answer.
    void partition(Vm& vm, ProxyMode mode); ///< Sets the mode of all links from and to a VM; needs proxyLinks.
    bool restart(Vm& vm); ///< Starts a process that has ended, with its present settings.
    void writeSettings(const Vm& vm) const; ///< Writes the settings file again.
    std::string logs() const; ///< Last lines of all logs, for messages of failed tests.

private:
    void planVms();
    void planTargets();
    void makeLinks(Vm& vm);
    nlohmann::json settingsOf(const Vm& vm, size_t position) const;
    nlohmann::json controlAddresses(const Vm& vm) const;
    nlohmann::json targetJson(size_t target) const;
    bool startVm(Vm& vm);

    DeploymentOptions options; ///< Options.
    ScratchFolder files; ///< Holds all files.
    AddressPool addresses; ///< Free addresses.
    std::string tokenOfOperators; ///< Token of operators.
    std::string tokenOfTargets; ///< Token of targets.
    std::vector<Vm> controls; ///< Control VMs.
    std::vector<Vm> entries; ///< Entry VMs.
    std::vector<TargetPlace> places; ///< Targets.
    std::vector<std::unique_ptr<Process>> targetProcesses; ///< Processes of the targets.
};

} // namespace kingcup::testing
