/** @file ControlNode.h The role control: voter of the replicated log and, as its leader, server of all other VMs. */
#pragma once

#include "LogDriver.h"
#include "MembershipManager.h"

#include "kingcup/ControlStateMachine.h"
#include "kingcup/DataFolder.h"
#include "kingcup/Metrics.h"
#include "kingcup/SessionTable.h"
#include "kingcup/Settings.h"

#include <map>
#include <memory>
#include <set>
#include <string>

#include <nlohmann/json.hpp>

namespace kingcup {

/** Runs the role control. All functions run on the thread of the hub, but for open() and stop(). */
class ControlNode {
public:
    ControlNode();

    /** Opens the data folder. Errors of DataFolder and LogStorage. */
    std::error_code open(const Settings& settings, const ControlDirectory& directory, uint64_t newIncarnation);

    /** Connects the node with the hub, whose thread must not run yet. @param seed Of random numbers. */
    void start(LinkHub& hub, uint64_t seed);

    /** Handles a message. */
    void receive(const LinkOrigin& origin, const wire::Envelope& envelope);

    /** Advances time. */
    void tick();

    /** Takes over other seeds. */
    void setSeeds(std::vector<VmId> vms) { this->membership->setSeeds(std::move(vms)); }

    /** Forms the group. */
    void bootstrap(MembershipManager::Done done);

    /** Starts the hand-over of leadership. */
    void handOver();

    /** Finishes all writes. Called after the hub was stopped. */
    void stop();

    /** Returns whether this VM leads. */
    bool leads() const { return this->driver->log().role() == LogRole::Leader; }

    /** Returns the known leader; 0 for none. */
    VmId leader() const { return this->driver->log().leader(); }

    /** Returns the incarnation of the data folder. */
    uint64_t incarnation() const { return this->folder->identity().incarnation; }

    /** Returns this VM's view of the group. */
    nlohmann::json status() const;

    /** Sets the gauges of this role. */
    void report(Metrics& metrics) const;

    /** Returns the whole state of this role. */
    nlohmann::json dump() const;

private:
    struct Subscriber {
        LinkOrigin origin; ///< Where pushes go.
        LogIndex sentIndex = 0; ///< Configuration sent last.
    };
    struct AwaitedConfiguration {
        LogIndex index = 0; ///< Entry VMs have to confirm this.
        TimePoint deadline {}; ///< Answered then in any case.
        std::function<void()> answer; ///< Sends the answer.
    };
    wire::CommandResult apply(LogIndex index, const wire::Command& command);
    void forgetHeartbeat(const wire::TargetRecord& target);
    void roleChanged();
    void receiveSession(const LinkOrigin& origin, const wire::Envelope& envelope);
    void receiveCommand(const LinkOrigin& origin, const wire::Envelope& envelope);
    void receiveHeartbeats(const LinkOrigin& origin, const wire::Envelope& envelope);
    void receiveQuery(const LinkOrigin& origin, const wire::Envelope& envelope);
    void receiveReplacement(const LinkOrigin& origin, const wire::Envelope& envelope);
    void answerCommand(const LinkOrigin& origin, uint64_t requestId, const wire::CommandResult& result);
    void proposeManifest(const std::string& text, int attempt, LogDriver::Done done);
    void takeAnnouncement(wire::TargetLoad load, TimePoint now);
    void considerTarget(const wire::TargetRecord& target);
    bool resolveDeparture(wire::ChangeTarget& change);
    void proposeReplacedGone(const wire::TargetRecord& target);
    void proposeTarget(const wire::TargetRecord& target);
    void proposeEntryVmGone(const std::string& entryVm, uint64_t incarnation);
    void proposeInternal(wire::Command command);
    void leaderTick(TimePoint now);
    void schedulePush();
    void pushConfiguration();
    LogDriver::Done answeredOnceInForce(LogDriver::Done done);
    void answerConfirmed(TimePoint now);
    void checkDisk(TimePoint now);
    ResultCode leaderCode() const;
    ResultCode softStateCode() const;
    nlohmann::json answerQuery(const std::string& subject) const;
    nlohmann::json manifestInForce() const;
    nlohmann::json manifestStatus(uint64_t number) const;

    wire::ConfigurationChanges changesSince(LogIndex index) const;
    void addControlVms(wire::SessionAnswer& answer) const;

    Settings settings; ///< Of this process.
    const ControlDirectory* directory = nullptr; ///< Addresses.
    std::unique_ptr<DataFolder> folder; ///< Durable state.
    std::unique_ptr<LogStorage> storage; ///< Log and snapshots in it.
    DurableLogState durable; ///< Read at the start.
    std::string snapshotData; ///< Read at the start.
    ControlStateMachine machine; ///< What the log decides.
    std::unique_ptr<SessionTable> sessions; ///< Soft state of a leader.
    LinkHub* hub = nullptr; ///< Sends.
    std::unique_ptr<LogDriver> driver; ///< The log.
    std::unique_ptr<MembershipManager> membership; ///< Changes of members.
    std::map<std::string, Subscriber> subscribers; ///< Entry VMs by name.
    std::set<std::pair<std::string, std::string>> pendingTargets; ///< Targets with a proposal under way.
    std::vector<AwaitedConfiguration> awaitedConfigurations; ///< Answers that wait until all entry VMs hold a configuration.
    std::set<std::string> leftInstances; ///< Instances that left before this leader knew them.
    bool pushPosted = false; ///< A push is waiting in the hub.
    bool wasLeader = false; ///< Role at the last change.
    bool soundLeader = false; ///< Whether the soft state was set up for this term of leadership.
    TimePoint nextExpiry {}; ///< Next command that expires claims.
    TimePoint nextDiskCheck {}; ///< Next look at the free space.
};

} // namespace kingcup
