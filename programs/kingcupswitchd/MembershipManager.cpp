/** @file MembershipManager.cpp Implementation of bootstrap and replacement of control VMs. */
#include "MembershipManager.h"

#include "kingcup/JsonLog.h"

#include <algorithm>

namespace kingcup {

namespace {

constexpr Milliseconds bootstrapTimeout { 10000 };
constexpr Milliseconds bootstrapRepeatInterval { 200 };
constexpr Milliseconds announcementInterval { 500 };
constexpr Milliseconds oldIncarnationSilence { 3000 }; ///< An old incarnation that was heard within this time is not replaced by itself.

/** Returns the member with an id and incarnation, or null. */
const wire::Member* findMember(const wire::Membership& membership, VmId vm, uint64_t incarnation)
{
    for (const wire::Member& member : membership.members()) {
        if (member.vm_id() == vm && member.incarnation() == incarnation)
            return &member;
    }
    return nullptr;
}

/** Returns another incarnation of a VM in the membership, or null. */
const wire::Member* findOtherIncarnation(const wire::Membership& membership, VmId vm, uint64_t incarnation)
{
    for (const wire::Member& member : membership.members()) {
        if (member.vm_id() == vm && member.incarnation() != incarnation)
            return &member;
    }
    return nullptr;
}

/** Returns the membership without one member. */
wire::Membership without(const wire::Membership& membership, VmId vm, uint64_t incarnation)
{
    wire::Membership next;
    for (const wire::Member& member : membership.members()) {
        if (member.vm_id() != vm || member.incarnation() != incarnation)
            *next.add_members() = member;
    }
    return next;
}

/** Returns whether two memberships list the same members in the same order. */
bool sameMembership(const wire::Membership& one, const wire::Membership& other)
{
    return one.SerializeAsString() == other.SerializeAsString();
}

} // namespace

MembershipManager::MembershipManager(MembershipManagerOptions options, LogDriver& driver, LinkHub& hub, std::function<std::error_code()> markBootstrapped, bool bootstrapped)
    : options(std::move(options))
    , driver(driver)
    , hub(hub)
    , markBootstrapped(std::move(markBootstrapped))
    , bootstrapped(bootstrapped)
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
    if (pending.identities.size() == this->options.addresses.size()) {
        this->sendBootstrapRequests();
        return;
    }
    for (const auto& [vm, address] : this->options.addresses) {
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
        member->set_link_address(this->options.addresses.at(vm));
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
    auto announcement = this->announced.find(vm);
    if (announcement == this->announced.end())
        return ResultCode::UnknownVm;
    if (this->replacement)
        return ResultCode::MembershipChangePending;
    this->startReplacement(vm, announcement->second);
    return ResultCode::Ok;
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
    this->lastHeard[{ vm, incarnation }] = MillisecondClock::now();
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
    if (!this->bootstrapped && now >= this->nextAnnouncement) {
        this->nextAnnouncement = now + announcementInterval;
        this->announceSelf();
    }
    this->noteMembership();
    this->advanceReplacement();
}

/** Tells the other control VMs that this VM has an empty folder. */
void MembershipManager::announceSelf()
{
    for (const auto& [vm, address] : this->options.addresses) {
        if (vm == this->options.self)
            continue;
        wire::Envelope envelope;
        wire::IdentityAnswer* identity = envelope.mutable_identity_answer();
        identity->set_vm_id(this->options.self);
        identity->set_incarnation(this->options.incarnation);
        identity->set_deployment_id(this->options.deployment);
        this->hub.send(vm, std::move(envelope));
    }
}

void MembershipManager::answerIdentity(const LinkOrigin& origin, const wire::Envelope& envelope)
{
    wire::Envelope answer;
    answer.set_request_id(envelope.request_id());
    wire::IdentityAnswer* identity = answer.mutable_identity_answer();
    identity->set_vm_id(this->options.self);
    identity->set_incarnation(this->options.incarnation);
    identity->set_deployment_id(this->options.deployment);
    identity->set_bootstrapped(this->bootstrapped);
    this->hub.reply(origin, std::move(answer));
}

/** Takes an answer of a running bootstrap, or the announcement of a VM with an empty folder. */
void MembershipManager::receiveIdentity(const wire::Envelope& envelope)
{
    const wire::IdentityAnswer& identity = envelope.identity_answer();
    if (identity.vm_id() != envelope.sender_vm() || !this->options.addresses.contains(identity.vm_id()))
        return;
    if (this->pendingBootstrap && envelope.request_id()) {
        this->pendingBootstrap->identities[identity.vm_id()] = identity;
        this->pendingBootstrap->repeatAt = {};
    }
    if (!identity.bootstrapped())
        this->considerReplacement(identity.vm_id(), identity.incarnation());
}

/** Starts the replacement of an old incarnation that has been silent for long enough. */
void MembershipManager::considerReplacement(VmId vm, uint64_t incarnation)
{
    this->announced[vm] = incarnation;
    if (this->replacement || this->driver.log().role() != LogRole::Leader)
        return;
    const wire::Membership& membership = this->driver.log().membership();
    const wire::Member* old = findOtherIncarnation(membership, vm, incarnation);
    if (!old && !findMember(membership, vm, incarnation))
        return;
    TimePoint now = MillisecondClock::now();
    auto heard = old ? this->lastHeard.find({ vm, old->incarnation() }) : this->lastHeard.end();
    if (heard != this->lastHeard.end() && now - heard->second < oldIncarnationSilence)
        return;
    this->startReplacement(vm, incarnation);
}

void MembershipManager::startReplacement(VmId vm, uint64_t incarnation)
{
    this->replacement = Replacement { vm, incarnation };
    logLine(LogLevel::Info, "replacement_started", { { "controlVm", vm }, { "incarnation", incarnation } });
}

/** Takes the next step: add as learner, remove the old incarnation, promote; each after the one before is committed. */
void MembershipManager::advanceReplacement()
{
    const ReplicatedLog& log = this->driver.log();
    if (!this->replacement)
        return;
    if (log.role() != LogRole::Leader) {
        this->replacement.reset();
        return;
    }
    if (!log.membershipCommitted())
        return;
    wire::Membership next = log.membership();
    VmId vm = this->replacement->vm;
    uint64_t incarnation = this->replacement->incarnation;
    const wire::Member* member = findMember(next, vm, incarnation);
    const wire::Member* old = findOtherIncarnation(next, vm, incarnation);
    if (member && member->voter() && !old) {
        logLine(LogLevel::Info, "replacement_finished", { { "controlVm", vm }, { "incarnation", incarnation } });
        this->replacement.reset();
        return;
    }
    if (!member) {
        wire::Member* learner = next.add_members();
        learner->set_vm_id(vm);
        learner->set_incarnation(incarnation);
        learner->set_link_address(this->options.addresses.at(vm));
    } else if (!log.caughtUp(vm)) {
        return;
    } else if (old) {
        next = without(next, vm, old->incarnation());
    } else {
        for (wire::Member& entry : *next.mutable_members()) {
            if (entry.vm_id() == vm)
                entry.set_voter(true);
        }
    }
    this->driver.proposeMembership(next);
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
    bool complete = std::all_of(this->options.addresses.begin(), this->options.addresses.end(), [&](const auto& entry) { return pending.formed[entry.first]; });
    if (complete)
        this->finishBootstrap(ResultCode::Ok, "group formed");
}

} // namespace kingcup
