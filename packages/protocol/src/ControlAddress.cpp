/** @file ControlAddress.cpp Conversion between IPv4 addresses and ids of control VMs. */
#include "kingcup/ControlAddress.h"

#include <arpa/inet.h>

namespace kingcup {

std::optional<uint32_t> vmIdOfEndpoint(std::string_view endpoint)
{
    std::string host(endpoint.substr(0, endpoint.rfind(':')));
    in_addr address {};
    if (inet_pton(AF_INET, host.c_str(), &address) != 1 || !address.s_addr)
        return std::nullopt;
    return ntohl(address.s_addr);
}

std::string hostOfVmId(uint32_t id)
{
    in_addr address {};
    address.s_addr = htonl(id);
    char text[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &address, text, sizeof(text));
    return text;
}

} // namespace kingcup
