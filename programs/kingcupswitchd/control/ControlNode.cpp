/** @file ControlNode.cpp Implementation of the control role: start, message dispatch, status and metrics. */
#include "ControlNode.h"

#include "kingcup/FailPoint.h"
#include "kingcup/FreeSpace.h"
#include "kingcup/JsonLog.h"
#include "kingcup/TargetStates.h"

#include <cstdlib>

namespace kingcup {

namespace {

constexpr GroupId controlGroup = 0; ///< Group id of the only replicated log of a deployment.
constexpr Milliseconds diskCheckInterval { 1000 };
constexpr Milliseconds shortDiskCheckInterval { 200 }; ///< While commands are refused.
constexpr uint64_t diskReserveBytes = 32u << 20; ///< New commands are refused while less is free, so that accepted ones can still be written.
constexpr int stateFailureExitCode = 70;

/** Ends the process without further cleanup, because its durable or replicated state may be wrong. */
[[noreturn]] void exitAfterFailure(std::error_code error)
{
    logLine(LogLevel::Error, "state_failed", { { "code", error.value() }, { "error", error.message() } });
    closeLog();
    std::_Exit(stateFailureExitCode);
}

/** Rule of the state machine that a test can disable. */
struct RuleSwitch {
    std::string_view name; ///< Name in KINGCUP_TEST_DISABLED_RULES.
    bool ControlRules::*rule; ///< Field that enables the rule.
};

constexpr RuleSwitch ruleSwitches[] = {
    { "claimsAreExclusive", &ControlRules::claimsAreExclusive },
    { "unknownIsFinal", &ControlRules::unknownIsFinal },
    { "releaseLeavesTombstone", &ControlRules::releaseLeavesTombstone },
    { "manifestNumbersGrow", &ControlRules::manifestNumbersGrow },
    { "equalNumbersConflict", &ControlRules::equalNumbersConflict },
    { "checkIncarnations", &ControlRules::checkIncarnations },
};

/** Returns all rules as enabled, except for those that a test names in the environment variable KINGCUP_TEST_DISABLED_RULES. */
ControlRules enabledRules()
{
    ControlRules rules;
    const char* disabledRules = std::getenv("KINGCUP_TEST_DISABLED_RULES");
    if (!disabledRules)
        return rules;
    logLine(LogLevel::Error, "rules_disabled", { { "rules", disabledRules } });
    for (const RuleSwitch& ruleSwitch : ruleSwitches) {
        if (std::string_view(disabledRules).find(ruleSwitch.name) != std::string_view::npos)
            rules.*ruleSwitch.rule = false;
    }
    return rules;
}

/** Returns the limits and timeouts of membership changes. */
MembershipPlannerOptions plannerOptions(const Settings& settings, const ControlDirectory& directory)
{
    if (directory.acceptsUnlistedVms())
        return seededPlannerOptions(settings.toleratedLosses);
    MembershipPlannerOptions options;
    options.wantedVoters = directory.initialVms().size();
    return options;
}

} // namespace

ControlNode::ControlNode()
    : stateMachine(enabledRules())
{
}

std::error_code ControlNode::open(const Settings& settings, const ControlDirectory& controlDirectory, uint64_t newIncarnation)
{
    this->directory = &controlDirectory;
    this->settings = settings;
    std::error_code error = DataFolder::open(settings.dataFolder, settings.deployment, settings.controlId, newIncarnation, this->folder);
    if (error)
        return error;
    error = LogStorage::open(*this->folder, systemFileHooks(), this->storage, this->durable, this->snapshotData);
    if (error)
        return error;
    bool isEmpty = this->durable.entries.empty() && !this->durable.snapshot.lastIndex;
    if (this->folder->identity().isBootstrapped && isEmpty)
        return ResultCode::JournalDamaged;
    if (this->snapshotData.empty())
        return {};
    return this->stateMachine.load(this->snapshotData);
}

void ControlNode::start(LinkHub& hub, RelayGate& relayGate, uint64_t seed)
{
    this->hub = &hub;
    this->gate = &relayGate;
    this->relayDirectory = std::make_unique<RelayDirectory>(this->settings.leaseTerm);
    this->usageLender = std::make_unique<UsageLender>(this->settings.usageCap, this->settings.leaseTerm, this->settings.sessionInterval);
    this->sessions = std::make_unique<SessionTable>(this->settings.leaseTerm, this->settings.targetLease);
    ReplicatedLogOptions options;
    options.group = controlGroup;
    options.self = this->settings.controlId;
    options.incarnation = this->incarnation();
    options.electionTimeout = this->settings.electionTimeout;
    options.heartbeatInterval = this->settings.heartbeatInterval;
    LogDriverHooks hooks;
    hooks.apply = [this](LogIndex index, const wire::Command& command) { return this->apply(index, command); };
    hooks.save = [this] { return this->stateMachine.save(); };
    hooks.logTimeMs = [this] { return this->stateMachine.logTimeMs(); };
    hooks.load = [this](const std::string& data) {
        ResultCode code = this->stateMachine.load(data);
        logLine(LogLevel::Info, "snapshot_loaded", { { "result", resultCodeRow(code).name } });
        // With the old tables this replica would diverge from the others.
        if (code != ResultCode::Ok)
            exitAfterFailure(code);
    };
    hooks.roleChanged = [this] { this->handleRoleChange(); };
    hooks.entriesCommitted = [this] { this->scheduleLeaderStart(); };
    // After a failed sync the content of the disk is unknown, so nothing more may be acknowledged.
    hooks.diskFailed = [](std::error_code error) { exitAfterFailure(error); };
    hooks.send = [&hub](VmId vm, wire::Envelope envelope) { hub.send(vm, std::move(envelope)); };
    hooks.post = [&hub](std::function<void()> task) { hub.post(std::move(task)); };
    this->driver = std::make_unique<LogDriver>(options, this->durable, std::move(this->snapshotData), *this->storage, seed, this->settings.snapshotEntries, std::move(hooks));
    this->durable = {};
    MembershipManagerOptions membershipOptions;
    membershipOptions.self = options.self;
    membershipOptions.incarnation = options.incarnation;
    membershipOptions.deployment = this->settings.deployment;
    membershipOptions.initialMembers = this->directory->initialVms();
    membershipOptions.formsGroup = this->settings.formGroup;
    membershipOptions.planner = plannerOptions(this->settings, *this->directory);
    auto markBootstrapped = [this] { return this->folder->markBootstrapped(); };
    this->membershipManager = std::make_unique<MembershipManager>(std::move(membershipOptions), *this->directory, *this->driver, hub, markBootstrapped, this->folder->identity().isBootstrapped);
}

void ControlNode::stop()
{
    if (this->driver)
        this->driver->stop();
}

void ControlNode::bootstrap(MembershipManager::Done done)
{
    this->membershipManager->bootstrap(std::move(done));
}

void ControlNode::transferLeadership()
{
    this->driver->transferLeadership();
}

wire::CommandResult ControlNode::apply(LogIndex index, const wire::Command& command)
{
    wire::CommandResult result = this->stateMachine.apply(index, command);
    if (this->isLeader() && command.has_claim())
        checkFailPoint("leader.claim_applied");
    if (this->isLeader() && command.has_finish_claim())
        checkFailPoint("leader.finish_applied");
    if (command.has_change_target()) {
        const wire::TargetRecord& target = command.change_target().target();
        nlohmann::json fields = targetFields(target);
        fields["index"] = index;
        fields["result"] = resultCodeRow(static_cast<ResultCode>(result.result_code())).name;
        logLine(LogLevel::Info, "target_changed", fields);
        this->pendingTargets.erase({ target.service(), target.address() });
        if (target.state() == wire::TARGET_GONE)
            this->removeHeartbeat(target);
    }
    bool hasZoneChanged = command.has_change_zone() && this->stateMachine.configurationIndex() == index;
    if (hasZoneChanged && this->isLeader())
        logLine(LogLevel::Info, "zone_changed", { { "zone", command.change_zone().availability_zone() }, { "state", command.change_zone().out_of_use() ? "out_of_use" : "in_use" }, { "index", index } });
    if (this->stateMachine.configurationIndex() == index)
        this->schedulePush();
    return result;
}

void ControlNode::receive(const LinkOrigin& origin, const wire::Envelope& envelope)
{
    switch (envelope.body_case()) {
    case wire::Envelope::kLog:
        this->membershipManager->recordMessage(envelope.sender_vm(), envelope.sender_incarnation());
        this->driver->receive(envelope.sender_vm(), envelope.sender_incarnation(), envelope.log());
        return;
    case wire::Envelope::kSessionRequest:
        this->receiveSession(origin, envelope);
        return;
    case wire::Envelope::kCommandRequest:
        this->receiveCommand(origin, envelope);
        return;
    case wire::Envelope::kHeartbeatBatch:
        this->receiveHeartbeats(origin, envelope);
        return;
    case wire::Envelope::kQueryRequest:
        this->receiveQuery(origin, envelope);
        return;
    case wire::Envelope::kRelayOffer:
        this->receiveRelayOffer(envelope);
        return;
    case wire::Envelope::kReplaceControlRequest:
        this->receiveReplacement(origin, envelope);
        return;
    default:
        this->membershipManager->receive(origin, envelope);
    }
}

void ControlNode::tick()
{
    TimePoint now = MillisecondClock::now();
    this->driver->tick();
    this->membershipManager->tick();
    this->checkDisk(now);
    this->updateRelay(now);
    if (this->leaderCode() == ResultCode::Ok)
        this->tickLeader(now);
}

/**
 * Returns Ok if this VM is the leader of a bootstrapped group, has a quorum and has applied all entries committed before its
 * term; otherwise the reason why it cannot serve requests.
 */
ResultCode ControlNode::leaderCode() const
{
    if (!this->membershipManager->isBootstrapped())
        return ResultCode::NotBootstrapped;
    if (!this->isLeader())
        return ResultCode::NotLeader;
    return this->driver->log().hasQuorum(MillisecondClock::now()) ? ResultCode::Ok : ResultCode::NoQuorum;
}

/** Returns leaderCode(), but NoQuorum until a new leader has initialised its sessions. */
ResultCode ControlNode::softStateCode() const
{
    ResultCode code = this->leaderCode();
    return code == ResultCode::Ok && !this->hasInitialisedSessions ? ResultCode::NoQuorum : code;
}

/** Refuses new commands while the free disk space is below the reserve. */
void ControlNode::checkDisk(TimePoint now)
{
    if (now < this->nextDiskCheck)
        return;
    std::optional<uint64_t> free = freeBytes(this->folder->path());
    bool isShort = free && *free < diskReserveBytes;
    this->nextDiskCheck = now + (isShort ? shortDiskCheckInterval : diskCheckInterval);
    this->driver->setSpaceShort(isShort);
}

nlohmann::json ControlNode::status() const
{
    const ReplicatedLog& log = this->driver->log();
    nlohmann::json members = nlohmann::json::array();
    for (const wire::Member& member : log.membership().members()) {
        members.push_back({ { "id", member.vm_id() }, { "incarnation", member.incarnation() }, { "voter", member.voter() },
            { "matchIndex", this->isLeader() ? log.matchIndex(member.vm_id()) : 0 } });
    }
    nlohmann::json entryVms = nlohmann::json::array();
    TimePoint now = MillisecondClock::now();
    for (const auto& [name, session] : this->sessions->sessions()) {
        if (this->isLeader())
            entryVms.push_back({ { "vm", name }, { "heldIndex", session.heldIndex }, { "heldManifest", session.heldManifestNumber }, { "leaseMs", (session.leaseEnd - now).count() } });
    }
    return { { "vm", this->settings.vm }, { "role", nameOf(logRoleNames, log.role()) }, { "leader", log.leader() }, { "term", log.term() }, { "commitIndex", log.commitIndex() },
        { "appliedIndex", this->driver->appliedIndex() }, { "bootstrapped", this->membershipManager->isBootstrapped() }, { "incarnation", this->incarnation() },
        { "members", members }, { "entryVms", entryVms }, { "manifest", { { "number", this->stateMachine.manifestNumber() }, { "digest", this->stateMachine.manifestDigest() } } },
        { "zonesOutOfUse", this->zonesOutOfUse() } };
}

void ControlNode::report(Metrics& metrics) const
{
    const ReplicatedLog& log = this->driver->log();
    metrics.setGauge("kingcup_log_leads", this->isLeader() ? 1 : 0);
    metrics.setGauge("kingcup_log_has_quorum", log.hasQuorum(MillisecondClock::now()) ? 1 : 0);
    metrics.setGauge("kingcup_log_term", static_cast<double>(log.term()));
    metrics.setGauge("kingcup_log_last_index", static_cast<double>(log.lastIndex()));
    metrics.setGauge("kingcup_log_commit_index", static_cast<double>(log.commitIndex()));
    metrics.setGauge("kingcup_log_applied_index", static_cast<double>(this->driver->appliedIndex()));
    metrics.setGauge("kingcup_log_syncs", static_cast<double>(this->driver->syncs()));
    metrics.setGauge("kingcup_targets", static_cast<double>(this->stateMachine.targets().size()));
    metrics.setGauge("kingcup_zones_out_of_use", static_cast<double>(this->stateMachine.zonesOutOfUse().size()));
    if (this->isLeader() || !this->settings.entry)
        metrics.setGauge("kingcup_usage_caps_closed", this->isLeader() ? static_cast<double>(this->usageLender->closedOrganisations(MillisecondClock::now())) : 0);
    metrics.setGauge("kingcup_live_entry_vms", this->isLeader() ? static_cast<double>(this->sessions->sessions().size()) : 0);
}

nlohmann::json ControlNode::dump() const
{
    nlohmann::json result = this->status();
    result["lastIndex"] = this->driver->log().lastIndex();
    result["syncs"] = this->driver->syncs();
    result["stateDigest"] = this->stateMachine.stateDigest();
    result["state"] = nlohmann::json::parse(this->stateMachine.dump());
    return result;
}

} // namespace kingcup
