/** @file TargetSearchTest.cpp Guards the search for a target against sending work to slow or full machines, and against asking more than it may. */
#include "kingcup/TargetSearch.h"

#include "kingcup/RandomSource.h"
#include "testing/Story.h"

#include <cmath>
#include <gtest/gtest.h>

using namespace kingcup;
using kingcup::testing::section;
using kingcup::testing::testSeed;

namespace {

constexpr double probeMs = 2; ///< Round trip of a probe.

LoadReport reportOf(uint32_t running, uint32_t waiting, double slowdown)
{
    return { running, 6, 0, waiting, slowdown };
}

/** Runs a search over the reports of targets in order. Returns the position chosen; -1: refused. @param asked Number of probes. */
int searchAmong(const std::vector<LoadReport>& reports, TargetSearchLimits limits, size_t& asked, double& durationMs)
{
    double nowMs = 0;
    asked = 0;
    TargetSearch search(limits, timeAt(0));
    SearchStep step = SearchStep::Probe;
    while (step == SearchStep::Probe) {
        if (asked == reports.size()) {
            step = search.exhausted(timeAt(nowMs));
            break;
        }
        size_t position = search.probing(timeAt(nowMs));
        nowMs += probeMs;
        step = search.answered(position, reports[asked++], 1, timeAt(nowMs));
    }
    durationMs = nowMs;
    return step == SearchStep::Refuse ? -1 : static_cast<int>(search.best());
}

/** Targets of which a share works five times slower for 150 ms at a time, as on machines with noisy neighbours. */
struct NoisyFleet {
    NoisyFleet(uint64_t seed, double share)
        : seed(seed)
        , share(share)
    {
    }

    bool slow(size_t target, double nowMs) const
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
        section("with a share of " + std::to_string(share) + " of the targets slow at any moment", [&] {
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
                    reports.push_back(reportOf(1, 0, fleet.slow(targets.back(), nowMs + probeMs * candidate) ? 5 : 1));
                }
                size_t asked = 0;
                double durationMs = 0;
                int chosen = searchAmong(reports, {}, asked, durationMs);
                probes += asked;
                slowWithSearch += fleet.slow(targets[static_cast<size_t>(chosen)], nowMs + durationMs);
                // The policy before: the report that came with an earlier answer, here one that is 400 ms old.
                size_t byOldReport = fleet.slow(targets[0], nowMs - 400) ? targets[1] : targets[0];
                slowWithOldReports += fleet.slow(byOldReport, nowMs);
            }
            EXPECT_LE(slowWithSearch, requests * 0.06) << "the speed changed between probe and sending";
            EXPECT_GE(slowWithOldReports, requests * share * 0.8);
            EXPECT_LE(static_cast<double>(probes) / requests, 1.1 / (1 - share));
            std::cout << "slow starts of " << requests << ": " << slowWithSearch << " after a search, " << slowWithOldReports << " by old reports; " << probes << " probes\n";
        });
    }
}

TEST(TargetSearchTest, weighsQueues)
{
    size_t asked = 0;
    double durationMs = 0;
    section("a free target is taken without asking further", [&] {
        EXPECT_EQ(searchAmong({ reportOf(1, 0, 1), reportOf(0, 0, 1) }, {}, asked, durationMs), 0);
        EXPECT_EQ(asked, 1u);
    });
    section("a nearly full target is passed over for a free one", [&] {
        EXPECT_EQ(searchAmong({ reportOf(5, 0, 1), reportOf(2, 0, 1) }, {}, asked, durationMs), 1);
    });
    section("a short queue is better than a slow machine", [&] {
        EXPECT_EQ(searchAmong({ reportOf(0, 0, 5), reportOf(6, 1, 1) }, {}, asked, durationMs), 1);
    });
    section("a target that has just started is passed over", [] {
        TargetSearch search({}, timeAt(0));
        EXPECT_EQ(search.answered(search.probing(timeAt(0)), reportOf(0, 0, 1), 2, timeAt(1)), SearchStep::Probe);
        EXPECT_EQ(search.answered(search.probing(timeAt(1)), reportOf(2, 0, 1), 1, timeAt(2)), SearchStep::Send);
        EXPECT_EQ(search.best(), 1u);
    });
    section("when all are full, a request is refused only if it would wait for longer than its answer is of use", [&] {
        TargetSearchLimits limits;
        std::vector<LoadReport> full(limits.maxProbes, reportOf(6, 9, 1));
        EXPECT_GE(searchAmong(full, limits, asked, durationMs), 0);
        limits.usefulCost = 2.5;
        EXPECT_EQ(searchAmong(full, limits, asked, durationMs), -1);
        full.back() = reportOf(6, 0, 1);
        EXPECT_EQ(searchAmong(full, limits, asked, durationMs), static_cast<int>(full.size()) - 1);
        full.back() = reportOf(0, 0, 5);
        EXPECT_GE(searchAmong(full, limits, asked, durationMs), 0) << "a slow target with free slots serves late rather than never";
    });
}

TEST(TargetSearchTest, isBounded)
{
    section("a silent target is passed over after its time, and the request goes on", [] {
        TargetSearch search({}, timeAt(0));
        search.probing(timeAt(0));
        EXPECT_EQ(search.advance(timeAt(5)), SearchStep::Wait);
        EXPECT_EQ(search.nextEvent(), timeAt(12));
        EXPECT_EQ(search.advance(timeAt(12)), SearchStep::Probe);
        EXPECT_EQ(search.answered(search.probing(timeAt(12)), reportOf(0, 0, 1), 1, timeAt(14)), SearchStep::Send);
        EXPECT_EQ(search.best(), 1u);
    });
    section("a target that cannot be reached is never preferred", [] {
        TargetSearch search({}, timeAt(0));
        EXPECT_EQ(search.failed(search.probing(timeAt(0)), timeAt(1)), SearchStep::Probe);
        EXPECT_EQ(search.answered(search.probing(timeAt(1)), reportOf(6, 5, 5), 1, timeAt(2)), SearchStep::Probe);
        EXPECT_EQ(search.exhausted(timeAt(2)), SearchStep::Send);
        EXPECT_EQ(search.best(), 1u);
    });
    section("no more targets are asked than allowed, and none after the time is over", [] {
        TargetSearchLimits limits;
        limits.maxProbes = 3;
        TargetSearch search(limits, timeAt(0));
        for (int probe = 0; probe < 2; probe++)
            EXPECT_EQ(search.answered(search.probing(timeAt(probe)), reportOf(0, 0, 5), 1, timeAt(probe)), SearchStep::Probe);
        EXPECT_EQ(search.answered(search.probing(timeAt(2)), reportOf(0, 0, 5), 1, timeAt(2)), SearchStep::Send);
        TargetSearch late({}, timeAt(0));
        EXPECT_EQ(late.answered(late.probing(timeAt(0)), reportOf(0, 0, 5), 1, timeAt(40)), SearchStep::Send);
    });
}
