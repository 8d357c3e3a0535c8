/** @file DemoTable.cpp Prints what a run showed. */
#include "demo/DemoRun.h"

#include <algorithm>
#include <cstdio>
#include <numeric>

namespace kingcup::testing {

namespace {

/** Returns the calls of one kind. */
std::vector<CallRecord> ofKind(const std::vector<CallRecord>& records, size_t kind)
{
    std::vector<CallRecord> result;
    std::copy_if(records.begin(), records.end(), std::back_inserter(result), [kind](const CallRecord& record) { return record.templateIndex == kind; });
    return result;
}

/** Counts the calls and keys of some calls that ran more than once. */
size_t countDoubled(const std::vector<CallRecord>& records, const std::vector<Violation>& violations)
{
    size_t doubled = 0;
    for (const Violation& violation : violations) {
        auto concerns = [&violation](const CallRecord& record) {
            return violation.subject == "key " + record.view.key || violation.subject == "call " + record.view.callId;
        };
        bool found = violation.kind == ViolationKind::Doubled && std::any_of(records.begin(), records.end(), concerns);
        doubled += found;
    }
    return doubled;
}

/** Prints one row of the table. */
void printRow(const std::string& name, const std::vector<CallRecord>& records, const std::vector<CallRecord>& direct, const DemoResult& result)
{
    std::vector<CallRecord> undisturbed;
    std::copy_if(records.begin(), records.end(), std::back_inserter(undisturbed), [&result](const CallRecord& record) { return record.view.endMs < result.faultMs; });
    LoadSummary all = summarise(records);
    LoadSummary before = summarise(undisturbed);
    LoadSummary straight = summarise(direct);
    std::printf("  %-20s %7lu %9lu %8lu %8lu %8lu | %8.2f %8.2f | %8.2f %8.2f %8.2f %8.2f\n", name.c_str(), all.calls, all.answered, all.refused, all.unknown,
        countDoubled(records, result.violations), all.p50Ms, all.p99Ms, before.p50Ms, before.p99Ms, before.p50Ms - straight.p50Ms, before.p99Ms - straight.p99Ms);
}

/** Prints how often the targets were probed. */
void printProbes(const DemoResult& result)
{
    if (result.probes.empty())
        return;
    uint64_t sum = std::accumulate(result.probes.begin(), result.probes.end(), uint64_t { 0 });
    uint64_t most = *std::max_element(result.probes.begin(), result.probes.end());
    std::printf("  probes per target: mean %.2f, most %lu (%zu targets)\n", static_cast<double>(sum) / static_cast<double>(result.probes.size()), most, result.probes.size());
}

/** Prints the calls by result. */
void printResults(const std::vector<CallRecord>& records)
{
    LoadSummary summary = summarise(records);
    std::printf("  results:");
    for (const auto& [name, count] : summary.results)
        std::printf(" %s: %lu;", name.c_str(), count);
    std::printf("\n");
}

} // namespace

void printDemo(const DemoPlan& plan, const DemoResult& result)
{
    std::printf("\n%s: %u control VMs, %u entry VMs, seed %lu\n", plan.title.c_str(), plan.deployment.controlVms, plan.deployment.entryVms, plan.deployment.seed);
    if (!result.failure.empty()) {
        std::printf("  failed: %s\n", result.failure.c_str());
        return;
    }
    std::printf("  fault: %s\n", result.fault.c_str());
    std::printf("  %-20s %7s %9s %8s %8s %8s | %-17s | %-35s\n", "", "", "", "", "", "", "whole run", "before the fault, + against direct");
    std::printf("  %-20s %7s %9s %8s %8s %8s | %8s %8s | %8s %8s %8s %8s\n", "kind", "calls", "answered", "not run", "unknown", "doubled", "p50 ms", "p99 ms", "p50 ms", "p99 ms", "+p50 ms", "+p99 ms");
    for (size_t kind = 0; kind < plan.mix.size(); ++kind)
        printRow(plan.mix[kind].name, ofKind(result.calls, kind), ofKind(result.directCalls, kind), result);
    printRow("all", result.calls, result.directCalls, result);
    std::printf("  direct: the same mix sent straight to the targets\n");
    printResults(result.calls);
    printProbes(result);
    std::printf("  load of %.1f s; violations: %zu\n%s", result.seconds, result.violations.size(), describeViolations(result.violations).c_str());
    std::fflush(stdout);
}

} // namespace kingcup::testing
