/** @file LeaderClient.h Client of the control group: sends requests to the leader and resends them until they are answered. */
#pragma once

#include "ControlDirectory.h"

#include "kingcup/LeaderSearch.h"
#include "kingcup/Link.h"
#include "kingcup/MillisecondClock.h"
#include "kingcup/ResultCode.h"

#include <atomic>
#include <functional>
#include <map>
#include <vector>

namespace kingcup {

/**
 * Sends requests over the links. A request is resent, to another control VM if necessary, until it is answered or
 * times out, so requests must be idempotent. Runs on the hub's thread.
 */
class LeaderClient {
public:
    /** Called once, with Ok and the answer, or with CommandTimeout and an empty envelope. */
    using Done = std::function<void(ResultCode, const wire::Envelope&)>;

    /** @param hub Hub that sends the requests and whose thread runs this client. @param directory Control VMs to try first. @param firstRequestId Random number, so that the ids of an earlier process are not reused. */
    LeaderClient(LinkHub& hub, const ControlDirectory& directory, uint64_t firstRequestId);

    /** Replaces the control VMs to try, by the members of the control group or by new seeds. Hub thread only. */
    void setControlVms(std::vector<VmId> vms);

    /** Starts a request. Thread-safe; `done` is called on the hub's thread. @param timeout Time after which the request fails with CommandTimeout. */
    void sendRequest(wire::Envelope envelope, Milliseconds timeout, Done done, std::function<bool()> isWanted = {});

    /**
     * Sends a command as a request. Thread-safe; `done` is called on the hub's thread, after a timeout with the result code CommandTimeout.
     * @param isWanted Called on the hub's thread before the command is sent again, which ends with CommandTimeout if it returns false. Needed by commands that undo each other.
     */
    void sendCommand(wire::Command command, Milliseconds timeout, std::function<void(const wire::CommandResult&)> done, std::function<bool()> isWanted = {});

    /** Handles an answer. Returns false if the envelope does not belong to a pending request. Hub thread only. */
    bool receiveAnswer(const wire::Envelope& envelope);

    /** Resends unanswered requests and fails those that timed out. Hub thread only. */
    void tick(TimePoint now);

    /** Returns the last known leader; 0 for none. Thread-safe. */
    uint32_t leader() const { return this->knownLeader.load(); }

    /** Records that a control VM is the leader and opens a link to it; 0 for none. Hub thread only. */
    void setLeader(uint32_t vm);

    /** Records that a control VM failed to answer as leader. If it is the preferred VM, the next one is tried. Hub thread only. */
    void recordFailure(uint32_t vm);

    /** Returns the control VM that receives the next request; 0 without any control VM. Hub thread only. */
    uint32_t preferredVm() const { return this->search.preferredVm(); }

    /** Returns the control VMs in the order in which they are tried. Hub thread only. */
    const std::vector<VmId>& controlVms() const { return this->search.vms(); }

    /** Opens a link to a control VM, which may not be among those known at the start, unless there is one. Hub thread only. */
    void connect(VmId vm);

    /** Returns a request id that this process has not used yet. Thread-safe. */
    uint64_t allocateRequestId() { return ++this->lastRequestId; }

private:
    struct PendingRequest {
        wire::Envelope request; ///< Request to resend.
        Done done; ///< Receives the answer or the timeout.
        std::function<bool()> isWanted; ///< Returns whether the request may be sent again; may be empty.
        TimePoint deadline {}; ///< Time at which the request fails with CommandTimeout.
        TimePoint sentTime {}; ///< Time of the latest transmission.
        TimePoint resendTime {}; ///< Time of the next transmission.
        uint32_t sentTo = 0; ///< Control VM that the request was last sent to.
        bool isRefused = false; ///< Whether that control VM answered that it cannot execute the request.
    };
    void send(PendingRequest& pending, TimePoint now);
    bool retryRefused(const wire::Envelope& answer, PendingRequest& pending);

    void useNextVm();

    LinkHub& hub; ///< Links to the control VMs.
    const ControlDirectory& directory; ///< Addresses of the control VMs.
    LeaderSearch search; ///< Selects the control VM that receives the next request.
    std::atomic<uint32_t> knownLeader { 0 }; ///< Copy of the leader of `search`, for other threads.
    std::atomic<uint64_t> lastRequestId; ///< Request id that was allocated last.
    std::map<uint64_t, PendingRequest> pendingRequests; ///< Unanswered requests by request id.
};

} // namespace kingcup
