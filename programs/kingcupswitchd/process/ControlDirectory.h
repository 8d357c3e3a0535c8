/** @file ControlDirectory.h Link addresses of the control VMs, from the list or the seeds in the settings. */
#pragma once

#include "kingcup/Link.h"
#include "kingcup/ReplicatedLogTypes.h"
#include "kingcup/Settings.h"

#include <map>
#include <optional>
#include <vector>

namespace kingcup {

/** Maps ids of control VMs to link addresses. With `controlSeeds`, the address is derived from the id; with `controlVms`, it is looked up. Immutable. */
class ControlDirectory {
public:
    explicit ControlDirectory(const Settings& settings);

    /** Returns whether control VMs that the settings do not list may join the control group. */
    bool acceptsUnlistedVms() const { return this->listedPeers.empty(); }

    /** Returns the control VMs that the settings list, or else the seeds. */
    std::vector<VmId> initialVms() const;

    /** Returns the link address and public key of a control VM; empty if the settings do not permit that VM. */
    std::optional<LinkPeer> peer(VmId vm) const;

private:
    std::map<VmId, LinkPeer> listedPeers; ///< Control VMs from `controlVms`; empty if the settings list seeds instead.
    std::vector<VmId> seedVms; ///< Control VMs from `controlSeeds`.
    uint32_t linkPort; ///< Port of every control VM; used with seeds.
};

} // namespace kingcup
