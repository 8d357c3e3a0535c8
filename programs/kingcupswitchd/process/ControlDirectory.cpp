/** @file ControlDirectory.cpp Lookup of control VMs in the settings. */
#include "ControlDirectory.h"

#include "kingcup/ControlAddress.h"

namespace kingcup {

ControlDirectory::ControlDirectory(const Settings& settings)
    : linkPort(settings.linkPort)
{
    for (const ControlVmAddress& vm : settings.controlVms)
        this->listedPeers[vm.id] = { vm.id, vm.link, vm.publicKey };
    for (const std::string& seed : settings.controlSeeds) {
        if (std::optional<VmId> vm = vmIdOfEndpoint(seed))
            this->seedVms.push_back(*vm);
    }
}

std::vector<VmId> ControlDirectory::initialVms() const
{
    if (this->acceptsUnlistedVms())
        return this->seedVms;
    std::vector<VmId> vms;
    for (const auto& [vm, peer] : this->listedPeers)
        vms.push_back(vm);
    return vms;
}

std::optional<LinkPeer> ControlDirectory::peer(VmId vm) const
{
    if (this->acceptsUnlistedVms())
        return LinkPeer { vm, hostOfVmId(vm) + ":" + std::to_string(this->linkPort), "" };
    auto found = this->listedPeers.find(vm);
    return found == this->listedPeers.end() ? std::nullopt : std::optional(found->second);
}

} // namespace kingcup
