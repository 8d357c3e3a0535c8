/** @file FreeSpace.cpp Implementation of the query for free space. */
#include "kingcup/FreeSpace.h"

#include "SimulatedFullDisk.h"

#include <sys/statvfs.h>

namespace kingcup {

std::optional<uint64_t> freeBytes(const std::string& folder)
{
    if (simulatedRefusal(DiskOperation::Reserve))
        return 0;
    struct statvfs fileSystem { };
    if (statvfs(folder.c_str(), &fileSystem) != 0)
        return std::nullopt;
    return static_cast<uint64_t>(fileSystem.f_bavail) * fileSystem.f_frsize;
}

} // namespace kingcup
