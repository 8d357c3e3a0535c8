/** @file FullDisk.h Fills the disk of a control VM of a deployment. */
#pragma once

#include "testing/Deployment.h"

#include <filesystem>

namespace kingcup::testing {

/** Lets the daemons that are started in its scope look for simulated full disks. */
class FullDisks {
public:
    /** Lets the disk of a VM refuse operations, also of processes that start later. @param refused Names of operations: write, sync, rename, truncate, reserve. */
    static void fill(const Vm& vm, const std::string& refused)
    {
        // Renamed, so that the daemon never reads an empty file.
        writeFile(path(vm) + ".new", refused + "\n");
        std::filesystem::rename(path(vm) + ".new", path(vm));
    }

    /** Gives the disk of a VM room again. */
    static void empty(const Vm& vm) { std::filesystem::remove(path(vm)); }

private:
    static std::string path(const Vm& vm) { return vm.dataFolder() + ".full"; }

    ScopedEnvironment environment { "KINGCUP_FULL_DISK_SUFFIX", ".full" };
};

} // namespace kingcup::testing
