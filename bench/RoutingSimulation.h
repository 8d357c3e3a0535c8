/** @file RoutingSimulation.h Discrete-event driver around the real routers of all entry VMs of one service. */
#pragma once

#include "kingcup/ProbeBudget.h"
#include "kingcup/Router.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace kingcup::bench {

/** One simulated service and what happens to it. */
struct Scenario {
    uint32_t targets = 13; ///< Targets over three availability zones.
    uint32_t slots = 6; ///< Requests that one target serves at a time.
    uint32_t vms = 17; ///< Entry VMs over three availability zones.
    double utilisation = 0.6; ///< Mean offered load as a share of all slots.
    double seconds = 8; ///< Simulated time; the first second is not counted.
    double probesPerSecond = 1; ///< Per target, over all VMs.
    bool stragglers = false; ///< Targets become slower for seconds, two of them at most times.
    bool failFast = false; ///< One target fails every request at once for some seconds.
    bool coldStart = false; ///< Two targets restart and are slow at first.
    bool misleading = false; ///< Stragglers report that they are idle and quick.
    bool reportsOnAnswers = true; ///< Whether answers carry the load header.
};

/** What the callers saw. */
struct Outcome {
    double p50 = 0; ///< Milliseconds.
    double p99 = 0; ///< Milliseconds.
    double errorShare = 0; ///< Failed or timed-out calls as a share of all.
    double crossZoneShare = 0; ///< Calls that left the zone as a share of all.
    uint64_t calls = 0; ///< Counted calls.
    uint64_t probes = 0; ///< Granted probes.
};

/** Runs one scenario with one policy and one seed. */
class RoutingSimulation {
public:
    RoutingSimulation(const Scenario& scenario, RoutingPolicy policy, uint64_t seed)
        : scenario(scenario)
        , random(seed)
        , targets(scenario.targets)
    {
        this->service.name = "bench";
        this->service.measuringBudget.probesPerSecondPerTarget = scenario.probesPerSecond;
        this->service.measuringBudget.bytesPerSecondPerVm = 1e9; // Only the probe rate is to bound the probes.
        for (uint32_t i = 0; i < scenario.targets; ++i)
            this->targets[i].zone = i % zones;
        for (uint32_t i = 0; i < scenario.vms; ++i)
            this->addVm(i, policy, seed);
    }

    /** Runs to the end and returns what the callers saw. */
    Outcome run()
    {
        this->publishTargets();
        for (uint32_t vm = 0; vm < this->vms.size(); ++vm) {
            this->scheduleArrival(vm);
            this->after(this->random.fraction() * probeIntervalMs, [this, vm] { this->probeTick(vm); });
        }
        this->scheduleFaults();
        double endMs = this->scenario.seconds * 1000;
        while (!this->events.empty() && this->events.top().timeMs <= endMs) {
            Event event = this->events.top();
            this->events.pop();
            this->timeOutUntil(event.timeMs);
            this->nowMs = event.timeMs;
            event.action();
        }
        return this->summary();
    }

private:
    static constexpr uint32_t zones = 3;
    static constexpr double zoneLatencyMs = 0.5; ///< One way between zones.
    static constexpr double localLatencyMs = 0.05; ///< One way within a zone.
    static constexpr double meanServiceMs = 5;
    static constexpr double serviceSigma = 0.8; ///< Of the lognormal service time.
    static constexpr double rareSlowShare = 0.005; ///< Requests that need ten times as long.
    static constexpr double deadlineMs = 1000;
    static constexpr double probeIntervalMs = 10;
    static constexpr double probeServiceMs = 6;
    static constexpr double loadRefreshMs = 5; ///< A target computes the load that it reports this often.
    static constexpr double warmUpMs = 1000;
    static constexpr size_t longestQueue = 64; ///< A target sheds what goes beyond.

    /** A call or a probe on its way. */
    struct Call {
        uint32_t vm = 0; ///< Entry VM.
        uint32_t target = 0; ///< Index of the target.
        Pick pick; ///< From the router; no ticket for a probe.
        double startMs = 0; ///< When it left the VM.
        double serviceMs = 0; ///< Work at a target of normal speed.
        bool probe = false; ///< Measuring only.
        bool done = false; ///< The VM has its answer or has given up.
        uint64_t incarnation = 0; ///< Of the target when it arrived there.
    };
    using CallPointer = std::shared_ptr<Call>;

    /** State of a target. */
    struct Target {
        uint32_t zone = 0; ///< Availability zone.
        uint64_t incarnation = 1; ///< Grows with each restart.
        bool up = true; ///< Takes work.
        bool failing = false; ///< Fails at once.
        double slowness = 1; ///< Factor on service times.
        double startedMs = neverStarted; ///< Start of the present incarnation.
        uint32_t busy = 0; ///< Slots in use.
        std::deque<CallPointer> queue; ///< Waiting for a slot.
        double latencyMs = meanServiceMs; ///< Its own estimate.
        LoadReport snapshot; ///< What it reports.
        double snapshotMs = 0; ///< When that was computed.
    };

    /** One entry VM. */
    struct Vm {
        uint32_t zone = 0; ///< Availability zone.
        std::unique_ptr<Router> router; ///< The class under test.
        std::unique_ptr<ProbeBudget> budget; ///< Its probe budget.
    };

    /** Something that happens. */
    struct Event {
        double timeMs; ///< When.
        uint64_t order; ///< Ties are resolved in order of scheduling.
        std::function<void()> action; ///< What.
        bool operator<(const Event& other) const
        {
            return this->timeMs != other.timeMs ? this->timeMs > other.timeMs : this->order > other.order;
        }
    };

    static constexpr double neverStarted = -1e9;

    void after(double delayMs, std::function<void()> action)
    {
        this->events.push({ this->nowMs + delayMs, this->scheduled++, std::move(action) });
    }

    void addVm(uint32_t index, RoutingPolicy policy, uint64_t seed)
    {
        Vm vm;
        vm.zone = index % zones;
        RandomSource source(seed * 1000 + index);
        vm.router = std::make_unique<Router>(policy, "entry-" + std::to_string(index), zoneName(vm.zone), source);
        vm.budget = std::make_unique<ProbeBudget>(this->service.measuringBudget, this->scenario.vms);
        vm.budget->setLiveVms(this->scenario.vms, Milliseconds(0), timeAt(0));
        this->vms.push_back(std::move(vm));
    }

    static std::string zoneName(uint32_t zone) { return "zone-" + std::to_string(zone); }
    static std::string addressOf(uint32_t target) { return "10.0.0." + std::to_string(target) + ":80"; }

    void publishTargets()
    {
        std::vector<wire::TargetRecord> records;
        for (uint32_t i = 0; i < this->targets.size(); ++i) {
            wire::TargetRecord record;
            record.set_address(addressOf(i));
            record.set_availability_zone(zoneName(this->targets[i].zone));
            record.set_slots(this->scenario.slots);
            record.set_incarnation(this->targets[i].incarnation);
            record.set_state(this->targets[i].up ? wire::TARGET_SERVING : wire::TARGET_DRAINING);
            records.push_back(record);
        }
        for (Vm& vm : this->vms)
            vm.router->update(this->service, records, timeAt(this->nowMs));
    }

    double exponential(double mean) { return -std::log(1 - this->random.fraction()) * mean; }

    double normal()
    {
        double radius = std::sqrt(-2 * std::log(1 - this->random.fraction()));
        return radius * std::cos(6.283185307179586 * this->random.fraction());
    }

    double serviceTime()
    {
        double mu = std::log(meanServiceMs) - serviceSigma * serviceSigma / 2;
        double time = std::exp(mu + serviceSigma * this->normal());
        return this->random.fraction() < rareSlowShare ? time * 10 : time;
    }

    /** Returns the factor on the arrival rate: every half second there is a burst of 50 ms. */
    double burst() const { return std::fmod(this->nowMs, 500) < 50 ? 1.5 : 0.95; }

    void scheduleArrival(uint32_t vm)
    {
        double slots = static_cast<double>(this->scenario.targets) * this->scenario.slots;
        double perMs = slots * this->scenario.utilisation / meanServiceMs / static_cast<double>(this->vms.size());
        this->after(this->exponential(1 / (perMs * this->burst())), [this, vm] {
            this->scheduleArrival(vm);
            this->send(vm);
        });
    }

    double latencyBetween(const Vm& vm, const Target& target) const
    {
        return vm.zone == target.zone ? localLatencyMs : zoneLatencyMs;
    }

    void send(uint32_t vm)
    {
        auto call = std::make_shared<Call>();
        call->vm = vm;
        call->startMs = this->nowMs;
        call->serviceMs = this->serviceTime();
        std::optional<Pick> pick = this->vms[vm].router->pick({}, timeAt(this->nowMs));
        if (!pick) {
            this->record(*call, true);
            return;
        }
        call->pick = *pick;
        call->target = indexOf(pick->address);
        this->inTime.push_back(call);
        this->travel(call);
    }

    static uint32_t indexOf(const std::string& address)
    {
        return static_cast<uint32_t>(std::stoul(address.substr(address.rfind('.') + 1)));
    }

    void travel(const CallPointer& call)
    {
        double oneWay = this->latencyBetween(this->vms[call->vm], this->targets[call->target]);
        this->after(oneWay, [this, call] { this->arrive(call); });
    }

    void arrive(const CallPointer& call)
    {
        Target& target = this->targets[call->target];
        call->incarnation = target.incarnation;
        if (target.failing && !call->probe)
            return this->answer(call, AttemptOutcome::ServerError, 0.3);
        if (target.queue.size() >= longestQueue)
            return this->answer(call, AttemptOutcome::ServerError, 0.3);
        target.queue.push_back(call);
        this->serveNext(call->target);
    }

    void serveNext(uint32_t index)
    {
        Target& target = this->targets[index];
        while (target.busy < this->scenario.slots && !target.queue.empty()) {
            CallPointer call = target.queue.front();
            target.queue.pop_front();
            ++target.busy;
            double time = call->serviceMs * target.slowness * this->coldness(target);
            this->after(time, [this, call, index] { this->served(call, index); });
        }
    }

    /** Returns the factor on service times after a start: six at first, normal after two seconds. */
    double coldness(const Target& target) const
    {
        double age = this->nowMs - target.startedMs;
        return age < 2000 ? 6 - 5 * age / 2000 : 1;
    }

    void served(const CallPointer& call, uint32_t index)
    {
        Target& target = this->targets[index];
        --target.busy;
        if (!call->probe)
            target.latencyMs += 0.1 * (this->nowMs - call->startMs - target.latencyMs);
        this->answer(call, AttemptOutcome::Answered, 0);
        this->serveNext(index);
    }

    void answer(const CallPointer& call, AttemptOutcome outcome, double delayMs)
    {
        Target& target = this->targets[call->target];
        if (this->nowMs - target.snapshotMs >= loadRefreshMs) {
            target.snapshot.inFlight = target.busy + static_cast<uint32_t>(target.queue.size());
            target.snapshot.slots = this->scenario.slots;
            target.snapshot.latencyMs = target.latencyMs;
            target.snapshotMs = this->nowMs;
        }
        LoadReport load = target.snapshot;
        if (this->scenario.misleading && target.slowness > 1)
            load = { 0, this->scenario.slots, 1 };
        double oneWay = this->latencyBetween(this->vms[call->vm], target);
        this->after(delayMs + oneWay, [this, call, outcome, load] { this->received(call, outcome, load); });
    }

    void received(const CallPointer& call, AttemptOutcome outcome, const LoadReport& load)
    {
        if (call->done)
            return;
        call->done = true;
        Vm& vm = this->vms[call->vm];
        // The VM cannot know how old the target's figures are; it only knows its own round trip.
        Milliseconds age(this->latencyBetween(vm, this->targets[call->target]));
        if (call->probe || this->scenario.reportsOnAnswers)
            vm.router->recordReport(addressOf(call->target), load, age, timeAt(this->nowMs));
        if (call->probe)
            return;
        vm.router->finish(call->pick, outcome, Milliseconds(this->nowMs - call->startMs), timeAt(this->nowMs));
        this->record(*call, outcome != AttemptOutcome::Answered);
    }

    void timeOutUntil(double timeMs)
    {
        while (!this->inTime.empty() && this->inTime.front()->startMs + deadlineMs <= timeMs) {
            CallPointer call = this->inTime.front();
            this->inTime.pop_front();
            if (call->done)
                continue;
            call->done = true;
            TimePoint now = timeAt(call->startMs + deadlineMs);
            this->vms[call->vm].router->finish(call->pick, AttemptOutcome::TimedOut, Milliseconds(deadlineMs), now);
            this->record(*call, true);
        }
    }

    void record(const Call& call, bool error)
    {
        if (call.startMs < warmUpMs)
            return;
        this->errors += error;
        this->crossZone += this->vms[call.vm].zone != this->targets[call.target].zone;
        this->latencies.push_back(std::min(this->nowMs - call.startMs, deadlineMs));
    }

    void probeTick(uint32_t index)
    {
        constexpr size_t probeBytes = 300;
        this->after(probeIntervalMs, [this, index] { this->probeTick(index); });
        Vm& vm = this->vms[index];
        for (const std::string& address : vm.router->leastRecentlyReported(4, timeAt(this->nowMs))) {
            if (!vm.budget->takeProbe(address, probeBytes, timeAt(this->nowMs)))
                continue;
            auto call = std::make_shared<Call>();
            call->vm = index;
            call->target = indexOf(address);
            call->startMs = this->nowMs;
            call->serviceMs = probeServiceMs;
            call->probe = true;
            this->travel(call);
        }
    }

    void scheduleFaults()
    {
        if (this->scenario.stragglers) {
            this->straggle();
            this->straggle();
        }
        if (this->scenario.failFast)
            this->after(2000, [this] { this->failFor(3000); });
        if (this->scenario.coldStart) {
            this->after(2000, [this] { this->restart(0); });
            this->after(4500, [this] { this->restart(1); });
        }
    }

    /** Slows one target down for one to three seconds, then another. */
    void straggle()
    {
        size_t victim = this->random.below(this->targets.size());
        this->targets[victim].slowness = 8;
        this->after(1000 + 2000 * this->random.fraction(), [this, victim] {
            this->targets[victim].slowness = 1;
            this->straggle();
        });
    }

    void failFor(double durationMs)
    {
        Target& target = this->targets.back();
        target.failing = true;
        this->after(durationMs, [&target] { target.failing = false; });
    }

    /** Drains a target and brings it back cold half a second later. */
    void restart(size_t index)
    {
        this->targets[index].up = false;
        this->publishTargets();
        this->after(500, [this, index] {
            Target& target = this->targets[index];
            target.up = true;
            ++target.incarnation;
            target.startedMs = this->nowMs;
            this->publishTargets();
        });
    }

    Outcome summary()
    {
        Outcome outcome;
        outcome.calls = this->latencies.size();
        if (this->latencies.empty())
            return outcome;
        std::sort(this->latencies.begin(), this->latencies.end());
        auto count = static_cast<double>(this->latencies.size());
        outcome.p50 = this->latencies[static_cast<size_t>(0.5 * count)];
        outcome.p99 = this->latencies[static_cast<size_t>(0.99 * count)];
        outcome.errorShare = static_cast<double>(this->errors) / count;
        outcome.crossZoneShare = static_cast<double>(this->crossZone) / count;
        for (const Vm& vm : this->vms)
            outcome.probes += vm.budget->granted();
        return outcome;
    }

    Scenario scenario;
    RandomSource random;
    Service service;
    std::vector<Target> targets;
    std::vector<Vm> vms;
    std::priority_queue<Event> events;
    uint64_t scheduled = 0;
    double nowMs = 0;
    std::deque<CallPointer> inTime; ///< Calls in the order of their deadlines.
    std::vector<double> latencies; ///< Of counted calls.
    uint64_t errors = 0;
    uint64_t crossZone = 0;
};

} // namespace kingcup::bench
