/** @file LeaderClient.cpp Implementation of the client of the control group. */
#include "LeaderClient.h"

#include "kingcup/JsonLog.h"

#include <optional>

namespace kingcup {

namespace {

constexpr Milliseconds resendInterval { 300 }; ///< Time without an answer after which a request is sent to the next control VM.
constexpr double bytesPerResendInterval = 256 * 1024; ///< A large request gets one more resend interval for each of these bytes, which it takes to send, check and commit.
constexpr Milliseconds refusalRetryDelay { 30 }; ///< Delay before a request is resent after a control VM refused it without naming another leader.

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
    , search(directory.initialVms())
    , lastRequestId(firstRequestId)
{
}

void LeaderClient::setControlVms(std::vector<VmId> vms)
{
    if (!this->search.setVms(std::move(vms)))
        return;
    nlohmann::json vmIds = nlohmann::json::array();
    for (VmId vm : this->search.vms())
        vmIds.push_back(vm);
    logLine(LogLevel::Info, "control_vms_changed", { { "controlVms", vmIds } });
}

void LeaderClient::connect(VmId vm)
{
    if (std::optional<LinkPeer> peer = this->directory.peer(vm))
        this->hub.connect(std::move(*peer));
}

void LeaderClient::sendRequest(wire::Envelope envelope, Milliseconds timeout, Done done, std::function<bool()> isWanted)
{
    uint64_t id = this->allocateRequestId();
    envelope.set_request_id(id);
    TimePoint deadline = MillisecondClock::now() + timeout;
    this->hub.post([this, id, deadline, envelope = std::move(envelope), done = std::move(done), isWanted = std::move(isWanted)]() mutable {
        PendingRequest& entry = this->pendingRequests[id];
        entry.request = std::move(envelope);
        entry.done = std::move(done);
        entry.isWanted = std::move(isWanted);
        entry.deadline = deadline;
        this->send(entry, MillisecondClock::now());
    });
}

void LeaderClient::sendCommand(wire::Command command, Milliseconds timeout, std::function<void(const wire::CommandResult&)> done, std::function<bool()> isWanted)
{
    wire::Envelope envelope;
    *envelope.mutable_command_request()->mutable_command() = std::move(command);
    auto receive = [done = std::move(done)](ResultCode code, const wire::Envelope& answer) {
        if (code == ResultCode::Ok && answer.has_command_answer()) {
            done(answer.command_answer().result());
            return;
        }
        wire::CommandResult failed;
        failed.set_result_code(static_cast<int>(ResultCode::CommandTimeout));
        done(failed);
    };
    this->sendRequest(std::move(envelope), timeout, std::move(receive), std::move(isWanted));
}

/** Sends a request to the leader, or to the next control VM in turn while no leader is known. */
void LeaderClient::send(PendingRequest& pending, TimePoint now)
{
    pending.resendTime = now + resendInterval * (1 + static_cast<double>(pending.request.ByteSizeLong()) / bytesPerResendInterval);
    pending.sentTime = now;
    pending.sentTo = this->preferredVm();
    pending.isRefused = false;
    this->hub.send(pending.sentTo, pending.request);
}

void LeaderClient::setLeader(uint32_t vm)
{
    if (!this->search.recordLeader(vm, MillisecondClock::now()))
        return;
    this->knownLeader = vm;
    if (vm)
        this->connect(vm);
    logLine(LogLevel::Info, "leader_known", { { "leader", vm } });
}

void LeaderClient::recordFailure(uint32_t vm)
{
    if (this->search.recordFailure(vm))
        this->useNextVm();
}

/** Connects to the VM that is preferred after the failure of another. */
void LeaderClient::useNextVm()
{
    if (uint32_t lost = this->knownLeader.exchange(0))
        logLine(LogLevel::Warning, "leader_lost", { { "leader", lost } });
    this->connect(this->preferredVm());
}

/** Handles an answer of a control VM that cannot execute the request. Returns whether the request stays pending and is resent. */
bool LeaderClient::retryRefused(const wire::Envelope& answer, PendingRequest& pending)
{
    std::optional<LeaderHint> hint = leaderHint(answer);
    if (!hint)
        return false;
    ResultCode code = static_cast<ResultCode>(hint->code);
    bool isRetryable = code == ResultCode::NotLeader || code == ResultCode::NotBootstrapped || code == ResultCode::CommandAbandoned || code == ResultCode::NoQuorum;
    if (!isRetryable)
        return false;
    TimePoint now = MillisecondClock::now();
    if (hint->leader && hint->leader != answer.sender_vm()) {
        this->setLeader(hint->leader);
        this->send(pending, now);
        return true;
    }
    // A newly elected leader refuses requests until it is ready. It stays the preferred VM.
    bool isSenderLeader = hint->leader && hint->leader == answer.sender_vm();
    if (isSenderLeader)
        this->setLeader(hint->leader);
    else
        this->recordFailure(answer.sender_vm());
    pending.isRefused = true;
    pending.resendTime = now + refusalRetryDelay;
    return true;
}

bool LeaderClient::receiveAnswer(const wire::Envelope& envelope)
{
    auto entry = this->pendingRequests.find(envelope.request_id());
    if (entry == this->pendingRequests.end())
        return false;
    if (this->retryRefused(envelope, entry->second))
        return true;
    if (envelope.sender_vm() && leaderHint(envelope))
        this->setLeader(envelope.sender_vm());
    Done done = std::move(entry->second.done);
    this->pendingRequests.erase(entry);
    done(ResultCode::Ok, envelope);
    return true;
}

void LeaderClient::tick(TimePoint now)
{
    std::vector<Done> expired;
    for (auto entry = this->pendingRequests.begin(); entry != this->pendingRequests.end();) {
        PendingRequest& pending = entry->second;
        bool isDue = now >= pending.resendTime;
        if (now >= pending.deadline || (isDue && pending.isWanted && !pending.isWanted())) {
            expired.push_back(std::move(pending.done));
            entry = this->pendingRequests.erase(entry);
            continue;
        }
        if (isDue) {
            if (!pending.isRefused && this->search.recordTimeout(pending.sentTo, pending.sentTime))
                this->useNextVm();
            this->send(pending, now);
        }
        ++entry;
    }
    for (Done& done : expired)
        done(ResultCode::CommandTimeout, wire::Envelope());
}

} // namespace kingcup
