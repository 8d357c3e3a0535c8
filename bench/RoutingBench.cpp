/** @file RoutingBench.cpp Compares routing policies at the sizes of both deployments, and measures the cost of a choice. */
#include "RoutingSimulation.h"

#include "kingcup/EnumNames.h"

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <malloc.h>
#include <mutex>
#include <string_view>
#include <thread>

using namespace kingcup;
using namespace kingcup::bench;

namespace {

constexpr size_t workers = 4;
uint64_t firstSeed = 1;

constexpr EnumName<RoutingPolicy> policyNames[] = {
    { RoutingPolicy::Random, "random" },
    { RoutingPolicy::RoundRobin, "round robin" },
    { RoutingPolicy::LeastOutstanding, "least outstanding" },
    { RoutingPolicy::PowerOfTwo, "power of two" },
    { RoutingPolicy::PeakEwma, "peak EWMA" },
    { RoutingPolicy::HotCold, "hot/cold" },
    { RoutingPolicy::Adaptive, "adaptive" },
};

/** Size of one service of section 1.4 of the design page. */
struct ServiceSize {
    const char* name; ///< Deployment and service.
    uint32_t targets; ///< Targets.
    uint32_t slots; ///< Slots per target.
};

constexpr ServiceSize serviceSizes[] = {
    { "Laskutusliitto matters", 13, 6 },
    { "Laskutusliitto ledger", 8, 6 },
    { "Laskutusliitto archive", 12, 6 },
    { "Araucaria tracker", 11, 4 },
    { "Araucaria ledger", 6, 4 },
    { "Araucaria proofroom", 13, 4 },
};

/** A kind of trouble. */
struct Trouble {
    const char* name; ///< For the table.
    bool stragglers; ///< See Scenario.
    bool failFast; ///< See Scenario.
    bool coldStart; ///< See Scenario.
    bool misleading; ///< See Scenario.
};

constexpr Trouble troubles[] = {
    { "none", false, false, false, false },
    { "stragglers", true, false, false, false },
    { "fail-fast", false, true, false, false },
    { "cold start", false, false, true, false },
    { "all", true, true, true, false },
    { "stragglers that report no load", true, false, false, true },
};

/** Mean and range over seeds. */
struct Spread {
    double mean = 0; ///< Mean.
    double low = 0; ///< Lowest.
    double high = 0; ///< Highest.
};

/** Runs one scenario with several seeds and returns the outcomes in the order of the seeds. */
std::vector<Outcome> runSeeds(const Scenario& scenario, RoutingPolicy policy, uint64_t seeds)
{
    std::vector<Outcome> outcomes(seeds);
    std::atomic<uint64_t> next { 0 };
    auto work = [&] {
        for (uint64_t seed = next++; seed < seeds; seed = next++)
            outcomes[seed] = RoutingSimulation(scenario, policy, firstSeed + seed).run();
    };
    std::vector<std::thread> threads;
    for (size_t i = 0; i < std::min<uint64_t>(workers, seeds); ++i)
        threads.emplace_back(work);
    for (std::thread& thread : threads)
        thread.join();
    return outcomes;
}

/** Returns the spread of one figure. */
template <typename Figure>
Spread spreadOf(const std::vector<Outcome>& outcomes, Figure figure)
{
    Spread spread { 0, 1e18, -1e18 };
    for (const Outcome& outcome : outcomes) {
        double value = figure(outcome);
        spread.mean += value / static_cast<double>(outcomes.size());
        spread.low = std::min(spread.low, value);
        spread.high = std::max(spread.high, value);
    }
    return spread;
}

/** Prints one row of the policy tables. */
void printRow(const char* trouble, RoutingPolicy policy, const std::vector<Outcome>& outcomes)
{
    Spread p50 = spreadOf(outcomes, [](const Outcome& o) { return o.p50; });
    Spread p99 = spreadOf(outcomes, [](const Outcome& o) { return o.p99; });
    Spread errors = spreadOf(outcomes, [](const Outcome& o) { return o.errorShare * 100; });
    Spread cross = spreadOf(outcomes, [](const Outcome& o) { return o.crossZoneShare * 100; });
    std::string name(nameOf(policyNames, policy));
    std::printf("| %s | %s | %.2f | %.1f (%.1f to %.1f) | %.3f | %.0f |\n", trouble, name.c_str(), p50.mean, p99.mean, p99.low, p99.high, errors.mean, cross.mean);
    std::fflush(stdout);
}

/** Prints p50, p99 and errors of every policy for one size. */
void comparePolicies(const ServiceSize& size, uint64_t seeds, std::string_view onlyPolicy)
{
    std::printf("\n%s: %u targets with %u slots\n\n", size.name, size.targets, size.slots);
    std::printf("| trouble | policy | p50 ms | p99 ms (lowest to highest seed) | errors %% | cross-zone %% |\n| --- | --- | --- | --- | --- | --- |\n");
    for (const Trouble& trouble : troubles) {
        for (const auto& [policy, name] : policyNames) {
            if (!onlyPolicy.empty() && onlyPolicy != name)
                continue;
            Scenario scenario;
            scenario.targets = size.targets;
            scenario.slots = size.slots;
            scenario.stragglers = trouble.stragglers;
            scenario.failFast = trouble.failFast;
            scenario.coldStart = trouble.coldStart;
            scenario.misleading = trouble.misleading;
            printRow(trouble.name, policy, runSeeds(scenario, policy, seeds));
        }
    }
}

/** Prints p99 against the probe rate, with and without reports on answers. */
void compareProbeRates(uint64_t seeds)
{
    std::printf("\np99 against the probe rate: 13 targets with 6 slots, stragglers\n\n");
    std::printf("| probes/s per target | reports on answers | adaptive p99 ms (lowest to highest) | hot/cold p99 ms (lowest to highest) | probe load %% of slots |\n| --- | --- | --- | --- | --- |\n");
    for (bool reports : { true, false }) {
        for (double rate : { 0.0, 1.0, 3.0, 10.0, 30.0, 100.0 }) {
            Scenario scenario;
            scenario.seconds = 20; // At 1 probe/s a VM may send a probe to a target every 17 s.
            scenario.stragglers = true;
            scenario.probesPerSecond = rate;
            scenario.reportsOnAnswers = reports;
            std::vector<Outcome> adaptive = runSeeds(scenario, RoutingPolicy::Adaptive, seeds);
            std::vector<Outcome> hotCold = runSeeds(scenario, RoutingPolicy::HotCold, seeds);
            auto p99 = [](const Outcome& o) { return o.p99; };
            Spread a = spreadOf(adaptive, p99);
            Spread h = spreadOf(hotCold, p99);
            Spread probes = spreadOf(adaptive, [](const Outcome& o) { return static_cast<double>(o.probes); });
            double load = probes.mean * 6 / (scenario.seconds * 1000 * scenario.targets * scenario.slots) * 100;
            std::printf("| %.1f | %s | %.1f (%.1f to %.1f) | %.1f (%.1f to %.1f) | %.3f |\n", rate, reports ? "yes" : "no", a.mean, a.low, a.high, h.mean, h.low, h.high, load);
            std::fflush(stdout);
        }
    }
}

/** Returns target records for the measurements of cost. */
std::vector<wire::TargetRecord> manyTargets(uint32_t count)
{
    std::vector<wire::TargetRecord> records(count);
    for (uint32_t i = 0; i < count; ++i) {
        records[i].set_address("10." + std::to_string(i / 65536) + "." + std::to_string(i / 256 % 256) + "." + std::to_string(i % 256) + ":8080");
        records[i].set_availability_zone("zone-" + std::to_string(i % 3));
        records[i].set_slots(6);
        records[i].set_incarnation(1);
        records[i].set_state(wire::TARGET_SERVING);
    }
    return records;
}

/** Returns nanoseconds per pick and finish on each of several threads. */
double pickNanoseconds(Router& router, size_t threadCount)
{
    constexpr int rounds = 100000;
    auto work = [&router] {
        for (int i = 0; i < rounds; ++i) {
            TimePoint now = timeAt(1000 + i * 0.01);
            std::optional<Pick> pick = router.pick({}, now);
            router.finish(*pick, AttemptOutcome::Answered, Milliseconds(5), now);
        }
    };
    TimePoint start = MillisecondClock::now();
    std::vector<std::thread> threads;
    for (size_t i = 0; i < threadCount; ++i)
        threads.emplace_back(work);
    for (std::thread& thread : threads)
        thread.join();
    return (MillisecondClock::now() - start).count() * 1e6 / rounds;
}

/** Prints the time of a choice and the memory of a router against the number of targets. */
void measureCost()
{
    std::printf("\nCost of the adaptive policy: pick and finish, one service\n\n");
    std::printf("| targets | subset | ns, 1 thread | ns, 4 threads | KB | update ms |\n| --- | --- | --- | --- | --- | --- |\n");
    for (bool whole : { false, true }) {
        for (uint32_t count : { 10u, 20u, 100u, 1000u, 5000u, 20000u }) {
            std::vector<wire::TargetRecord> records = manyTargets(count);
            Service service;
            service.limits.subsetSize = whole ? count : service.limits.subsetSize;
            size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
            Router router(RoutingPolicy::Adaptive, "entry-1", "zone-0", RandomSource(1));
            TimePoint start = MillisecondClock::now();
            router.update(service, records, timeAt(0));
            double updateMs = (MillisecondClock::now() - start).count();
            size_t after = mallinfo2().uordblks + mallinfo2().hblkhd;
            double one = pickNanoseconds(router, 1);
            double four = pickNanoseconds(router, 4);
            std::printf("| %u | %u | %.0f | %.0f | %.1f | %.2f |\n", count, service.limits.subsetSize, one, four, static_cast<double>(after - before) / 1024, updateMs);
        }
    }
}

} // namespace

/** Usage: RoutingBench [policies|probes|cost|all] [number of seeds] [first seed] [policy]. */
int main(int argc, char** argv)
{
    std::string_view part = argc > 1 ? argv[1] : "all";
    uint64_t seeds = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 4;
    firstSeed = argc > 3 ? std::strtoull(argv[3], nullptr, 10) : 1;
    std::string_view onlyPolicy = argc > 4 ? argv[4] : "";
    std::printf("seeds %llu to %llu\n", static_cast<unsigned long long>(firstSeed), static_cast<unsigned long long>(firstSeed + seeds - 1));
    if (part == "policies" || part == "all") {
        for (const ServiceSize& size : serviceSizes)
            comparePolicies(size, seeds, onlyPolicy);
    }
    if (part == "probes" || part == "all")
        compareProbeRates(seeds);
    if (part == "cost" || part == "all")
        measureCost();
    return 0;
}
