/** @file ControlAddress.h Conversion between the IPv4 addresses of control VMs found through seeds and their numeric ids. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kingcup {

/** Returns the IPv4 address of host:port in host byte order; empty if the host is no IPv4 address or is 0.0.0.0. */
std::optional<uint32_t> vmIdOfEndpoint(std::string_view endpoint);

/** Returns the dotted IPv4 address that the id encodes. */
std::string hostOfVmId(uint32_t id);

} // namespace kingcup
