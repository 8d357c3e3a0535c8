/** @file TargetReachability.cpp Evidence and checks of the network path to the targets. */
#include "kingcup/TargetReachability.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace kingcup {

namespace {

constexpr size_t suspiciousTargets = 2; ///< Number of failed targets from which on the path is checked.
constexpr size_t checksPerRound = 2;
constexpr Milliseconds roundInterval { 250 }; ///< Bounds how late the end of a partition is noticed.

} // namespace

void TargetReachability::recordExchange(const std::string& address, PathEvidence evidence)
{
    if (this->pathState == PathState::Cut)
        return;
    switch (evidence) {
    case PathEvidence::Connected:
        this->unconnectedTargets.clear();
        this->silentTargets.clear();
        return;
    case PathEvidence::Answered:
        this->silentTargets.clear();
        return;
    case PathEvidence::NotConnected:
        this->unconnectedTargets.insert(address);
        this->silentTargets.insert(address);
        return;
    case PathEvidence::Silent:
        this->silentTargets.insert(address);
        return;
    case PathEvidence::None:
        return;
    }
}

bool TargetReachability::isCheckDue(size_t targetCount) const
{
    size_t threshold = std::min(suspiciousTargets, targetCount);
    return this->pathState == PathState::Cut || this->unconnectedTargets.size() >= threshold || this->silentTargets.size() >= threshold;
}

std::vector<std::string> TargetReachability::takeChecks(const std::vector<std::string>& targets, TimePoint now)
{
    if (targets.empty() || this->pendingChecks > 0 || now < this->nextRound || !this->isCheckDue(targets.size()))
        return {};
    std::vector<std::string> candidates;
    auto hasNotFailed = [this](const std::string& address) { return !this->silentTargets.contains(address); };
    std::copy_if(targets.begin(), targets.end(), std::back_inserter(candidates), hasNotFailed);
    if (candidates.empty())
        candidates = targets;
    std::vector<std::string> checks;
    while (checks.size() < checksPerRound && !candidates.empty()) {
        std::swap(candidates[this->random.below(candidates.size())], candidates.back());
        checks.push_back(std::move(candidates.back()));
        candidates.pop_back();
    }
    this->pendingChecks = this->roundSize = checks.size();
    this->failedChecks = 0;
    this->nextRound = now + roundInterval;
    return checks;
}

bool TargetReachability::recordCheck(bool isConnected, TimePoint now)
{
    if (this->pendingChecks == 0)
        return false;
    this->failedChecks += isConnected ? 0 : 1;
    if (--this->pendingChecks > 0)
        return false;
    this->nextRound = now + roundInterval;
    PathState previous = this->pathState;
    if (this->failedChecks == this->roundSize)
        this->pathState = PathState::Cut;
    else if (this->failedChecks == 0)
        this->pathState = PathState::Intact;
    this->unconnectedTargets.clear();
    this->silentTargets.clear();
    return this->pathState != previous;
}

} // namespace kingcup
