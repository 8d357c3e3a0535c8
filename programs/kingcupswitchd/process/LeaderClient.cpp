/** @file LeaderClient.cpp Implementation of the client of the control group. */
#include "LeaderClient.h"

#include "kingcup/JsonLog.h"

#include <optional>

namespace kingcup {

namespace {

constexpr Milliseconds repeatInterval { 300 }; ///< Time without an answer after which a request is sent to the next control VM.
constexpr Milliseconds redirectPause { 30 }; ///< Delay before a request is resent after a control VM refused it without naming another leader.

/** Result code and leader that an answer contains. */
struct LeaderHint {
    int32_t code = 0; ///< Result code of the answer.
    uint32_t leader = 0; ///< Leader that the answer names; 0 for none.
};

/** Returns the result code and leader of an answer; empty for messages that contain neither. */
std::optional<LeaderHint> leaderHint(const wire::Envelope& answer)
{
    switch (answer.body_case()) {
    case wire::Envelope::kCommandAnswer:
        return LeaderHint { answer.command_answer().result().result_code(), answer.command_answer().leader_vm() };
    case wire::Envelope::kQueryAnswer:
        return LeaderHint { answer.query_answer().result_code(), answer.query_answer().leader_vm() };
    case wire::Envelope::kAdminAnswer:
        return LeaderHint { answer.admin_answer().result_code(), answer.admin_answer().leader_vm() };
    case wire::Envelope::kHeartbeatAnswer:
        return LeaderHint { answer.heartbeat_answer().result_code(), answer.heartbeat_answer().leader_vm() };
    default:
        return std::nullopt;
    }
}

} // namespace

LeaderClient::LeaderClient(LinkHub& hub, const ControlDirectory& directory, uint64_t firstRequestId)
    : hub(hub)
    , directory(directory)
    , search(directory.firstVms())
    , lastRequestId(firstRequestId)
{
}

void LeaderClient::setControlVms(std::vector<VmId> vms)
{
    if (!this->search.setVms(std::move(vms)))
        return;
    nlohmann::json names = nlohmann::json::array();
    for (VmId vm : this->search.vms())
        names.push_back(vm);
    logLine(LogLevel::Info, "control_vms_changed", { { "controlVms", names } });
}

/** Opens a link to a control VM, which may not be among those known at the start. */
void LeaderClient::connect(VmId vm)
{
    if (std::optional<LinkPeer> peer = this->directory.peer(vm))
        this->hub.connect(std::move(*peer));
}

void LeaderClient::request(wire::Envelope envelope, Milliseconds timeout, Done done)
{
    uint64_t id = this->nextRequestId();
    envelope.set_request_id(id);
    TimePoint deadline = MillisecondClock::now() + timeout;
    this->hub.post([this, id, deadline, envelope = std::move(envelope), done = std::move(done)]() mutable {
        Pending& entry = this->pending[id];
        entry.envelope = std::move(envelope);
        entry.done = std::move(done);
        entry.deadline = deadline;
        this->send(entry, MillisecondClock::now());
    });
}

void LeaderClient::command(wire::Command command, Milliseconds timeout, std::function<void(const wire::CommandResult&)> done)
{
    wire::Envelope envelope;
    *envelope.mutable_command_request()->mutable_command() = std::move(command);
    this->request(std::move(envelope), timeout, [done = std::move(done)](ResultCode code, const wire::Envelope& answer) {
        if (code == ResultCode::Ok && answer.has_command_answer()) {
            done(answer.command_answer().result());
            return;
        }
        wire::CommandResult failed;
        failed.set_result_code(static_cast<int>(ResultCode::CommandTimeout));
        done(failed);
    });
}

/** Sends a request to the leader, or to the next control VM in turn while no leader is known. */
void LeaderClient::send(Pending& pending, TimePoint now)
{
    pending.repeatAt = now + repeatInterval;
    pending.sentTo = this->preferredVm();
    pending.refused = false;
    this->hub.send(pending.sentTo, pending.envelope);
}

void LeaderClient::setLeader(uint32_t vm)
{
    if (!this->search.recordLeader(vm))
        return;
    this->knownLeader = vm;
    if (vm)
        this->connect(vm);
    logLine(LogLevel::Info, "leader_known", { { "leader", vm } });
}

void LeaderClient::failed(uint32_t vm)
{
    if (!this->search.recordFailure(vm))
        return;
    if (uint32_t lost = this->knownLeader.exchange(0))
        logLine(LogLevel::Warning, "leader_lost", { { "leader", lost } });
    this->connect(this->preferredVm());
}

/** Handles an answer of a control VM that cannot execute the request. Returns whether the request stays pending and is resent. */
bool LeaderClient::redirect(const wire::Envelope& answer, Pending& pending)
{
    std::optional<LeaderHint> hint = leaderHint(answer);
    if (!hint)
        return false;
    ResultCode code = static_cast<ResultCode>(hint->code);
    bool goOn = code == ResultCode::NotLeader || code == ResultCode::NotBootstrapped || code == ResultCode::CommandAbandoned || code == ResultCode::NoQuorum;
    if (!goOn)
        return false;
    TimePoint now = MillisecondClock::now();
    if (hint->leader && hint->leader != answer.sender_vm()) {
        this->setLeader(hint->leader);
        this->send(pending, now);
        return true;
    }
    // A newly elected leader refuses requests until it is ready. It stays the preferred VM.
    bool isLeaderItself = hint->leader && hint->leader == answer.sender_vm();
    if (isLeaderItself)
        this->setLeader(hint->leader);
    else
        this->failed(answer.sender_vm());
    pending.refused = true;
    pending.repeatAt = now + redirectPause;
    return true;
}

bool LeaderClient::receive(const wire::Envelope& envelope)
{
    auto entry = this->pending.find(envelope.request_id());
    if (entry == this->pending.end())
        return false;
    if (this->redirect(envelope, entry->second))
        return true;
    if (envelope.sender_vm() && leaderHint(envelope))
        this->setLeader(envelope.sender_vm());
    Done done = std::move(entry->second.done);
    this->pending.erase(entry);
    done(ResultCode::Ok, envelope);
    return true;
}

void LeaderClient::tick(TimePoint now)
{
    std::vector<Done> expired;
    for (auto entry = this->pending.begin(); entry != this->pending.end();) {
        Pending& pending = entry->second;
        if (now >= pending.deadline) {
            expired.push_back(std::move(pending.done));
            entry = this->pending.erase(entry);
            continue;
        }
        if (now >= pending.repeatAt) {
            if (!pending.refused)
                this->failed(pending.sentTo);
            this->send(pending, now);
        }
        ++entry;
    }
    for (Done& done : expired)
        done(ResultCode::CommandTimeout, wire::Envelope());
}

} // namespace kingcup
