/** @file ControlRequests.cpp Handlers of a control VM for the requests of other VMs. */
#include "ControlNode.h"

#include "kingcup/ApplyManifest.h"
#include "kingcup/ColdAnnouncement.h"
#include "kingcup/EntryVmCount.h"
#include "kingcup/FailPoint.h"
#include "kingcup/JsonLog.h"
#include "kingcup/ManifestParser.h"
#include "kingcup/TargetStates.h"

#include <algorithm>
#include <cstdlib>

namespace kingcup {

namespace {

constexpr size_t maxLoadDigestBytes = 2048; ///< Size of the loads in one heartbeat answer. At one answer a second it stays within the 4 KB/s of control traffic.
constexpr int maxManifestProposals = 16; ///< Number of times that a manifest is proposed, as another manifest may replace its base before each commit.

/** Returns whether an announcement differs from the record of the target, which is null if there is none. */
bool differsFromRecord(const wire::TargetRecord& announced, const wire::TargetRecord* recorded)
{
    if (!recorded)
        return announced.state() != wire::TARGET_GONE;
    return announced.incarnation() != recorded->incarnation() || announced.state() != recorded->state() || announced.slots() != recorded->slots()
        || announced.availability_zone() != recorded->availability_zone() || announced.instance() != recorded->instance();
}

/** Returns an organisation for operators: without the hashes of its keys, from which weak keys could be guessed, but with their number. */
nlohmann::json describeOrganisation(const std::string& document)
{
    nlohmann::json organisation = nlohmann::json::parse(document);
    organisation["keys"] = organisation["keyHashes"].size();
    organisation.erase("keyHashes");
    return organisation;
}

/** Returns whether a command only repeats a departure that is recorded already, as many entry VMs may report the same one. */
bool isRecordedDeparture(const wire::Command& command, const ControlStateMachine& stateMachine)
{
    const wire::TargetRecord& target = command.change_target().target();
    bool isDeparture = command.has_change_target() && target.state() == wire::TARGET_DRAINING;
    return isDeparture && !differsFromRecord(target, stateMachine.findTarget(target.service(), target.address()));
}

} // namespace

void ControlNode::receiveSession(const LinkOrigin& origin, const wire::Envelope& envelope)
{
    const wire::SessionRequest& request = envelope.session_request();
    wire::Envelope answer;
    answer.set_request_id(envelope.request_id());
    wire::SessionAnswer* body = answer.mutable_session_answer();
    ResultCode code = this->softStateCode();
    body->set_result_code(static_cast<int>(code));
    body->set_leader_vm(this->driver->log().leader());
    if (code == ResultCode::Ok) {
        TimePoint now = MillisecondClock::now();
        auto session = this->sessions->sessions().find(request.entry_vm());
        if (session != this->sessions->sessions().end() && session->second.incarnation < request.incarnation())
            this->proposeEntryVmGone(request.entry_vm(), request.incarnation());
        this->sessions->renewLease(request, now);
        this->sendConfirmedAnswers(now);
        body->set_lease_ms(static_cast<uint64_t>(this->settings.leaseTerm.count()));
        uint32_t liveVms = this->sessions->liveEntryVms(now);
        uint32_t estimatedVms = this->sessions->estimatedEntryVms(now);
        body->set_live_entry_vms(liveVms);
        if (!liveVms)
            body->set_estimated_entry_vms(estimatedVms);
        *body->mutable_changes() = this->changesSince(request.held_index(), request.accepts_compressed());
        this->addControlVms(*body);
        this->addRelays(request, *body, now);
        this->usageLender->exchange(request, liveVms ? liveVms : std::max(initialAssumedEntryVms, estimatedVms), now, *body);
        this->subscribers[request.entry_vm()] = { origin, this->stateMachine.configurationIndex(), request.accepts_compressed() };
        if (request.leaving())
            this->subscribers.erase(request.entry_vm());
    }
    this->hub->reply(origin, std::move(answer));
}

/** Adds the ids of all members to a session answer, so that the entry VM can reach them after its seeds have been replaced. */
void ControlNode::addControlVms(wire::SessionAnswer& answer) const
{
    if (!this->directory->acceptsUnlistedVms())
        return;
    for (const wire::Member& member : this->driver->log().membership().members())
        answer.add_control_vms(member.vm_id());
}

/** Records the offer of an entry VM and adds the relays that it may use, unless it holds them. */
void ControlNode::addRelays(const wire::SessionRequest& request, wire::SessionAnswer& answer, TimePoint now)
{
    if (request.has_relay_offer() && !request.leaving())
        this->relayDirectory->record(request.relay_offer(), now);
    else
        this->relayDirectory->remove(request.entry_vm());
    // A new leader knows all offers only after a session interval of all VMs.
    if (!this->sessions->liveEntryVms(now))
        return;
    const RelaySelection& selection = this->relayDirectory->select(request.entry_vm(), request.availability_zone(), now);
    answer.set_relay_version(selection.version);
    if (selection.version != request.relay_version())
        answer.mutable_relays()->Add(selection.relays.begin(), selection.relays.end());
}

/** Records the offer of a control VM. */
void ControlNode::receiveRelayOffer(const wire::Envelope& envelope)
{
    if (this->softStateCode() == ResultCode::Ok)
        this->relayDirectory->record(envelope.relay_offer(), MillisecondClock::now());
}

/** Tells the gate of the targets, and the leader that this VM relays connections. An entry role in the same process does both itself. */
void ControlNode::updateRelay(TimePoint now)
{
    if (this->settings.entry || this->settings.relayListener.empty())
        return;
    if (LogIndex index = this->stateMachine.configurationIndex(); index != this->relayedIndex) {
        std::vector<std::string> addresses;
        ZonesOutOfUse zones = this->stateMachine.zonesOutOfUse();
        for (const wire::TargetRecord& target : this->stateMachine.targets()) {
            if (target.state() != wire::TARGET_GONE && !zones.contains(target.availability_zone()))
                addresses.push_back(target.address());
        }
        this->gate->setTargets(std::move(addresses));
        this->gate->setServing(index > 0);
        this->relayedIndex = index;
    }
    std::optional<wire::RelayOffer> offer = this->gate->offer();
    if (!offer || now < this->nextRelayOffer || !this->leader())
        return;
    this->nextRelayOffer = now + this->settings.sessionInterval;
    wire::Envelope envelope;
    *envelope.mutable_relay_offer() = std::move(*offer);
    if (this->isLeader())
        this->receiveRelayOffer(envelope);
    else
        this->hub->send(this->leader(), std::move(envelope));
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
    wire::Command command = request.command();
    if (command.has_change_target() && !this->completeTargetChange(*command.mutable_change_target())) {
        done({});
        return;
    }
    wire::CommandResult checked = this->stateMachine.check(command);
    if (checked.result_code() != 0 || isRecordedDeparture(command, this->stateMachine)) {
        done(checked);
        return;
    }
    if (command.has_claim())
        checkFailPoint("leader.claim_received");
    this->driver->propose(std::move(command), request.command().has_suspicion() ? this->delayUntilInForce(done) : done);
}

/**
 * Completes a change that names a target only by its instance, or that lacks an incarnation. Returns false if nothing needs to
 * be proposed: a newer instance has replaced the target, or no target with this instance is recorded. In the latter case the
 * instance is remembered, so that a late announcement does not record it.
 */
bool ControlNode::completeTargetChange(wire::ChangeTarget& change)
{
    const std::string& instance = change.target().instance();
    if (!change.target().service().empty() || instance.empty())
        return this->stateMachine.assignIncarnation(*change.mutable_target());
    for (const wire::TargetRecord& recorded : this->stateMachine.targets()) {
        if (recorded.instance() != instance)
            continue;
        *change.mutable_target() = recorded;
        change.mutable_target()->set_state(wire::TARGET_GONE);
        return true;
    }
    constexpr size_t maxDepartedInstances = 1000;
    if (this->departedInstances.size() >= maxDepartedInstances)
        this->departedInstances.clear();
    this->departedInstances.insert(instance);
    return false;
}

/**
 * Validates a manifest, computes the change against the manifest in force and proposes it. Repeats that if the base has
 * changed by the time of the commit.
 */
void ControlNode::proposeManifest(const std::string& text, int attempt, LogDriver::Done done)
{
    auto parsed = parseManifest(text, this->settings.manifestPolicy);
    if (const DocumentError* error = std::get_if<DocumentError>(&parsed)) {
        wire::CommandResult refused;
        refused.set_result_code(static_cast<int>(error->code));
        refused.set_detail(error->pointer + ": " + error->text);
        done(refused);
        return;
    }
    wire::Command command;
    *command.mutable_apply_manifest() = makeApplyManifest(this->stateMachine, std::get<CheckedManifest>(parsed));
    command.mutable_apply_manifest()->set_highest_number_wins(this->settings.numberPolicy == NumberPolicy::HighestWins);
    wire::CommandResult checked = this->stateMachine.check(command);
    if (checked.result_code() != 0) {
        done(checked);
        return;
    }
    this->driver->propose(std::move(command), [this, text, attempt, done = std::move(done)](const wire::CommandResult& result) {
        bool hasBaseChanged = result.result_code() == static_cast<int>(ResultCode::ManifestBaseChanged);
        if (hasBaseChanged && attempt < maxManifestProposals)
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
    ResultCode code = this->softStateCode();
    body->set_result_code(static_cast<int>(code));
    body->set_leader_vm(this->driver->log().leader());
    if (code == ResultCode::Ok) {
        TimePoint now = MillisecondClock::now();
        for (const wire::TargetLoad& load : envelope.heartbeat_batch().targets())
            this->recordAnnouncement(load, now);
        for (const wire::TargetLoad& load : this->sessions->loadDigest(maxLoadDigestBytes, now))
            *body->add_digest() = load;
    }
    this->hub->reply(origin, std::move(answer));
}

/** Records the announcement of a target, unless a newer instance has replaced it at its address. */
void ControlNode::recordAnnouncement(wire::TargetLoad load, TimePoint now)
{
    const wire::TargetRecord* recorded = this->stateMachine.findTarget(load.target().service(), load.target().address());
    bool isReplaced = !this->stateMachine.assignIncarnation(*load.mutable_target());
    if (isReplaced || (recorded && recorded->incarnation() > load.target().incarnation())) {
        nlohmann::json fields = targetFields(load.target());
        fields["ageMs"] = load.age_ms();
        fields["knownInstance"] = recorded ? recorded->instance() : "";
        logLine(LogLevel::Info, "late_announcement_ignored", fields);
        return;
    }
    if (load.cold_left_ms())
        load.mutable_target()->set_cold_until_log_ms(this->driver->logTimeMs(now) + load.cold_left_ms());
    this->sessions->recordHeartbeat(load, now);
    this->proposeTargetIfChanged(load, now);
}

/** Proposes a change of the target's record if its announcement differs from it. */
void ControlNode::proposeTargetIfChanged(const wire::TargetLoad& load, TimePoint now)
{
    const wire::TargetRecord& target = load.target();
    const wire::TargetRecord* recorded = this->stateMachine.findTarget(target.service(), target.address());
    bool hasChanged = differsFromRecord(target, recorded) || (recorded && this->hasBecomeCold(load, *recorded, now));
    if (this->departedInstances.contains(target.instance()) || !hasChanged)
        return;
    this->proposeReplacedTargetsGone(target);
    if (!this->pendingTargets.contains({ target.service(), target.address() }))
        this->proposeTarget(target);
}

/** Returns whether a known target announces that it is cold again, so that entry VMs must learn it. They use it only if the service limits the requests to cold targets. */
bool ControlNode::hasBecomeCold(const wire::TargetLoad& load, const wire::TargetRecord& recorded, TimePoint now) const
{
    if (recorded.state() == wire::TARGET_GONE || !isColdAgain(load.cold_left_ms(), recorded.cold_until_log_ms(), this->driver->logTimeMs(now)))
        return false;
    const std::string* document = this->stateMachine.findDocument(load.target().service());
    if (!document)
        return false;
    std::variant<Service, DocumentError> service = parseService(*document);
    return std::holds_alternative<Service>(service) && std::get<Service>(service).coldRequestsPerSecond > 0;
}

/** Proposes to mark targets of other services as gone that have the address of this newer target. */
void ControlNode::proposeReplacedTargetsGone(const wire::TargetRecord& target)
{
    for (const wire::TargetRecord& recorded : this->stateMachine.targets()) {
        bool isReplaced = recorded.address() == target.address() && recorded.service() != target.service() && recorded.incarnation() < target.incarnation();
        if (!isReplaced || this->pendingTargets.contains({ recorded.service(), recorded.address() }))
            continue;
        wire::TargetRecord gone = recorded;
        gone.set_state(wire::TARGET_GONE);
        this->proposeTarget(gone);
    }
}

void ControlNode::proposeTarget(const wire::TargetRecord& target)
{
    wire::Command command;
    *command.mutable_change_target()->mutable_target() = target;
    if (wire::CommandResult checked = this->stateMachine.check(command); checked.result_code() != 0) {
        nlohmann::json fields = targetFields(target);
        fields["result"] = resultCodeRow(static_cast<ResultCode>(checked.result_code())).name;
        fields["detail"] = checked.detail();
        logLine(LogLevel::Info, "announcement_not_recorded", fields);
        return;
    }
    std::pair<std::string, std::string> key(target.service(), target.address());
    this->pendingTargets.insert(key);
    this->driver->propose(std::move(command), [this, key](const wire::CommandResult&) { this->pendingTargets.erase(key); });
}

void ControlNode::receiveReplacement(const LinkOrigin& origin, const wire::Envelope& envelope)
{
    ResultCode code = this->leaderCode();
    if (code == ResultCode::Ok)
        code = this->membershipManager->replace(envelope.replace_control_request().member().vm_id());
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

/**
 * Returns the answer to a query as a JSON object.
 * @param subject "targets", "zones", "manifest", or "manifest:NUMBER" for the progress of that manifest on the entry VMs; "status" and
 * any other value return status().
 */
nlohmann::json ControlNode::answerQuery(const std::string& subject) const
{
    constexpr std::string_view numberPrefix = "manifest:";
    if (subject == "targets") {
        nlohmann::json targets = nlohmann::json::array();
        for (const wire::TargetRecord& target : this->stateMachine.targets()) {
            targets.push_back({ { "service", target.service() }, { "address", target.address() }, { "availabilityZone", target.availability_zone() },
                { "slots", target.slots() }, { "incarnation", target.incarnation() }, { "state", nameOf(targetStateNames, target.state()) } });
        }
        return { { "targets", targets } };
    }
    if (subject == "zones")
        return { { "zones", this->zonesOutOfUse() } };
    if (subject == "manifest")
        return this->manifestInForce();
    if (subject.starts_with(numberPrefix))
        return this->manifestStatus(std::strtoull(subject.c_str() + numberPrefix.size(), nullptr, 10));
    return this->status();
}

/** Returns the zones out of use with the age of the command, in log time, which stands still while there is no leader. */
nlohmann::json ControlNode::zonesOutOfUse() const
{
    nlohmann::json zones = nlohmann::json::array();
    uint64_t nowMs = this->driver->logTimeMs(MillisecondClock::now());
    for (const auto& [zone, changedAtMs] : this->stateMachine.zonesOutOfUse())
        zones.push_back({ { "zone", zone }, { "ageMs", nowMs - std::min(nowMs, changedAtMs) } });
    return zones;
}

/** Returns the manifest in force, with its source text if the state machine stores it. */
nlohmann::json ControlNode::manifestInForce() const
{
    nlohmann::json manifest { { "number", this->stateMachine.manifestNumber() }, { "digest", this->stateMachine.manifestDigest() }, { "services", nlohmann::json::array() } };
    for (const wire::ServiceDocument& document : this->stateMachine.serviceDocuments()) {
        switch (documentType(document.name())) {
        case DocumentType::Service:
            manifest["services"].push_back(nlohmann::json::parse(document.json()));
            break;
        case DocumentType::Route:
            manifest["routes"].push_back(nlohmann::json::parse(document.json()));
            break;
        case DocumentType::Organisation:
            manifest["organisations"].push_back(describeOrganisation(document.json()));
            break;
        case DocumentType::CallerLimits:
            manifest["callerLimits"] = nlohmann::json::parse(document.json());
            break;
        case DocumentType::Source:
            manifest["source"] = document.json();
            break;
        }
    }
    return manifest;
}

/** Returns how many entry VMs have confirmed a manifest number. It is incomplete until the number is accepted. */
nlohmann::json ControlNode::manifestStatus(uint64_t number) const
{
    InForceStatus inForce = this->sessions->inForceStatus(number, MillisecondClock::now());
    bool isAccepted = this->stateMachine.manifestNumber() >= number;
    return { { "number", this->stateMachine.manifestNumber() }, { "digest", this->stateMachine.manifestDigest() },
        { "inForce", { { "confirmed", inForce.confirmed }, { "total", inForce.total }, { "complete", isAccepted && inForce.isComplete } } } };
}

} // namespace kingcup
