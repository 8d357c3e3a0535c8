/** @file ControlCostBench.cpp Cost of control on entry VMs at rest and under change, time to put changes in force, and time without a leader. */
#include "BenchDeployment.h"

#include <algorithm>
#include <thread>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr uint32_t entryVmCount = 17;
constexpr Milliseconds restLength { 8000 };
constexpr int changes = 60;
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

/** Applies changes one after the other and prints how long each took until it was in force everywhere. */
void measureChanges(Deployment& deployment, const std::vector<ServiceLayout>& services)
{
    std::vector<double> accepted;
    std::vector<double> inForce;
    for (int change = 0; change < changes; change++) {
        uint64_t number = 2 + static_cast<uint64_t>(change);
        nlohmann::json manifest = makeManifest(number, services);
        manifest["services"][static_cast<size_t>(change) % services.size()]["kinds"][0]["deadlineMs"] = 1000 + change;
        TimePoint start = MillisecondClock::now();
        deployment.applyManifest(deployment.entryVms()[static_cast<size_t>(change) % entryVmCount], manifest);
        accepted.push_back((MillisecondClock::now() - start).count());
        waitUntil(limit, [&] { return inForceEverywhere(deployment, deployment.entryVms(), number); });
        inForce.push_back((MillisecondClock::now() - start).count());
        std::this_thread::sleep_for(pauseBetweenChanges);
    }
    std::printf("\n%d changes: accepted after p50 %.1f ms, p99 %.1f ms; seen in force on all %u entry VMs after p50 %.1f ms, p99 %.1f ms, most %.1f ms (target %.0f ms)\n", changes, percentile(accepted, 0.5),
        percentile(accepted, 0.99), entryVmCount, percentile(inForce, 0.5), percentile(inForce, 0.99), percentile(inForce, 1), inForceTargetMs);
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

int main()
{
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    std::vector<ServiceLayout> services = { { "matters", 13, 6 }, { "ledger", 8, 6 }, { "archive", 12, 6 } };
    Deployment deployment(benchOptions(entryVmCount, services));
    if (!startOrExplain(deployment, makeManifest(1, services)))
        return 1;
    std::printf("3 control VMs, %u entry VMs, 33 targets that announce themselves every 500 ms. Targets: %.1f%% of a core, %.0f MB, %.0f B/s on a node.\n\n", entryVmCount, cpuTargetPercent, memoryTargetMb, bytesTargetPerSecond);
    std::printf("%-32s %9s %9s %13s %13s %11s\n", "", "cpu p50", "cpu most", "links p50", "links most", "memory most");
    std::this_thread::sleep_for(restLength);
    std::vector<ControlCost> entryBefore = costs(deployment, deployment.entryVms());
    std::vector<ControlCost> controlBefore = costs(deployment, deployment.controlVms());
    std::this_thread::sleep_for(restLength);
    std::vector<ControlCost> entryRest = costs(deployment, deployment.entryVms());
    std::vector<ControlCost> controlRest = costs(deployment, deployment.controlVms());
    printCosts("entry VMs at rest", entryBefore, entryRest, restLength.count() / 1000);
    printCosts("control VMs at rest", controlBefore, controlRest, restLength.count() / 1000);
    TimePoint start = MillisecondClock::now();
    measureChanges(deployment, services);
    double seconds = (MillisecondClock::now() - start).count() / 1000;
    std::printf("%.1f changes/s over %.1f s, with the benchmark's polling of dumps:\n", changes / seconds, seconds);
    printCosts("entry VMs under change", entryRest, costs(deployment, deployment.entryVms()), seconds);
    printCosts("control VMs under change", controlRest, costs(deployment, deployment.controlVms()), seconds);
    measureLeaderKills(deployment);
    return 0;
}
