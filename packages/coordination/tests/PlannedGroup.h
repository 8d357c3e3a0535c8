/** @file PlannedGroup.h Simulated control group whose leader changes the membership as its planner says. */
#pragma once

#include "LogNetwork.h"

#include "kingcup/MembershipPlanner.h"

namespace kingcup::testing {

inline constexpr double joinRequestIntervalMs = 500;
inline constexpr double linkOpeningMs = 150; ///< Time after a restart in which no messages are exchanged, because the links are not open.
inline constexpr double catchUpMs = 4000; ///< Time after which a VM that lost its disk must be a voter again.
inline constexpr size_t toleratedLosses = 2;
inline constexpr VmId groupSize = 2 * toleratedLosses + 1;

inline ReplicatedLogOptions logOptions()
{
    ReplicatedLogOptions options;
    options.electionTimeout = Milliseconds(400);
    options.heartbeatInterval = Milliseconds(80);
    return options;
}

/** Group whose leader changes the membership as its planner says. */
class PlannedGroup {
public:
    explicit PlannedGroup(uint64_t seed, LogDiskHooks diskHooks = {})
        : network(seed, logOptions(), groupSize)
    {
        this->network.diskHooks = std::move(diskHooks);
        this->network.messageHook = [this](LogNode& receiver, VmId from, uint64_t fromIncarnation) { this->planner(receiver.vm).recordMessage(from, fromIncarnation, this->network.now); };
        this->network.tickHook = [this](LogNode& node) { this->tick(node); };
        this->network.runUntil([this] { return this->network.leaderWithQuorum() != nullptr; });
    }

    /** Lets VMs lose their disks. The other VMs keep running. */
    void loseDisks(const std::vector<VmId>& vms)
    {
        for (VmId vm : vms) {
            this->network.wipeDisk(vm);
            this->network.isolate(vm);
            this->planners.erase(vm);
        }
        this->network.runFor(linkOpeningMs);
        this->network.blockedLinks.clear();
    }

    /** Lets all running VMs lose power, and some of them their disks as well. */
    void losePower(const std::vector<VmId>& lostDisks)
    {
        std::vector<VmId> running = this->runningVms();
        for (VmId vm : running)
            this->network.losePower(vm);
        this->planners.clear();
        for (VmId vm : running) {
            if (std::find(lostDisks.begin(), lostDisks.end(), vm) == lostDisks.end())
                this->network.start(vm);
        }
        this->loseDisks(lostDisks);
    }

    /** Kills the processes of all running VMs and starts them again. */
    void killAll()
    {
        for (VmId vm : this->runningVms()) {
            this->network.kill(vm);
            this->startAgain(vm);
        }
    }

    std::vector<VmId> runningVms() const
    {
        std::vector<VmId> result;
        for (const auto& [vm, node] : this->network.nodes) {
            if (node.log)
                result.push_back(vm);
        }
        return result;
    }

    /** Starts a VM that belongs to no group. */
    void startNewVm(VmId vm) { this->loseDisks({ vm }); }

    /** Starts a VM with its disk after a crash. */
    void startAgain(VmId vm)
    {
        this->planners.erase(vm);
        this->network.start(vm);
    }

    /** Returns whether the running incarnation of a VM is a voter. */
    bool isVoter(VmId vm)
    {
        const auto& members = this->network.leader()->log->membership().members();
        return std::any_of(members.begin(), members.end(), [&](const wire::Member& member) {
            return member.vm_id() == vm && member.voter() && member.incarnation() == this->network.nodes[vm].incarnation;
        });
    }

    /** Returns whether the members are exactly the current incarnations of all VMs, all of them voters. */
    bool isWhole()
    {
        LogNode* leading = this->network.leaderWithQuorum();
        if (!leading || !leading->log->isMembershipCommitted())
            return false;
        const auto& members = leading->log->membership().members();
        return members.size() == static_cast<int>(groupSize) && std::all_of(members.begin(), members.end(), [this](const wire::Member& member) {
            return member.voter() && member.incarnation() == this->network.nodes[member.vm_id()].incarnation;
        });
    }

    /** Returns the two VMs that follow a VM in the order of ids. */
    static std::vector<VmId> nextTwo(VmId vm) { return { vm % groupSize + 1, (vm + 1) % groupSize + 1 }; }

    LogNetwork network;

private:
    MembershipPlanner& planner(VmId vm) { return this->planners.try_emplace(vm, seededPlannerOptions(toleratedLosses)).first->second; }

    void tick(LogNode& node)
    {
        this->sendJoinRequest(node);
        bool isLeader = node.log->role() == LogRole::Leader;
        if (isLeader && this->leaderTerms[node.incarnation] != node.log->term()) {
            this->leaderTerms[node.incarnation] = node.log->term();
            this->planner(node.vm).becomeLeader(this->network.now);
        }
        if (!isLeader || !node.log->isMembershipCommitted())
            return;
        auto hasCaughtUp = [&node](VmId vm) { return node.log->isCaughtUp(vm); };
        std::optional<wire::Membership> next = this->planner(node.vm).nextMembership(node.log->membership(), node.vm, hasCaughtUp, this->network.now);
        if (!next)
            return;
        ReplicatedLog::Proposal proposal;
        this->network.processOutput(node, node.log->proposeMembership(*next, this->network.now, proposal));
    }

    /** A VM that its own log does not list asks the leader to join. */
    void sendJoinRequest(const LogNode& node)
    {
        LogNode* leading = this->network.leader();
        TimePoint& nextTime = this->nextJoinRequestTimes[node.incarnation];
        bool isBlocked = leading && this->network.blockedLinks.contains({ node.vm, leading->vm });
        const auto& members = node.log->membership().members();
        bool isListed = std::any_of(members.begin(), members.end(), [&node](const wire::Member& member) { return member.vm_id() == node.vm && member.incarnation() == node.incarnation; });
        if (isListed || !leading || isBlocked || this->network.now < nextTime)
            return;
        nextTime = this->network.now + Milliseconds(joinRequestIntervalMs);
        this->planner(leading->vm).recordJoinRequest(node.vm, node.incarnation, this->network.now);
    }

    std::map<VmId, MembershipPlanner> planners; ///< Planner of each VM since its start.
    std::map<uint64_t, Term> leaderTerms; ///< Latest term that each incarnation has led.
    std::map<uint64_t, TimePoint> nextJoinRequestTimes; ///< By incarnation.
};

} // namespace kingcup::testing
