/** @file MembershipManager.cpp Implementation of the bootstrap and of membership changes. */
#include "MembershipManager.h"

#include "kingcup/JsonLog.h"

#include <algorithm>

namespace kingcup {

namespace {

constexpr Milliseconds bootstrapTimeout { 10000 };
constexpr Milliseconds bootstrapRetryInterval { 200 };
constexpr Milliseconds joinRequestInterval { 500 };
constexpr Milliseconds markRetryInterval { 500 }; ///< Between two attempts to record on a full disk that this VM belongs to a group.
constexpr Milliseconds rejoinTimeout { 2000 }; ///< A member without a known leader for this time may have been removed and asks to join again.
constexpr Milliseconds firstJoinRequestDelay { 50 }; ///< Delay after the start of the process, since the other VMs may not listen yet.

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
bool isSameMembership(const wire::Membership& first, const wire::Membership& second)
{
    return first.SerializeAsString() == second.SerializeAsString();
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
    , seeds(this->options.initialMembers)
    , lastLeaderTime(MillisecondClock::now())
    , nextJoinRequestTime(MillisecondClock::now() + firstJoinRequestDelay)
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

/** Repeats the requests that are still unanswered, or ends the bootstrap at its deadline. */
void MembershipManager::advanceBootstrap(TimePoint now)
{
    Bootstrap& pending = *this->pendingBootstrap;
    if (now >= pending.deadline) {
        this->finishBootstrap(ResultCode::Unreachable, "not every control VM answered");
        return;
    }
    if (now < pending.nextRequestTime)
        return;
    pending.nextRequestTime = now + bootstrapRetryInterval;
    if (pending.identities.size() == this->options.initialMembers.size()) {
        this->sendBootstrapRequests();
        return;
    }
    for (VmId vm : this->options.initialMembers) {
        if (pending.identities.contains(vm))
            continue;
        wire::Envelope envelope;
        envelope.set_request_id(++this->lastRequestId);
        envelope.mutable_identity_request();
        this->hub.send(vm, std::move(envelope));
    }
}

/**
 * Sends the bootstrap requests, at first only to VMs that already belong to a group, so that a VM with an erased disk never
 * forms a second group beside a running one.
 */
void MembershipManager::sendBootstrapRequests()
{
    Bootstrap& pending = *this->pendingBootstrap;
    bool isAwaitingExistingMembers = std::any_of(pending.identities.begin(), pending.identities.end(), [&](const auto& entry) {
        return entry.second.bootstrapped() && !pending.hasAccepted[entry.first];
    });
    for (const auto& [vm, identity] : pending.identities) {
        if (pending.hasAccepted[vm] || (isAwaitingExistingMembers && !identity.bootstrapped()))
            continue;
        wire::Envelope envelope;
        envelope.set_request_id(++this->lastRequestId);
        *envelope.mutable_bootstrap_request()->mutable_members() = this->initialMembership().members();
        this->hub.send(vm, std::move(envelope));
    }
}

/** Returns the first membership in the order of VM ids, so that every member writes the same bytes. */
wire::Membership MembershipManager::initialMembership() const
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

void MembershipManager::recordMessage(VmId vm, uint64_t incarnation)
{
    this->planner.recordMessage(vm, incarnation, MillisecondClock::now());
}

/** Records durably that this VM belongs to a group, once a membership that lists it is synced to its disk. */
void MembershipManager::recordOwnMembership()
{
    bool isListed = findMember(this->driver.log().membership(), this->options.self, this->options.incarnation);
    // The mark must not be written before the membership entry, or a crash in between would look like a lost journal.
    TimePoint now = MillisecondClock::now();
    if (this->bootstrapped || !isListed || !this->driver.isIdle() || now < this->nextMarkTime)
        return;
    this->nextMarkTime = now + markRetryInterval;
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
    if (this->needsToJoin(now) && now >= this->nextJoinRequestTime) {
        this->nextJoinRequestTime = now + joinRequestInterval;
        this->sendJoinRequests();
    }
    this->connectMembers();
    this->recordOwnMembership();
    this->proposeNextMembership(now);
}

/**
 * Returns whether this VM has to ask to join: it belongs to no group, or, in a deployment with seeds, the group may have
 * removed it while it was unreachable.
 */
bool MembershipManager::needsToJoin(TimePoint now)
{
    if (this->driver.log().leader())
        this->lastLeaderTime = now;
    return !this->bootstrapped || (this->directory.acceptsUnlistedVms() && now - this->lastLeaderTime >= rejoinTimeout);
}

void MembershipManager::connect(VmId vm)
{
    if (std::optional<LinkPeer> peer = this->directory.peer(vm))
        this->hub.connect(std::move(*peer));
}

/** Opens links to all members if the membership has changed. */
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

void MembershipManager::handleRoleChange()
{
    this->planner.becomeLeader(MillisecondClock::now());
}

/**
 * Sends join requests to other control VMs. The first of the initial members also starts the bootstrap if the settings ask for
 * it.
 */
void MembershipManager::sendJoinRequests()
{
    bool startsBootstrap = this->options.formsGroup && !this->bootstrapped && !this->options.initialMembers.empty() && this->options.initialMembers.front() == this->options.self;
    if (startsBootstrap && !this->pendingBootstrap)
        this->bootstrap([](ResultCode, const std::string&) {});
    VmId leader = this->driver.log().leader() ? this->driver.log().leader() : this->reportedLeader;
    for (VmId vm : joinRequestRecipients(this->seeds, this->options.self, leader)) {
        this->connect(vm);
        wire::Envelope envelope;
        *envelope.mutable_identity_answer() = this->ownIdentity();
        envelope.mutable_identity_answer()->set_bootstrapped(false); // Marks the message as a join request, also from a former member.
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

/** Handles an answer to a running bootstrap, a report of the leader, or the join request of a VM that is not a member. */
void MembershipManager::receiveIdentity(const wire::Envelope& envelope)
{
    const wire::IdentityAnswer& identity = envelope.identity_answer();
    if (identity.vm_id() != envelope.sender_vm() || !this->directory.peer(identity.vm_id()))
        return;
    if (identity.leader_vm()) {
        this->reportedLeader = identity.leader_vm();
        return;
    }
    if (this->pendingBootstrap && envelope.request_id()) {
        this->pendingBootstrap->identities[identity.vm_id()] = identity;
        this->pendingBootstrap->nextRequestTime = {};
    }
    bool asksToJoin = !identity.bootstrapped() || !findMember(this->driver.log().membership(), identity.vm_id(), identity.incarnation());
    if (!asksToJoin)
        return;
    this->planner.recordJoinRequest(identity.vm_id(), identity.incarnation(), MillisecondClock::now());
    this->reportLeader(identity.vm_id());
}

/** Reports the leader, which alone can add members, to a VM that asks to join. */
void MembershipManager::reportLeader(VmId vm)
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

/** Proposes the next membership change if this VM is the leader and the previous one is committed. */
void MembershipManager::proposeNextMembership(TimePoint now)
{
    const ReplicatedLog& log = this->driver.log();
    if (log.role() != LogRole::Leader || !log.isMembershipCommitted())
        return;
    auto hasCaughtUp = [&log](VmId vm) { return log.isCaughtUp(vm); };
    std::optional<wire::Membership> next = this->planner.nextMembership(log.membership(), this->options.self, hasCaughtUp, now);
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
    // There is no answer before the membership is durably recorded; the sender repeats its request.
    if (code == ResultCode::Ok && !this->bootstrapped)
        return;
    wire::Envelope answer;
    answer.set_request_id(envelope.request_id());
    answer.mutable_admin_answer()->set_result_code(static_cast<int>(code));
    this->hub.reply(origin, std::move(answer));
}

/** Writes the first membership on this VM. Returns Ok also if the group was formed with the same membership before. */
ResultCode MembershipManager::formGroup(const wire::Membership& membership)
{
    if (!findMember(membership, this->options.self, this->options.incarnation))
        return ResultCode::ForeignDataFolder;
    if (this->bootstrapped)
        return isSameMembership(membership, this->driver.log().membership()) ? ResultCode::Ok : ResultCode::AlreadyBootstrapped;
    ResultCode code = this->driver.bootstrap(membership);
    if (code == ResultCode::AlreadyBootstrapped && isSameMembership(membership, this->driver.log().membership()))
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
    pending.hasAccepted[envelope.sender_vm()] = true;
    pending.nextRequestTime = {};
    bool isComplete = std::all_of(this->options.initialMembers.begin(), this->options.initialMembers.end(), [&](VmId vm) { return pending.hasAccepted[vm]; });
    if (isComplete)
        this->finishBootstrap(ResultCode::Ok, "group formed");
}

} // namespace kingcup
