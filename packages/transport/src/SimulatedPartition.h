/** @file SimulatedPartition.h Lets a test cut one process off from all targets. */
#pragma once

#include "SocketAddress.h"

#include <optional>

namespace kingcup {

/** Returns whether a test may cut this process off: the environment variable KINGCUP_PARTITION_FILE is set. */
bool isPartitionSimulated();

/**
 * Returns the address to which new connections to targets go instead during a simulated partition; empty without a partition. A
 * partition lasts while there is a file whose name is that of the variable, a dot and the process id. Its first line is the address.
 */
std::optional<SocketAddress> simulatedDestination();

} // namespace kingcup
