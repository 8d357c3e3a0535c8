/** @file main.cpp The fault soak. Ends with 0 only if no run broke a promise. */
#include "PlannedRun.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <sstream>

ABSL_FLAG(uint64_t, seed, 0, "Seed of the first run; the others follow. 0: from the time of day.");
ABSL_FLAG(uint32_t, runs, 1, "Number of runs.");
ABSL_FLAG(uint32_t, seconds, 10, "Time in which faults begin and end, of each run.");
ABSL_FLAG(double, faults, 2, "Mean number of faults that begin in a second.");
ABSL_FLAG(double, calls, 120, "Calls per second.");
ABSL_FLAG(uint32_t, control_vms, 3, "Processes with the role control.");
ABSL_FLAG(uint32_t, entry_vms, 3, "Processes with the role entry.");
ABSL_FLAG(uint32_t, targets, 4, "Targets.");
ABSL_FLAG(std::string, regressions, "", "File of seeds that once broke a promise, one a line before its cause; they are run instead.");
ABSL_FLAG(bool, planned, false, "Only planned work: stops, reloads and manifests, which must harm no call.");
ABSL_FLAG(std::string, without_rule, "", "Rule of control to switch off, to see that a check finds it.");

using namespace kingcup;
using namespace kingcup::testing;

namespace {

/** Returns the seeds to run. */
std::vector<uint64_t> seedsToRun()
{
    std::vector<uint64_t> seeds;
    std::string file = absl::GetFlag(FLAGS_regressions);
    if (!file.empty()) {
        std::ifstream stream(file);
        for (std::string line; std::getline(stream, line);) {
            std::istringstream words(line);
            if (uint64_t seed = 0; words >> seed)
                seeds.push_back(seed);
        }
        return seeds;
    }
    uint64_t first = absl::GetFlag(FLAGS_seed);
    if (!first)
        first = static_cast<uint64_t>(std::time(nullptr));
    for (uint32_t run = 0; run < absl::GetFlag(FLAGS_runs); ++run)
        seeds.push_back(first + run);
    return seeds;
}

/** Returns the plan of a seed. */
SoakPlan planOf(uint64_t seed)
{
    constexpr double msPerSecond = 1000;
    SoakPlan plan;
    plan.daemon = KINGCUPSWITCHD;
    plan.controlTool = KINGCUPCTL;
    plan.seed = seed;
    plan.duration = Milliseconds(absl::GetFlag(FLAGS_seconds) * msPerSecond);
    plan.faultsPerSecond = absl::GetFlag(FLAGS_faults);
    plan.callsPerSecond = absl::GetFlag(FLAGS_calls);
    plan.controlVms = absl::GetFlag(FLAGS_control_vms);
    plan.entryVms = absl::GetFlag(FLAGS_entry_vms);
    plan.targets = absl::GetFlag(FLAGS_targets);
    return plan;
}

/** Runs one seed and prints what came out. Returns whether all promises held. */
bool runSeed(uint64_t seed)
{
    SoakResult result = absl::GetFlag(FLAGS_planned) ? runPlanned(planOf(seed)) : runSoak(planOf(seed));
    bool sound = result.broken.empty();
    std::printf("seed %llu: %s; %zu faults, %llu calls, %llu answered, %llu refused, %llu unknown, p99 %.0f ms, manifest %llu\n",
        static_cast<unsigned long long>(seed), sound ? "held" : "BROKEN", result.faults, static_cast<unsigned long long>(result.calls.calls),
        static_cast<unsigned long long>(result.calls.answered), static_cast<unsigned long long>(result.calls.refused),
        static_cast<unsigned long long>(result.calls.unknown), result.calls.p99Ms, static_cast<unsigned long long>(result.manifest));
    if (!sound)
        std::printf("%s%s%s", result.broken.c_str(), result.story.c_str(), result.logs.c_str());
    std::fflush(stdout);
    return sound;
}

} // namespace

/** Runs all seeds in turn. */
int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("kingcup_soak --seed N --runs N\n\nExit codes: 0 all promises held, 1 a run broke one.");
    absl::ParseCommandLine(argc, argv);
    if (std::string rule = absl::GetFlag(FLAGS_without_rule); !rule.empty())
        setenv("KINGCUP_TEST_DISABLED_RULES", rule.c_str(), 1);
    bool sound = true;
    for (uint64_t seed : seedsToRun())
        sound = runSeed(seed) && sound;
    return sound ? 0 : 1;
}
