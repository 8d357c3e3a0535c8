/** @file LeaderSearch.cpp Selection of the control VM that receives a client's requests. */
#include "kingcup/LeaderSearch.h"

#include <utility>

namespace kingcup {

LeaderSearch::LeaderSearch(std::vector<VmId> vms)
    : controlVms(std::move(vms))
{
}

bool LeaderSearch::setVms(std::vector<VmId> vms)
{
    if (vms.empty() || vms == this->controlVms)
        return false;
    this->controlVms = std::move(vms);
    return true;
}

VmId LeaderSearch::preferredVm() const
{
    if (this->knownLeader || this->controlVms.empty())
        return this->knownLeader;
    return this->controlVms[this->position % this->controlVms.size()];
}

bool LeaderSearch::recordTimeout(VmId vm, TimePoint sentTime)
{
    bool precedesStatement = vm == this->knownLeader && sentTime <= this->leaderStatedTime;
    return !precedesStatement && this->recordFailure(vm);
}

bool LeaderSearch::recordLeader(VmId vm, TimePoint now)
{
    this->leaderStatedTime = now;
    return std::exchange(this->knownLeader, vm) != vm;
}

bool LeaderSearch::recordFailure(VmId vm)
{
    if (vm != this->preferredVm())
        return false;
    this->knownLeader = 0;
    this->position++;
    // The VM that has just failed may also be the next one in the list.
    if (this->preferredVm() == vm)
        this->position++;
    return true;
}

} // namespace kingcup
