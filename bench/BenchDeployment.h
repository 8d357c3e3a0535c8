/** @file BenchDeployment.h What benchmarks with real processes share. */
#pragma once

#include "testing/Scenario.h"

#include <cstdio>
#include <fstream>
#include <string>

#include <unistd.h>

namespace kingcup::testing {

/** Processor time and memory of a process. */
struct ProcessUsage {
    double cpuSeconds = 0; ///< User and system time since its start.
    double residentMb = 0; ///< Resident memory, in units of 2^20 bytes.
};

/** Reads the usage of a process. */
inline ProcessUsage processUsage(pid_t pid)
{
    constexpr int fieldsBeforeTimes = 11; // Between the command name and utime in /proc/PID/stat.
    constexpr double bytesPerMb = 1 << 20;
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 1)));
    std::string skipped;
    for (int field = 0; field < fieldsBeforeTimes; field++)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    std::ifstream statm("/proc/" + std::to_string(pid) + "/statm");
    double pages = 0;
    double resident = 0;
    statm >> pages >> resident;
    return { (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK)), resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / bytesPerMb };
}

/** Options of a deployment for a benchmark. */
inline DeploymentOptions benchOptions(uint32_t entryVms, std::vector<ServiceLayout> services)
{
    DeploymentOptions options;
    options.daemon = KINGCUPSWITCHD;
    options.controlTool = KINGCUPCTL;
    options.name = "bench";
    options.entryVms = entryVms;
    options.services = std::move(services);
    options.targetsPerProcess = 50;
    return options;
}

/** Starts a deployment; prints what failed and returns false. */
inline bool startOrExplain(Deployment& deployment, const nlohmann::json& manifest)
{
    std::string error = deployment.start(manifest);
    constexpr Milliseconds targetLimit { 20000 };
    bool known = error.empty() && waitUntil(targetLimit, [&] { return deployment.allTargetsKnown(); });
    if (!known)
        std::printf("the deployment did not start: %s\n", error.c_str());
    return known;
}

} // namespace kingcup::testing
