/** @file SimulatedFullDisk.h Lets a test fill the disk of one process. */
#pragma once

#include <string>

namespace kingcup {

/** Operations that a simulated disk can refuse. */
enum class DiskOperation {
    Write,
    Sync,
    Rename,
    Truncate,
    Reserve, ///< Not refused itself: the space is below the reserve.
};

/**
 * Tells the data folder of this process. The disk is full while there is a file whose name is that of the folder followed by the
 * value of the environment variable KINGCUP_FULL_DISK_SUFFIX. Its first line names the refused operations: write, sync, rename,
 * truncate, reserve. Without the variable nothing is ever refused.
 */
void setSimulatedDisk(const std::string& folder);

/** Returns ENOSPC if the simulated disk refuses an operation, otherwise 0. */
int simulatedRefusal(DiskOperation operation);

} // namespace kingcup
