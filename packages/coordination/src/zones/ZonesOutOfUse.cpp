/** @file ZonesOutOfUse.cpp Selection of the targets outside zones out of use. */
#include "kingcup/ZonesOutOfUse.h"

#include <algorithm>
#include <iterator>

namespace kingcup {

TargetList targetsInUse(const ConfigurationSnapshot& configuration, const std::string& service)
{
    auto found = configuration.targets.find(service);
    if (found == configuration.targets.end())
        return {};
    if (configuration.zonesOutOfUse.empty())
        return found->second;
    std::vector<wire::TargetRecord> records;
    std::copy_if(found->second.begin(), found->second.end(), std::back_inserter(records),
        [&](const wire::TargetRecord& target) { return !configuration.zonesOutOfUse.contains(target.availability_zone()); });
    return TargetList(std::move(records));
}

std::vector<std::string> addressesInUse(const ConfigurationSnapshot& configuration)
{
    std::vector<std::string> addresses;
    for (const auto& [service, targets] : configuration.targets) {
        for (const wire::TargetRecord& target : targets) {
            if (!configuration.zonesOutOfUse.contains(target.availability_zone()))
                addresses.push_back(target.address());
        }
    }
    return addresses;
}

bool hasOnlyTargetsOutOfUse(const ConfigurationSnapshot& configuration, const std::string& service)
{
    auto found = configuration.targets.find(service);
    if (configuration.zonesOutOfUse.empty() || found == configuration.targets.end())
        return false;
    auto isServing = [](const wire::TargetRecord& target) { return target.state() == wire::TARGET_SERVING; };
    auto isUsable = [&](const wire::TargetRecord& target) { return isServing(target) && !configuration.zonesOutOfUse.contains(target.availability_zone()); };
    return std::any_of(found->second.begin(), found->second.end(), isServing) && std::none_of(found->second.begin(), found->second.end(), isUsable);
}

} // namespace kingcup
