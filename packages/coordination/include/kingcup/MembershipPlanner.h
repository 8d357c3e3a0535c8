/** @file MembershipPlanner.h Selects the next single-member change of a control group: addition, promotion or removal. */
#pragma once

#include "kingcup/ReplicatedLogTypes.h"

#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace kingcup {

/** Limits and timeouts for adding, promoting and removing members. */
struct MembershipPlannerOptions {
    size_t wantedVoters = 3; ///< Number of voters up to which learners are promoted. While a silent voter is replaced there may be one more.
    bool mayAdmitUnknownVms = false; ///< Whether VMs without any incarnation in the group may join.
    Milliseconds incarnationReplacementTimeout { 3000 }; ///< A new incarnation of a VM replaces the old one only after the old one has sent nothing for this time.
    Milliseconds voterReplacementTimeout { std::numeric_limits<double>::infinity() }; ///< A voter that has sent nothing for this time may be replaced by another VM.
    Milliseconds joinRequestLifetime { 2000 }; ///< A join request older than this is ignored, and a learner that has sent nothing for this time is not promoted.
    Milliseconds learnerRemovalTimeout { 20000 }; ///< A learner that has sent nothing for this time is removed, so that it does not keep other VMs from joining.
    size_t maxLearners = 8; ///< Number of learners at which no unknown VM is added until one is promoted or removed.
};

/**
 * Returns the options of a group that VMs join by themselves through seeds. A VM is named by its address there and cannot run
 * twice, so its old incarnation has ended and is replaced without a timeout.
 */
MembershipPlannerOptions seededPlannerOptions(size_t toleratedLosses);

/**
 * Plans single-member changes for the leader of a group. A VM joins as a learner and is promoted to voter once its log has
 * caught up: in place of an old incarnation of the same VM, in place of a voter that timed out, or because the group has
 * fewer voters than wanted. Not thread-safe.
 */
class MembershipPlanner {
public:
    explicit MembershipPlanner(MembershipPlannerOptions options);

    /** Discards the message times of an earlier leadership. Timeouts of members count from now. */
    void becomeLeader(TimePoint now);

    /**
     * Records a join request of a process that is not a member. A new incarnation replaces the earlier request of its VM.
     * The request counts as a message, so that a learner is not silent from the moment at which it is added.
     */
    void recordJoinRequest(VmId vm, uint64_t incarnation, TimePoint now);

    /** Records the arrival of a message from a member. */
    void recordMessage(VmId vm, uint64_t incarnation, TimePoint now);

    /**
     * Lets a VM's join request replace its old incarnation without the timeout. Returns false if the VM has not asked to
     * join.
     */
    bool forceReplacement(VmId vm);

    /**
     * Returns the membership after the next single-member change, or nothing if no change is due.
     * @param self Id of the leader, which is never removed for a timeout.
     * @param hasCaughtUp Returns whether a learner holds nearly all of the log.
     */
    std::optional<wire::Membership> nextMembership(const wire::Membership& current, VmId self, const std::function<bool(VmId)>& hasCaughtUp, TimePoint now) const;

private:
    using Incarnation = std::pair<VmId, uint64_t>;
    struct JoinRequest {
        uint64_t incarnation = 0; ///< Incarnation of the process that asked to join.
        TimePoint receivedAt {}; ///< Arrival of its latest request.
        bool isForced = false; ///< Whether an operator asked to replace the old incarnation.
    };
    Milliseconds timeSinceLastMessage(const wire::Member& member, TimePoint now) const;
    bool mayReplaceIncarnation(const JoinRequest& request, const wire::Member& old, TimePoint now) const;
    std::optional<wire::Membership> planAddition(const wire::Membership& current, TimePoint now) const;
    std::optional<wire::Membership> planPromotion(const wire::Membership& current, VmId self, const std::function<bool(VmId)>& hasCaughtUp, TimePoint now) const;
    std::optional<wire::Membership> planVoterRemoval(const wire::Membership& current, VmId self, TimePoint now) const;
    std::vector<const wire::Member*> silentVoters(const wire::Membership& current, VmId self, TimePoint now) const;
    std::optional<wire::Membership> planLearnerRemoval(const wire::Membership& current, TimePoint now) const;

    MembershipPlannerOptions options; ///< Limits and timeouts.
    TimePoint leaderSince {}; ///< Time at which this VM became the leader.
    std::map<VmId, JoinRequest> joinRequests; ///< Latest join request of each VM.
    std::map<Incarnation, TimePoint> lastMessageTimes; ///< Arrival of the latest message of each member in this leadership.
};

/**
 * Returns the VMs to which a VM that is not a member sends its join request: the initial members and the leader. Only the
 * leader can add a member, and it need not be one of the initial members.
 * @param leader Leader that this VM has learned of; 0: none.
 */
std::vector<VmId> joinRequestRecipients(const std::vector<VmId>& initialMembers, VmId self, VmId leader);

} // namespace kingcup
