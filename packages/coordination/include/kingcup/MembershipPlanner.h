/** @file MembershipPlanner.h Selects the next single-member change of a control group: addition, promotion or removal. */
#pragma once

#include "kingcup/ReplicatedLogTypes.h"

#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <utility>

namespace kingcup {

/** Limits and timeouts for adding, promoting and removing members. */
struct MembershipPlannerOptions {
    size_t wantedVoters = 3; ///< Number of voters up to which learners are promoted.
    bool takesUnknownVms = false; ///< Whether VMs without any incarnation in the group may join.
    Milliseconds oldIncarnationSilence { 3000 }; ///< A new incarnation of a VM replaces the old one only after the old one has sent nothing for this time.
    Milliseconds voterSilence { std::numeric_limits<double>::infinity() }; ///< A voter that has sent nothing for this time may be replaced by another VM.
    Milliseconds announcementLifetime { 2000 }; ///< A join request older than this is ignored, and a learner that has sent nothing for this time is not promoted.
    Milliseconds learnerSilence { 20000 }; ///< A learner that has sent nothing for this time is removed, so that it does not keep other VMs from joining.
    size_t maxLearners = 8; ///< Number of learners at which no unknown VM is added until one is promoted or removed.
};

/**
 * Plans single-member changes for the leader of a group. A VM joins as a learner and is promoted to voter once its log has
 * caught up: in place of an old incarnation of the same VM, in place of a voter that timed out, or because the group has
 * fewer voters than wanted. Not thread-safe.
 */
class MembershipPlanner {
public:
    explicit MembershipPlanner(MembershipPlannerOptions options);

    /** Discards the message times of an earlier leadership. Timeouts of members count from now. */
    void becameLeader(TimePoint now);

    /** Records a join request of a process that is not a member. A new incarnation replaces the earlier request of its VM. */
    void announced(VmId vm, uint64_t incarnation, TimePoint now);

    /** Records the arrival of a message from a member. */
    void heard(VmId vm, uint64_t incarnation, TimePoint now);

    /**
     * Lets a VM's join request replace its old incarnation without the timeout. Returns false if the VM has not asked to
     * join.
     */
    bool force(VmId vm);

    /**
     * Returns the membership after the next single-member change, or nothing if no change is due.
     * @param self Id of the leader, which is never removed for a timeout.
     * @param caughtUp Returns whether a learner holds nearly all of the log.
     */
    std::optional<wire::Membership> next(const wire::Membership& current, VmId self, const std::function<bool(VmId)>& caughtUp, TimePoint now) const;

private:
    using Incarnation = std::pair<VmId, uint64_t>;
    struct Candidate {
        uint64_t incarnation = 0; ///< Incarnation of the process that asked to join.
        TimePoint announced {}; ///< Arrival of its latest request.
        bool forced = false; ///< Whether an operator asked to replace the old incarnation.
    };
    Milliseconds silence(const wire::Member& member, TimePoint now) const;
    bool mayReplaceOld(const Candidate& candidate, const wire::Member& old, TimePoint now) const;
    std::optional<wire::Membership> admit(const wire::Membership& current, TimePoint now) const;
    std::optional<wire::Membership> promote(const wire::Membership& current, VmId self, const std::function<bool(VmId)>& caughtUp, TimePoint now) const;
    const wire::Member* silentVoter(const wire::Membership& current, VmId self, TimePoint now) const;
    std::optional<wire::Membership> dropSilentLearner(const wire::Membership& current, TimePoint now) const;

    MembershipPlannerOptions options; ///< Limits and timeouts.
    TimePoint leaderSince {}; ///< Time at which this VM became the leader.
    std::map<VmId, Candidate> candidates; ///< Latest join request of each VM.
    std::map<Incarnation, TimePoint> lastHeard; ///< Arrival of the latest message of each member in this leadership.
};

/**
 * Returns the VMs to which a VM that is not a member sends its join request: the initial members and the leader. Only the
 * leader can add a member, and it need not be one of the initial members.
 * @param leader Leader that this VM has learned of; 0: none.
 */
std::vector<VmId> placesToAsk(const std::vector<VmId>& founders, VmId self, VmId leader);

} // namespace kingcup
