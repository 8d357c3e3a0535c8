/** @file AddedLatencyBench.cpp Latency that one entry VM adds to calls, against direct calls of the same targets, at rates up to saturation. */
#include "BenchDeployment.h"

#include <algorithm>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr double targetAddedP99Ms = 1.2; ///< The stated target for added latency at the 99th percentile.
constexpr Milliseconds runLength { 4000 };
constexpr uint32_t callerThreads = 48;
constexpr double serviceTimeMs = 2;

/** Runs reads at a rate against some addresses. */
LoadSummary run(const std::vector<std::string>& addresses, double rate, const std::string& prefix, bool keyedPosts)
{
    CallTemplate call;
    call.name = keyedPosts ? "post" : "read";
    call.method = keyedPosts ? "POST" : "GET";
    call.path = "/matters/balance";
    call.repeatable = !keyedPosts;
    call.keyed = keyedPosts;
    call.requestBytes = keyedPosts ? 200 : 0;
    LoadOptions options;
    options.addresses = addresses;
    options.mix = { call };
    options.callsPerSecond = rate;
    options.duration = runLength;
    options.threads = callerThreads;
    options.idPrefix = prefix;
    LoadGenerator load(options);
    load.start();
    load.join();
    return summarise(load.records());
}

/** Returns the addresses of the targets. */
std::vector<std::string> targetAddresses(Deployment& deployment)
{
    std::vector<std::string> addresses;
    for (const TargetPlace& target : deployment.targets())
        addresses.push_back(target.address);
    return addresses;
}

} // namespace

int main()
{
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    std::vector<ServiceLayout> services = { { "matters", 8, 64 } };
    DeploymentOptions options = benchOptions(1, services);
    options.targetsPerProcess = 2;
    options.targetFaults = { { "latencyMedianMs", serviceTimeMs }, { "latencySigma", 0.1 } };
    Deployment deployment(options);
    if (!startOrExplain(deployment, makeManifest(1, services)))
        return 1;
    std::printf("One entry VM, 8 targets of 64 slots, service time %.0f ms, %u callers with kept connections, %.0f s a row.\n", serviceTimeMs, callerThreads, runLength.count() / 1000);
    std::printf("Added: difference of the percentiles to direct calls in the row before; target at p99: %.1f ms.\n\n", targetAddedP99Ms);
    std::printf("%-7s %8s | %9s %9s | %9s %9s | %9s %9s | %9s %10s\n", "kind", "calls/s", "direct50", "direct99", "entry50", "entry99", "added50", "added99", "answered", "calls/core");
    run(deployment.callerAddresses(), 200, "warm", false);
    for (bool keyed : { false, true }) {
        for (double rate : { 250.0, 1000.0, 2000.0, 4000.0, 8000.0 }) {
            if (keyed && rate > 1000)
                break;
            std::string label = std::to_string(static_cast<int>(rate)) + (keyed ? "k" : "r");
            LoadSummary direct = run(targetAddresses(deployment), rate, "direct" + label, keyed);
            double cpuBefore = processUsage(deployment.entryVms()[0].process->pid()).cpuSeconds;
            LoadSummary entry = run(deployment.callerAddresses(), rate, "entry" + label, keyed);
            double cpu = processUsage(deployment.entryVms()[0].process->pid()).cpuSeconds - cpuBefore;
            std::printf("%-7s %8.0f | %9.2f %9.2f | %9.2f %9.2f | %9.2f %9.2f | %8.2f%% %10.0f\n", keyed ? "post" : "read", rate, direct.p50Ms, direct.p99Ms, entry.p50Ms, entry.p99Ms,
                entry.p50Ms - direct.p50Ms, entry.p99Ms - direct.p99Ms, 100.0 * static_cast<double>(entry.answered) / static_cast<double>(std::max<uint64_t>(1, entry.calls)), static_cast<double>(entry.calls) / cpu);
        }
    }
    return 0;
}
