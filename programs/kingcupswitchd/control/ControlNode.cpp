/** @file ControlNode.cpp Implementation of the role control. */
#include "ControlNode.h"

#include "kingcup/FailPoint.h"
#include "kingcup/JsonLog.h"
#include "kingcup/TargetStates.h"

#include <cstdlib>
#include <sys/statvfs.h>

namespace kingcup {

namespace {

constexpr GroupId controlGroup = 0; ///< The one group that runs today.
constexpr Milliseconds diskCheckInterval { 1000 };
constexpr uint64_t diskReserveBytes = 32u << 20; ///< New commands are refused below this, so that what is accepted can still be written.
constexpr int stateFailureExitCode = 70;
constexpr Milliseconds replacementSilence { 5000 }; ///< Longer than a restart takes, shorter than the next loss is expected.

/** Ends the process at once, because its durable or replicated state is no longer known to be right. */
[[noreturn]] void endAfterFailure(std::error_code error)
{
    logLine(LogLevel::Error, "state_failed", { { "code", error.value() }, { "error", error.message() } });
    closeLog();
    std::_Exit(stateFailureExitCode);
}

/** One rule that a test can switch off. */
struct RuleSwitch {
    std::string_view name; ///< Name in the variable.
    bool ControlRules::*rule; ///< The rule.
};

constexpr RuleSwitch ruleSwitches[] = {
    { "claimsAreExclusive", &ControlRules::claimsAreExclusive },
    { "unknownIsFinal", &ControlRules::unknownIsFinal },
    { "releaseLeavesTombstone", &ControlRules::releaseLeavesTombstone },
    { "manifestNumbersGrow", &ControlRules::manifestNumbersGrow },
    { "equalNumbersConflict", &ControlRules::equalNumbersConflict },
    { "checkIncarnations", &ControlRules::checkIncarnations },
};

/** Returns the rules in force: all, but for those that a test switched off with the variable KINGCUP_TEST_DISABLED_RULES. */
ControlRules rulesInForce()
{
    ControlRules rules;
    const char* disabled = std::getenv("KINGCUP_TEST_DISABLED_RULES");
    if (!disabled)
        return rules;
    logLine(LogLevel::Error, "rules_disabled", { { "rules", disabled } });
    for (const RuleSwitch& row : ruleSwitches) {
        if (std::string_view(disabled).find(row.name) != std::string_view::npos)
            rules.*row.rule = false;
    }
    return rules;
}

/** Returns when members are exchanged. A VM that is named by its address cannot run twice, so its old incarnation has ended. */
MembershipPlannerOptions plannerOptions(const Settings& settings, const ControlDirectory& directory)
{
    MembershipPlannerOptions options;
    options.wantedVoters = directory.firstVms().size();
    if (!directory.isOpen())
        return options;
    options.wantedVoters = 2 * settings.toleratedLosses + 1;
    options.mayAdmitUnknownVms = true;
    options.incarnationReplacementTimeout = Milliseconds(0);
    options.voterReplacementTimeout = replacementSilence;
    return options;
}

} // namespace

ControlNode::ControlNode()
    : machine(rulesInForce())
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
    bool empty = this->durable.entries.empty() && !this->durable.snapshot.lastIndex;
    if (this->folder->identity().isBootstrapped && empty)
        return ResultCode::JournalDamaged;
    if (this->snapshotData.empty())
        return {};
    return this->machine.load(this->snapshotData);
}

void ControlNode::start(LinkHub& hub, uint64_t seed)
{
    this->hub = &hub;
    this->sessions = std::make_unique<SessionTable>(this->settings.leaseTerm, this->settings.targetLease);
    ReplicatedLogOptions options;
    options.group = controlGroup;
    options.self = this->settings.controlId;
    options.incarnation = this->incarnation();
    options.electionTimeout = this->settings.electionTimeout;
    options.heartbeatInterval = this->settings.heartbeatInterval;
    LogDriverHooks hooks;
    hooks.apply = [this](LogIndex index, const wire::Command& command) { return this->apply(index, command); };
    hooks.save = [this] { return this->machine.save(); };
    hooks.logTimeMs = [this] { return this->machine.logTimeMs(); };
    hooks.load = [this](const std::string& data) {
        ResultCode code = this->machine.load(data);
        logLine(LogLevel::Info, "snapshot_loaded", { { "result", resultCodeRow(code).name } });
        // Going on over the old tables would make this replica differ from the others.
        if (code != ResultCode::Ok)
            endAfterFailure(code);
    };
    hooks.roleChanged = [this] { this->roleChanged(); };
    // After a failed sync it is unknown what the disk holds, so nothing more may be acknowledged.
    hooks.failed = [](std::error_code error) { endAfterFailure(error); };
    this->driver = std::make_unique<LogDriver>(options, this->durable, std::move(this->snapshotData), *this->storage, seed, this->settings.snapshotEntries, hub, std::move(hooks));
    this->durable = {};
    MembershipManagerOptions membershipOptions;
    membershipOptions.self = options.self;
    membershipOptions.incarnation = options.incarnation;
    membershipOptions.deployment = this->settings.deployment;
    membershipOptions.founders = this->directory->firstVms();
    membershipOptions.formsGroup = this->settings.formGroup;
    membershipOptions.planner = plannerOptions(this->settings, *this->directory);
    auto mark = [this] { return this->folder->markBootstrapped(); };
    this->membership = std::make_unique<MembershipManager>(std::move(membershipOptions), *this->directory, *this->driver, hub, mark, this->folder->identity().isBootstrapped);
}

void ControlNode::stop()
{
    if (this->driver)
        this->driver->stop();
}

void ControlNode::bootstrap(MembershipManager::Done done)
{
    this->membership->bootstrap(std::move(done));
}

void ControlNode::handOver()
{
    this->driver->handOver();
}

wire::CommandResult ControlNode::apply(LogIndex index, const wire::Command& command)
{
    wire::CommandResult result = this->machine.apply(index, command);
    if (this->leads() && command.has_claim())
        checkFailPoint("leader.claim_applied");
    if (this->leads() && command.has_finish_claim())
        checkFailPoint("leader.finish_applied");
    if (command.has_change_target()) {
        const wire::TargetRecord& target = command.change_target().target();
        nlohmann::json fields = targetFields(target);
        fields["index"] = index;
        fields["result"] = resultCodeRow(static_cast<ResultCode>(result.result_code())).name;
        logLine(LogLevel::Info, "target_changed", fields);
        this->pendingTargets.erase({ target.service(), target.address() });
        if (target.state() == wire::TARGET_GONE)
            this->forgetHeartbeat(target);
    }
    if (this->machine.configurationIndex() == index)
        this->schedulePush();
    return result;
}

void ControlNode::receive(const LinkOrigin& origin, const wire::Envelope& envelope)
{
    switch (envelope.body_case()) {
    case wire::Envelope::kLog:
        this->membership->heard(envelope.sender_vm(), envelope.sender_incarnation());
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
    case wire::Envelope::kReplaceControlRequest:
        this->receiveReplacement(origin, envelope);
        return;
    default:
        this->membership->receive(origin, envelope);
    }
}

void ControlNode::tick()
{
    TimePoint now = MillisecondClock::now();
    this->driver->tick();
    this->membership->tick();
    this->checkDisk(now);
    if (this->leaderCode() == ResultCode::Ok)
        this->leaderTick(now);
}

/** Returns Ok when this VM leads with a quorum and has applied all that was committed before its term. */
ResultCode ControlNode::leaderCode() const
{
    if (!this->membership->isBootstrapped())
        return ResultCode::NotBootstrapped;
    if (!this->leads())
        return ResultCode::NotLeader;
    return this->driver->log().hasQuorum(MillisecondClock::now()) ? ResultCode::Ok : ResultCode::NoQuorum;
}

/** Returns leaderCode(), and NoQuorum until the soft state of a new leader is set up. */
ResultCode ControlNode::softStateCode() const
{
    ResultCode code = this->leaderCode();
    return code == ResultCode::Ok && !this->soundLeader ? ResultCode::NoQuorum : code;
}

/** Refuses new commands while the disk is nearly full. */
void ControlNode::checkDisk(TimePoint now)
{
    if (now < this->nextDiskCheck)
        return;
    this->nextDiskCheck = now + diskCheckInterval;
    struct statvfs space { };
    if (statvfs(this->folder->path().c_str(), &space) == 0)
        this->driver->setDiskFull(static_cast<uint64_t>(space.f_bavail) * space.f_frsize < diskReserveBytes);
}

nlohmann::json ControlNode::status() const
{
    const ReplicatedLog& log = this->driver->log();
    nlohmann::json members = nlohmann::json::array();
    for (const wire::Member& member : log.membership().members()) {
        members.push_back({ { "id", member.vm_id() }, { "incarnation", member.incarnation() }, { "voter", member.voter() },
            { "matchIndex", this->leads() ? log.matchIndex(member.vm_id()) : 0 } });
    }
    nlohmann::json entryVms = nlohmann::json::array();
    TimePoint now = MillisecondClock::now();
    for (const auto& [name, session] : this->sessions->sessions()) {
        if (this->leads())
            entryVms.push_back({ { "vm", name }, { "heldIndex", session.heldIndex }, { "heldManifest", session.heldManifestNumber }, { "leaseMs", (session.leaseEnd - now).count() } });
    }
    return { { "vm", this->settings.vm }, { "role", nameOf(logRoleNames, log.role()) }, { "leader", log.leader() }, { "term", log.term() }, { "commitIndex", log.commitIndex() },
        { "appliedIndex", this->driver->appliedIndex() }, { "bootstrapped", this->membership->isBootstrapped() }, { "incarnation", this->incarnation() },
        { "members", members }, { "entryVms", entryVms }, { "manifest", { { "number", this->machine.manifestNumber() }, { "digest", this->machine.manifestDigest() } } } };
}

void ControlNode::report(Metrics& metrics) const
{
    const ReplicatedLog& log = this->driver->log();
    metrics.gauge("kingcup_log_leads", this->leads() ? 1 : 0);
    metrics.gauge("kingcup_log_has_quorum", log.hasQuorum(MillisecondClock::now()) ? 1 : 0);
    metrics.gauge("kingcup_log_term", static_cast<double>(log.term()));
    metrics.gauge("kingcup_log_last_index", static_cast<double>(log.lastIndex()));
    metrics.gauge("kingcup_log_commit_index", static_cast<double>(log.commitIndex()));
    metrics.gauge("kingcup_log_applied_index", static_cast<double>(this->driver->appliedIndex()));
    metrics.gauge("kingcup_log_syncs", static_cast<double>(this->driver->syncs()));
    metrics.gauge("kingcup_targets", static_cast<double>(this->machine.targets().size()));
    metrics.gauge("kingcup_live_entry_vms", this->leads() ? static_cast<double>(this->sessions->sessions().size()) : 0);
}

nlohmann::json ControlNode::dump() const
{
    nlohmann::json result = this->status();
    result["lastIndex"] = this->driver->log().lastIndex();
    result["syncs"] = this->driver->syncs();
    result["stateDigest"] = this->machine.stateDigest();
    result["state"] = nlohmann::json::parse(this->machine.dump());
    return result;
}

} // namespace kingcup
