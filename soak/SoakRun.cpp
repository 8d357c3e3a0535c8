/** @file SoakRun.cpp Implementation of one run of the soak. */
#include "SoakRun.h"

#include "FaultInjector.h"
#include "ManifestWriter.h"

#include "testing/Scenario.h"

#include <algorithm>
#include <functional>
#include <map>

namespace kingcup::testing {

namespace {

constexpr Milliseconds recoveryLimit { 20000 }; ///< After the last repair; far above elections, leases and ejections.
constexpr Milliseconds checkDuration { 1000 }; ///< Of the calls that must all be answered afterwards.
constexpr uint32_t resends = 6;
constexpr Milliseconds resendDelay { 250 };
constexpr double postWeight = 2; ///< Keyed posts for each read.

/** Returns the deployment of a plan. */
DeploymentOptions deploymentOptions(const SoakPlan& plan)
{
    DeploymentOptions options;
    options.daemon = plan.daemon;
    options.controlTool = plan.controlTool;
    options.name = "soak";
    options.controlVms = plan.controlVms;
    options.entryVms = plan.entryVms;
    options.services = { { "ledger", plan.targets, 6 } };
    options.proxyLinks = true;
    options.proxyTargets = true;
    options.seed = plan.seed;
    return options;
}

/** Returns calls of which a keyed one without a final answer is sent again. */
LoadOptions soakLoad(const Deployment& deployment, const SoakPlan& plan)
{
    LoadOptions options = loadOn(deployment, plan.callsPerSecond, plan.duration, postWeight);
    options.resends = resends;
    options.resendDelay = resendDelay;
    options.threads = 64;
    return options;
}

/** Returns a time in whole milliseconds, for the story. */
std::string wholeMs(Milliseconds time)
{
    return std::to_string(static_cast<int64_t>(time.count()));
}

/** Begins and repairs all faults of a series at their times. */
void runSeries(const std::vector<Fault>& series, FaultInjector& injector, SoakResult& result)
{
    TimePoint start = MillisecondClock::now();
    auto elapsed = [&] { return wholeMs(MillisecondClock::now() - start); };
    auto sleepUntil = [&](Milliseconds time) { waitUntil(time - (MillisecondClock::now() - start), [] { return false; }); };
    std::multimap<Milliseconds, std::function<void()>> repairs;
    auto repairUntil = [&](Milliseconds time) {
        while (!repairs.empty() && repairs.begin()->first <= time) {
            Milliseconds due = repairs.begin()->first;
            sleepUntil(due);
            std::function<void()> repair = repairs.begin()->second;
            repairs.erase(repairs.begin());
            repair();
            result.story += elapsed() + ": repair due at " + wholeMs(due) + "\n";
        }
    };
    for (const Fault& fault : series) {
        repairUntil(fault.start);
        sleepUntil(fault.start);
        size_t before = injector.struck().size();
        std::string begun = elapsed();
        std::function<void()> repair = injector.strike(fault);
        if (!repair)
            continue;
        repairs.emplace(fault.start + fault.length, std::move(repair));
        result.faults++;
        result.story += begun + ": " + describeFault(fault);
        for (size_t i = before; i < injector.struck().size(); ++i)
            result.story += " " + injector.struck()[i];
        result.story += "\n";
    }
    repairUntil(Milliseconds::max());
}

/** Returns the faults of a plan in the order of their start. */
std::vector<Fault> seriesOf(const SoakPlan& plan)
{
    constexpr double partitionShare = 0.25; ///< Partitions from targets for each other fault.
    constexpr double fullDiskShare = 0.25; ///< Full disks for each other fault.
    std::vector<Fault> series = drawFaults(plan.seed, plan.duration, plan.faultsPerSecond);
    std::vector<Fault> partitions = drawPartitions(plan.seed, plan.duration, plan.faultsPerSecond * partitionShare);
    std::vector<Fault> fullDisks = drawFullDisks(plan.seed, plan.duration, plan.faultsPerSecond * fullDiskShare);
    series.insert(series.end(), partitions.begin(), partitions.end());
    series.insert(series.end(), fullDisks.begin(), fullDisks.end());
    std::stable_sort(series.begin(), series.end(), [](const Fault& a, const Fault& b) { return a.start < b.start; });
    return series;
}

/** Returns whether a short load is answered without exception. */
bool servesAll(const Deployment& deployment, const SoakPlan& plan, uint32_t number)
{
    LoadOptions options = loadOn(deployment, plan.callsPerSecond, checkDuration, postWeight);
    options.idPrefix = "check-" + std::to_string(number);
    LoadGenerator load(options);
    load.start();
    load.join();
    LoadSummary summary = summarise(load.records());
    return summary.calls > 0 && summary.answered == summary.calls;
}

/** Returns what does not work again after the last repair, one per line. */
std::string brokenAfterwards(Deployment& deployment, const SoakPlan& plan, uint64_t acknowledged)
{
    if (!waitUntil(recoveryLimit, [&] { return deployment.leader() && deployment.allTargetsKnown(); }))
        return "no leader, or targets stay unknown, after the last repair\n";
    auto holdsAll = [&] {
        for (const Vm& vm : deployment.entryVms()) {
            if (!deployment.ready(vm) || deployment.manifestInForce(vm) < acknowledged)
                return false;
        }
        return true;
    };
    if (!waitUntil(recoveryLimit, holdsAll))
        return "an entry VM is not ready, or lacks manifest " + std::to_string(acknowledged) + " that was acknowledged\n";
    uint32_t number = 0;
    if (!waitUntil(recoveryLimit, [&] { return servesAll(deployment, plan, ++number); }))
        return "calls fail long after the last repair\n";
    return "";
}

} // namespace

SoakResult runSoak(const SoakPlan& plan)
{
    SoakResult result;
    ScratchFolder partitions;
    std::string partitionPrefix = partitions.path() + "/partition";
    ScopedEnvironment environment("KINGCUP_PARTITION_FILE", partitionPrefix);
    FullDisks fullDisks;
    Deployment deployment(deploymentOptions(plan));
    result.broken = startAll(deployment);
    if (!result.broken.empty())
        return result;
    ConfigurationObserver observer(deployment, deployment.entryVms());
    FaultInjector injector(deployment, partitionPrefix);
    LoadGenerator load(soakLoad(deployment, plan));
    {
        PlatformBalancer balancer(deployment, deployment.entryVms(), load);
        ManifestWriter writer(deployment, deployment.entryVms());
        load.start();
        runSeries(seriesOf(plan), injector, result);
        load.join();
        writer.stop();
        result.manifest = writer.acknowledged();
    }
    result.broken += injector.finish(recoveryLimit);
    result.broken += brokenAfterwards(deployment, plan, result.manifest);
    observer.stop();
    result.broken += violationsAfter(deployment, load, &observer);
    result.broken += injector.unexplainedEnds();
    result.calls = summarise(load.records());
    if (!result.broken.empty())
        result.logs = deployment.logs();
    return result;
}

} // namespace kingcup::testing
