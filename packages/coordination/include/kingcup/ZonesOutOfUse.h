/** @file ZonesOutOfUse.h Targets that may get requests: those outside the availability zones that operators took out of use. */
#pragma once

#include "kingcup/EntryConfiguration.h"

#include <string>
#include <vector>

namespace kingcup {

/** Returns the targets of a service that may get requests; empty for an unknown service. The list shares the records of the snapshot if no zone is out of use. */
TargetList targetsInUse(const ConfigurationSnapshot& configuration, const std::string& service);

/** Returns the addresses of all targets that may get requests. */
std::vector<std::string> addressesInUse(const ConfigurationSnapshot& configuration);

/** Returns whether a service has serving targets, and all of them are in zones out of use. */
bool hasOnlyTargetsOutOfUse(const ConfigurationSnapshot& configuration, const std::string& service);

} // namespace kingcup
