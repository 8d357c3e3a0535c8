/** @file ControlNode.cpp Implementation of the role control. */
#include "ControlNode.h"

#include "kingcup/ApplyManifest.h"
#include "kingcup/FailPoint.h"
#include "kingcup/JsonLog.h"
#include "kingcup/ManifestParser.h"
#include "kingcup/TargetStates.h"

#include <algorithm>
#include <cstdlib>
#include <sys/statvfs.h>

namespace kingcup {

namespace {

constexpr GroupId controlGroup = 0; ///< The one group that runs today.
constexpr Milliseconds expiryInterval { 10000 };
constexpr Milliseconds diskCheckInterval { 1000 };
constexpr uint64_t diskReserveBytes = 32u << 20; ///< New commands are refused below this, so that what is accepted can still be written.
constexpr int stateFailureExitCode = 70;
constexpr size_t loadDigestBytes = 2048; ///< In one answer a second, within the 4 KB/s of control traffic.
constexpr Milliseconds confirmationLimit { 400 }; ///< An entry VM that failed must not hold up an answer for its whole lease.
constexpr int maxManifestAttempts = 5; ///< Tries of a change whose base was replaced meanwhile.

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

/** Returns whether an announcement changes the record of a target. */
bool differs(const wire::TargetRecord& announced, const wire::TargetRecord* known)
{
    if (!known)
        return announced.state() != wire::TARGET_GONE;
    return announced.incarnation() != known->incarnation() || announced.state() != known->state() || announced.slots() != known->slots()
        || announced.availability_zone() != known->availability_zone();
}

} // namespace

ControlNode::ControlNode()
    : machine(rulesInForce())
{
}

std::error_code ControlNode::open(const Settings& settings, uint64_t newIncarnation)
{
    this->settings = settings;
    std::error_code error = DataFolder::open(settings.dataFolder, settings.deployment, settings.controlId, newIncarnation, this->folder);
    if (error)
        return error;
    error = LogStorage::open(*this->folder, systemFileHooks(), this->storage, this->durable, this->snapshotData);
    if (error)
        return error;
    bool empty = this->durable.entries.empty() && !this->durable.snapshot.lastIndex;
    if (this->folder->identity().bootstrapped && empty)
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
    this->driver = std::make_unique<LogDriver>(options, std::move(this->durable), std::move(this->snapshotData), *this->storage, seed, this->settings.snapshotEntries, hub, std::move(hooks));
    MembershipManagerOptions membershipOptions;
    membershipOptions.self = options.self;
    membershipOptions.incarnation = options.incarnation;
    membershipOptions.deployment = this->settings.deployment;
    for (const ControlVmAddress& address : this->settings.controlVms)
        membershipOptions.addresses[address.id] = address.link;
    auto mark = [this] { return this->folder->markBootstrapped(); };
    this->membership = std::make_unique<MembershipManager>(std::move(membershipOptions), *this->driver, hub, mark, this->folder->identity().bootstrapped);
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
        failPoint("leader.claim_applied");
    if (this->leads() && command.has_finish_claim())
        failPoint("leader.finish_applied");
    if (command.has_change_target()) {
        const wire::TargetRecord& target = command.change_target().target();
        this->pendingTargets.erase({ target.service(), target.address() });
        if (target.state() == wire::TARGET_GONE)
            this->forgetHeartbeat(target);
    }
    if (this->machine.configurationIndex() == index)
        this->schedulePush();
    return result;
}

/** Drops a target from the leader's heartbeats, so that it is not reported as silent again. */
void ControlNode::forgetHeartbeat(const wire::TargetRecord& target)
{
    wire::TargetLoad load;
    *load.mutable_target() = target;
    this->sessions->heartbeat(load, MillisecondClock::now());
}

/** Sets up or forgets the soft state of a leader. */
void ControlNode::roleChanged()
{
    const ReplicatedLog& log = this->driver->log();
    logLine(LogLevel::Info, "role_changed", { { "leads", this->leads() }, { "leader", log.leader() }, { "term", log.term() } });
    if (this->leads() == this->wasLeader)
        return;
    this->wasLeader = this->leads();
    this->soundLeader = false;
    this->subscribers.clear();
    this->pendingTargets.clear();
    std::vector<AwaitedConfiguration> waiting;
    waiting.swap(this->awaitedConfigurations);
    for (const AwaitedConfiguration& awaited : waiting)
        awaited.answer();
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

/** What a leader does on its own: leases, silent targets, expiry and pushes. */
void ControlNode::leaderTick(TimePoint now)
{
    if (!this->soundLeader) {
        this->soundLeader = true;
        this->sessions->becomeLeader(now, this->machine.targets());
    }
    for (const EntrySession& session : this->sessions->takeExpired(now))
        this->proposeEntryVmGone(session.entryVm, session.incarnation + 1);
    for (const wire::TargetRecord& target : this->sessions->takeSilentTargets(now)) {
        const wire::TargetRecord* known = this->machine.findTarget(target.service(), target.address());
        if (!known || known->state() == wire::TARGET_GONE)
            continue;
        wire::TargetRecord gone = *known;
        gone.set_state(wire::TARGET_GONE);
        logLine(LogLevel::Info, "target_silent", { { "service", gone.service() }, { "target", gone.address() } });
        this->proposeTarget(gone);
    }
    if (now >= this->nextExpiry) {
        this->nextExpiry = now + expiryInterval;
        wire::Command command;
        command.mutable_expire();
        if (this->machine.check(command).result_code() == 0)
            this->proposeInternal(std::move(command));
    }
    this->pushConfiguration();
    this->answerConfirmed(now);
}

/** Sends pushes right after the entries that are being applied, without waiting for the next tick. */
void ControlNode::schedulePush()
{
    if (this->pushPosted)
        return;
    this->pushPosted = true;
    this->hub->post([this] {
        this->pushPosted = false;
        if (this->leaderCode() == ResultCode::Ok)
            this->pushConfiguration();
    });
}

/** Returns a hook that answers a quarantine once every live entry VM holds it, because the caller may send the request again to any of them. */
LogDriver::Done ControlNode::answeredOnceInForce(LogDriver::Done done)
{
    return [this, done = std::move(done)](const wire::CommandResult& result) {
        bool quarantined = result.result_code() == 0 && result.quarantined_until_ms() > 0;
        if (!quarantined) {
            done(result);
            return;
        }
        TimePoint deadline = MillisecondClock::now() + confirmationLimit;
        this->awaitedConfigurations.push_back({ this->machine.configurationIndex(), deadline, [done, result] { done(result); } });
    };
}

/** Sends the answers whose configuration is confirmed by all live entry VMs, or whose time is over. */
void ControlNode::answerConfirmed(TimePoint now)
{
    auto held = [this](LogIndex index) {
        const auto& sessions = this->sessions->sessions();
        return std::all_of(sessions.begin(), sessions.end(), [index](const auto& entry) { return entry.second.heldIndex >= index; });
    };
    std::vector<AwaitedConfiguration> waiting;
    waiting.swap(this->awaitedConfigurations);
    for (AwaitedConfiguration& awaited : waiting) {
        if (now >= awaited.deadline || held(awaited.index))
            awaited.answer();
        else
            this->awaitedConfigurations.push_back(std::move(awaited));
    }
}

/** Sends new changes to every entry VM that lacks them. */
void ControlNode::pushConfiguration()
{
    LogIndex newest = this->machine.configurationIndex();
    for (auto& [name, subscriber] : this->subscribers) {
        if (subscriber.sentIndex >= newest)
            continue;
        wire::Envelope envelope;
        *envelope.mutable_configuration_push()->mutable_changes() = this->machine.changesSince(subscriber.sentIndex);
        subscriber.sentIndex = newest;
        this->hub->reply(subscriber.origin, std::move(envelope));
    }
}

void ControlNode::receiveSession(const LinkOrigin& origin, const wire::Envelope& envelope)
{
    const wire::SessionRequest& request = envelope.session_request();
    wire::Envelope answer;
    answer.set_request_id(envelope.request_id());
    wire::SessionAnswer* body = answer.mutable_session_answer();
    ResultCode code = this->leaderCode();
    if (code == ResultCode::Ok && !this->soundLeader)
        code = ResultCode::NoQuorum;
    body->set_result_code(static_cast<int>(code));
    body->set_leader_vm(this->driver->log().leader());
    if (code == ResultCode::Ok) {
        TimePoint now = MillisecondClock::now();
        auto known = this->sessions->sessions().find(request.entry_vm());
        if (known != this->sessions->sessions().end() && known->second.incarnation < request.incarnation())
            this->proposeEntryVmGone(request.entry_vm(), request.incarnation());
        this->sessions->renew(request, now);
        this->answerConfirmed(now);
        body->set_lease_ms(static_cast<uint64_t>(this->settings.leaseTerm.count()));
        body->set_live_entry_vms(this->sessions->liveEntryVms(now));
        *body->mutable_changes() = this->machine.changesSince(request.held_index());
        this->subscribers[request.entry_vm()] = { origin, this->machine.configurationIndex() };
        if (request.leaving())
            this->subscribers.erase(request.entry_vm());
    }
    this->hub->reply(origin, std::move(answer));
}

void ControlNode::answerCommand(const LinkOrigin& origin, uint64_t requestId, const wire::CommandResult& result)
{
    wire::Envelope answer;
    answer.set_request_id(requestId);
    *answer.mutable_command_answer()->mutable_result() = result;
    answer.mutable_command_answer()->set_leader_vm(this->driver->log().leader());
    this->hub->reply(origin, std::move(answer));
}

void ControlNode::receiveCommand(const LinkOrigin& origin, const wire::Envelope& envelope)
{
    uint64_t requestId = envelope.request_id();
    auto done = [this, origin, requestId](const wire::CommandResult& result) { this->answerCommand(origin, requestId, result); };
    ResultCode code = this->leaderCode();
    if (code != ResultCode::Ok) {
        wire::CommandResult refused;
        refused.set_result_code(static_cast<int>(code));
        done(refused);
        return;
    }
    const wire::CommandRequest& request = envelope.command_request();
    if (!request.manifest_json().empty()) {
        this->proposeManifest(request.manifest_json(), 1, done);
        return;
    }
    wire::CommandResult checked = this->machine.check(request.command());
    if (checked.result_code() != 0) {
        done(checked);
        return;
    }
    if (request.command().has_claim())
        failPoint("leader.claim_received");
    this->driver->propose(request.command(), request.command().has_suspicion() ? this->answeredOnceInForce(done) : done);
}

/** Checks a manifest again, turns it into a change against the one in force and proposes that. */
void ControlNode::proposeManifest(const std::string& text, int attempt, LogDriver::Done done)
{
    auto parsed = parseManifest(text);
    if (const DocumentError* error = std::get_if<DocumentError>(&parsed)) {
        wire::CommandResult refused;
        refused.set_result_code(static_cast<int>(error->code));
        refused.set_detail(error->pointer + ": " + error->text);
        done(refused);
        return;
    }
    wire::Command command;
    *command.mutable_apply_manifest() = makeApplyManifest(this->machine, std::get<CheckedManifest>(parsed));
    wire::CommandResult checked = this->machine.check(command);
    if (checked.result_code() != 0) {
        done(checked);
        return;
    }
    this->driver->propose(std::move(command), [this, text, attempt, done = std::move(done)](const wire::CommandResult& result) {
        bool baseChanged = result.result_code() == static_cast<int>(ResultCode::ManifestBaseChanged);
        if (baseChanged && attempt < maxManifestAttempts)
            this->proposeManifest(text, attempt + 1, done);
        else
            done(result);
    });
}

void ControlNode::receiveHeartbeats(const LinkOrigin& origin, const wire::Envelope& envelope)
{
    wire::Envelope answer;
    answer.set_request_id(envelope.request_id());
    wire::HeartbeatAnswer* body = answer.mutable_heartbeat_answer();
    ResultCode code = this->leaderCode();
    body->set_result_code(static_cast<int>(code));
    if (code == ResultCode::Ok && this->soundLeader) {
        TimePoint now = MillisecondClock::now();
        for (const wire::TargetLoad& load : envelope.heartbeat_batch().targets()) {
            const wire::TargetRecord* known = this->machine.findTarget(load.target().service(), load.target().address());
            if (known && known->incarnation() > load.target().incarnation())
                continue;
            this->sessions->heartbeat(load, now);
            this->considerTarget(load.target());
        }
        for (const wire::TargetLoad& load : this->sessions->loadDigest(loadDigestBytes, now))
            *body->add_digest() = load;
    }
    this->hub->reply(origin, std::move(answer));
}

/** Proposes a change of a target when its announcement says something new. */
void ControlNode::considerTarget(const wire::TargetRecord& target)
{
    if (!differs(target, this->machine.findTarget(target.service(), target.address())))
        return;
    if (!this->pendingTargets.contains({ target.service(), target.address() }))
        this->proposeTarget(target);
}

void ControlNode::proposeTarget(const wire::TargetRecord& target)
{
    wire::Command command;
    *command.mutable_change_target()->mutable_target() = target;
    if (this->machine.check(command).result_code() != 0)
        return;
    std::pair<std::string, std::string> key(target.service(), target.address());
    this->pendingTargets.insert(key);
    this->driver->propose(std::move(command), [this, key](const wire::CommandResult&) { this->pendingTargets.erase(key); });
}

void ControlNode::proposeEntryVmGone(const std::string& entryVm, uint64_t incarnation)
{
    logLine(LogLevel::Info, "entry_vm_gone", { { "entryVm", entryVm }, { "before", incarnation } });
    wire::Command command;
    command.mutable_entry_vm_gone()->set_entry_vm(entryVm);
    command.mutable_entry_vm_gone()->set_incarnation(incarnation);
    this->subscribers.erase(entryVm);
    this->proposeInternal(std::move(command));
}

/** Proposes a command that nobody waits for. */
void ControlNode::proposeInternal(wire::Command command)
{
    this->driver->propose(std::move(command), [](const wire::CommandResult&) {});
}

void ControlNode::receiveReplacement(const LinkOrigin& origin, const wire::Envelope& envelope)
{
    ResultCode code = this->leaderCode();
    if (code == ResultCode::Ok)
        code = this->membership->replace(envelope.replace_control_request().member().vm_id());
    wire::Envelope answer;
    answer.set_request_id(envelope.request_id());
    answer.mutable_admin_answer()->set_result_code(static_cast<int>(code));
    answer.mutable_admin_answer()->set_leader_vm(this->driver->log().leader());
    this->hub->reply(origin, std::move(answer));
}

void ControlNode::receiveQuery(const LinkOrigin& origin, const wire::Envelope& envelope)
{
    wire::Envelope answer;
    answer.set_request_id(envelope.request_id());
    wire::QueryAnswer* body = answer.mutable_query_answer();
    ResultCode code = this->leaderCode();
    body->set_result_code(static_cast<int>(code));
    body->set_leader_vm(this->driver->log().leader());
    if (code == ResultCode::Ok)
        body->set_json(this->answerQuery(envelope.query_request().subject()).dump());
    this->hub->reply(origin, std::move(answer));
}

/** Answers a question to the leader. @param subject "status", "targets", "manifest", or "manifest:NUMBER" for how far it is in force. */
nlohmann::json ControlNode::answerQuery(const std::string& subject) const
{
    constexpr std::string_view numberPrefix = "manifest:";
    if (subject == "targets") {
        nlohmann::json targets = nlohmann::json::array();
        for (const wire::TargetRecord& target : this->machine.targets()) {
            targets.push_back({ { "service", target.service() }, { "address", target.address() }, { "availabilityZone", target.availability_zone() },
                { "slots", target.slots() }, { "incarnation", target.incarnation() }, { "state", nameOf(targetStateNames, target.state()) } });
        }
        return { { "targets", targets } };
    }
    if (subject == "manifest") {
        nlohmann::json services = nlohmann::json::array();
        for (const wire::ServiceDocument& document : this->machine.serviceDocuments())
            services.push_back(nlohmann::json::parse(document.json()));
        return { { "number", this->machine.manifestNumber() }, { "digest", this->machine.manifestDigest() }, { "services", services } };
    }
    if (subject.starts_with(numberPrefix))
        return this->manifestStatus(std::strtoull(subject.c_str() + numberPrefix.size(), nullptr, 10));
    return this->status();
}

/** Returns how far a manifest number is in force. */
nlohmann::json ControlNode::manifestStatus(uint64_t number) const
{
    InForce inForce = this->sessions->inForce(number, MillisecondClock::now());
    bool accepted = this->machine.manifestNumber() >= number;
    return { { "number", this->machine.manifestNumber() }, { "digest", this->machine.manifestDigest() },
        { "inForce", { { "confirmed", inForce.confirmed }, { "total", inForce.total }, { "complete", accepted && inForce.complete } } } };
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
