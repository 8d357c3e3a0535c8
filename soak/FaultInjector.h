/** @file FaultInjector.h Carries out faults on a deployment and repairs them. */
#pragma once

#include "FaultSeries.h"

#include "testing/Deployment.h"
#include "testing/FullDisk.h"
#include "testing/TargetPartition.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kingcup::testing {

/** Strikes the processes and links of a deployment. At most one fault at a time holds a subject. */
class FaultInjector {
public:
    /** @param partitionPrefix Value of KINGCUP_PARTITION_FILE of the processes. */
    FaultInjector(Deployment& deployment, std::string partitionPrefix);

    /** Begins a fault. Returns the step that repairs it; empty when its subject is held by another fault or not there. */
    std::function<void()> strike(const Fault& fault);

    /** After the last repair: notes which processes do not run, and has a VM that lost its data replaced. Returns what failed; empty: nothing. */
    std::string finish(Milliseconds limit);

    /** Returns ends of processes that no fault explains, one per line. */
    const std::string& unexplainedEnds() const { return this->ends; }

    const std::vector<std::string>& struck() const { return this->names; } ///< Subjects in the order of the faults that held one.

private:
    std::function<void()> strikeVm(Vm& vm, const Fault& fault);
    std::function<void()> strikeTarget(size_t target, const Fault& fault);
    std::function<void()> strikeEverything();
    std::function<void()> divert(Vm& vm, uint64_t choice);
    std::function<void()> fillDisk(const Vm& vm, uint64_t choice);
    std::function<void()> cut(Vm& vm, FaultKind kind);
    std::function<void()> stop(Vm& vm, const std::function<void()>& restart);
    void stopped(Vm& vm, bool starts);
    Vm* freeLeader();
    Vm* chooseVm(const Fault& fault);
    bool hold(const std::string& name);
    std::function<void()> released(const std::string& name, std::function<void()> repair);
    static uint64_t incarnationOf(const Vm& vm);
    bool finishReplacement(const Vm& vm);
    void noteEnd(Vm& vm);

    Deployment& deployment; ///< What is struck.
    std::string partitionPrefix; ///< Value of KINGCUP_PARTITION_FILE of the processes.
    SilentAddress silentAddress; ///< Where connections of partitioned VMs hang.
    std::set<std::string> held; ///< Subjects of faults that are not repaired.
    std::set<std::string> down; ///< VMs whose process a fault has ended, or whose end was noted.
    std::map<std::string, TimePoint> started; ///< When processes were started again.
    std::optional<uint32_t> wiped; ///< Control VM that lost its data. One a run: a second loss may lose what was accepted, by design.
    uint64_t lostIncarnation = 0; ///< Its incarnation until then.
    std::vector<std::string> names; ///< Subjects struck.
    std::string ends; ///< Unexplained ends so far.
};

} // namespace kingcup::testing
