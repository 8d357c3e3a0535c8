/** @file SimulatedFullDisk.cpp Implementation of the simulated full disk. */
#include "SimulatedFullDisk.h"

#include "kingcup/EnumNames.h"

#include <cerrno>
#include <cstdlib>
#include <fstream>
#include <mutex>

namespace kingcup {

namespace {

constexpr EnumName<DiskOperation> operationNames[] = {
    { DiskOperation::Write, "write" },
    { DiskOperation::Sync, "sync" },
    { DiskOperation::Rename, "rename" },
    { DiskOperation::Truncate, "truncate" },
    { DiskOperation::Reserve, "reserve" },
};

std::mutex stateFileMutex; ///< Protects `stateFile`.
std::string stateFile; ///< File that tells what is refused; empty: nothing is simulated.

} // namespace

void setSimulatedDisk(const std::string& folder)
{
    static const char* const suffix = std::getenv("KINGCUP_FULL_DISK_SUFFIX");
    if (!suffix)
        return;
    std::lock_guard<std::mutex> lock(stateFileMutex);
    stateFile = folder + suffix;
}

int simulatedRefusal(DiskOperation operation)
{
    std::string path;
    {
        std::lock_guard<std::mutex> lock(stateFileMutex);
        path = stateFile;
    }
    std::string refused;
    if (path.empty() || !std::getline(std::ifstream(path), refused))
        return 0;
    return refused.find(nameOf(operationNames, operation)) == std::string::npos ? 0 : ENOSPC;
}

} // namespace kingcup
