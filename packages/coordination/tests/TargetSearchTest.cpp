/** @file TargetSearchTest.cpp Checks that the search for a target avoids slow and full targets and keeps to its limits of probes and time. */
#include "kingcup/TargetSearch.h"

#include "kingcup/RandomSource.h"
#include "testing/Story.h"

#include <cmath>
#include <gtest/gtest.h>

using namespace kingcup;
using kingcup::testing::section;
using kingcup::testing::testSeed;

namespace {

constexpr double probeRoundTripMs = 2;

LoadReport reportOf(uint32_t running, uint32_t waiting, double slowdown)
{
    return { running, 6, 0, waiting, slowdown };
}

/** Runs a search that probes targets with the given reports in order. Returns the position of the chosen target; -1: refused. @param probeCount Set to the number of probes. */
int searchAmong(const std::vector<LoadReport>& reports, TargetSearchLimits limits, size_t& probeCount, double& durationMs)
{
    double nowMs = 0;
    probeCount = 0;
    TargetSearch search(limits);
    SearchStep step = SearchStep::Probe;
    while (step == SearchStep::Probe) {
        if (probeCount == reports.size()) {
            step = search.markExhausted(timeAt(nowMs));
            break;
        }
        size_t position = search.addTarget(timeAt(nowMs));
        nowMs += probeRoundTripMs;
        step = search.recordAnswer(position, reports[probeCount++], 1, timeAt(nowMs));
    }
    durationMs = nowMs;
    return step == SearchStep::Refuse ? -1 : static_cast<int>(search.best());
}

/** Targets on machines with noisy neighbours: in each period of 150 ms, a random share of them is five times slower. */
struct NoisyFleet {
    NoisyFleet(uint64_t seed, double share)
        : seed(seed)
        , share(share)
    {
    }

    bool isSlow(size_t target, double nowMs) const
    {
        RandomSource random(this->seed * 1000003 + target * 7919 + static_cast<uint64_t>(nowMs / 150));
        return random.fraction() < this->share;
    }

    uint64_t seed;
    double share;
};

} // namespace

TEST(TargetSearchTest, avoidsSlowMachines)
{
    uint64_t seed = testSeed(1);
    for (double share : { 0.25, 0.42 }) {
        section("with a share of " + std::to_string(share) + " of the targets slow at any time", [&] {
            NoisyFleet fleet(seed, share);
            RandomSource random(seed);
            int slowWithSearch = 0;
            int slowWithOldReports = 0;
            size_t probes = 0;
            constexpr int requests = 4000;
            for (int request = 0; request < requests; request++) {
                double nowMs = request * 17.0;
                std::vector<LoadReport> reports;
                std::vector<size_t> targets;
                for (int candidate = 0; candidate < 8; candidate++) {
                    targets.push_back(random.below(13));
                    reports.push_back(reportOf(1, 0, fleet.isSlow(targets.back(), nowMs + probeRoundTripMs * candidate) ? 5 : 1));
                }
                size_t probeCount = 0;
                double durationMs = 0;
                int chosen = searchAmong(reports, {}, probeCount, durationMs);
                probes += probeCount;
                slowWithSearch += fleet.isSlow(targets[static_cast<size_t>(chosen)], nowMs + durationMs);
                // Baseline: uses the load report of an earlier answer, here one that is 400 ms old.
                size_t byOldReport = fleet.isSlow(targets[0], nowMs - 400) ? targets[1] : targets[0];
                slowWithOldReports += fleet.isSlow(byOldReport, nowMs);
            }
            EXPECT_LE(slowWithSearch, requests * 0.06) << "more targets became slow between probe and request than expected";
            EXPECT_GE(slowWithOldReports, requests * share * 0.8);
            EXPECT_LE(static_cast<double>(probes) / requests, 1.1 / (1 - share));
            std::cout << "requests sent to slow targets, of " << requests << ": " << slowWithSearch << " with a search, " << slowWithOldReports << " with old reports; " << probes << " probes\n";
        });
    }
}

TEST(TargetSearchTest, weighsQueues)
{
    size_t probeCount = 0;
    double durationMs = 0;
    section("a free target is accepted without further probes", [&] {
        EXPECT_EQ(searchAmong({ reportOf(1, 0, 1), reportOf(0, 0, 1) }, {}, probeCount, durationMs), 0);
        EXPECT_EQ(probeCount, 1u);
    });
    section("a free target is preferred to a nearly full one", [&] {
        EXPECT_EQ(searchAmong({ reportOf(5, 0, 1), reportOf(2, 0, 1) }, {}, probeCount, durationMs), 1);
    });
    section("after three answers a nearly full target is accepted", [&] {
        EXPECT_EQ(searchAmong({ reportOf(0, 0, 5), reportOf(5, 0, 1), reportOf(6, 4, 1), reportOf(0, 0, 1) }, {}, probeCount, durationMs), 1);
        EXPECT_EQ(probeCount, 3u);
    });
    section("a target that has just started is not accepted at once", [] {
        TargetSearch search({});
        EXPECT_EQ(search.recordAnswer(search.addTarget(timeAt(0)), reportOf(0, 0, 1), 2, timeAt(1)), SearchStep::Probe);
        EXPECT_EQ(search.recordAnswer(search.addTarget(timeAt(1)), reportOf(2, 0, 1), 1, timeAt(2)), SearchStep::Send);
        EXPECT_EQ(search.best(), 1u);
    });
}

TEST(TargetSearchTest, waitsAndRefuses)
{
    TargetSearchLimits limits;
    limits.maxProbes = 2;
    limits.usualServiceTime = Milliseconds(150);
    limits.objectiveEnd = timeAt(400);
    limits.latestStart = timeAt(200);
    auto probeBoth = [&](TargetSearch& search, const LoadReport& load, double nowMs) {
        search.recordAnswer(search.addTarget(timeAt(nowMs)), load, 1, timeAt(nowMs + 1));
        return search.recordAnswer(search.addTarget(timeAt(nowMs + 1)), load, 1, timeAt(nowMs + 2));
    };
    section("a round that finds no target is repeated after a pause while the request can still meet its objective", [&] {
        TargetSearch search(limits);
        EXPECT_EQ(probeBoth(search, reportOf(0, 0, 5), 0), SearchStep::Wait);
        EXPECT_EQ(search.nextEventTime(timeAt(2)), timeAt(22));
        EXPECT_EQ(search.nextStep(timeAt(22)), SearchStep::NextRound);
    });
    section("at the latest start, a request is refused if all targets are full and it would miss its objective", [&] {
        TargetSearch search(limits);
        EXPECT_EQ(probeBoth(search, reportOf(6, 9, 1), 190), SearchStep::Refuse);
    });
    section("at the latest start, a request is sent if it can meet its objective, or if the targets are slow but have free slots", [&] {
        TargetSearch beforeObjective({ 2, Milliseconds(12), Milliseconds(20), timeAt(200), timeAt(700), Milliseconds(150) });
        EXPECT_EQ(probeBoth(beforeObjective, reportOf(6, 1, 1), 190), SearchStep::Send);
        TargetSearch slowTargets(limits);
        EXPECT_EQ(probeBoth(slowTargets, reportOf(0, 0, 5), 190), SearchStep::Send);
    });
    section("targets that cannot be probed are rated by the recent load of others", [&] {
        RecentLoad recent;
        for (int answer = 0; answer < 5; answer++)
            recent.add(6, true, timeAt(100 + answer));
        TargetSearch search(limits);
        search.skipProbe(search.addTarget(timeAt(199)), recent.typicalLoad(timeAt(199)));
        EXPECT_EQ(search.markExhausted(timeAt(199)), SearchStep::Refuse);
        EXPECT_EQ(recent.typicalLoad(timeAt(500)), std::nullopt);
    });
    section("without budget for another probe, the best target that answered is used without waiting", [&] {
        TargetSearch search(limits);
        EXPECT_EQ(search.recordAnswer(search.addTarget(timeAt(0)), reportOf(5, 0, 1), 1, timeAt(2)), SearchStep::Probe);
        search.skipProbe(search.addTarget(timeAt(2)), std::nullopt);
        EXPECT_EQ(search.markExhausted(timeAt(2)), SearchStep::Send);
        EXPECT_EQ(search.best(), 0u) << "nearly full, but it answered";
    });
    section("without budget for any probe, a request waits for one round and is then sent to the first pick", [&] {
        uint32_t earlierUnprobedRounds = 0;
        for (SearchStep expected : { SearchStep::Wait, SearchStep::Send }) {
            TargetSearch unprobed(limits, earlierUnprobedRounds);
            for (int target = 0; target < 2; target++)
                unprobed.skipProbe(unprobed.addTarget(timeAt(0)), std::nullopt);
            EXPECT_EQ(unprobed.markExhausted(timeAt(0)), expected);
            EXPECT_EQ(unprobed.best(), 0u) << "the first pick is the router's first choice";
            earlierUnprobedRounds = unprobed.unprobedRounds();
        }
    });
    section("a target that was not probed is preferred to a slow one", [&] {
        TargetSearch search(limits);
        search.recordAnswer(search.addTarget(timeAt(199)), reportOf(0, 0, 5), 1, timeAt(199));
        search.skipProbe(search.addTarget(timeAt(199)), std::nullopt);
        EXPECT_EQ(search.markExhausted(timeAt(199)), SearchStep::Send);
        EXPECT_EQ(search.best(), 1u);
    });
    section("a target that leaves or accepts nothing is never sent a request, and without another one the request is refused", [&] {
        TargetSearch search(limits);
        EXPECT_EQ(search.recordUnavailable(search.addTarget(timeAt(190)), timeAt(191)), SearchStep::Probe);
        EXPECT_EQ(search.markExhausted(timeAt(199)), SearchStep::Refuse);
        EXPECT_FALSE(search.hasAvailableTarget());
        TargetSearch withFailed(limits);
        withFailed.recordUnavailable(withFailed.addTarget(timeAt(190)), timeAt(191));
        withFailed.recordFailure(withFailed.addTarget(timeAt(191)), timeAt(192));
        EXPECT_EQ(withFailed.best(), 1u);
    });
    section("a request without any target is refused", [&] {
        TargetSearch search(limits);
        EXPECT_EQ(search.markExhausted(timeAt(0)), SearchStep::Refuse);
    });
}

// After a loss of power, calls wait for the first configuration of their VM, and come to their search together and late.
TEST(TargetSearchTest, comparesTargetsForLateRequests)
{
    auto timesOf = [](double arrivalMs, double searchStartMs, std::optional<Milliseconds> usualServiceTime) {
        return SearchTimes { timeAt(arrivalMs), timeAt(searchStartMs), timeAt(arrivalMs + 6000), Milliseconds(1200), usualServiceTime };
    };
    section("a request that comes in time has until its objective, less the time of the work", [&] {
        EXPECT_EQ(limitsOfSearch(timesOf(0, 1, Milliseconds(400))).latestStart, timeAt(700));
        EXPECT_EQ(limitsOfSearch(timesOf(0, 1, std::nullopt)).latestStart, timeAt(150));
        EXPECT_EQ(limitsOfSearch(timesOf(0, 1, std::nullopt)).objectiveEnd, timeAt(1200));
    });
    section("one that comes late still compares targets, but not beyond its deadline", [&] {
        EXPECT_EQ(limitsOfSearch(timesOf(0, 900, std::nullopt)).latestStart, timeAt(940));
        EXPECT_EQ(limitsOfSearch(timesOf(0, 2000, Milliseconds(400))).latestStart, timeAt(2040));
        EXPECT_EQ(limitsOfSearch(timesOf(0, 5980, Milliseconds(400))).latestStart, timeAt(6000));
    });
    section("such requests go to slow machines as seldom as others", [&] {
        uint64_t seed = testSeed(1);
        NoisyFleet fleet(seed, 0.25);
        RandomSource random(seed);
        auto countSlow = [&](const TargetSearchLimits& limits) {
            int slow = 0;
            for (int request = 0; request < 2000; request++) {
                std::vector<LoadReport> reports;
                reports.reserve(8);
                for (int candidate = 0; candidate < 8; candidate++)
                    reports.push_back(reportOf(1, 0, fleet.isSlow(random.below(20), request * 17.0) ? 5 : 1));
                size_t probeCount = 0;
                double durationMs = 0;
                int chosen = searchAmong(reports, limits, probeCount, durationMs);
                slow += chosen >= 0 && reports[static_cast<size_t>(chosen)].slowdown > 1;
            }
            return slow;
        };
        TargetSearchLimits before;
        before.latestStart = timeAt(-1);
        TargetSearchLimits after = limitsOfSearch(timesOf(-900, 0, std::nullopt));
        EXPECT_GT(countSlow(before), 400) << "with a single probe";
        EXPECT_LT(countSlow(after), 60);
    });
}

TEST(TargetSearchTest, keepsItsLimits)
{
    section("if a target does not answer in time, another one is probed", [] {
        TargetSearch search({});
        search.addTarget(timeAt(0));
        EXPECT_EQ(search.nextStep(timeAt(5)), SearchStep::Wait);
        EXPECT_EQ(search.nextEventTime(timeAt(5)), timeAt(12));
        EXPECT_EQ(search.nextStep(timeAt(12)), SearchStep::Probe);
        EXPECT_EQ(search.recordAnswer(search.addTarget(timeAt(12)), reportOf(0, 0, 1), 1, timeAt(14)), SearchStep::Send);
        EXPECT_EQ(search.best(), 1u);
    });
    section("a target whose probe fails is rated worse than any that answers", [] {
        TargetSearchLimits limits;
        limits.latestStart = timeAt(2);
        TargetSearch search(limits);
        EXPECT_EQ(search.recordFailure(search.addTarget(timeAt(0)), timeAt(1)), SearchStep::Probe);
        EXPECT_EQ(search.recordAnswer(search.addTarget(timeAt(1)), reportOf(6, 5, 5), 1, timeAt(2)), SearchStep::Send);
        EXPECT_EQ(search.best(), 1u);
    });
    section("a round probes no more targets than allowed, and none after the latest start", [] {
        TargetSearchLimits limits;
        limits.maxProbes = 3;
        limits.latestStart = timeAt(20);
        TargetSearch search(limits);
        for (int probe = 0; probe < 2; probe++)
            EXPECT_EQ(search.recordAnswer(search.addTarget(timeAt(probe)), reportOf(0, 0, 5), 1, timeAt(probe)), SearchStep::Probe);
        EXPECT_EQ(search.recordAnswer(search.addTarget(timeAt(2)), reportOf(0, 0, 5), 1, timeAt(2)), SearchStep::Send);
        TargetSearch late(limits);
        EXPECT_EQ(late.recordAnswer(late.addTarget(timeAt(0)), reportOf(0, 0, 5), 1, timeAt(40)), SearchStep::Send);
    });
}
