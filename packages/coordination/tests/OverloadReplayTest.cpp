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

constexpr double workMs = 160;
constexpr double objectiveMs = 400;
constexpr double deadlineMs = 1200;
constexpr double probeMs = 2;
constexpr double slowFactor = 5;
constexpr double slowPeriodMs = 150;
constexpr double nearlyFullFactor = 1.7;
constexpr double runMs = 12000;

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
class OverloadReplay {
public:
    OverloadReplay(uint64_t seed, Policy policy, size_t targetCount, double slowShare, double probesPerSecond = 1e9)
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
        for (double at = 0; at < runMs;) {
            bool burst = at >= 4000 && at < 8000;
            at += -std::log(1 - this->random.fraction()) * 1000 / (requestsPerSecond * (burst ? factor : 1));
            this->events.push({ at, [this, at] { this->arrive(at); } });
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
        RandomSource machine(this->seed * 7919 + target * 104729 + static_cast<uint64_t>(this->nowMs / slowPeriodMs));
        const Target& state = this->targets[target];
        return { state.running, slots, 0, static_cast<uint32_t>(state.waiting.size()), machine.fraction() < this->slowShare ? slowFactor : 1 };
    }

    void arrive(double arrivedMs)
    {
        if (this->policy == Policy::OldReports) {
            size_t first = this->random.below(this->targets.size());
            size_t second = this->random.below(this->targets.size());
            this->send(TargetSearch::costOf(this->oldReport(first)) <= TargetSearch::costOf(this->oldReport(second)) ? first : second, arrivedMs);
            return;
        }
        this->beginRound(arrivedMs);
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

    void beginRound(double arrivedMs, uint32_t unaskedRounds = 0)
    {
        TargetSearchLimits limits;
        limits.usualTime = Milliseconds(workMs);
        limits.objectiveEnd = timeAt(this->policy == Policy::Search ? arrivedMs + objectiveMs : 1e12);
        limits.latestStart = timeAt(this->policy == Policy::Search ? arrivedMs + objectiveMs - 1.25 * workMs : arrivedMs + probeMs * (limits.maxProbes - 1));
        auto search = std::make_shared<TargetSearch>(limits, unaskedRounds);
        auto asked = std::make_shared<std::vector<size_t>>();
        this->step(search, asked, SearchStep::Probe, arrivedMs);
    }

    void step(const std::shared_ptr<TargetSearch>& search, const std::shared_ptr<std::vector<size_t>>& asked, SearchStep next, double arrivedMs)
    {
        switch (next) {
        case SearchStep::Probe: {
            size_t position = search->probing(timeAt(this->nowMs));
            asked->push_back(this->random.below(this->targets.size()));
            if (!this->takeProbe()) {
                search->unasked(position, std::nullopt);
                bool triesOther = asked->size() < unprobedTries;
                this->step(search, asked, triesOther ? search->advance(timeAt(this->nowMs)) : search->exhausted(timeAt(this->nowMs)), arrivedMs);
                return;
            }
            this->events.push({ this->nowMs + probeMs, [=, this] { this->step(search, asked, search->answered(position, this->reportOf(asked->back()), 1, timeAt(this->nowMs)), arrivedMs); } });
            return;
        }
        case SearchStep::Wait:
            this->events.push({ search->nextEvent(timeAt(this->nowMs)).time_since_epoch().count(), [=, this] { this->step(search, asked, search->advance(timeAt(this->nowMs)), arrivedMs); } });
            return;
        case SearchStep::Again:
            this->beginRound(arrivedMs, search->unaskedRounds());
            return;
        case SearchStep::Send:
            this->send((*asked)[search->best()], arrivedMs);
            return;
        case SearchStep::Refuse:
            this->outcome.refused++;
            this->outcome.longestRefusalMs = std::max(this->outcome.longestRefusalMs, this->nowMs - arrivedMs);
        }
    }

    /** Takes a probe from the budget. Returns false if the budget is exhausted. */
    bool takeProbe()
    {
        this->probeTokens = std::min(2.0, this->probeTokens + (this->nowMs - this->filledMs) * this->probesPerSecond / 1000);
        this->filledMs = this->nowMs;
        if (this->probeTokens < 1)
            return false;
        this->probeTokens -= 1;
        return true;
    }

    void send(size_t target, double arrivedMs)
    {
        if (this->targets[target].running < slots)
            this->start(target, arrivedMs);
        else
            this->targets[target].waiting.push_back(arrivedMs);
    }

    /** Starts a request; its duration depends on the speed of the machine and the busy slots at its start. */
    void start(size_t target, double arrivedMs)
    {
        double slowdown = this->reportOf(target).slowdown;
        uint32_t busy = ++this->targets[target].running;
        double factor = slowdown * (busy > 0.8 * slots ? nearlyFullFactor : 1);
        double spread = std::exp(0.3 * (this->random.fraction() + this->random.fraction() + this->random.fraction() - 1.5) * 2);
        double endMs = std::min(this->nowMs + workMs * spread * factor, arrivedMs + deadlineMs);
        this->events.push({ endMs, [=, this] { this->end(target, arrivedMs); } });
    }

    void end(size_t target, double arrivedMs)
    {
        double tookMs = this->nowMs - arrivedMs;
        (tookMs <= objectiveMs ? this->outcome.inTime : tookMs < deadlineMs ? this->outcome.late
                                                                            : this->outcome.failed)++;
        Target& state = this->targets[target];
        state.running--;
        while (!state.waiting.empty() && state.running < slots) {
            double next = state.waiting.front();
            state.waiting.pop_front();
            if (this->nowMs < next + deadlineMs)
                this->start(target, next);
            else
                this->outcome.failed++;
        }
    }

    static constexpr uint32_t slots = 6;
    static constexpr size_t unprobedTries = 8;
    RandomSource random;
    double probesPerSecond; ///< Rate of the probe budget.
    double probeTokens = 1; ///< Probes that may be sent now.
    double filledMs = 0; ///< Time of the last refill.
    uint64_t seed;
    Policy policy;
    double slowShare;
    std::vector<Target> targets;
    std::priority_queue<Event> events;
    double nowMs = 0;
    Outcome outcome;
};

Outcome replay(uint64_t seed, Policy policy, double slowShare, double factor, double requestsPerSecond = 110, double probesPerSecond = 1e9)
{
    Outcome outcome = OverloadReplay(seed, policy, 13, slowShare, probesPerSecond).run(requestsPerSecond, factor);
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
            Outcome before = replay(seed, Policy::OldReports, share, 1);
            Outcome after = replay(seed, Policy::Search, share, 1);
            int all = after.inTime + after.late + after.failed + after.refused;
            EXPECT_GE(after.inTime, 0.97 * all);
            EXPECT_EQ(after.refused, 0);
            EXPECT_GT(after.inTime, before.inTime * 1.1);
        });
    }
}

TEST(OverloadReplayTest, burstBeyondTheCapacity)
{
    uint64_t seed = testSeed(1);
    section("in a burst of four times the load, further rounds and refusals keep more answers in time than the simpler policies", [&] {
        Outcome oldReports = replay(seed, Policy::OldReports, 0.25, 4);
        Outcome oneRound = replay(seed, Policy::OneRound, 0.25, 4);
        Outcome search = replay(seed, Policy::Search, 0.25, 4);
        EXPECT_GT(search.inTime, oneRound.inTime * 1.2);
        EXPECT_GT(search.inTime, oldReports.inTime * 1.5);
        EXPECT_LT(search.failed, oneRound.failed);
        EXPECT_LE(search.longestRefusalMs, objectiveMs) << "a request was refused only after its objective";
    });
}

TEST(OverloadReplayTest, fewQuestions)
{
    // As in a fleet of over a hundred entry VMs, the share of the probe budget is about one probe per request; half of the slots are busy.
    constexpr double requestsPerSecond = 110;
    uint64_t first = testSeed(1);
    int all = 0;
    int allOneRound = 0;
    for (double questionsPerRequest : { 0.5, 1.5 }) {
        section(std::to_string(questionsPerRequest) + " probes per request: waiting for the probe budget costs at most 5% of the answers in time", [&] {
            int search = 0;
            int oneRound = 0;
            for (uint64_t seed = first; seed < first + 5; seed++) {
                double probesPerSecond = questionsPerRequest * requestsPerSecond;
                oneRound += replay(seed, Policy::OneRound, 0.25, 1, requestsPerSecond, probesPerSecond).inTime;
                search += replay(seed, Policy::Search, 0.25, 1, requestsPerSecond, probesPerSecond).inTime;
            }
            EXPECT_GE(search, oneRound * 0.95);
            all += search;
            allOneRound += oneRound;
        });
    }
    section("over both budgets, waiting for a probe keeps as many or more answers in time", [&] { EXPECT_GE(all, allOneRound); });
}
