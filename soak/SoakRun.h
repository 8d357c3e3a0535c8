/** @file SoakRun.h One run of the soak: a deployment, load, a series of faults, and what callers and targets saw. */
#pragma once

#include "FaultSeries.h"

#include "testing/LoadGenerator.h"

#include <string>

namespace kingcup::testing {

/** What to run. */
struct SoakPlan {
    std::string daemon; ///< Path of kingcupswitchd.
    std::string controlTool; ///< Path of kingcupctl.
    uint64_t seed = 1; ///< Of the faults, the calls and all processes.
    Milliseconds duration { 10000 }; ///< Time in which faults begin and end.
    double faultsPerSecond = 2; ///< Mean number of faults that begin in a second.
    double callsPerSecond = 120; ///< Reads and keyed posts.
    uint32_t controlVms = 3; ///< Processes with the role control.
    uint32_t entryVms = 3; ///< Processes with the role entry.
    uint32_t targets = 4; ///< Targets of one service.
};

/** What came out. */
struct SoakResult {
    std::string broken; ///< Broken promises, one per line; empty: none.
    std::string story; ///< Faults that found their subject, one per line.
    size_t faults = 0; ///< Their number.
    uint64_t manifest = 0; ///< Highest manifest number that was acknowledged.
    LoadSummary calls; ///< Calls during the faults.
    std::string logs; ///< Last lines of all logs, when a promise was broken.
};

/** Runs one seed. */
SoakResult runSoak(const SoakPlan& plan);

} // namespace kingcup::testing
