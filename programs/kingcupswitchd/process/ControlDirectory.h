/** @file ControlDirectory.h Where the control VMs are reached, listed in the settings or found through seeds. */
#pragma once

#include "kingcup/Link.h"
#include "kingcup/ReplicatedLogTypes.h"
#include "kingcup/Settings.h"

#include <map>
#include <optional>
#include <vector>

namespace kingcup {

/** Gives ids and link addresses of control VMs. Immutable. */
class ControlDirectory {
public:
    explicit ControlDirectory(const Settings& settings);

    /** Returns whether further control VMs than the first ones may exist. */
    bool isOpen() const { return this->listed.empty(); }

    /** Returns the control VMs that the settings name. */
    std::vector<VmId> firstVms() const;

    /** Returns how a control VM is reached; empty for one that the settings do not allow. */
    std::optional<LinkPeer> peer(VmId vm) const;

private:
    std::map<VmId, LinkPeer> listed; ///< From `controlVms`.
    std::vector<VmId> seeds; ///< From `controlSeeds`.
    uint32_t linkPort; ///< Of all control VMs; with seeds.
};

} // namespace kingcup
