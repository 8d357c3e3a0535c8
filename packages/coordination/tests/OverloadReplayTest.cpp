/** @file OverloadReplayTest.cpp Simulates bursts on targets with noisy neighbours and compares the search for a target with simpler policies. */
#include "kingcup/TargetSearch.h"

#include "kingcup/RandomSource.h"
#include "testing/Story.h"

#include <cmath>
#include <deque>
#include <gtest/gtest.h>
#include <queue>

using namespace kingcup;
using kingcup::testing::section;
using kingcup::testing::testSeed;

namespace {

constexpr double serviceTimeMs = 160;
constexpr double objectiveMs = 400;
constexpr double deadlineMs = 1200;
constexpr double probeRoundTripMs = 2;
constexpr double slowFactor = 5;
constexpr double slowPeriodMs = 150;
constexpr double nearlyFullFactor = 1.7;
constexpr double simulatedMs = 12000;

/** Policy by which a request finds its target. */
enum class Policy {
    OldReports, ///< The better of two random targets by reports that are 100 ms old; refuses nothing.
    OneRound, ///< A search of a single round; refuses nothing.
    Search, ///< The production search: rounds until the latest start, then refusal of requests that would miss the objective.
};

/** Number of requests by result. */
struct Outcome {
    int inTime = 0; ///< Answered within the objective.
    int late = 0; ///< Answered after the objective, but by the deadline.
    int failed = 0; ///< Not answered by the deadline.
    int refused = 0;
    double longestRefusalMs = 0; ///< Longest time from arrival to refusal.
};

/** Discrete-event simulation of targets with slots, queues and machines of changing speed. */
class OverloadSimulation {
public:
    OverloadSimulation(uint64_t seed, Policy policy, size_t targetCount, double slowShare, double probesPerSecond = 1e9)
        : random(seed)
        , probesPerSecond(probesPerSecond)
        , seed(seed)
        , policy(policy)
        , slowShare(slowShare)
        , targets(targetCount)
    {
    }

    /** Simulates 12 s of Poisson arrivals, with `factor` times the rate from 4 to 8 s. */
    Outcome run(double requestsPerSecond, double factor)
    {
        for (double arrivalMs = 0; arrivalMs < simulatedMs;) {
            bool isBurst = arrivalMs >= 4000 && arrivalMs < 8000;
            arrivalMs += -std::log(1 - this->random.fraction()) * 1000 / (requestsPerSecond * (isBurst ? factor : 1));
            this->events.push({ arrivalMs, [this, arrivalMs] { this->handleArrival(arrivalMs); } });
        }
        while (!this->events.empty()) {
            Event event = this->events.top();
            this->events.pop();
            this->nowMs = event.atMs;
            event.action();
        }
        return this->outcome;
    }

private:
    struct Event {
        double atMs;
        std::function<void()> action;
        bool operator<(const Event& other) const { return this->atMs > other.atMs; }
    };
    struct Target {
        uint32_t running = 0;
        std::deque<double> waiting; ///< Arrival times of queued requests, in milliseconds.
        std::deque<std::pair<double, LoadReport>> history; ///< Load reports by time, oldest first.
    };

    LoadReport reportOf(size_t target) const
    {
        RandomSource speedRandom(this->seed * 7919 + target * 104729 + static_cast<uint64_t>(this->nowMs / slowPeriodMs));
        const Target& state = this->targets[target];
        return { state.running, slots, 0, static_cast<uint32_t>(state.waiting.size()), speedRandom.fraction() < this->slowShare ? slowFactor : 1 };
    }

    void handleArrival(double arrivedMs)
    {
        if (this->policy == Policy::OldReports) {
            size_t first = this->random.below(this->targets.size());
            size_t second = this->random.below(this->targets.size());
            this->sendRequest(TargetSearch::costOf(this->oldReport(first)) <= TargetSearch::costOf(this->oldReport(second)) ? first : second, arrivedMs);
            return;
        }
        this->startRound(arrivedMs);
    }

    /** Returns the newest report that is at least 100 ms old, or the oldest one there is. */
    LoadReport oldReport(size_t target)
    {
        std::deque<std::pair<double, LoadReport>>& history = this->targets[target].history;
        history.emplace_back(this->nowMs, this->reportOf(target));
        while (history.size() > 1 && history[1].first <= this->nowMs - 100)
            history.pop_front();
        return history.front().second;
    }

    void startRound(double arrivedMs, uint32_t unprobedRounds = 0)
    {
        TargetSearchLimits limits;
        limits.usualServiceTime = Milliseconds(serviceTimeMs);
        limits.objectiveEnd = timeAt(this->policy == Policy::Search ? arrivedMs + objectiveMs : 1e12);
        limits.latestStart = timeAt(this->policy == Policy::Search ? arrivedMs + objectiveMs - 1.25 * serviceTimeMs : arrivedMs + probeRoundTripMs * (limits.maxProbes - 1));
        auto search = std::make_shared<TargetSearch>(limits, unprobedRounds);
        auto picked = std::make_shared<std::vector<size_t>>();
        this->takeStep(search, picked, SearchStep::Probe, arrivedMs);
    }

    void takeStep(const std::shared_ptr<TargetSearch>& search, const std::shared_ptr<std::vector<size_t>>& picked, SearchStep step, double arrivedMs)
    {
        switch (step) {
        case SearchStep::Probe: {
            size_t position = search->addTarget(timeAt(this->nowMs));
            picked->push_back(this->random.below(this->targets.size()));
            if (!this->takeProbe()) {
                search->skipProbe(position, std::nullopt);
                bool triesOther = picked->size() < maxUnprobedPicks;
                this->takeStep(search, picked, triesOther ? search->nextStep(timeAt(this->nowMs)) : search->markExhausted(timeAt(this->nowMs)), arrivedMs);
                return;
            }
            this->events.push({ this->nowMs + probeRoundTripMs, [=, this] { this->takeStep(search, picked, search->recordAnswer(position, this->reportOf(picked->back()), 1, timeAt(this->nowMs)), arrivedMs); } });
            return;
        }
        case SearchStep::Wait:
            this->events.push({ search->nextEventTime(timeAt(this->nowMs)).time_since_epoch().count(), [=, this] { this->takeStep(search, picked, search->nextStep(timeAt(this->nowMs)), arrivedMs); } });
            return;
        case SearchStep::NextRound:
            this->startRound(arrivedMs, search->unprobedRounds());
            return;
        case SearchStep::Send:
            this->sendRequest((*picked)[search->best()], arrivedMs);
            return;
        case SearchStep::Refuse:
            this->outcome.refused++;
            this->outcome.longestRefusalMs = std::max(this->outcome.longestRefusalMs, this->nowMs - arrivedMs);
        }
    }

    /** Takes a probe from the budget. Returns false if the budget is exhausted. */
    bool takeProbe()
    {
        this->probeTokens = std::min(2.0, this->probeTokens + (this->nowMs - this->refilledAtMs) * this->probesPerSecond / 1000);
        this->refilledAtMs = this->nowMs;
        if (this->probeTokens < 1)
            return false;
        this->probeTokens -= 1;
        return true;
    }

    void sendRequest(size_t target, double arrivedMs)
    {
        if (this->targets[target].running < slots)
            this->startRequest(target, arrivedMs);
        else
            this->targets[target].waiting.push_back(arrivedMs);
    }

    /** Starts a request; its duration depends on the speed of the machine and the busy slots at its start. */
    void startRequest(size_t target, double arrivedMs)
    {
        double slowdown = this->reportOf(target).slowdown;
        uint32_t busy = ++this->targets[target].running;
        double factor = slowdown * (busy > 0.8 * slots ? nearlyFullFactor : 1);
        double spread = std::exp(0.3 * (this->random.fraction() + this->random.fraction() + this->random.fraction() - 1.5) * 2);
        double endMs = std::min(this->nowMs + serviceTimeMs * spread * factor, arrivedMs + deadlineMs);
        this->events.push({ endMs, [=, this] { this->endRequest(target, arrivedMs); } });
    }

    void endRequest(size_t target, double arrivedMs)
    {
        double durationMs = this->nowMs - arrivedMs;
        (durationMs <= objectiveMs ? this->outcome.inTime : durationMs < deadlineMs ? this->outcome.late
                                                                                    : this->outcome.failed)++;
        Target& state = this->targets[target];
        state.running--;
        while (!state.waiting.empty() && state.running < slots) {
            double nextArrivalMs = state.waiting.front();
            state.waiting.pop_front();
            if (this->nowMs < nextArrivalMs + deadlineMs)
                this->startRequest(target, nextArrivalMs);
            else
                this->outcome.failed++;
        }
    }

    static constexpr uint32_t slots = 6;
    static constexpr size_t maxUnprobedPicks = 8;
    RandomSource random;
    double probesPerSecond; ///< Rate of the probe budget.
    double probeTokens = 1; ///< Probes that may be sent now.
    double refilledAtMs = 0;
    uint64_t seed;
    Policy policy;
    double slowShare;
    std::vector<Target> targets;
    std::priority_queue<Event> events;
    double nowMs = 0;
    Outcome outcome;
};

Outcome simulate(uint64_t seed, Policy policy, double slowShare, double factor, double requestsPerSecond = 110, double probesPerSecond = 1e9)
{
    Outcome outcome = OverloadSimulation(seed, policy, 13, slowShare, probesPerSecond).run(requestsPerSecond, factor);
    constexpr const char* names[] = { "old reports", "one round", "search" };
    std::cout << names[static_cast<int>(policy)] << ": in time " << outcome.inTime << ", late " << outcome.late << ", failed " << outcome.failed << ", refused " << outcome.refused << "\n";
    return outcome;
}

} // namespace

TEST(OverloadReplayTest, noisyNeighboursAtUsualLoad)
{
    uint64_t seed = testSeed(1);
    for (double share : { 0.25, 0.42 }) {
        section("with a share of " + std::to_string(share) + " of the machines slow, at least 97% of the requests are in time and none is refused", [&] {
            Outcome before = simulate(seed, Policy::OldReports, share, 1);
            Outcome after = simulate(seed, Policy::Search, share, 1);
            int total = after.inTime + after.late + after.failed + after.refused;
            EXPECT_GE(after.inTime, 0.97 * total);
            EXPECT_EQ(after.refused, 0);
            EXPECT_GT(after.inTime, before.inTime * 1.1);
        });
    }
}

TEST(OverloadReplayTest, burstBeyondTheCapacity)
{
    uint64_t seed = testSeed(1);
    section("in a burst of four times the load, further rounds and refusals keep more answers in time than the simpler policies", [&] {
        Outcome oldReports = simulate(seed, Policy::OldReports, 0.25, 4);
        Outcome oneRound = simulate(seed, Policy::OneRound, 0.25, 4);
        Outcome search = simulate(seed, Policy::Search, 0.25, 4);
        EXPECT_GT(search.inTime, oneRound.inTime * 1.2);
        EXPECT_GT(search.inTime, oldReports.inTime * 1.5);
        EXPECT_LT(search.failed, oneRound.failed);
        EXPECT_LE(search.longestRefusalMs, objectiveMs) << "a request was refused only after its objective";
    });
}

TEST(OverloadReplayTest, smallProbeBudget)
{
    // As in a fleet of over a hundred entry VMs, the share of the probe budget is about one probe per request; half of the slots are busy.
    constexpr double requestsPerSecond = 110;
    uint64_t firstSeed = testSeed(1);
    int searchTotal = 0;
    int oneRoundTotal = 0;
    for (double probesPerRequest : { 0.5, 1.5 }) {
        section(std::to_string(probesPerRequest) + " probes per request: waiting for the probe budget costs at most 5% of the answers in time", [&] {
            int search = 0;
            int oneRound = 0;
            for (uint64_t seed = firstSeed; seed < firstSeed + 5; seed++) {
                double probesPerSecond = probesPerRequest * requestsPerSecond;
                oneRound += simulate(seed, Policy::OneRound, 0.25, 1, requestsPerSecond, probesPerSecond).inTime;
                search += simulate(seed, Policy::Search, 0.25, 1, requestsPerSecond, probesPerSecond).inTime;
            }
            EXPECT_GE(search, oneRound * 0.95);
            searchTotal += search;
            oneRoundTotal += oneRound;
        });
    }
    section("over both budgets, waiting for a probe keeps as many or more answers in time", [&] { EXPECT_GE(searchTotal, oneRoundTotal); });
}
