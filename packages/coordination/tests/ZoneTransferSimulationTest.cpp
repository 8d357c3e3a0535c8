/**
 * @file ZoneTransferSimulationTest.cpp Guards against a decision that keeps requests in an overloaded zone, sends them away without
 * need, or swings between the zones. Such faults come about when the share follows old reports too fast, or follows the wave too
 * slowly. Prints the figures of docs/design/zone-transfer.md.
 */
#include "testing/Story.h"
#include "testing/ZoneSimulation.h"

#include <cstdio>
#include <gtest/gtest.h>
#include <numbers>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr double usualRate = 250; ///< Requests a second of one zone, about 60% of what its targets complete.
constexpr double excessRate = 450; ///< Above what the targets of one zone complete.
constexpr ZoneTransferCosts costs { 1.8, 0.02, 0.0001 }; ///< With 20 kB for each request 4 ms for the bytes.
constexpr double durationMs = 29000; ///< Two waves after the first 3 s.
constexpr int maxSteadyReversals = 2; ///< Half of those that two waves need.

/** Demand by zone that does not change. */
ZoneScenario steady(double first, double second, double third)
{
    return { [=](size_t zone, double) { return zone == 0 ? first : zone == 1 ? second
                                                                             : third; } };
}

/** Demand that oscillates by 55% within 13 s; the first two zones have opposite phases. */
ZoneScenario wave()
{
    return { [](size_t zone, double ms) {
        constexpr double phases[] = { 0, 0.5, 0.25 };
        return usualRate * (1 + 0.55 * std::sin(2 * std::numbers::pi * (ms / 13000 + phases[zone])));
    } };
}

/** Results of a scenario with the fixed penalty and with the decision. */
struct Comparison {
    ZoneOutcome fixed;
    ZoneOutcome decided;
};

ZoneOutcome runOnce(uint64_t seed, const char* name, const char* mode, const ZoneScenario& scenario, const std::optional<ZoneTransferCosts>& used)
{
    ZoneOutcome outcome = ZoneSimulation(seed, scenario, used).run(durationMs);
    std::printf("| %s | %s | %.1f | %.2f | %.1f | %d |\n", name, mode, outcome.meanWaitMs(), 100 * outcome.inTimeShare(), 100 * outcome.awayShare(), outcome.reversals);
    return outcome;
}

Comparison compare(const char* name, const ZoneScenario& scenario)
{
    uint64_t seed = testSeed(1);
    return { runOnce(seed, name, "fixed penalty", scenario, std::nullopt), runOnce(seed, name, "decision", scenario, costs) };
}

/** Checks that the decision costs no answers within the objective, and no more waiting than it says that leaving the zone is worth. */
void expectServedAsWell(const Comparison& result)
{
    constexpr double chance = 0.002; // Spread of this share between seeds.
    constexpr double costMs = 5.8;
    EXPECT_GE(result.decided.inTimeShare(), result.fixed.inTimeShare() - chance);
    EXPECT_LE(result.decided.meanWaitMs(), result.fixed.meanWaitMs() + costMs);
}

} // namespace

TEST(ZoneTransferSimulation, usualLoad)
{
    Comparison result = compare("usual load", steady(usualRate, usualRate, usualRate));
    expectServedAsWell(result);
    EXPECT_LT(result.decided.awayShare(), 0.5 * result.fixed.awayShare());
}

TEST(ZoneTransferSimulation, steadyExcessInOneZone)
{
    Comparison result = compare("excess in one zone", steady(excessRate, 200, 200));
    expectServedAsWell(result);
    EXPECT_LE(result.decided.awayShare(), result.fixed.awayShare());
    EXPECT_LE(result.decided.reversals, maxSteadyReversals);
}

TEST(ZoneTransferSimulation, waveWithOppositePhases)
{
    Comparison result = compare("wave", wave());
    expectServedAsWell(result);
    EXPECT_LT(result.decided.awayShare(), result.fixed.awayShare());
    EXPECT_LE(result.decided.reversals, 5); // A rise and a fall in each wave, and the fall from the demand before the first one.
}

TEST(ZoneTransferSimulation, lostZone)
{
    ZoneScenario scenario = steady(200, 200, 200);
    scenario.lostAtMs = 10000;
    Comparison result = compare("lost zone", scenario);
    expectServedAsWell(result);
}

TEST(ZoneTransferSimulation, twoZonesInExcess)
{
    Comparison result = compare("excess in two zones", steady(excessRate, excessRate, 150));
    expectServedAsWell(result);
    EXPECT_LE(result.decided.reversals, maxSteadyReversals);
}
