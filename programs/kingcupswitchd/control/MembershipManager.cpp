/** @file MembershipManager.cpp Implementation of bootstrap and replacement of control VMs. */
#include "MembershipManager.h"

#include "kingcup/JsonLog.h"

#include <algorithm>

namespace kingcup {

namespace {

constexpr Milliseconds bootstrapTimeout { 10000 };
constexpr Milliseconds bootstrapRepeatInterval { 200 };
constexpr Milliseconds announcementInterval { 500 };
constexpr Milliseconds exclusionTime { 2000 }; ///< A member that knows no leader for this time may have been removed, and asks to join again.
constexpr Milliseconds autoBootstrapPause { 50 }; ///< Before a founder asks the others, which may not listen yet.

/** Returns the member with an id and incarnation, or null. */
const wire::Member* findMember(const wire::Membership& membership, VmId vm, uint64_t incarnation)
{
    for (const wire::Member& member : membership.members()) {
        if (member.vm_id() == vm && member.incarnation() == incarnation)
            return &member;
    }
    return nullptr;
}

/** Returns whether two memberships list the same members in the same order. */
bool sameMembership(const wire::Membership& one, const wire::Membership& other)
{
    return one.SerializeAsString() == other.SerializeAsString();
}

} // namespace

MembershipManager::MembershipManager(MembershipManagerOptions options, const ControlDirectory& directory, LogDriver& driver, LinkHub& hub, std::function<std::error_code()> markBootstrapped, bool bootstrapped)
    : options(std::move(options))
    , directory(directory)
    , driver(driver)
    , hub(hub)
    , markBootstrapped(std::move(markBootstrapped))
    , bootstrapped(bootstrapped)
    , planner(this->options.planner)
    , contacts(this->options.founders)
    , leaderKnown(MillisecondClock::now())
    , nextAnnouncement(MillisecondClock::now() + autoBootstrapPause)
{
}

void MembershipManager::bootstrap(Done done)
{
    if (this->pendingBootstrap) {
        done(ResultCode::MembershipChangePending, "another bootstrap is running");
        return;
    }
    TimePoint now = MillisecondClock::now();
    this->pendingBootstrap = Bootstrap {};
    this->pendingBootstrap->done = std::move(done);
    this->pendingBootstrap->deadline = now + bootstrapTimeout;
    this->advanceBootstrap(now);
}

/** Sends the requests that are still unanswered, or ends the bootstrap at its deadline. */
void MembershipManager::advanceBootstrap(TimePoint now)
{
    Bootstrap& pending = *this->pendingBootstrap;
    if (now >= pending.deadline) {
        this->finishBootstrap(ResultCode::Unreachable, "not every control VM answered");
        return;
    }
    if (now < pending.repeatAt)
        return;
    pending.repeatAt = now + bootstrapRepeatInterval;
    if (pending.identities.size() == this->options.founders.size()) {
        this->sendBootstrapRequests();
        return;
    }
    for (VmId vm : this->options.founders) {
        if (pending.identities.contains(vm))
            continue;
        wire::Envelope envelope;
        envelope.set_request_id(++this->lastRequestId);
        envelope.mutable_identity_request();
        this->hub.send(vm, std::move(envelope));
    }
}

/** Asks members that already have a group first, so that a wiped VM never forms a second group beside a live one. */
void MembershipManager::sendBootstrapRequests()
{
    Bootstrap& pending = *this->pendingBootstrap;
    bool awaitingOldMembers = std::any_of(pending.identities.begin(), pending.identities.end(), [&](const auto& entry) {
        return entry.second.bootstrapped() && !pending.formed[entry.first];
    });
    for (const auto& [vm, identity] : pending.identities) {
        if (pending.formed[vm] || (awaitingOldMembers && !identity.bootstrapped()))
            continue;
        wire::Envelope envelope;
        envelope.set_request_id(++this->lastRequestId);
        *envelope.mutable_bootstrap_request()->mutable_members() = this->collectedMembership().members();
        this->hub.send(vm, std::move(envelope));
    }
}

/** Returns the first membership, ordered by VM id, so that every member writes the same bytes. */
wire::Membership MembershipManager::collectedMembership() const
{
    wire::Membership membership;
    for (const auto& [vm, identity] : this->pendingBootstrap->identities) {
        wire::Member* member = membership.add_members();
        member->set_vm_id(vm);
        member->set_incarnation(identity.incarnation());
        member->set_link_address(this->directory.peer(vm).value_or(LinkPeer()).address);
        member->set_voter(true);
    }
    return membership;
}

void MembershipManager::finishBootstrap(ResultCode code, const std::string& detail)
{
    Done done = std::move(this->pendingBootstrap->done);
    this->pendingBootstrap.reset();
    logLine(LogLevel::Info, "bootstrap_finished", { { "result", resultCodeRow(code).name }, { "detail", detail } });
    done(code, detail);
}

ResultCode MembershipManager::replace(VmId vm)
{
    logLine(LogLevel::Info, "replacement_asked", { { "controlVm", vm } });
    return this->planner.forceReplacement(vm) ? ResultCode::Ok : ResultCode::UnknownVm;
}

bool MembershipManager::receive(const LinkOrigin& origin, const wire::Envelope& envelope)
{
    switch (envelope.body_case()) {
    case wire::Envelope::kIdentityRequest:
        this->answerIdentity(origin, envelope);
        return true;
    case wire::Envelope::kIdentityAnswer:
        this->receiveIdentity(envelope);
        return true;
    case wire::Envelope::kBootstrapRequest:
        this->receiveBootstrap(origin, envelope);
        return true;
    case wire::Envelope::kAdminAnswer:
        this->receiveBootstrapAnswer(envelope);
        return true;
    default:
        return false;
    }
}

void MembershipManager::heard(VmId vm, uint64_t incarnation)
{
    this->planner.recordMessage(vm, incarnation, MillisecondClock::now());
}

/** Records durably that this VM is listed in a membership that it holds on disk. */
void MembershipManager::noteMembership()
{
    bool listed = findMember(this->driver.log().membership(), this->options.self, this->options.incarnation);
    // The mark must not be older than the membership entry itself, or a crash in between would look like a lost journal.
    if (this->bootstrapped || !listed || !this->driver.idle())
        return;
    std::error_code error = this->markBootstrapped();
    if (error) {
        logLine(LogLevel::Error, "mark_failed", { { "error", error.message() } });
        return;
    }
    this->bootstrapped = true;
    logLine(LogLevel::Info, "joined_group", { { "incarnation", this->options.incarnation } });
}

void MembershipManager::tick()
{
    TimePoint now = MillisecondClock::now();
    if (this->pendingBootstrap)
        this->advanceBootstrap(now);
    if (this->needsAnnouncement(now) && now >= this->nextAnnouncement) {
        this->nextAnnouncement = now + announcementInterval;
        this->announceSelf();
    }
    this->connectMembers();
    this->noteMembership();
    this->advancePlan(now);
}

/** Returns whether this VM has no group, or may have lost its place in it while it was away. */
bool MembershipManager::needsAnnouncement(TimePoint now)
{
    if (this->driver.log().leader())
        this->leaderKnown = now;
    return !this->bootstrapped || (this->directory.acceptsUnlistedVms() && now - this->leaderKnown >= exclusionTime);
}

void MembershipManager::connect(VmId vm)
{
    if (std::optional<LinkPeer> peer = this->directory.peer(vm))
        this->hub.connect(std::move(*peer));
}

/** Opens links to all members when the membership has changed. */
void MembershipManager::connectMembers()
{
    std::string membership = this->driver.log().membership().SerializeAsString();
    if (membership == this->connectedMembership)
        return;
    this->connectedMembership = std::move(membership);
    nlohmann::json members = nlohmann::json::array();
    for (const wire::Member& member : this->driver.log().membership().members()) {
        this->connect(member.vm_id());
        members.push_back({ { "id", member.vm_id() }, { "incarnation", member.incarnation() }, { "voter", member.voter() } });
    }
    logLine(LogLevel::Info, "membership_changed", { { "members", members } });
}

void MembershipManager::roleChanged()
{
    this->planner.becomeLeader(MillisecondClock::now());
}

/** Asks control VMs for a place in their group. The first founder also forms the group, when that was asked for. */
void MembershipManager::announceSelf()
{
    bool leadsFoundation = this->options.formsGroup && !this->bootstrapped && !this->options.founders.empty() && this->options.founders.front() == this->options.self;
    if (leadsFoundation && !this->pendingBootstrap)
        this->bootstrap([](ResultCode, const std::string&) {});
    VmId heardOf = this->driver.log().leader() ? this->driver.log().leader() : this->namedLeader;
    for (VmId vm : joinRequestRecipients(this->contacts, this->options.self, heardOf)) {
        this->connect(vm);
        wire::Envelope envelope;
        *envelope.mutable_identity_answer() = this->ownIdentity();
        envelope.mutable_identity_answer()->set_bootstrapped(false); // Asks for a place, whatever this VM once had.
        this->hub.send(vm, std::move(envelope));
    }
}

wire::IdentityAnswer MembershipManager::ownIdentity() const
{
    wire::IdentityAnswer identity;
    identity.set_vm_id(this->options.self);
    identity.set_incarnation(this->options.incarnation);
    identity.set_deployment_id(this->options.deployment);
    identity.set_bootstrapped(this->bootstrapped);
    return identity;
}

void MembershipManager::answerIdentity(const LinkOrigin& origin, const wire::Envelope& envelope)
{
    wire::Envelope answer;
    answer.set_request_id(envelope.request_id());
    *answer.mutable_identity_answer() = this->ownIdentity();
    this->hub.reply(origin, std::move(answer));
}

/** Takes an answer of a running bootstrap, or the announcement of a VM that has no place in the group. */
void MembershipManager::receiveIdentity(const wire::Envelope& envelope)
{
    const wire::IdentityAnswer& identity = envelope.identity_answer();
    if (identity.vm_id() != envelope.sender_vm() || !this->directory.peer(identity.vm_id()))
        return;
    if (identity.leader_vm()) {
        this->namedLeader = identity.leader_vm();
        return;
    }
    if (this->pendingBootstrap && envelope.request_id()) {
        this->pendingBootstrap->identities[identity.vm_id()] = identity;
        this->pendingBootstrap->repeatAt = {};
    }
    bool asksToJoin = !identity.bootstrapped() || !findMember(this->driver.log().membership(), identity.vm_id(), identity.incarnation());
    if (!asksToJoin)
        return;
    this->planner.recordJoinRequest(identity.vm_id(), identity.incarnation(), MillisecondClock::now());
    this->nameLeader(identity.vm_id());
}

/** Tells a VM that asks for a place who can give it. */
void MembershipManager::nameLeader(VmId vm)
{
    VmId leader = this->driver.log().leader();
    if (!leader || leader == this->options.self || leader == vm)
        return;
    this->connect(vm);
    wire::Envelope envelope;
    *envelope.mutable_identity_answer() = this->ownIdentity();
    envelope.mutable_identity_answer()->set_leader_vm(leader);
    this->hub.send(vm, std::move(envelope));
}

/** Takes the next step of the plan once the one before is committed. */
void MembershipManager::advancePlan(TimePoint now)
{
    const ReplicatedLog& log = this->driver.log();
    if (log.role() != LogRole::Leader || !log.membershipCommitted())
        return;
    auto caughtUp = [&log](VmId vm) { return log.caughtUp(vm); };
    std::optional<wire::Membership> next = this->planner.nextMembership(log.membership(), this->options.self, caughtUp, now);
    if (!next)
        return;
    for (wire::Member& member : *next->mutable_members()) {
        this->connect(member.vm_id());
        if (member.link_address().empty())
            member.set_link_address(this->directory.peer(member.vm_id()).value_or(LinkPeer()).address);
    }
    ResultCode code = this->driver.proposeMembership(*next);
    if (code != ResultCode::Ok && code != ResultCode::MembershipChangePending && code != ResultCode::NotCaughtUp)
        logLine(LogLevel::Warning, "membership_refused", { { "result", resultCodeRow(code).name } });
}

void MembershipManager::receiveBootstrap(const LinkOrigin& origin, const wire::Envelope& envelope)
{
    wire::Membership membership;
    *membership.mutable_members() = envelope.bootstrap_request().members();
    ResultCode code = this->formGroup(membership);
    // Without the durable mark there is no answer yet; the sender repeats its request.
    if (code == ResultCode::Ok && !this->bootstrapped)
        return;
    wire::Envelope answer;
    answer.set_request_id(envelope.request_id());
    answer.mutable_admin_answer()->set_result_code(static_cast<int>(code));
    this->hub.reply(origin, std::move(answer));
}

/** Forms the group on this VM; Ok when it was formed with the same membership before. */
ResultCode MembershipManager::formGroup(const wire::Membership& membership)
{
    if (!findMember(membership, this->options.self, this->options.incarnation))
        return ResultCode::ForeignDataFolder;
    if (this->bootstrapped)
        return sameMembership(membership, this->driver.log().membership()) ? ResultCode::Ok : ResultCode::AlreadyBootstrapped;
    ResultCode code = this->driver.bootstrap(membership);
    if (code == ResultCode::AlreadyBootstrapped && sameMembership(membership, this->driver.log().membership()))
        code = ResultCode::Ok;
    return code;
}

void MembershipManager::receiveBootstrapAnswer(const wire::Envelope& envelope)
{
    if (!this->pendingBootstrap)
        return;
    ResultCode code = static_cast<ResultCode>(envelope.admin_answer().result_code());
    if (code != ResultCode::Ok) {
        this->finishBootstrap(code, "control VM " + std::to_string(envelope.sender_vm()) + " refused: " + std::string(resultCodeRow(code).text));
        return;
    }
    Bootstrap& pending = *this->pendingBootstrap;
    pending.formed[envelope.sender_vm()] = true;
    pending.repeatAt = {};
    bool complete = std::all_of(this->options.founders.begin(), this->options.founders.end(), [&](VmId vm) { return pending.formed[vm]; });
    if (complete)
        this->finishBootstrap(ResultCode::Ok, "group formed");
}

} // namespace kingcup
