/** @file ControlAddress.h Ids of control VMs that are found through seeds: the IPv4 address as a number. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kingcup {

/** Returns the id of the control VM at host:port; empty when the host is no IPv4 address. */
std::optional<uint32_t> vmIdOfEndpoint(std::string_view endpoint);

/** Returns the IPv4 address of a control VM that is named by it. */
std::string hostOfVmId(uint32_t id);

} // namespace kingcup
