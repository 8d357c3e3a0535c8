/** @file TargetPartition.cpp Implementation of partitions between entry VMs and targets. */
#include "testing/TargetPartition.h"

#include <arpa/inet.h>
#include <filesystem>
#include <sys/socket.h>

namespace kingcup::testing {

SilentAddress::SilentAddress()
    : listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    constexpr Milliseconds connectLimit { 1000 };
    sockaddr_in any {};
    any.sin_family = AF_INET;
    any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(this->listener.handle(), reinterpret_cast<sockaddr*>(&any), sizeof(any)) == 0 && ::listen(this->listener.handle(), 0) == 0)
        this->filler = connectTo(this->text(), connectLimit);
}

std::string refusingAddress()
{
    return localAddress(listenOn("127.0.0.1:0"));
}

TargetPartition::TargetPartition(const std::string& prefix, const std::vector<Vm*>& vms, const std::string& destination)
{
    for (const Vm* vm : vms) {
        this->files.push_back(prefix + "." + std::to_string(vm->process->pid()));
        writeFile(this->files.back() + ".new", destination + "\n");
        std::filesystem::rename(this->files.back() + ".new", this->files.back());
    }
}

TargetPartition::~TargetPartition()
{
    for (const std::string& file : this->files)
        std::filesystem::remove(file);
}

} // namespace kingcup::testing
