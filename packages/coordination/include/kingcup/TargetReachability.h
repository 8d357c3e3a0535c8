/** @file TargetReachability.h Detects that this VM has lost its network path to the targets, as opposed to single targets that fail. */
#pragma once

#include "kingcup/EnumNames.h"
#include "kingcup/MillisecondClock.h"
#include "kingcup/RandomSource.h"

#include <set>
#include <string>
#include <vector>

namespace kingcup {

/** What an exchange with a target shows about the network path to it. */
enum class PathEvidence {
    Connected, ///< A new connection was established.
    Answered, ///< An answer arrived on a kept connection.
    NotConnected, ///< No new connection could be established.
    Silent, ///< An established connection was lost, or gave no answer in time.
    None, ///< Nothing, for example because the exchange was cancelled.
};

/** Whether this VM reaches the targets over its own connections. */
enum class PathState {
    Intact, ///< At most some targets are out of reach.
    Cut, ///< Checks of several targets failed; none is assumed to be reachable.
};

constexpr EnumName<PathState> pathStateNames[] = {
    { PathState::Intact, "intact" },
    { PathState::Cut, "cut" },
};

/**
 * Decides by the failures of several targets and by checks, which open a connection to a target and close it. New connections
 * count apart from kept ones, because a partition may spare the latter. Not thread-safe.
 */
class TargetReachability {
public:
    explicit TargetReachability(RandomSource random)
        : random(random)
    {
    }

    /** Records the evidence of an exchange other than a check. It is ignored while the path is cut. */
    void recordExchange(const std::string& address, PathEvidence evidence);

    /** Returns the targets to check now; empty if no check is due. Each must be passed to recordCheck(). @param targets Addresses of all targets. */
    std::vector<std::string> takeChecks(const std::vector<std::string>& targets, TimePoint now);

    /** Records the result of a check. Returns whether it changed the state. */
    bool recordCheck(bool isConnected, TimePoint now);

    PathState state() const { return this->pathState; } ///< State by the last round of checks.

    /** Returns the number of different targets that failed since the last success. */
    size_t failedTargets() const { return this->silentTargets.size(); }

private:
    bool isCheckDue(size_t targetCount) const;

    RandomSource random; ///< Draws the targets to check.
    PathState pathState = PathState::Intact;
    std::set<std::string> unconnectedTargets; ///< Targets to which no connection was established since one was established to any.
    std::set<std::string> silentTargets; ///< Targets that failed in any way since one was connected or answered.
    size_t pendingChecks = 0; ///< Checks of the current round without a result.
    size_t failedChecks = 0; ///< Checks of the current round that failed.
    size_t roundSize = 0; ///< Checks of the current round.
    TimePoint nextRound {}; ///< Earliest start of the next round.
};

} // namespace kingcup
