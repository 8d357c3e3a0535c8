/** @file ControlNode.h Control role of the daemon: member of the replicated log and, while it is the leader, server for all other VMs. */
#pragma once

#include "LogDriver.h"
#include "MembershipManager.h"
#include "RelayGate.h"

#include "kingcup/ChangesCache.h"
#include "kingcup/ControlStateMachine.h"
#include "kingcup/DataFolder.h"
#include "kingcup/Metrics.h"
#include "kingcup/RelayDirectory.h"
#include "kingcup/SessionTable.h"
#include "kingcup/Settings.h"
#include "kingcup/UsageLender.h"

#include <map>
#include <memory>
#include <set>
#include <string>

#include <nlohmann/json.hpp>

namespace kingcup {

/**
 * Runs the control role: opens the data folder, drives the replicated log and serves the requests of other VMs. After start(),
 * all functions except stop() must be called on the hub's thread.
 */
class ControlNode {
public:
    ControlNode();

    /**
     * Opens the data folder and loads the newest snapshot. Returns an error of DataFolder, LogStorage or
     * ControlStateMachine, or JournalDamaged if the folder belongs to a group but has neither entries nor a snapshot.
     * @param directory Must outlive this object. @param newIncarnation Incarnation for a folder that is created.
     */
    std::error_code open(const Settings& settings, const ControlDirectory& directory, uint64_t newIncarnation);

    /**
     * Creates the log driver and the membership manager. The hub must outlive this object, and its thread must not run yet.
     * @param gate Told of the targets; must outlive this object. @param seed Seed of the log's random numbers.
     */
    void start(LinkHub& hub, RelayGate& gate, uint64_t seed);

    /** Handles a message of any VM. Messages that are not for the control role are ignored. */
    void receive(const LinkOrigin& origin, const wire::Envelope& envelope);

    /** Runs timeouts and periodic work. Called at the tick interval of the hub. */
    void tick();

    /** Replaces the VMs to which this VM sends its join requests. */
    void setSeeds(std::vector<VmId> vms) { this->membershipManager->setSeeds(std::move(vms)); }

    /** Forms the group from the control VMs of the settings. @param done Called on the hub's thread with the result. */
    void bootstrap(MembershipManager::Done done);

    /** Starts to transfer leadership to another voter. Has no effect on a VM that is not the leader. */
    void transferLeadership();

    /** Finishes all pending writes. Must be called after the hub's thread has ended. */
    void stop();

    /** Returns whether this VM is the leader in its own view; another VM may have been elected since. */
    bool isLeader() const { return this->driver->log().role() == LogRole::Leader; }

    /** Returns the leader of the current term, or 0 if it is unknown. */
    VmId leader() const { return this->driver->log().leader(); }

    /** Returns the incarnation of the data folder, which distinguishes a VM with a new disk from the earlier one. */
    uint64_t incarnation() const { return this->folder->identity().incarnation; }

    /** Returns this VM's view of the group as a JSON object. Leader-only values are 0 or empty on other VMs. */
    nlohmann::json status() const;

    /** Sets the metrics of the control role. */
    void report(Metrics& metrics) const;

    /** Returns status() with the replicated state as a JSON object. */
    nlohmann::json dump() const;

private:
    /** Entry VM that receives pushes of new configurations. */
    struct Subscriber {
        LinkOrigin origin; ///< Connection to which pushes are sent.
        LogIndex sentIndex = 0; ///< Log index of the configuration that was sent last.
        bool acceptsCompressed = false; ///< Whether it reads compressed changes.
    };
    /** Answer that is delayed until all entry VMs with a lease have confirmed a configuration. */
    struct DelayedAnswer {
        LogIndex index = 0; ///< Log index of the configuration to be confirmed.
        TimePoint deadline {}; ///< Time at which the answer is sent without the confirmations.
        std::function<void()> send; ///< Sends the answer.
    };
    wire::CommandResult apply(LogIndex index, const wire::Command& command);
    void removeHeartbeat(const wire::TargetRecord& target);
    void handleRoleChange();
    void receiveSession(const LinkOrigin& origin, const wire::Envelope& envelope);
    void scheduleLeaderStart();
    void receiveCommand(const LinkOrigin& origin, const wire::Envelope& envelope);
    void receiveHeartbeats(const LinkOrigin& origin, const wire::Envelope& envelope);
    void receiveQuery(const LinkOrigin& origin, const wire::Envelope& envelope);
    void receiveRelayOffer(const wire::Envelope& envelope);
    void addRelays(const wire::SessionRequest& request, wire::SessionAnswer& answer, TimePoint now);
    void updateRelay(TimePoint now);
    void updateUsageCaps(TimePoint now);
    void receiveReplacement(const LinkOrigin& origin, const wire::Envelope& envelope);
    void answerCommand(const LinkOrigin& origin, uint64_t requestId, const wire::CommandResult& result);
    void proposeManifest(const std::string& text, int attempt, LogDriver::Done done);
    void recordAnnouncement(wire::TargetLoad load, TimePoint now);
    void proposeTargetIfChanged(const wire::TargetLoad& load, TimePoint now);
    bool hasBecomeCold(const wire::TargetLoad& load, const wire::TargetRecord& recorded, TimePoint now) const;
    bool completeTargetChange(wire::ChangeTarget& change);
    void proposeReplacedTargetsGone(const wire::TargetRecord& target);
    void proposeTarget(const wire::TargetRecord& target);
    void proposeEntryVmGone(const std::string& entryVm, uint64_t incarnation);
    void proposeInternal(wire::Command command);
    void tickLeader(TimePoint now);
    void schedulePush();
    void pushConfiguration();
    LogDriver::Done delayUntilInForce(LogDriver::Done done);
    void sendConfirmedAnswers(TimePoint now);
    void checkDisk(TimePoint now);
    ResultCode leaderCode() const;
    ResultCode softStateCode() const;
    nlohmann::json answerQuery(const std::string& subject) const;
    nlohmann::json zonesOutOfUse() const;
    nlohmann::json manifestInForce() const;
    nlohmann::json manifestStatus(uint64_t number) const;

    wire::ConfigurationChanges changesSince(LogIndex index, bool acceptsCompressed);
    void addControlVms(wire::SessionAnswer& answer) const;

    Settings settings; ///< Settings of this process.
    const ControlDirectory* directory = nullptr; ///< Ids and link addresses of the control VMs.
    std::unique_ptr<DataFolder> folder; ///< Locked data folder with the identity of this VM.
    std::unique_ptr<LogStorage> storage; ///< Journal and snapshots in the data folder.
    DurableLogState durable; ///< Log as read by open(); cleared after start() has passed it to the driver.
    std::string snapshotData; ///< Snapshot as read by open(); empty: none.
    ControlStateMachine stateMachine; ///< Replicated state to which committed commands are applied.
    std::unique_ptr<SessionTable> sessions; ///< Leases and heartbeats, which only the leader maintains.
    std::unique_ptr<RelayDirectory> relayDirectory; ///< Offers to relay connections, which only the leader maintains.
    std::unique_ptr<UsageLender> usageLender; ///< Usage of organisations, which only the leader maintains.
    std::string usageCapsDigest; ///< Digest of the manifest from which the caps were read.
    RelayGate* gate = nullptr; ///< Decides on connections that other VMs want relayed.
    LogIndex relayedIndex = 0; ///< Log index of the targets that the gate knows.
    TimePoint nextRelayOffer {}; ///< Time of the next offer to the leader.
    LinkHub* hub = nullptr; ///< Sends messages and runs posted tasks.
    std::unique_ptr<LogDriver> driver; ///< Replicated log with its storage and links.
    std::unique_ptr<MembershipManager> membershipManager; ///< Bootstrap and membership changes.
    std::map<std::string, Subscriber> subscribers; ///< Subscribed entry VMs by name.
    std::set<std::pair<std::string, std::string>> pendingTargets; ///< Service and address of each target with a proposal that is not yet applied.
    ChangesCache changesCache; ///< Compressed changes for answers and pushes.
    std::vector<DelayedAnswer> delayedAnswers; ///< Delayed answers to quarantine requests.
    std::set<std::string> departedInstances; ///< Names of instances that left before they were recorded; their late announcements are ignored.
    bool isPushPosted = false; ///< Whether a push is posted to the hub.
    bool wasLeader = false; ///< Whether this VM was the leader at the last role change.
    bool hasInitialisedSessions = false; ///< Whether the sessions are initialised for the current leadership.
    TimePoint nextExpiry {}; ///< Time of the next command that deletes expired records.
    TimePoint nextDiskCheck {}; ///< Time of the next check of the free disk space.
};

} // namespace kingcup
