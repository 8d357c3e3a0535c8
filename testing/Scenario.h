/** @file Scenario.h What most integration tests share: a small deployment, load, and the history of both. */
#pragma once

#include "kingcup/ResultCode.h"
#include "testing/Deployment.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace kingcup::testing {

/** Polls the configuration number in force on all entry VMs. */
class ConfigurationObserver {
public:
    /** Starts to poll. */
    explicit ConfigurationObserver(const Deployment& deployment, const std::vector<Vm>& vms);
    ~ConfigurationObserver() { this->stop(); }

    void stop(); ///< Stops to poll.
    std::vector<ConfigurationView> views() const; ///< What was observed so far.

private:
    void observe(const Vm& vm);

    const Deployment& deployment; ///< Deployment that is observed.
    std::vector<std::thread> threads; ///< One per VM, so that a frozen VM does not delay the others.
    std::atomic<bool> stopping = false; ///< Whether to stop.
    mutable std::mutex mutex; ///< Guards the views.
    std::vector<ConfigurationView> observed; ///< Views.
};

/** Emulates the platform's load balancer: a load gets only the entry VMs that report themselves ready. */
class PlatformBalancer {
public:
    /** Starts to poll and to steer the load. */
    PlatformBalancer(const Deployment& deployment, const std::vector<Vm>& vms, LoadGenerator& load);
    ~PlatformBalancer();

private:
    void steer();

    const Deployment& deployment; ///< Deployment.
    const std::vector<Vm>& vms; ///< Entry VMs.
    LoadGenerator& load; ///< Load that is steered.
    std::atomic<bool> stopping = false; ///< Whether to stop.
    std::thread thread; ///< Polls.
};

/** Options of a load on all entry VMs of a deployment. @param postWeight Weight of keyed posts, against 1 for reads. */
LoadOptions loadOn(const Deployment& deployment, double callsPerSecond, Milliseconds duration, double postWeight);

/** Waits for the end of a load and returns the violations in the history of the deployment, one per line. */
std::string violationsAfter(Deployment& deployment, LoadGenerator& load, const ConfigurationObserver* observer = nullptr);

/** Returns the results of a load, for messages of failed tests. */
std::string describeResults(const LoadGenerator& load);

/** Starts a deployment with its first manifest and waits until every target is known. Returns what failed; empty: nothing. */
std::string startAll(Deployment& deployment);

} // namespace kingcup::testing
