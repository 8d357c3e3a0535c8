/** @file ZoneSimulation.h Discrete-event simulation of entry VMs and targets in three zones, with the production router and search. */
#pragma once

#include "kingcup/RandomSource.h"
#include "kingcup/Router.h"
#include "kingcup/TargetSearch.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace kingcup::testing {

constexpr size_t zoneCount = 3;

/** Demand and faults of one run. */
struct ZoneScenario {
    std::function<double(size_t zone, double ms)> requestsPerSecond; ///< Demand of a zone.
    double lostAtMs = std::numeric_limits<double>::infinity(); ///< Time at which the targets of zone 0 stop.
};

/** Result of one run, after the first 3 s. */
struct ZoneOutcome {
    uint64_t requests = 0;
    uint64_t answered = 0;
    uint64_t inTime = 0; ///< Answered within the objective.
    uint64_t away = 0; ///< Sent to a target of another zone.
    double waitMs = 0; ///< Sum over the answered requests of the time beyond the work on a free target of usual speed.
    int reversals = 0; ///< Largest number of changes of direction, by 0.2 or more, of the mean share of one zone.

    double meanWaitMs() const { return this->waitMs / static_cast<double>(std::max<uint64_t>(this->answered, 1)); }
    double inTimeShare() const { return static_cast<double>(this->inTime) / static_cast<double>(std::max<uint64_t>(this->requests, 1)); }
    double awayShare() const { return static_cast<double>(this->away) / static_cast<double>(std::max<uint64_t>(this->requests, 1)); }
};

/** Counts the changes of direction of a series that are not smaller than a threshold. */
class ReversalCounter {
public:
    void add(double value)
    {
        constexpr double threshold = 0.2;
        this->lowest = std::min(this->lowest, value);
        this->highest = std::max(this->highest, value);
        if (this->isRising ? value < this->highest - threshold : value > this->lowest + threshold) {
            this->isRising = !this->isRising;
            this->lowest = this->highest = value;
            ++this->count;
        }
    }

    int count = 0;

private:
    bool isRising = false; ///< The share starts at 0, so that its first rise counts.
    double lowest = 0;
    double highest = 0;
};

/**
 * 45 entry VMs and 115 targets with two slots in three zones. Work of 70 to 140 ms takes 1.7 times as long on a full target and three
 * times as long on 6% of the machines, which change every 150 ms. Every target reports its load to all VMs every 300 ms; probes and answers report
 * it, too.
 */
class ZoneSimulation {
public:
    /** @param costs Empty: the fixed penalty decides. */
    ZoneSimulation(uint64_t seed, ZoneScenario scenario, const std::optional<ZoneTransferCosts>& costs)
        : seed(seed)
        , random(seed)
        , scenario(std::move(scenario))
        , targets(targetCount)
    {
        this->service.name = "service";
        for (size_t i = 0; i < vmCount; ++i) {
            this->routers.push_back(std::make_unique<Router>(RoutingPolicy::Adaptive, "entry-" + std::to_string(i), zoneName(i % zoneCount), RandomSource(seed * vmCount + i)));
            if (costs)
                this->routers.back()->setZoneTransfer(*costs);
        }
        this->updateRouters(false);
        this->shares.resize(costs ? zoneCount : 0);
    }

    ZoneOutcome run(double endMs)
    {
        for (size_t vm = 0; vm < vmCount; ++vm)
            this->scheduleArrival(vm);
        for (size_t i = 0; i < targetCount; ++i)
            this->schedule(this->random.fraction() * reportIntervalMs, [this, i] { this->report(i); });
        this->schedule(0, [this] { this->sampleShares(); });
        constexpr double detectionMs = 500; // Until control has told the VMs that the targets are gone.
        if (std::isfinite(this->scenario.lostAtMs))
            this->schedule(this->scenario.lostAtMs + detectionMs, [this] { this->updateRouters(true); });
        this->endMs = endMs;
        constexpr double drainMs = 2000;
        while (!this->events.empty() && this->events.top().atMs < endMs + drainMs) {
            Event event = this->events.top();
            this->events.pop();
            this->nowMs = event.atMs;
            event.action();
        }
        for (const ReversalCounter& counter : this->shares)
            this->outcome.reversals = std::max(this->outcome.reversals, counter.count);
        return this->outcome;
    }

private:
    static constexpr size_t vmCount = 45;
    static constexpr size_t targetCount = 115;
    static constexpr uint32_t slotCount = 2;
    static constexpr double objectiveMs = 300;
    static constexpr double deadlineMs = 1000;
    static constexpr double warmUpMs = 3000;
    static constexpr double reportIntervalMs = 300;
    static constexpr double bytesPerRequest = 20000;

    struct Event {
        double atMs;
        uint64_t number;
        std::function<void()> action;
        bool operator<(const Event& other) const { return this->atMs != other.atMs ? this->atMs > other.atMs : this->number > other.number; }
    };

    struct Request {
        size_t vm = 0;
        double arrivalMs = 0;
        double workMs = 0;
        std::optional<TargetSearch> search;
        std::vector<Pick> picks;
        uint64_t round = 0; ///< Identifies the round and the latest timer in it.
        uint64_t timer = 0;
    };
    using RequestPointer = std::shared_ptr<Request>;

    struct Target {
        uint32_t running = 0;
        std::deque<std::function<void()>> queue;
    };

    static std::string zoneName(size_t zone) { return "zone-" + std::to_string(zone); }
    static size_t indexOf(const std::string& address) { return std::stoul(address.substr(address.find(':') + 1)) - 1; }
    static double oneWayMs(size_t vm, size_t target) { return vm % zoneCount == target % zoneCount ? 0.2 : 0.9; }

    void schedule(double atMs, std::function<void()> action) { this->events.push({ atMs, this->nextNumber++, std::move(action) }); }
    bool isLost(size_t target) const { return target % zoneCount == 0 && this->nowMs >= this->scenario.lostAtMs; }

    void updateRouters(bool isZoneGone)
    {
        std::vector<wire::TargetRecord> records;
        for (size_t i = 0; i < targetCount; ++i) {
            if (isZoneGone && i % zoneCount == 0)
                continue;
            wire::TargetRecord& record = records.emplace_back();
            record.set_address("127.0.0.1:" + std::to_string(i + 1));
            record.set_availability_zone(zoneName(i % zoneCount));
            record.set_slots(slotCount);
            record.set_incarnation(1);
            record.set_state(wire::TARGET_SERVING);
        }
        for (const auto& router : this->routers)
            router->update(this->service, records, timeAt(this->nowMs));
    }

    /** Returns the time per request of a machine relative to the usual one. */
    double slowdownOf(size_t target) const
    {
        auto period = static_cast<uint64_t>(this->nowMs / 150);
        return RandomSource(this->seed * 1000003 + target * 7919 + period).fraction() < 0.06 ? 3 : 1;
    }

    LoadReport loadOf(size_t target) const
    {
        LoadReport load;
        load.inFlight = this->targets[target].running;
        load.waiting = static_cast<uint32_t>(this->targets[target].queue.size());
        load.slots = slotCount;
        load.slowdown = this->slowdownOf(target);
        return load;
    }

    void report(size_t target)
    {
        if (this->isLost(target) || this->nowMs > this->endMs)
            return;
        for (const auto& router : this->routers)
            router->recordReport("127.0.0.1:" + std::to_string(target + 1), this->loadOf(target), Milliseconds(0), timeAt(this->nowMs));
        this->schedule(this->nowMs + reportIntervalMs, [this, target] { this->report(target); });
    }

    void sampleShares()
    {
        if (this->shares.empty() || this->nowMs > this->endMs)
            return;
        std::vector<double> sums(zoneCount);
        for (size_t vm = 0; vm < vmCount; ++vm)
            sums[vm % zoneCount] += this->routers[vm]->zoneTransfer()->share * zoneCount / vmCount;
        for (size_t zone = 0; zone < zoneCount; ++zone)
            this->shares[zone].add(sums[zone]);
        this->schedule(this->nowMs + 100, [this] { this->sampleShares(); });
    }

    void scheduleArrival(size_t vm)
    {
        double rate = this->scenario.requestsPerSecond(vm % zoneCount, this->nowMs) * zoneCount / vmCount;
        double atMs = this->nowMs - std::log(1 - this->random.fraction()) * 1000 / rate;
        this->schedule(atMs, [this, vm] {
            if (this->nowMs > this->endMs)
                return;
            auto request = std::make_shared<Request>();
            request->vm = vm;
            request->arrivalMs = this->nowMs;
            request->workMs = 70 + 70 * this->random.fraction();
            this->outcome.requests += this->isCounted(*request);
            this->startRound(request);
            this->scheduleArrival(vm);
        });
    }

    bool isCounted(const Request& request) const { return request.arrivalMs >= warmUpMs; }

    void startRound(const RequestPointer& request)
    {
        TimePoint arrival = timeAt(request->arrivalMs);
        constexpr double usualMs = 98;
        TargetSearchLimits limits = limitsOfSearch({ arrival, arrival, arrival + Milliseconds(deadlineMs), Milliseconds(objectiveMs), Milliseconds(usualMs) });
        request->search.emplace(limits);
        request->round++;
        request->picks.clear();
        this->probeNext(request);
    }

    void probeNext(const RequestPointer& request)
    {
        std::vector<std::string> excluded;
        for (const Pick& pick : request->picks)
            excluded.push_back(pick.address);
        std::optional<Pick> pick = this->routers[request->vm]->pick(excluded, timeAt(this->nowMs));
        if (!pick) {
            this->perform(request, request->search->markExhausted(timeAt(this->nowMs)));
            return;
        }
        size_t position = request->search->addTarget(timeAt(this->nowMs));
        request->picks.push_back(*pick);
        size_t target = indexOf(pick->address);
        double tripMs = oneWayMs(request->vm, target);
        uint64_t round = request->round;
        this->schedule(this->nowMs + tripMs, [=, this] {
            if (this->isLost(target))
                return;
            LoadReport load = this->loadOf(target);
            this->schedule(this->nowMs + tripMs, [=, this] {
                TimePoint now = timeAt(this->nowMs);
                this->routers[request->vm]->recordReport("127.0.0.1:" + std::to_string(target + 1), load, Milliseconds(0), now);
                if (request->search && request->round == round)
                    this->perform(request, request->search->recordAnswer(position, load, 1, now));
            });
        });
        this->perform(request, request->search->nextStep(timeAt(this->nowMs)));
    }

    void perform(const RequestPointer& request, SearchStep step)
    {
        uint64_t timer = ++request->timer;
        switch (step) {
        case SearchStep::Wait:
            this->schedule(request->search->nextEventTime(timeAt(this->nowMs)).time_since_epoch().count(), [=, this] {
                if (request->search && request->timer == timer)
                    this->perform(request, request->search->nextStep(timeAt(this->nowMs)));
            });
            return;
        case SearchStep::Probe:
            this->probeNext(request);
            return;
        case SearchStep::NextRound:
            this->release(*request, SIZE_MAX);
            this->startRound(request);
            return;
        case SearchStep::Send:
            this->send(request, request->search->best());
            return;
        case SearchStep::Refuse:
            this->release(*request, SIZE_MAX);
            request->search.reset();
            return;
        }
    }

    void release(const Request& request, size_t chosen)
    {
        for (size_t i = 0; i < request.picks.size(); ++i) {
            if (i != chosen)
                this->routers[request.vm]->abandon(request.picks[i], timeAt(this->nowMs));
        }
    }

    void send(const RequestPointer& request, size_t chosen)
    {
        this->release(*request, chosen);
        Pick pick = request->picks[chosen];
        request->search.reset();
        size_t target = indexOf(pick.address);
        this->outcome.away += this->isCounted(*request) && request->vm % zoneCount != target % zoneCount;
        double sentMs = this->nowMs;
        this->schedule(sentMs + oneWayMs(request->vm, target), [=, this] {
            Target& state = this->targets[target];
            auto start = [=, this] { this->startWork(request, pick, target, sentMs); };
            if (state.running < slotCount)
                start();
            else
                state.queue.push_back(start);
        });
    }

    void startWork(const RequestPointer& request, const Pick& pick, size_t target, double sentMs)
    {
        Target& state = this->targets[target];
        double crowding = ++state.running == slotCount ? 1.7 : 1;
        this->schedule(this->nowMs + request->workMs * crowding * this->slowdownOf(target), [=, this] {
            Target& state = this->targets[target];
            --state.running;
            bool isAnswered = !this->isLost(target);
            LoadReport load = this->loadOf(target);
            this->schedule(this->nowMs + oneWayMs(request->vm, target), [=, this] { this->finish(*request, pick, isAnswered, load, sentMs); });
            if (state.queue.empty())
                return;
            std::function<void()> next = std::move(state.queue.front());
            state.queue.pop_front();
            next();
        });
    }

    void finish(const Request& request, const Pick& pick, bool isAnswered, const LoadReport& load, double sentMs)
    {
        Router& router = *this->routers[request.vm];
        if (isAnswered)
            router.recordReport(pick.address, load, Milliseconds(0), timeAt(this->nowMs));
        router.finish(pick, isAnswered ? AttemptOutcome::Answered : AttemptOutcome::ConnectionLost, Milliseconds(this->nowMs - sentMs), timeAt(this->nowMs));
        if (!isAnswered)
            return;
        router.recordTransferBytes(bytesPerRequest);
        double tookMs = this->nowMs - request.arrivalMs;
        if (!this->isCounted(request) || tookMs > deadlineMs)
            return;
        ++this->outcome.answered;
        this->outcome.inTime += tookMs <= objectiveMs;
        this->outcome.waitMs += tookMs - request.workMs;
    }

    uint64_t seed;
    RandomSource random;
    ZoneScenario scenario;
    Service service;
    std::vector<std::unique_ptr<Router>> routers; ///< One for each entry VM.
    std::vector<Target> targets;
    std::vector<ReversalCounter> shares; ///< One for each zone.
    std::priority_queue<Event> events;
    uint64_t nextNumber = 0;
    double nowMs = 0;
    double endMs = 0;
    ZoneOutcome outcome;
};

} // namespace kingcup::testing
