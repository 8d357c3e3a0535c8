/** @file MembershipManager.h Forms a control group, and replaces a control VM that came back with an empty disk. */
#pragma once

#include "ControlDirectory.h"
#include "LogDriver.h"

#include "kingcup/Link.h"
#include "kingcup/MembershipPlanner.h"

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
    std::vector<VmId> founders; ///< VMs that form the group.
    bool formsGroup = false; ///< Whether the founders form the group without an operator.
    MembershipPlannerOptions planner; ///< When members are exchanged.
};

/** Forms the group, and drives changes of membership one committed step after the other. Runs on the thread of the hub. */
class MembershipManager {
public:
    using Done = std::function<void(ResultCode, std::string detail)>;

    /** @param markBootstrapped Records durably that this VM is part of a group. */
    MembershipManager(MembershipManagerOptions options, const ControlDirectory& directory, LogDriver& driver, LinkHub& hub, std::function<std::error_code()> markBootstrapped, bool bootstrapped);

    /** Collects the identities of all control VMs and forms the group. Repeating it is safe. */
    void bootstrap(Done done);

    /** Starts the replacement of a VM's old incarnation by the one that last announced itself. */
    ResultCode replace(VmId vm);

    /** Handles identity and bootstrap messages. Returns false for others. */
    bool receive(const LinkOrigin& origin, const wire::Envelope& envelope);

    /** Notes a message of a member, so that a silent old incarnation is told from a live one. */
    void heard(VmId vm, uint64_t incarnation);

    /** Repeats requests and takes the next step of a change. */
    void tick();

    /** Forgets what only counts for one leadership. */
    void roleChanged();

    /** Takes over other seeds to which this VM announces itself. */
    void setSeeds(std::vector<VmId> vms) { this->contacts = std::move(vms); }

    bool isBootstrapped() const { return this->bootstrapped; } ///< Whether this VM belongs to a group.

private:
    struct Bootstrap {
        Done done; ///< Told of the result.
        TimePoint deadline {}; ///< Given up then.
        TimePoint repeatAt {}; ///< Requests are repeated then.
        std::map<VmId, wire::IdentityAnswer> identities; ///< Collected so far.
        std::map<VmId, bool> formed; ///< Members that accepted the membership.
    };
    void noteMembership();
    void announceSelf();
    void nameLeader(VmId vm);
    wire::IdentityAnswer ownIdentity() const;
    void answerIdentity(const LinkOrigin& origin, const wire::Envelope& envelope);
    void receiveIdentity(const wire::Envelope& envelope);
    void receiveBootstrap(const LinkOrigin& origin, const wire::Envelope& envelope);
    void receiveBootstrapAnswer(const wire::Envelope& envelope);
    ResultCode formGroup(const wire::Membership& membership);
    wire::Membership collectedMembership() const;
    void advanceBootstrap(TimePoint now);
    void sendBootstrapRequests();
    void finishBootstrap(ResultCode code, const std::string& detail);
    bool needsAnnouncement(TimePoint now);
    void connect(VmId vm);
    void connectMembers();
    void advancePlan(TimePoint now);

    MembershipManagerOptions options; ///< Own place.
    const ControlDirectory& directory; ///< Addresses.
    LogDriver& driver; ///< The log.
    LinkHub& hub; ///< Sends.
    std::function<std::error_code()> markBootstrapped; ///< Durable mark.
    bool bootstrapped; ///< Whether this VM belongs to a group.
    std::optional<Bootstrap> pendingBootstrap; ///< Running bootstrap.
    MembershipPlanner planner; ///< Decides on changes.
    std::vector<VmId> contacts; ///< VMs to which this VM announces itself.
    VmId namedLeader = 0; ///< Leader that one of them named; 0: none.
    TimePoint leaderKnown {}; ///< When a leader was last known.
    TimePoint nextAnnouncement {}; ///< Of this VM, while it has no place in a group.
    std::string connectedMembership; ///< Encoded membership to which links were opened.
    uint64_t lastRequestId = 0; ///< Ids of own requests.
};

} // namespace kingcup
