/** @file ControlRequests.cpp What a control VM does with the requests of other VMs. */
#include "ControlNode.h"

#include "kingcup/ApplyManifest.h"
#include "kingcup/FailPoint.h"
#include "kingcup/JsonLog.h"
#include "kingcup/ManifestParser.h"
#include "kingcup/TargetStates.h"

#include <cstdlib>

namespace kingcup {

namespace {

constexpr size_t loadDigestBytes = 2048; ///< In one answer a second, within the 4 KB/s of control traffic.
constexpr int maxManifestAttempts = 16; ///< Tries of a change whose base was replaced meanwhile.

/** Returns whether an announcement changes the record of a target. */
bool differs(const wire::TargetRecord& announced, const wire::TargetRecord* known)
{
    if (!known)
        return announced.state() != wire::TARGET_GONE;
    return announced.incarnation() != known->incarnation() || announced.state() != known->state() || announced.slots() != known->slots()
        || announced.availability_zone() != known->availability_zone() || announced.instance() != known->instance();
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
        auto known = this->sessions->sessions().find(request.entry_vm());
        if (known != this->sessions->sessions().end() && known->second.incarnation < request.incarnation())
            this->proposeEntryVmGone(request.entry_vm(), request.incarnation());
        this->sessions->renewLease(request, now);
        this->answerConfirmed(now);
        body->set_lease_ms(static_cast<uint64_t>(this->settings.leaseTerm.count()));
        body->set_live_entry_vms(this->sessions->liveEntryVms(now));
        *body->mutable_changes() = this->changesSince(request.held_index());
        this->addControlVms(*body);
        this->subscribers[request.entry_vm()] = { origin, this->machine.configurationIndex() };
        if (request.leaving())
            this->subscribers.erase(request.entry_vm());
    }
    this->hub->reply(origin, std::move(answer));
}

/** Tells an entry VM the members, so that it finds them when its seeds are gone. */
void ControlNode::addControlVms(wire::SessionAnswer& answer) const
{
    if (!this->directory->isOpen())
        return;
    for (const wire::Member& member : this->driver->log().membership().members())
        answer.add_control_vms(member.vm_id());
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
    if (command.has_change_target() && !this->resolveDeparture(*command.mutable_change_target())) {
        done({});
        return;
    }
    wire::CommandResult checked = this->machine.check(command);
    if (checked.result_code() != 0) {
        done(checked);
        return;
    }
    if (command.has_claim())
        checkFailPoint("leader.claim_received");
    this->driver->propose(std::move(command), request.command().has_suspicion() ? this->answeredOnceInForce(done) : done);
}

/** Completes the record of a target that drains or left. Returns false when it gets no work under this name in any case. */
bool ControlNode::resolveDeparture(wire::ChangeTarget& change)
{
    const std::string& instance = change.target().instance();
    if (!change.target().service().empty() || instance.empty())
        return this->machine.assignIncarnation(*change.mutable_target());
    for (const wire::TargetRecord& known : this->machine.targets()) {
        if (known.instance() != instance)
            continue;
        *change.mutable_target() = known;
        change.mutable_target()->set_state(wire::TARGET_GONE);
        return true;
    }
    constexpr size_t maxLeftInstances = 1000;
    if (this->leftInstances.size() >= maxLeftInstances)
        this->leftInstances.clear();
    this->leftInstances.insert(instance);
    return false;
}

/** Checks a manifest again, turns it into a change against the one in force and proposes that. */
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
    *command.mutable_apply_manifest() = makeApplyManifest(this->machine, std::get<CheckedManifest>(parsed));
    command.mutable_apply_manifest()->set_highest_number_wins(this->settings.numberPolicy == NumberPolicy::HighestWins);
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
    ResultCode code = this->softStateCode();
    body->set_result_code(static_cast<int>(code));
    body->set_leader_vm(this->driver->log().leader());
    if (code == ResultCode::Ok) {
        TimePoint now = MillisecondClock::now();
        for (const wire::TargetLoad& load : envelope.heartbeat_batch().targets())
            this->takeAnnouncement(load, now);
        for (const wire::TargetLoad& load : this->sessions->loadDigest(loadDigestBytes, now))
            *body->add_digest() = load;
    }
    this->hub->reply(origin, std::move(answer));
}

/** Takes what a target announces of itself, unless a newer instance has its address. */
void ControlNode::takeAnnouncement(wire::TargetLoad load, TimePoint now)
{
    const wire::TargetRecord* known = this->machine.findTarget(load.target().service(), load.target().address());
    bool isFormer = !this->machine.assignIncarnation(*load.mutable_target());
    if (isFormer || (known && known->incarnation() > load.target().incarnation())) {
        nlohmann::json fields = targetFields(load.target());
        fields["ageMs"] = load.age_ms();
        fields["knownInstance"] = known ? known->instance() : "";
        logLine(LogLevel::Info, "late_announcement_ignored", fields);
        return;
    }
    if (load.cold_left_ms())
        load.mutable_target()->set_cold_until_log_ms(this->driver->logTimeMs(now) + load.cold_left_ms());
    this->sessions->recordHeartbeat(load, now);
    this->considerTarget(load.target());
}

/** Proposes a change of a target when its announcement says something new. */
void ControlNode::considerTarget(const wire::TargetRecord& target)
{
    if (this->leftInstances.contains(target.instance()) || !differs(target, this->machine.findTarget(target.service(), target.address())))
        return;
    this->proposeReplacedGone(target);
    if (!this->pendingTargets.contains({ target.service(), target.address() }))
        this->proposeTarget(target);
}

/** Takes targets of other services out of use whose address a newer target has. */
void ControlNode::proposeReplacedGone(const wire::TargetRecord& target)
{
    for (const wire::TargetRecord& known : this->machine.targets()) {
        bool isReplaced = known.address() == target.address() && known.service() != target.service() && known.incarnation() < target.incarnation();
        if (!isReplaced || this->pendingTargets.contains({ known.service(), known.address() }))
            continue;
        wire::TargetRecord gone = known;
        gone.set_state(wire::TARGET_GONE);
        this->proposeTarget(gone);
    }
}

void ControlNode::proposeTarget(const wire::TargetRecord& target)
{
    wire::Command command;
    *command.mutable_change_target()->mutable_target() = target;
    if (wire::CommandResult checked = this->machine.check(command); checked.result_code() != 0) {
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
    if (subject == "manifest")
        return this->manifestInForce();
    if (subject.starts_with(numberPrefix))
        return this->manifestStatus(std::strtoull(subject.c_str() + numberPrefix.size(), nullptr, 10));
    return this->status();
}

/** Returns the manifest in force, and its text as it came where that is kept. */
nlohmann::json ControlNode::manifestInForce() const
{
    nlohmann::json manifest { { "number", this->machine.manifestNumber() }, { "digest", this->machine.manifestDigest() }, { "services", nlohmann::json::array() } };
    for (const wire::ServiceDocument& document : this->machine.serviceDocuments()) {
        switch (documentType(document.name())) {
        case DocumentType::Service:
            manifest["services"].push_back(nlohmann::json::parse(document.json()));
            break;
        case DocumentType::Route:
            manifest["routes"].push_back(nlohmann::json::parse(document.json()));
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

/** Returns how far a manifest number is in force. */
nlohmann::json ControlNode::manifestStatus(uint64_t number) const
{
    InForceStatus inForce = this->sessions->inForceStatus(number, MillisecondClock::now());
    bool accepted = this->machine.manifestNumber() >= number;
    return { { "number", this->machine.manifestNumber() }, { "digest", this->machine.manifestDigest() },
        { "inForce", { { "confirmed", inForce.confirmed }, { "total", inForce.total }, { "complete", accepted && inForce.isComplete } } } };
}

} // namespace kingcup
