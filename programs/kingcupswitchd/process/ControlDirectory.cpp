/** @file ControlDirectory.cpp Lookup of control VMs in the settings. */
#include "ControlDirectory.h"

#include "kingcup/ControlAddress.h"

namespace kingcup {

ControlDirectory::ControlDirectory(const Settings& settings)
    : linkPort(settings.linkPort)
{
    for (const ControlVmAddress& vm : settings.controlVms)
        this->listed[vm.id] = { vm.id, vm.link, vm.publicKey };
    for (const std::string& seed : settings.controlSeeds) {
        if (std::optional<VmId> vm = vmIdOfEndpoint(seed))
            this->seeds.push_back(*vm);
    }
}

std::vector<VmId> ControlDirectory::firstVms() const
{
    if (this->isOpen())
        return this->seeds;
    std::vector<VmId> vms;
    for (const auto& [vm, peer] : this->listed)
        vms.push_back(vm);
    return vms;
}

std::optional<LinkPeer> ControlDirectory::peer(VmId vm) const
{
    if (this->isOpen())
        return LinkPeer { vm, hostOfVmId(vm) + ":" + std::to_string(this->linkPort), "" };
    auto found = this->listed.find(vm);
    return found == this->listed.end() ? std::nullopt : std::optional(found->second);
}

} // namespace kingcup
