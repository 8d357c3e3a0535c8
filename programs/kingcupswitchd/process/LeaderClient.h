/** @file LeaderClient.h Sends requests to the leader of the control group and repeats them until they are answered. */
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
 * Client side of the links. A request is sent again, to another control VM if need be, until an answer
 * comes or its time is over; so only requests that are idempotent may be given. Runs on the thread of the hub.
 */
class LeaderClient {
public:
    /** Called once. With Ok the envelope holds the answer; otherwise the code is CommandTimeout. */
    using Done = std::function<void(ResultCode, const wire::Envelope&)>;

    /** @param hub Hub whose thread runs this client. @param directory Control VMs to try first. @param firstRequestId Random, so that ids of an earlier process do not come again. */
    LeaderClient(LinkHub& hub, const ControlDirectory& directory, uint64_t firstRequestId);

    /** Takes over the members of the control group, or other seeds. Thread of the hub only. */
    void setControlVms(std::vector<VmId> vms);

    /** Starts a request. Thread-safe; `done` is called on the thread of the hub. @param timeout Time until it is given up. */
    void request(wire::Envelope envelope, Milliseconds timeout, Done done);

    /** Wraps a command in a request. A timeout is reported as a result with CommandTimeout. */
    void command(wire::Command command, Milliseconds timeout, std::function<void(const wire::CommandResult&)> done);

    /** Takes an answer. Returns false when the envelope is none of an open request. Thread of the hub only. */
    bool receive(const wire::Envelope& envelope);

    /** Repeats and gives up requests. Thread of the hub only. */
    void tick(TimePoint now);

    /** Returns the control VM that last answered as leader; 0 for none. Thread-safe. */
    uint32_t leader() const { return this->knownLeader.load(); }

    /** Takes a hint about the leader from another message. Thread of the hub only. */
    void setLeader(uint32_t vm);

    /** Turns to another control VM, if the one that failed is the one to ask. Thread of the hub only. */
    void failed(uint32_t vm);

    /** Returns the control VM to send the next request to. Thread of the hub only. */
    uint32_t preferredVm() const { return this->search.preferredVm(); }

    /** Returns a new request id. Thread-safe. */
    uint64_t nextRequestId() { return ++this->lastRequestId; }

private:
    struct Pending {
        wire::Envelope envelope; ///< Request.
        Done done; ///< Called once.
        TimePoint deadline {}; ///< Given up then.
        TimePoint repeatAt {}; ///< Sent again then.
        uint32_t sentTo = 0; ///< Control VM asked last.
        bool refused = false; ///< It answered that it cannot take the request.
    };
    void send(Pending& pending, TimePoint now);
    bool redirect(const wire::Envelope& answer, Pending& pending);

    void connect(VmId vm);

    LinkHub& hub; ///< Sends.
    const ControlDirectory& directory; ///< Addresses.
    LeaderSearch search; ///< Whom to ask.
    std::atomic<uint32_t> knownLeader { 0 }; ///< Its leader, for other threads.
    std::atomic<uint64_t> lastRequestId; ///< Last id given.
    std::map<uint64_t, Pending> pending; ///< By request id.
};

} // namespace kingcup
