/** @file MembershipManager.h Bootstrap of a control group and changes of its membership, such as the replacement of a VM that lost its disk. */
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

/** Identity of this VM and parameters of the group. */
struct MembershipManagerOptions {
    VmId self = 0; ///< Id of this VM.
    uint64_t incarnation = 0; ///< Incarnation of this VM's data folder.
    std::string deployment; ///< Id of the deployment.
    std::vector<VmId> initialMembers; ///< Control VMs that the settings name; they are the members of the first membership.
    bool formsGroup = false; ///< Whether the first of the initial members bootstraps the group without an operator.
    MembershipPlannerOptions planner; ///< Limits and timeouts of membership changes.
};

/**
 * Bootstraps the group and changes its membership, one committed step at a time. All functions must be called on the hub's
 * thread.
 */
class MembershipManager {
public:
    /** Receives the result of a bootstrap. @param detail Explanation for the operator. */
    using Done = std::function<void(ResultCode, std::string detail)>;

    /**
     * The directory, the driver and the hub must outlive this object.
     * @param markBootstrapped Records durably that this VM belongs to a group. @param bootstrapped Whether that is recorded.
     */
    MembershipManager(MembershipManagerOptions options, const ControlDirectory& directory, LogDriver& driver, LinkHub& hub, std::function<std::error_code()> markBootstrapped, bool bootstrapped);

    /**
     * Collects the identities of the initial members and forms the group. It may be repeated. Reports
     * MembershipChangePending while another bootstrap runs and Unreachable after a timeout.
     */
    void bootstrap(Done done);

    /**
     * Lets the incarnation of a VM that last asked to join replace its old one without a timeout. Returns UnknownVm if none
     * has asked.
     */
    ResultCode replace(VmId vm);

    /** Handles identity and bootstrap messages. Returns false for other messages. */
    bool receive(const LinkOrigin& origin, const wire::Envelope& envelope);

    /** Records the arrival of a message from a member, so that a running incarnation is not replaced as timed out. */
    void recordMessage(VmId vm, uint64_t incarnation);

    /**
     * Repeats requests, opens links to new members and proposes the next membership change. Called at the tick interval of the
     * hub.
     */
    void tick();

    /** Discards the message times of an earlier leadership. Called when this VM becomes the leader or steps down. */
    void handleRoleChange();

    /** Replaces the VMs to which this VM sends its join requests. */
    void setSeeds(std::vector<VmId> vms) { this->seeds = std::move(vms); }

    bool isBootstrapped() const { return this->bootstrapped; } ///< Whether it is durably recorded that this VM belongs to a group.

private:
    /** State of a running bootstrap. */
    struct Bootstrap {
        Done done; ///< Receives the result.
        TimePoint deadline {}; ///< Time at which the bootstrap fails.
        TimePoint nextRequestTime {}; ///< Time at which unanswered requests are sent again.
        std::map<VmId, wire::IdentityAnswer> identities; ///< Identities received so far, by VM id.
        std::map<VmId, bool> hasAccepted; ///< Whether a VM has accepted the membership, by VM id; may lack VMs that have not.
    };
    void recordOwnMembership();
    void sendJoinRequests();
    void reportLeader(VmId vm);
    wire::IdentityAnswer ownIdentity() const;
    void answerIdentity(const LinkOrigin& origin, const wire::Envelope& envelope);
    void receiveIdentity(const wire::Envelope& envelope);
    void receiveBootstrap(const LinkOrigin& origin, const wire::Envelope& envelope);
    void receiveBootstrapAnswer(const wire::Envelope& envelope);
    ResultCode formGroup(const wire::Membership& membership);
    wire::Membership initialMembership() const;
    void advanceBootstrap(TimePoint now);
    void sendBootstrapRequests();
    void finishBootstrap(ResultCode code, const std::string& detail);
    bool needsToJoin(TimePoint now);
    void connect(VmId vm);
    void connectMembers();
    void proposeNextMembership(TimePoint now);

    MembershipManagerOptions options; ///< Identity of this VM and parameters of the group.
    const ControlDirectory& directory; ///< Ids and link addresses of the control VMs.
    LogDriver& driver; ///< Replicated log of the group.
    LinkHub& hub; ///< Sends messages.
    std::function<std::error_code()> markBootstrapped; ///< Records durably that this VM belongs to a group.
    bool bootstrapped; ///< Whether it is durably recorded that this VM belongs to a group.
    std::optional<Bootstrap> pendingBootstrap; ///< Running bootstrap, if any.
    MembershipPlanner planner; ///< Selects the next membership change.
    std::vector<VmId> seeds; ///< VMs to which this VM sends its join requests, besides the leader.
    VmId reportedLeader = 0; ///< Leader that another VM reported in reply to a join request; 0: none.
    TimePoint lastLeaderTime {}; ///< Time at which the log last had a known leader.
    TimePoint nextJoinRequestTime {}; ///< Time of the next join requests.
    TimePoint nextMarkTime {}; ///< Time of the next attempt to record the membership.
    std::string connectedMembership; ///< Encoded membership to whose members links are open.
    uint64_t lastRequestId = 0; ///< Id of the last request that this VM sent.
};

} // namespace kingcup
