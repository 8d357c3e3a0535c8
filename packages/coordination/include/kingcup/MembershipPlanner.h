/** @file MembershipPlanner.h Decides which member of a control group is added, promoted or removed next. */
#pragma once

#include "kingcup/ReplicatedLogTypes.h"

#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <utility>

namespace kingcup {

/** When members are exchanged. */
struct MembershipPlannerOptions {
    size_t wantedVoters = 3; ///< Learners are promoted up to this number.
    bool takesUnknownVms = false; ///< Whether VMs that were never members may join.
    Milliseconds oldIncarnationSilence { 3000 }; ///< An incarnation that was heard within this time is not replaced by another one of its VM.
    Milliseconds voterSilence { std::numeric_limits<double>::infinity() }; ///< A voter that was silent for this time may be replaced by another VM.
    Milliseconds announcementLifetime { 2000 }; ///< A VM that asked to join and is not heard of for this time is left out.
    Milliseconds learnerSilence { 20000 }; ///< A learner that was silent for this time is removed, so that it does not hold back others.
    size_t maxLearners = 8; ///< Further VMs wait until a learner is promoted or removed.
};

/**
 * Plans single-member changes for the leader of a group. A VM joins as a learner, and becomes a voter once it has caught
 * up: in place of its own old incarnation, of a voter that is silent for long, or because the group lacks voters.
 */
class MembershipPlanner {
public:
    explicit MembershipPlanner(MembershipPlannerOptions options);

    /** Forgets what was heard before this VM became the leader; silence counts from now. */
    void becameLeader(TimePoint now);

    /** Notes that a process which is no member asked to join. */
    void announced(VmId vm, uint64_t incarnation, TimePoint now);

    /** Notes a message of a member. */
    void heard(VmId vm, uint64_t incarnation, TimePoint now);

    /** Replaces the incarnation of a VM without waiting for its silence. Returns whether another one asked to join. */
    bool force(VmId vm);

    /**
     * Returns the next membership, or nothing to do.
     * @param self The leader. @param caughtUp Whether a learner holds nearly all of the log.
     */
    std::optional<wire::Membership> next(const wire::Membership& current, VmId self, const std::function<bool(VmId)>& caughtUp, TimePoint now) const;

private:
    using Incarnation = std::pair<VmId, uint64_t>;
    struct Candidate {
        uint64_t incarnation = 0; ///< Of the process that asked to join.
        TimePoint announced {}; ///< When it last asked.
        bool forced = false; ///< An operator asked for its replacement.
    };
    Milliseconds silence(const wire::Member& member, TimePoint now) const;
    bool mayReplaceOld(const Candidate& candidate, const wire::Member& old, TimePoint now) const;
    std::optional<wire::Membership> admit(const wire::Membership& current, TimePoint now) const;
    std::optional<wire::Membership> promote(const wire::Membership& current, VmId self, const std::function<bool(VmId)>& caughtUp, TimePoint now) const;
    const wire::Member* silentVoter(const wire::Membership& current, VmId self, TimePoint now) const;
    std::optional<wire::Membership> dropSilentLearner(const wire::Membership& current, TimePoint now) const;

    MembershipPlannerOptions options; ///< See above.
    TimePoint leaderSince {}; ///< Start of the leadership.
    std::map<VmId, Candidate> candidates; ///< Processes that asked to join.
    std::map<Incarnation, TimePoint> lastHeard; ///< Last message of each member.
};

/**
 * Returns whom a VM without a place in the group asks for one. Only the leader can give it, and it need not be a founder.
 * @param leader Leader that this VM has heard of; 0: none.
 */
std::vector<VmId> placesToAsk(const std::vector<VmId>& founders, VmId self, VmId leader);

} // namespace kingcup
