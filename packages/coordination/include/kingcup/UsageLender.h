/** @file UsageLender.h Soft state of a leader: the rates that it grants to the entry VMs for organisations with a usage cap. */
#pragma once

#include "kingcup/ReplicatedLogTypes.h"
#include "kingcup/UsageCap.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace kingcup {

class UsageAccount;

/**
 * Divides the usage caps of organisations among the entry VMs, by the demand and the admitted requests that their session requests
 * report. Handles organisations between 1/s on two VMs and 320/s on 140 VMs, and jumps to 7.5 times the usual demand within 100 ms.
 * Not replicated and not thread-safe. The cost of a session request grows with the organisations that it reports, not with the VMs.
 */
class UsageLender {
public:
    /** @param shareTerm Time after which a share expires. @param sessionInterval Interval of the session requests of an entry VM. */
    UsageLender(const UsageCapLimits& limits, Milliseconds shareTerm, Milliseconds sessionInterval);
    ~UsageLender();

    /** Discards all state, when this VM becomes the leader. */
    void becomeLeader(TimePoint now);

    /** Replaces the caps by organisation. The use before a lowered cap counts as if it had kept to the new one. */
    void setCaps(const std::map<std::string, UsageCap>& caps, TimePoint now);

    /** Records the usage in a session request and adds the shares of the VM to the answer. @param vms Number of live entry VMs, or the number to assume while it is unknown; above 0. */
    void exchange(const wire::SessionRequest& request, uint32_t vms, TimePoint now, wire::SessionAnswer& answer);

    /** Estimates the use of VMs that do not report, and removes those that have not reported for long. Called every few milliseconds. */
    void tick(TimePoint now);

    /** Returns the number of organisations whose window is used up. */
    size_t closedOrganisations(TimePoint now);

private:
    void addShares(const std::string& vm, const std::set<std::string>& organisations, uint32_t vms, TimePoint now, wire::SessionAnswer& answer);

    UsageCapLimits limits; ///< Accuracy of the caps.
    Milliseconds shareTerm; ///< Time after which a share expires.
    Milliseconds sessionInterval; ///< Interval of the session requests of an entry VM.
    TimePoint leaderSince {}; ///< Time at which this VM became the leader.
    TimePoint nextTick {}; ///< Time of the next estimate for VMs without reports.
    std::map<std::string, UsageCap> caps; ///< Caps by organisation, without those that are not limited.
    std::map<std::string, std::unique_ptr<UsageAccount>> accounts; ///< Organisations with reported usage.
    std::map<std::string, std::set<std::string>> reported; ///< Organisations in the last report of each VM.
    std::vector<std::string> tightOrganisations; ///< Organisations whose shares are sent to VMs without demand, too.
};

} // namespace kingcup
