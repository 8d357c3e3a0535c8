/** @file MembershipManager.h Forms a control group, and replaces a control VM that came back with an empty disk. */
#pragma once

#include "LogDriver.h"

#include "kingcup/Link.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kingcup {

/** Own place in the group and the addresses of all control VMs. */
struct MembershipManagerOptions {
    VmId self = 0; ///< This VM.
    uint64_t incarnation = 0; ///< Of its data folder.
    std::string deployment; ///< Deployment id.
    std::map<VmId, std::string> addresses; ///< Link addresses of all control VMs.
};

/** Drives changes of membership one committed step after the other. Runs on the thread of the hub. */
class MembershipManager {
public:
    using Done = std::function<void(ResultCode, std::string detail)>;

    /** @param markBootstrapped Records durably that this VM is part of a group. */
    MembershipManager(MembershipManagerOptions options, LogDriver& driver, LinkHub& hub, std::function<std::error_code()> markBootstrapped, bool bootstrapped);

    /** Collects the identities of all control VMs and forms the group. Repeating it is safe. */
    void bootstrap(Done done);

    /** Starts the replacement of a VM's old incarnation by the one that last announced itself. */
    ResultCode replace(VmId vm);

    /** Handles identity and bootstrap messages. Returns false for others. */
    bool receive(const LinkOrigin& origin, const wire::Envelope& envelope);

    /** Notes a message of a member, so that a silent old incarnation is told from a live one. */
    void heard(VmId vm, uint64_t incarnation);

    /** Repeats requests and takes the next step of a replacement. */
    void tick();

    bool isBootstrapped() const { return this->bootstrapped; } ///< Whether this VM belongs to a group.

private:
    struct Bootstrap {
        Done done; ///< Told of the result.
        TimePoint deadline {}; ///< Given up then.
        TimePoint repeatAt {}; ///< Requests are repeated then.
        std::map<VmId, wire::IdentityAnswer> identities; ///< Collected so far.
        std::map<VmId, bool> formed; ///< Members that accepted the membership.
    };
    struct Replacement {
        VmId vm = 0; ///< VM to be replaced.
        uint64_t incarnation = 0; ///< New incarnation.
    };
    void noteMembership();
    void announceSelf();
    void answerIdentity(const LinkOrigin& origin, const wire::Envelope& envelope);
    void receiveIdentity(const wire::Envelope& envelope);
    void receiveBootstrap(const LinkOrigin& origin, const wire::Envelope& envelope);
    void receiveBootstrapAnswer(const wire::Envelope& envelope);
    ResultCode formGroup(const wire::Membership& membership);
    wire::Membership collectedMembership() const;
    void advanceBootstrap(TimePoint now);
    void sendBootstrapRequests();
    void finishBootstrap(ResultCode code, const std::string& detail);
    void considerReplacement(VmId vm, uint64_t incarnation);
    void startReplacement(VmId vm, uint64_t incarnation);
    void advanceReplacement();

    MembershipManagerOptions options; ///< Own place.
    LogDriver& driver; ///< The log.
    LinkHub& hub; ///< Sends.
    std::function<std::error_code()> markBootstrapped; ///< Durable mark.
    bool bootstrapped; ///< Whether this VM belongs to a group.
    std::optional<Bootstrap> pendingBootstrap; ///< Running bootstrap.
    std::optional<Replacement> replacement; ///< Running replacement.
    std::map<VmId, uint64_t> announced; ///< Incarnations without a group that announced themselves.
    std::map<std::pair<VmId, uint64_t>, TimePoint> lastHeard; ///< Last message by VM and incarnation.
    TimePoint nextAnnouncement {}; ///< Of this VM, while it has no group.
    uint64_t lastRequestId = 0; ///< Ids of own requests.
};

} // namespace kingcup
