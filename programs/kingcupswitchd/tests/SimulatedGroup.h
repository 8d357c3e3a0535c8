/** @file SimulatedGroup.h Control group of log drivers with their files, in simulated time and with disks that refuse operations. */
#pragma once

#include "LogDriver.h"

#include "kingcup/MembershipPlanner.h"
#include "kingcup/RandomSource.h"
#include "testing/ScratchFolder.h"

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <map>
#include <queue>
#include <set>

namespace kingcup::testing {

/** Operations that a full disk refuses. A file system may find out at any of them that it has no block left. */
struct Refusals {
    bool write = false;
    bool sync = false;
    bool rename = false;
    bool truncate = false;

    bool any() const { return this->write || this->sync || this->rename || this->truncate; }
};

/** Files of one VM. A refused write has stored a part of its bytes. */
class SimulatedDisk {
public:
    explicit SimulatedDisk(RandomSource& random)
        : random(random)
    {
    }

    FileHooks hooks()
    {
        FileHooks hooks;
        hooks.sync = [this](int) { return this->refusals.sync ? ENOSPC : 0; };
        hooks.write = [this](int descriptor, std::string_view data) {
            bool isRefused = this->refusals.write || data.size() > this->freeBytes;
            size_t length = isRefused ? this->random.below(data.size()) : data.size();
            int error = systemFileHooks().write(descriptor, data.substr(0, length));
            return isRefused ? ENOSPC : error;
        };
        hooks.truncate = [this](int descriptor, uint64_t size) { return this->refusals.truncate ? ENOSPC : truncateFile(descriptor, size); };
        hooks.rename = [this](const std::string& from, const std::string& to) { return this->refusals.rename ? ENOSPC : renameFile(from, to); };
        return hooks;
    }

    Refusals refusals;
    uint64_t freeBytes = UINT64_MAX; ///< Larger writes are refused.

private:
    RandomSource& random;
};

/** Control VM: its files, and its log driver while it runs. */
struct SimulatedVm {
    SimulatedVm(VmId vm, RandomSource& random)
        : vm(vm)
        , disk(random)
    {
    }

    VmId vm;
    uint64_t incarnation = 0;
    SimulatedDisk disk;
    ScratchFolder files;
    bool shouldRun = true; ///< False while the process is stopped.
    std::unique_ptr<DataFolder> folder;
    std::unique_ptr<LogStorage> storage;
    std::unique_ptr<LogDriver> driver; ///< Null while the process is stopped, or waits for room on its disk.
    std::vector<std::string> applied; ///< State machine: names of the applied commands.
    MembershipPlanner planner { seededPlannerOptions(2) };
    Term plannedTerm = 0; ///< Term of the leadership for which the planner plans.
    TimePoint nextJoinRequest {};
    TimePoint nextSpaceCheck {};
    bool isWriteScheduled = false;
    uint64_t sentMessages = 0;
    uint64_t run = 0; ///< Number of starts; tasks of earlier runs are dropped.
};

/** Five control VMs, the network between them and a client. */
class SimulatedGroup {
public:
    static constexpr VmId size = 5;

    explicit SimulatedGroup(uint64_t seed)
        : random(seed)
    {
        this->options.electionTimeout = Milliseconds(400);
        this->options.heartbeatInterval = Milliseconds(80);
        this->options.snapshotChunkBytes = 2000;
        wire::Membership membership;
        for (VmId vm = 1; vm <= size; vm++) {
            this->vms.emplace(vm, std::make_unique<SimulatedVm>(vm, this->random));
            SimulatedVm& added = *this->vms.at(vm);
            added.incarnation = this->nextIncarnation++;
            this->start(added);
            wire::Member& member = *membership.add_members();
            member.set_vm_id(vm);
            member.set_incarnation(added.incarnation);
            member.set_voter(true);
        }
        for (auto& [vm, member] : this->vms)
            member->driver->bootstrap(membership);
        this->runFor(3000);
    }

    void runFor(double ms)
    {
        TimePoint end = this->now + Milliseconds(ms);
        while (!this->events.empty() && this->events.top().at <= end) {
            Event event = this->events.top();
            this->events.pop();
            this->now = event.at;
            event.action();
        }
        this->now = end;
    }

    /** Runs until a condition holds, which is checked every 5 ms. Returns the time it took in milliseconds; empty if it took longer than the limit. */
    std::optional<double> runUntil(const std::function<bool()>& condition, double limitMs)
    {
        for (double waited = 0; waited <= limitMs; waited += 5) {
            if (condition())
                return waited;
            this->runFor(5);
        }
        return std::nullopt;
    }

    void stop(SimulatedVm& vm)
    {
        vm.shouldRun = false;
        vm.run++;
        vm.driver.reset();
        vm.storage.reset();
        vm.folder.reset();
    }

    /** Starts a process with the files of the VM. While the disk is full, it may have to wait for room. */
    void start(SimulatedVm& vm)
    {
        vm.shouldRun = true;
        DurableLogState durable;
        std::string snapshot;
        std::error_code error = DataFolder::open(vm.files.path(), "simulation", vm.vm, vm.incarnation, vm.folder);
        if (!error)
            error = LogStorage::open(*vm.folder, vm.disk.hooks(), vm.storage, durable, snapshot);
        this->check(!error || error == ResultCode::DiskFull, "a start failed: " + error.message());
        if (error) {
            vm.storage.reset();
            vm.folder.reset();
            this->schedule(vm, 200, [this, &vm] { this->start(vm); });
            return;
        }
        vm.applied = decode(snapshot);
        vm.planner = MembershipPlanner(seededPlannerOptions(2));
        vm.plannedTerm = 0;
        vm.isWriteScheduled = false;
        ReplicatedLogOptions memberOptions = this->options;
        memberOptions.self = vm.vm;
        memberOptions.incarnation = vm.incarnation;
        vm.driver = std::make_unique<LogDriver>(memberOptions, durable, snapshot, *vm.storage, this->random.next(), 20 + this->random.below(30), this->hooksOf(vm), LogWriter::Thread::Caller);
        this->scheduleTick(vm);
    }

    /** Stops a process and lets the VM lose its files. */
    void wipe(SimulatedVm& vm)
    {
        this->stop(vm);
        for (const auto& entry : std::filesystem::directory_iterator(vm.files.path()))
            std::filesystem::remove_all(entry.path());
        vm.incarnation = this->nextIncarnation++;
    }

    SimulatedVm* leader()
    {
        SimulatedVm* best = nullptr;
        for (auto& [id, vm] : this->vms) {
            if (vm->driver && vm->driver->log().role() == LogRole::Leader && (!best || vm->driver->log().term() > best->driver->log().term()))
                best = vm.get();
        }
        return best;
    }

    bool hasLeaderWithQuorum()
    {
        SimulatedVm* leading = this->leader();
        return leading && leading->driver->log().hasQuorum(this->now);
    }

    /** Sends a command to the leader. @param done Receives the code of its result. */
    void propose(std::function<void(ResultCode)> done, const std::string& padding = {})
    {
        SimulatedVm* leading = this->leader();
        if (!leading)
            return;
        std::string name = std::to_string(++this->lastCommand) + padding;
        wire::Command command;
        command.mutable_entry_vm_gone()->set_entry_vm(name);
        leading->driver->propose(command, [this, name, done = std::move(done)](const wire::CommandResult& result) {
            if (result.result_code() == 0)
                this->acknowledged.push_back(name);
            done(static_cast<ResultCode>(result.result_code()));
        });
    }

    /** Returns whether all VMs run, are voters and have applied the same commands, among them each acknowledged one. */
    bool isWhole()
    {
        SimulatedVm* leading = this->leader();
        if (!leading || !this->hasLeaderWithQuorum() || leading->driver->log().membership().members_size() != static_cast<int>(size))
            return false;
        for (const wire::Member& member : leading->driver->log().membership().members()) {
            SimulatedVm& vm = *this->vms.at(member.vm_id());
            if (!member.voter() || member.incarnation() != vm.incarnation || !vm.driver || vm.applied != leading->applied)
                return false;
        }
        std::set<std::string> applied(leading->applied.begin(), leading->applied.end());
        return std::all_of(this->acknowledged.begin(), this->acknowledged.end(), [&](const std::string& name) { return applied.contains(name); });
    }

    void check(bool condition, const std::string& text)
    {
        if (!condition)
            this->violations.push_back(text + " at " + std::to_string(this->now.time_since_epoch().count()) + " ms");
    }

    /** Runs a task on a VM, unless its process ends before. */
    void schedule(SimulatedVm& vm, double ms, std::function<void()> task)
    {
        this->scheduleAt(ms, [&vm, run = vm.run, task = std::move(task)] {
            if (vm.shouldRun && vm.run == run)
                task();
        });
    }

    void scheduleAt(double ms, std::function<void()> task) { this->events.push({ this->now + Milliseconds(ms), this->nextEvent++, std::move(task) }); }

    RandomSource random;
    ReplicatedLogOptions options;
    TimePoint now { Milliseconds(1000) };
    std::map<VmId, std::unique_ptr<SimulatedVm>> vms;
    std::vector<std::string> acknowledged; ///< Names of the accepted commands.
    std::vector<std::string> violations;

private:
    struct Event {
        TimePoint at;
        uint64_t number;
        std::function<void()> action;
        bool operator<(const Event& other) const { return std::pair(this->at, this->number) > std::pair(other.at, other.number); }
    };

    static std::vector<std::string> decode(const std::string& snapshot)
    {
        wire::ApplyManifest list;
        list.ParseFromString(snapshot);
        return { list.removed().begin(), list.removed().end() };
    }

    static std::string encode(const std::vector<std::string>& applied)
    {
        wire::ApplyManifest list;
        list.mutable_removed()->Add(applied.begin(), applied.end());
        return list.SerializeAsString();
    }

    LogDriverHooks hooksOf(SimulatedVm& vm)
    {
        LogDriverHooks hooks;
        hooks.apply = [this, &vm](LogIndex index, const wire::Command& command) {
            const std::string& name = command.entry_vm_gone().entry_vm();
            this->check(this->committed.emplace(index, name).first->second == name, "two VMs applied different commands at the same index");
            vm.applied.push_back(name);
            return wire::CommandResult();
        };
        hooks.save = [&vm] { return encode(vm.applied); };
        hooks.load = [&vm](const std::string& data) { vm.applied = decode(data); };
        hooks.logTimeMs = [] { return 0; };
        hooks.entriesCommitted = [] {};
        hooks.roleChanged = [] {};
        hooks.diskFailed = [this](std::error_code error) { this->check(false, "a process ended: " + error.message()); };
        hooks.now = [this] { return this->now; };
        hooks.post = [this, &vm](std::function<void()> task) { this->schedule(vm, 0, std::move(task)); };
        hooks.send = [this, &vm](VmId to, wire::Envelope envelope) { this->send(vm, to, std::move(envelope)); };
        return hooks;
    }

    void send(SimulatedVm& from, VmId to, wire::Envelope envelope)
    {
        from.sentMessages++;
        this->scheduleAt(0.1 + this->random.fraction() * 2, [this, vm = from.vm, incarnation = from.incarnation, to, envelope = std::move(envelope)] {
            SimulatedVm& receiver = *this->vms.at(to);
            if (!receiver.driver)
                return;
            receiver.planner.recordMessage(vm, incarnation, this->now);
            receiver.driver->receive(vm, incarnation, envelope.log());
            this->scheduleWrite(receiver);
        });
    }

    void scheduleTick(SimulatedVm& vm)
    {
        this->schedule(vm, 20 + this->random.fraction(), [this, &vm] {
            vm.driver->tick();
            this->checkSpace(vm);
            this->planMembership(vm);
            this->scheduleWrite(vm);
            this->scheduleTick(vm);
        });
    }

    /** A full disk is also short of space, as soon as the process looks. */
    void checkSpace(SimulatedVm& vm)
    {
        if (this->now < vm.nextSpaceCheck)
            return;
        vm.nextSpaceCheck = this->now + Milliseconds(200);
        vm.driver->setSpaceShort(vm.disk.refusals.any());
    }

    void scheduleWrite(SimulatedVm& vm, double ms = 0)
    {
        if (vm.isWriteScheduled || vm.driver->isIdle())
            return;
        vm.isWriteScheduled = true;
        this->schedule(vm, ms > 0 ? ms : this->random.fraction() * 4, [this, &vm] {
            vm.isWriteScheduled = false;
            bool hasRoom = vm.driver->writeJobs();
            this->scheduleWrite(vm, hasRoom ? 0 : 200);
        });
    }

    /** Lets a leader propose what its planner says, and a VM that its log does not list ask to join. */
    void planMembership(SimulatedVm& vm)
    {
        const ReplicatedLog& log = vm.driver->log();
        SimulatedVm* leading = this->leader();
        auto isSelf = [&vm](const wire::Member& member) { return member.vm_id() == vm.vm && member.incarnation() == vm.incarnation; };
        bool isListed = std::any_of(log.membership().members().begin(), log.membership().members().end(), isSelf);
        bool wasRemoved = leading && std::none_of(leading->driver->log().membership().members().begin(), leading->driver->log().membership().members().end(), isSelf);
        if (leading && (!isListed || wasRemoved) && this->now >= vm.nextJoinRequest) {
            vm.nextJoinRequest = this->now + Milliseconds(500);
            leading->planner.recordJoinRequest(vm.vm, vm.incarnation, this->now);
        }
        if (log.role() != LogRole::Leader)
            return;
        if (vm.plannedTerm != log.term())
            vm.planner.becomeLeader(this->now);
        vm.plannedTerm = log.term();
        if (!log.isMembershipCommitted())
            return;
        auto hasCaughtUp = [&log](VmId id) { return log.isCaughtUp(id); };
        if (std::optional<wire::Membership> next = vm.planner.nextMembership(log.membership(), vm.vm, hasCaughtUp, this->now))
            vm.driver->proposeMembership(*next);
    }

    std::priority_queue<Event> events;
    uint64_t nextEvent = 0;
    uint64_t nextIncarnation = 101;
    uint64_t lastCommand = 0;
    std::map<LogIndex, std::string> committed; ///< Commands that any VM applied, by index.
};

} // namespace kingcup::testing
