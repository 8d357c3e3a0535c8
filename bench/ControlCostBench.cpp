/** @file ControlCostBench.cpp Cost of control on entry VMs at rest and under change, time to put changes in force, and time without a leader. */
#include "BenchDeployment.h"

#include <algorithm>
#include <cstdlib>
#include <thread>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr uint32_t defaultEntryVms = 17;
constexpr Milliseconds restLength { 8000 };
constexpr int quietChanges = 60;
constexpr int changesUnderFaults = 200;
constexpr int changesPerEntryKill = 20; ///< An entry VM is killed and started again before every so many changes.
constexpr int changesPerLeaderKill = 50; ///< The leader is killed and started again before every so many changes.
constexpr Milliseconds pauseBetweenChanges { 100 };
constexpr int leaderKills = 5;
constexpr Milliseconds limit { 20000 };
constexpr double inForceTargetMs = 5000; ///< The stated target.
constexpr double cpuTargetPercent = 2.2; ///< Of a core.
constexpr double memoryTargetMb = 32;
constexpr double bytesTargetPerSecond = 4096;

/** What control cost one process so far. */
struct ControlCost {
    ProcessUsage usage; ///< Processor time and memory.
    double linkBytes = 0; ///< Sent and received on links.
};

ControlCost costOf(const Deployment& deployment, const Vm& vm)
{
    nlohmann::json dump = deployment.query(vm, "/v1/dump");
    double bytes = dump["links"]["sentBytes"].get<double>() + dump["links"]["receivedBytes"].get<double>();
    return { processUsage(vm.process->pid()), bytes };
}

std::vector<ControlCost> costs(const Deployment& deployment, const std::vector<Vm>& vms)
{
    std::vector<ControlCost> result;
    result.reserve(vms.size());
    for (const Vm& vm : vms)
        result.push_back(costOf(deployment, vm));
    return result;
}

/** Prints the mean and the largest cost of a group of VMs over a time. */
void printCosts(const char* name, const std::vector<ControlCost>& before, const std::vector<ControlCost>& after, double seconds)
{
    std::vector<double> cpu;
    std::vector<double> bytes;
    double memory = 0;
    for (size_t vm = 0; vm < before.size(); vm++) {
        cpu.push_back(100 * (after[vm].usage.cpuSeconds - before[vm].usage.cpuSeconds) / seconds);
        bytes.push_back((after[vm].linkBytes - before[vm].linkBytes) / seconds);
        memory = std::max(memory, after[vm].usage.residentMb);
    }
    std::printf("%-32s %8.2f%% %8.2f%% %9.0f B/s %9.0f B/s %8.1f MB\n", name, percentile(cpu, 0.5), percentile(cpu, 1), percentile(bytes, 0.5), percentile(bytes, 1), memory);
}

/** Returns whether every entry VM has a manifest number in force. */
bool inForceEverywhere(const Deployment& deployment, const std::vector<Vm>& vms, uint64_t number)
{
    return std::all_of(vms.begin(), vms.end(), [&](const Vm& vm) { return deployment.manifestInForce(vm) >= number; });
}

/** Times of a run of changes. */
struct ChangeTimes {
    std::vector<double> acceptedMs; ///< Until the operator had the answer.
    std::vector<double> inForceMs; ///< Until all entry VMs had it in force.
    uint64_t lastNumber = 1; ///< Number of the newest manifest.
};

/** Kills a process and starts it again. */
void bounce(Deployment& deployment, Vm& vm)
{
    vm.process->kill();
    deployment.restart(vm);
}

/** Applies one change, resending it until it is accepted, and waits until it is in force on all entry VMs. */
void applyChange(Deployment& deployment, const std::vector<ServiceLayout>& services, ChangeTimes& times)
{
    uint64_t number = ++times.lastNumber;
    nlohmann::json manifest = makeManifest(number, services);
    manifest["services"][number % services.size()]["kinds"][0]["deadlineMs"] = 1000 + number;
    const std::vector<Vm>& vms = deployment.entryVms();
    TimePoint start = MillisecondClock::now();
    waitUntil(limit, [&] { return deployment.applyManifest(vms[number % vms.size()], manifest).code() == 0; });
    times.acceptedMs.push_back((MillisecondClock::now() - start).count());
    waitUntil(limit, [&] { return inForceEverywhere(deployment, vms, number); });
    times.inForceMs.push_back((MillisecondClock::now() - start).count());
    std::this_thread::sleep_for(pauseBetweenChanges);
}

void printTimes(const char* name, const ChangeTimes& times)
{
    std::printf("%-22s %4zu changes: accepted after p50 %.1f ms, p99 %.1f ms; seen in force everywhere after p50 %.1f ms, p99 %.1f ms, most %.1f ms (target %.0f ms)\n", name, times.inForceMs.size(),
        percentile(times.acceptedMs, 0.5), percentile(times.acceptedMs, 0.99), percentile(times.inForceMs, 0.5), percentile(times.inForceMs, 0.99), percentile(times.inForceMs, 1), inForceTargetMs);
}

/** Applies changes while entry VMs and leaders are killed and started again. */
ChangeTimes changeUnderFaults(Deployment& deployment, const std::vector<ServiceLayout>& services, uint64_t lastNumber)
{
    ChangeTimes times;
    times.lastNumber = lastNumber;
    for (int change = 1; change <= changesUnderFaults; change++) {
        if (change % changesPerEntryKill == 0)
            bounce(deployment, deployment.entryVms()[static_cast<size_t>(change) % deployment.entryVms().size()]);
        Vm* leader = change % changesPerLeaderKill == 0 ? deployment.waitLeader(limit) : nullptr;
        if (leader)
            bounce(deployment, *leader);
        applyChange(deployment, services, times);
    }
    return times;
}

/** Kills leaders and prints how long no other VM led. */
void measureLeaderKills(Deployment& deployment)
{
    std::vector<double> gaps;
    for (int kill = 0; kill < leaderKills; kill++) {
        Vm* leader = nullptr;
        waitUntil(limit, [&] { return (leader = deployment.leader()) != nullptr; });
        if (!leader)
            return;
        Vm* killed = leader;
        TimePoint start = MillisecondClock::now();
        killed->process->kill();
        waitUntil(limit, [&] { return deployment.leader() != nullptr; });
        gaps.push_back((MillisecondClock::now() - start).count());
        deployment.restart(*killed);
        waitUntil(limit, [&] { return deployment.query(*killed, "/v1/dump").is_object(); });
    }
    std::printf("%d leaders killed: a new one led after p50 %.0f ms, most %.0f ms\n", leaderKills, percentile(gaps, 0.5), percentile(gaps, 1));
}

} // namespace

int main(int argumentCount, char** arguments)
{
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    // Optional argument: number of entry VMs. Other numbers than the default measure only the cost at rest.
    uint32_t entryVms = argumentCount > 1 ? static_cast<uint32_t>(std::atoi(arguments[1])) : defaultEntryVms;
    // Optional second argument: multiplies the number of targets.
    uint32_t factor = argumentCount > 2 ? static_cast<uint32_t>(std::atoi(arguments[2])) : 1;
    std::vector<ServiceLayout> services = { { "matters", 13 * factor, 6 }, { "ledger", 8 * factor, 6 }, { "archive", 12 * factor, 6 } };
    Deployment deployment(benchOptions(entryVms, services));
    if (!startOrExplain(deployment, makeManifest(1, services)))
        return 1;
    std::printf("3 control VMs, %u entry VMs, %u targets that announce themselves every 500 ms. Targets: %.1f%% of a core, %.0f MB, %.0f B/s on a node.\n\n", entryVms, 33 * factor, cpuTargetPercent, memoryTargetMb, bytesTargetPerSecond);
    std::printf("%-32s %9s %9s %13s %13s %11s\n", "", "cpu p50", "cpu most", "links p50", "links most", "memory most");
    std::this_thread::sleep_for(restLength);
    std::vector<ControlCost> entryBefore = costs(deployment, deployment.entryVms());
    std::vector<ControlCost> controlBefore = costs(deployment, deployment.controlVms());
    std::this_thread::sleep_for(restLength);
    std::vector<ControlCost> entryRest = costs(deployment, deployment.entryVms());
    std::vector<ControlCost> controlRest = costs(deployment, deployment.controlVms());
    printCosts("entry VMs at rest", entryBefore, entryRest, restLength.count() / 1000);
    printCosts("control VMs at rest", controlBefore, controlRest, restLength.count() / 1000);
    if (entryVms != defaultEntryVms || factor != 1)
        return 0;
    TimePoint start = MillisecondClock::now();
    ChangeTimes quiet;
    for (int change = 0; change < quietChanges; change++)
        applyChange(deployment, services, quiet);
    double seconds = (MillisecondClock::now() - start).count() / 1000;
    printCosts("entry VMs under change", entryRest, costs(deployment, deployment.entryVms()), seconds);
    printCosts("control VMs under change", controlRest, costs(deployment, deployment.controlVms()), seconds);
    std::printf("under change: %.1f changes/s, with the benchmark's polling of dumps\n\n", quietChanges / seconds);
    printTimes("without faults", quiet);
    printTimes("under faults", changeUnderFaults(deployment, services, quiet.lastNumber));
    measureLeaderKills(deployment);
    return 0;
}
