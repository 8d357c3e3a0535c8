/** @file FaultInjector.cpp Signals, proxies and lost folders. */
#include "FaultInjector.h"

#include <csignal>
#include <filesystem>
#include <iterator>
#include <memory>
#include <sstream>

namespace kingcup::testing {

namespace {

constexpr Milliseconds stopLimit { 20000 }; ///< Far above the longest patience of a caller.
constexpr Milliseconds linkDelay { 150 }; ///< Above a heartbeat interval, below an election timeout.
constexpr Milliseconds targetDelay { 300 };
constexpr uint64_t truncateWithin = 600; ///< Bytes; about two answers.
constexpr Milliseconds startLimit { 300 }; ///< A process that handles signals later than this after its start is a finding.
constexpr int statusTerminated = 128 + SIGTERM;
constexpr int statusCutOff = 4; ///< Of a daemon that could not wait for its last calls.

/** What a full disk refuses. */
constexpr const char* refusedOperations[] = {
    "write sync rename truncate reserve",
    "write reserve",
    "write truncate reserve",
    "sync",
    "rename",
    "reserve",
};

/** Returns how a fault of a link towards a server holds its bytes back. @param towards Whether the subject is the server. */
ProxyMode modeOf(FaultKind kind, bool towards)
{
    if (kind == FaultKind::Silence)
        return ProxyMode::DropBoth;
    return (kind == FaultKind::CutIn) == towards ? ProxyMode::DropToServer : ProxyMode::DropToClient;
}

} // namespace

FaultInjector::FaultInjector(Deployment& deployment, std::string partitionPrefix)
    : deployment(deployment)
    , partitionPrefix(std::move(partitionPrefix))
{
}

std::function<void()> FaultInjector::strike(const Fault& fault)
{
    if (fault.subject == FaultSubject::Everything)
        return this->strikeEverything();
    if (fault.subject == FaultSubject::Target) {
        size_t target = fault.choice % this->deployment.targets().size();
        std::string name = this->deployment.targets()[target].address;
        return this->hold(name) ? this->released(name, this->strikeTarget(target, fault)) : nullptr;
    }
    Vm* vm = this->chooseVm(fault);
    if (vm && fault.kind == FaultKind::Divert)
        return this->divert(*vm, fault.choice);
    if (vm && fault.kind == FaultKind::FullDisk)
        return this->fillDisk(*vm, fault.choice);
    bool losesData = fault.kind == FaultKind::Wipe;
    if (!vm || (losesData && this->wiped) || !this->hold(vm->name))
        return nullptr;
    return this->released(vm->name, this->strikeVm(*vm, fault));
}

Vm* FaultInjector::chooseVm(const Fault& fault)
{
    if (fault.subject == FaultSubject::Leader)
        return this->freeLeader();
    std::vector<Vm>& vms = fault.subject == FaultSubject::Entry ? this->deployment.entryVms() : this->deployment.controlVms();
    return &vms[fault.choice % vms.size()];
}

/** Cuts an entry VM off from the targets, whatever other fault holds it. */
std::function<void()> FaultInjector::divert(Vm& vm, uint64_t choice)
{
    std::string name = vm.name + " to targets";
    if (!vm.process->running() || !this->hold(name))
        return nullptr;
    bool isRefused = choice / this->deployment.entryVms().size() % 2 == 0;
    auto partition = std::make_shared<TargetPartition>(this->partitionPrefix, std::vector<Vm*> { &vm }, isRefused ? refusingAddress() : this->silentAddress.text());
    return this->released(name, [partition]() mutable { partition.reset(); });
}

/** Fills the disk of a control VM, whatever other fault holds it, so that processes also start on full disks. */
std::function<void()> FaultInjector::fillDisk(const Vm& vm, uint64_t choice)
{
    std::string name = vm.name + " disk";
    if (!this->hold(name))
        return nullptr;
    FullDisks::fill(vm, refusedOperations[choice / this->deployment.controlVms().size() % std::size(refusedOperations)]);
    return this->released(name, [&vm] { FullDisks::empty(vm); });
}

/** Returns the control VM that leads by its own word. Only VMs without a fault are asked, since others may not answer. */
Vm* FaultInjector::freeLeader()
{
    for (Vm& vm : this->deployment.controlVms()) {
        if (this->held.contains(vm.name) || !vm.process->running())
            continue;
        if (this->deployment.ownStatus(vm).value("role", "") == "leader")
            return &vm;
    }
    return nullptr;
}

/** Takes a subject for one fault. Returns whether it was free. */
bool FaultInjector::hold(const std::string& name)
{
    if (!this->held.insert(name).second)
        return false;
    this->names.push_back(name);
    return true;
}

/** Returns a repair that gives the subject free afterwards. */
std::function<void()> FaultInjector::released(const std::string& name, std::function<void()> repair)
{
    return [this, name, repair = std::move(repair)] {
        repair();
        this->held.erase(name);
    };
}

std::function<void()> FaultInjector::strikeVm(Vm& vm, const Fault& fault)
{
    this->noteEnd(vm);
    auto restart = [this, &vm] {
        this->deployment.restart(vm);
        this->down.erase(vm.name);
        this->started[vm.name] = MillisecondClock::now();
    };
    switch (fault.kind) {
    case FaultKind::Kill:
        this->down.insert(vm.name);
        vm.process->kill();
        return restart;
    case FaultKind::Wipe:
        this->down.insert(vm.name);
        this->wiped = vm.controlId;
        this->lostIncarnation = this->incarnationOf(vm);
        vm.process->kill();
        std::filesystem::remove_all(vm.dataFolder());
        return restart;
    case FaultKind::Stop:
        return this->stop(vm, restart);
    case FaultKind::Pause:
        vm.process->freeze();
        return [&vm] { vm.process->thaw(); };
    default:
        return this->cut(vm, fault.kind);
    }
}

/** Returns the incarnation under which a control VM joined the group, by its own log. */
uint64_t FaultInjector::incarnationOf(const Vm& vm)
{
    uint64_t incarnation = 0;
    std::istringstream lines(readFile(vm.folder + "/log.jsonl"));
    for (std::string text; std::getline(lines, text);) {
        nlohmann::json line = nlohmann::json::parse(text, nullptr, false);
        if (line.is_object() && line.value("event", "") == "joined_group")
            incarnation = line.at("incarnation").get<uint64_t>();
    }
    return incarnation;
}

/** Has a process stop by itself; the repair checks that it did, and how. */
std::function<void()> FaultInjector::stop(Vm& vm, const std::function<void()>& restart)
{
    this->down.insert(vm.name);
    // Until a process handles the signal, it dies of it; it has served nobody then.
    bool starts = MillisecondClock::now() - this->started[vm.name] < startLimit;
    vm.process->signal(SIGTERM);
    return [this, &vm, starts, restart] {
        this->stopped(vm, starts);
        restart();
    };
}

/** Waits for the end of a process that was told to stop, and notes when it does not end as promised. */
void FaultInjector::stopped(Vm& vm, bool starts)
{
    std::optional<int> status = vm.process->wait(stopLimit);
    if (!status)
        this->ends += vm.name + " does not stop\n";
    else if (*status != 0 && *status != statusCutOff && !(starts && *status == statusTerminated))
        this->ends += vm.name + " ended with " + std::to_string(*status) + " when told to stop\n";
    if (!status)
        vm.process->kill();
}

/** Disturbs the links between a VM and control VMs. */
std::function<void()> FaultInjector::cut(Vm& vm, FaultKind kind)
{
    auto set = [links = this->deployment.linksOf(vm)](FaultKind wanted, bool begins) {
        for (const std::vector<FaultProxy*>* direction : { &links.outward, &links.inward }) {
            for (FaultProxy* proxy : *direction) {
                if (wanted == FaultKind::Reset)
                    proxy->closeConnections();
                else if (wanted == FaultKind::Delay)
                    proxy->setDelay(begins ? linkDelay : Milliseconds(0));
                else
                    proxy->setMode(begins ? modeOf(wanted, direction == &links.inward) : ProxyMode::Pass);
            }
        }
    };
    set(kind, true);
    return [set, kind] { set(kind, false); };
}

std::function<void()> FaultInjector::strikeTarget(size_t target, const Fault& fault)
{
    Process& process = this->deployment.targetProcess(target);
    FaultProxy& proxy = *this->deployment.targets()[target].proxy;
    switch (fault.kind) {
    case FaultKind::Kill:
        process.kill();
        return [&process] { process.start(); };
    case FaultKind::Pause:
        process.freeze();
        return [&process] { process.thaw(); };
    case FaultKind::Delay:
        proxy.setDelay(targetDelay);
        return [&proxy] { proxy.setDelay(Milliseconds(0)); };
    case FaultKind::Reset:
        proxy.closeConnections();
        return [] {};
    case FaultKind::Truncate:
        proxy.cutAfter(static_cast<int64_t>(fault.choice % truncateWithin));
        return [&proxy] { proxy.cutAfter(-1); };
    default:
        proxy.setMode(modeOf(fault.kind, true));
        // What was held back is lost with its connection: an answer that arrives late belongs to a caller that has left.
        return [&proxy] {
            proxy.closeConnections();
            proxy.setMode(ProxyMode::Pass);
        };
    }
}

/** Ends all processes of ours that no other fault holds, as a loss of power does. */
std::function<void()> FaultInjector::strikeEverything()
{
    std::vector<std::function<void()>> repairs;
    Fault kill { FaultSubject::Everything, FaultKind::Kill, 0, {}, {} };
    for (std::vector<Vm>* group : { &this->deployment.controlVms(), &this->deployment.entryVms() }) {
        for (Vm& vm : *group) {
            if (this->hold(vm.name))
                repairs.push_back(this->released(vm.name, this->strikeVm(vm, kill)));
        }
    }
    return [repairs] {
        for (const std::function<void()>& repair : repairs)
            repair();
    };
}

/** Asks for the replacement of a control VM that lost its data. Returns whether it is done. */
bool FaultInjector::finishReplacement(const Vm& vm)
{
    Vm* leader = this->deployment.leader();
    if (!leader)
        return false;
    std::string body = nlohmann::json { { "id", vm.controlId } }.dump();
    this->deployment.ask(leader->operatorAddress, "POST", "/v1/replace-control", body);
    nlohmann::json status = this->deployment.query(*leader, "/v1/status");
    if (!status.is_object() || !status.contains("members"))
        return false;
    bool oldListed = false;
    bool newVotes = false;
    for (const nlohmann::json& member : status.at("members")) {
        bool same = member.at("id") == vm.controlId;
        bool isOld = member.at("incarnation") == this->lostIncarnation;
        oldListed = oldListed || (same && isOld);
        newVotes = newVotes || (same && !isOld && member.value("voter", false));
    }
    return newVotes && !oldListed && this->deployment.ownStatus(vm).value("leader", 0u) == leader->controlId;
}

std::string FaultInjector::finish(Milliseconds limit)
{
    for (std::vector<Vm>* group : { &this->deployment.controlVms(), &this->deployment.entryVms() }) {
        for (Vm& vm : *group)
            this->noteEnd(vm);
    }
    if (!this->wiped)
        return "";
    const Vm& vm = this->deployment.controlVms()[*this->wiped - 1];
    return waitUntil(limit, [&] { return this->finishReplacement(vm); }) ? "" : vm.name + " was not replaced\n";
}

/** Notes the end of a process that should run. */
void FaultInjector::noteEnd(Vm& vm)
{
    if (vm.process->running() || !this->down.insert(vm.name).second)
        return;
    std::optional<int> status = vm.process->wait(Milliseconds(0));
    this->ends += vm.name + " ended by itself with " + std::to_string(status.value_or(-1)) + "\n";
}

} // namespace kingcup::testing
