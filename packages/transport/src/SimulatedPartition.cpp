/** @file SimulatedPartition.cpp Implementation of simulated partitions. */
#include "SimulatedPartition.h"

#include <cstdlib>
#include <fstream>
#include <string>
#include <unistd.h>

namespace kingcup {

namespace {

/** Returns the value of the environment variable, or null if it is not set. */
const char* filePrefix()
{
    static const char* const prefix = std::getenv("KINGCUP_PARTITION_FILE");
    return prefix;
}

} // namespace

bool isPartitionSimulated()
{
    return filePrefix();
}

std::optional<SocketAddress> simulatedDestination()
{
    static const std::string file = std::string(filePrefix()) + "." + std::to_string(getpid());
    std::ifstream stream(file);
    std::string address;
    return std::getline(stream, address) ? SocketAddress::parse(address) : std::nullopt;
}

} // namespace kingcup
