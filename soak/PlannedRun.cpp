/** @file PlannedRun.cpp Implementation of a run of planned work. */
#include "PlannedRun.h"

#include "ManifestWriter.h"

#include "testing/MachineTime.h"
#include "testing/Scenario.h"

#include <algorithm>
#include <csignal>
#include <set>

namespace kingcup::testing {

namespace {

constexpr Milliseconds startLimit { 20000 };
constexpr Milliseconds stopMargin { 3000 }; ///< Time beyond the grace period in which a process on a busy machine must have ended.
constexpr double longestPauseMs = 1500; ///< Between two actions on one VM.
constexpr double gracePeriodsSeconds[] = { 1.5, 3, 5 }; ///< Shorter and longer than the deadlines of calls.
constexpr double reloadShare = 0.4; ///< Reloads among the actions.
constexpr double signalMarginMs = 200; ///< A call that is due so long after the stop signal arrives after the process has received it.
constexpr int statusCutOff = 4; ///< Calls that were in flight at the signal did not end within the grace period.

/** Planned stop of an entry VM. */
struct PlannedStop {
    std::string address; ///< Listener for callers.
    double signalMs = 0; ///< Time of SIGTERM.
    double endMs = 0; ///< End of the process.
};

/** Stops, restarts and reloads processes until the end of a run, one thread for each entry VM and one for all control VMs. */
class PlannedWork {
public:
    PlannedWork(Deployment& deployment, uint64_t seed)
        : deployment(deployment)
    {
        for (Vm& vm : deployment.entryVms())
            this->threads.emplace_back([this, &vm, random = RandomSource(++seed)]() mutable { this->workOn(vm, random); });
        this->threads.emplace_back([this, random = RandomSource(++seed)]() mutable { this->restartControl(random); });
    }
    ~PlannedWork() { this->finish(); }

    /** Waits for the actions under way; afterwards all processes run. */
    void finish()
    {
        this->isFinishing = true;
        for (std::thread& thread : this->threads)
            thread.join();
        this->threads.clear();
    }

    std::vector<PlannedStop> stops() const { return this->plannedStops; } ///< Stops of entry VMs; after finish().
    std::string unexpectedEnds() const { return this->ends; } ///< Processes that did not end as told, one per line; after finish().

private:
    /** Waits for a random time. Returns false if the run ends. */
    bool pause(RandomSource& random)
    {
        Milliseconds length(random.fraction() * longestPauseMs);
        return !waitUntil(length, [this] { return this->isFinishing.load(); });
    }

    /** Reloads an entry VM or stops and restarts it, until the run ends. */
    void workOn(Vm& vm, RandomSource random)
    {
        while (this->pause(random)) {
            vm.settings["stopGracePeriodSeconds"] = gracePeriodsSeconds[random.below(std::size(gracePeriodsSeconds))];
            writeFile(vm.folder + "/settings.json", vm.settings.dump());
            vm.process->signal(SIGHUP);
            if (random.fraction() < reloadShare)
                continue;
            PlannedStop stop { vm.callerAddress, machineTimeMs(), 0 };
            this->stop(vm, Milliseconds(*std::max_element(std::begin(gracePeriodsSeconds), std::end(gracePeriodsSeconds)) * 1000));
            stop.endMs = machineTimeMs();
            {
                std::lock_guard lock(this->mutex);
                this->plannedStops.push_back(stop);
            }
            this->deployment.restart(vm);
            waitUntil(startLimit, [&] { return this->deployment.ready(vm); });
        }
    }

    /** Restarts one control VM after the other, until the run ends. */
    void restartControl(RandomSource random)
    {
        while (this->pause(random)) {
            Vm& vm = this->deployment.controlVms()[random.below(this->deployment.controlVms().size())];
            this->stop(vm, Milliseconds(0));
            this->deployment.restart(vm);
            // A process dies of a signal that comes before it has set up its handling.
            waitUntil(startLimit, [&] { return this->deployment.ready(vm) && this->deployment.leader(); });
        }
    }

    /** Stops a process and records when it does not end as it should. */
    void stop(Vm& vm, Milliseconds gracePeriod)
    {
        vm.process->signal(SIGTERM);
        std::optional<int> status = vm.process->wait(gracePeriod + stopMargin);
        if (status == 0 || status == statusCutOff)
            return;
        std::lock_guard lock(this->mutex);
        this->ends += vm.name + (status ? " ended with " + std::to_string(*status) : " does not end within its grace period") + "\n";
        if (!status)
            vm.process->kill();
    }

    Deployment& deployment;
    std::atomic<bool> isFinishing { false };
    std::mutex mutex; ///< Guards the members below.
    std::vector<PlannedStop> plannedStops;
    std::string ends;
    std::vector<std::thread> threads;
};

/** Returns the calls that planned work has harmed, one per line. */
std::string harmedCalls(const std::vector<CallRecord>& records, const std::set<std::string>& executedCalls, const std::vector<PlannedStop>& stops)
{
    std::string harmed;
    for (const CallRecord& record : records) {
        const CallerView& view = record.view;
        std::string call = view.callId + " to " + record.address;
        bool isUnanswered = view.status == 0 && record.result != "caller cannot connect";
        if (isUnanswered && executedCalls.contains(view.callId))
            harmed += call + " ran and was not answered: " + record.result + "\n";
        auto isDuring = [&](const PlannedStop& stop) { return stop.address == record.address && view.startMs > stop.signalMs + signalMarginMs && view.startMs < stop.endMs; };
        if (view.resultCode == static_cast<int>(ResultCode::StoppedAfterSend) && std::any_of(stops.begin(), stops.end(), isDuring))
            harmed += call + " arrived after the stop signal and was cut off\n";
    }
    return harmed;
}

/** Returns the options of a deployment whose targets take from a few milliseconds to seconds. */
DeploymentOptions plannedDeployment(const SoakPlan& plan)
{
    DeploymentOptions options;
    options.daemon = plan.daemon;
    options.controlTool = plan.controlTool;
    options.name = "planned";
    options.controlVms = plan.controlVms;
    options.entryVms = plan.entryVms;
    options.services = { { "ledger", plan.targets, 12 } };
    options.seed = plan.seed;
    options.settings = { { "stopNoticeMs", 400 }, { "stopGracePeriodSeconds", gracePeriodsSeconds[0] } };
    options.targetFaults = { { "latencyMedianMs", 250 }, { "latencySigma", 1.2 } };
    return options;
}

} // namespace

SoakResult runPlanned(const SoakPlan& plan)
{
    SoakResult result;
    Deployment deployment(plannedDeployment(plan));
    result.broken = startAll(deployment);
    if (!result.broken.empty())
        return result;
    LoadOptions keptOptions = loadOn(deployment, plan.callsPerSecond / 2, plan.duration, 1);
    keptOptions.idPrefix = "kept";
    keptOptions.threads = 96;
    LoadOptions newOptions = keptOptions;
    newOptions.idPrefix = "new";
    newOptions.reuseConnections = false;
    newOptions.seed = plan.seed + 1;
    LoadGenerator keptLoad(keptOptions);
    LoadGenerator newLoad(newOptions);
    {
        PlatformBalancer balancer(deployment, deployment.entryVms(), newLoad);
        ManifestWriter writer(deployment, deployment.entryVms());
        PlannedWork work(deployment, plan.seed);
        keptLoad.start();
        newLoad.start();
        keptLoad.join();
        newLoad.join();
        work.finish();
        writer.stop();
        result.manifest = writer.acknowledged();
        result.faults = work.stops().size();
        std::set<std::string> executedCalls;
        for (const Execution& execution : deployment.executions())
            executedCalls.insert(execution.callId);
        for (LoadGenerator* load : { &keptLoad, &newLoad })
            result.broken += harmedCalls(load->records(), executedCalls, work.stops());
        result.broken += work.unexpectedEnds();
        for (const PlannedStop& stop : work.stops())
            result.story += stop.address + " stopped at " + std::to_string(stop.signalMs) + " ms, ended at " + std::to_string(stop.endMs) + " ms\n";
    }
    for (LoadGenerator* load : { &keptLoad, &newLoad })
        result.broken += violationsAfter(deployment, *load);
    std::vector<CallRecord> records = keptLoad.records();
    std::vector<CallRecord> newRecords = newLoad.records();
    records.insert(records.end(), newRecords.begin(), newRecords.end());
    result.calls = summarise(records);
    if (!result.broken.empty())
        result.logs = deployment.logs();
    return result;
}

} // namespace kingcup::testing
