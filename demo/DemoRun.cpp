/** @file DemoRun.cpp Runs one example deployment under load with one fault. */
#include "demo/DemoRun.h"

#include "testing/MachineTime.h"
#include "testing/Scenario.h"

#include <csignal>
#include <memory>

namespace kingcup::testing {

namespace {

constexpr Milliseconds directDuration { 2000 };
constexpr Milliseconds loadDuration { 8000 };
constexpr Milliseconds faultTime { 3000 }; ///< From the start of the load.
constexpr Milliseconds leaderLimit { 5000 };
constexpr uint32_t keyResends = 5; ///< Resends of a keyed call whose outcome is open.
constexpr Milliseconds keyResendDelay { 300 };

using Proxies = std::vector<std::unique_ptr<FaultProxy>>;

/** Puts the latency of distant callers in front of addresses. */
std::vector<std::string> delayed(const std::vector<std::string>& servers, Milliseconds delay, AddressPool& addresses, Proxies& proxies)
{
    std::vector<std::string> result;
    for (const std::string& server : servers) {
        auto proxy = std::make_unique<FaultProxy>(addresses.next(), server);
        proxy->setDelay(delay);
        proxy->start();
        result.push_back(proxy->address());
        proxies.push_back(std::move(proxy));
    }
    return result;
}

/** Returns the options that all loads of a plan share. */
LoadOptions loadOptions(const DemoPlan& plan, const std::string& prefix)
{
    LoadOptions options;
    options.seed = plan.deployment.seed;
    options.idPrefix = prefix;
    options.resends = keyResends;
    options.resendDelay = keyResendDelay;
    options.threads = 64;
    options.timeout = Milliseconds(10000);
    return options;
}

/** Sends the calls of each service straight to its targets. */
std::vector<CallRecord> runDirect(const DemoPlan& plan, Deployment& deployment, AddressPool& addresses)
{
    std::vector<CallRecord> records;
    Proxies proxies;
    std::vector<std::unique_ptr<LoadGenerator>> loads;
    double totalWeight = 0;
    for (const CallTemplate& kind : plan.mix)
        totalWeight += kind.weight;
    for (size_t index = 0; index < plan.mix.size(); ++index) {
        LoadOptions options = loadOptions(plan, "direct-" + std::to_string(index));
        std::vector<std::string> servers;
        for (const TargetPlace& place : deployment.targets()) {
            if (plan.mix[index].path.starts_with("/" + place.service + "/"))
                servers.push_back(place.address);
        }
        options.addresses = delayed(servers, plan.clientDelay, addresses, proxies);
        options.mix = { plan.mix[index] };
        options.callsPerSecond = plan.callsPerSecond * plan.mix[index].weight / totalWeight;
        options.duration = directDuration;
        options.threads = 24;
        loads.push_back(std::make_unique<LoadGenerator>(options));
        loads.back()->start();
    }
    for (size_t index = 0; index < loads.size(); ++index) {
        loads[index]->join();
        for (CallRecord& record : loads[index]->records()) {
            record.templateIndex = index;
            records.push_back(record);
        }
    }
    return records;
}

/** Kills the leader of the control group and the first target. Returns what was killed. */
std::string injectFault(Deployment& deployment)
{
    Vm* leader = deployment.waitLeader(leaderLimit);
    std::string text = "no leader found";
    if (leader) {
        leader->process->kill();
        text = "killed the leader " + leader->name;
    }
    deployment.targetProcess(0).kill();
    return text + " and target " + deployment.targets()[0].address + " (" + deployment.targets()[0].service + ")";
}

/** Sends the load through the entry VMs, with the fault in its middle. */
void runLoad(const DemoPlan& plan, Deployment& deployment, AddressPool& addresses, DemoResult& result)
{
    Proxies proxies;
    LoadOptions options = loadOptions(plan, "call");
    options.addresses = delayed(deployment.callerAddresses(), plan.clientDelay, addresses, proxies);
    options.mix = plan.mix;
    options.callsPerSecond = plan.callsPerSecond;
    options.duration = loadDuration;
    LoadGenerator load(options);
    double started = machineTimeMs();
    load.start();
    waitUntil(faultTime, [] { return false; });
    result.faultMs = machineTimeMs();
    result.fault = injectFault(deployment) + " after " + std::to_string(static_cast<int>(result.faultMs - started)) + " ms";
    load.join();
    result.seconds = (machineTimeMs() - started) / 1000;
    result.calls = load.records();
}

/** Returns the probes that each target has counted; 0 for a target that does not run. */
std::vector<uint64_t> countProbes(Deployment& deployment)
{
    std::vector<uint64_t> probes;
    for (size_t target = 0; target < deployment.targets().size(); ++target)
        probes.push_back(deployment.targetStats(target).probes);
    return probes;
}

} // namespace

DemoResult runDemo(const DemoPlan& plan)
{
    DemoResult result;
    AddressPool addresses;
    Deployment deployment(plan.deployment);
    result.failure = startAll(deployment);
    if (!result.failure.empty())
        return result;
    result.directCalls = runDirect(plan, deployment, addresses);
    std::vector<uint64_t> before = countProbes(deployment);
    runLoad(plan, deployment, addresses, result);
    std::vector<uint64_t> after = countProbes(deployment);
    for (size_t target = 0; target < after.size(); ++target) {
        if (deployment.targetProcess(target).running())
            result.probes.push_back(after[target] - before[target]);
    }

    History history;
    for (const auto* records : { &result.calls, &result.directCalls }) {
        for (const CallRecord& record : *records)
            history.calls.push_back(record.view);
    }
    history.executions = deployment.executions();
    result.violations = checkHistory(history);
    return result;
}

} // namespace kingcup::testing
