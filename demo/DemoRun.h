/** @file DemoRun.h Runs one example deployment under load with one fault. */
#pragma once

#include "testing/Deployment.h"

#include <string>
#include <vector>

namespace kingcup::testing {

/** One example deployment. */
struct DemoPlan {
    std::string title; ///< For the table.
    DeploymentOptions deployment; ///< Processes.
    std::vector<CallTemplate> mix; ///< Calls.
    double callsPerSecond = 300; ///< Arrival rate.
    Milliseconds clientDelay { 1 }; ///< One-way latency between callers and entry VMs, also applied to direct calls.
};

/** What one run showed. */
struct DemoResult {
    std::string failure; ///< Why there is no result; empty: there is one.
    std::vector<CallRecord> calls; ///< Calls through the entry VMs.
    std::vector<CallRecord> directCalls; ///< The same mix sent straight to the targets.
    std::vector<Violation> violations; ///< What the history checker found.
    std::vector<uint64_t> probes; ///< During the load, of each target that still runs.
    double faultMs = 0; ///< Machine time of the fault.
    std::string fault; ///< What was killed and when.
    double seconds = 0; ///< Length of the load.
};

/** Runs a plan from start to end. */
DemoResult runDemo(const DemoPlan& plan);

/** Prints the table of a run. */
void printDemo(const DemoPlan& plan, const DemoResult& result);

} // namespace kingcup::testing
