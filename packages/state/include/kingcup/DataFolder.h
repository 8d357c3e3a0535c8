/** @file DataFolder.h Identity and files of the folder that holds the durable state of a control VM. */
#pragma once

#include "kingcup/Journal.h"

#include <cstdint>
#include <memory>
#include <string>
#include <system_error>

namespace kingcup {

/** Identity of a data folder, stored in the folder. */
struct FolderIdentity {
    std::string deployment; ///< Id of the deployment.
    uint32_t vmId = 0; ///< Id of the control VM.
    uint64_t incarnation = 0; ///< Random number that is chosen when the folder is initialised.
    bool isBootstrapped = false; ///< Whether the VM has ever been a member of a group.
};

/** Open data folder. The process holds its lock for the lifetime of the object. */
class DataFolder {
public:
    ~DataFolder();

    /**
     * Opens a folder; creates a missing one and writes a new identity into an empty one.
     * Errors: ForeignDataFolder (the identity is of another deployment or VM, or the folder holds files but no identity),
     * DataFolderLocked, JournalDamaged (the identity file is damaged), DiskFull, SyncFailed, FileError.
     * @param newIncarnation Incarnation that is stored if the folder has no identity yet; must not be 0.
     * @param folder Set on success only.
     */
    static std::error_code open(const std::string& path, const std::string& deployment, uint32_t vmId, uint64_t newIncarnation, std::unique_ptr<DataFolder>& folder);

    const FolderIdentity& identity() const;

    /** Stores durably that this VM is a member of a group. Errors: those of storeFile. */
    std::error_code markBootstrapped();

    /** Replaces a file atomically and durably: writes and syncs a temporary file, renames it and syncs the folder. Errors: DiskFull, SyncFailed, FileError. */
    std::error_code storeFile(const std::string& name, std::string_view content, const FileHooks& hooks);

    /** Reads a file that storeFile has written. Errors: NotFound, JournalDamaged (wrong magic number or checksum), FileError. */
    std::error_code loadFile(const std::string& name, std::string& content) const;

    const std::string& path() const;

private:
    DataFolder();
    struct State;
    std::unique_ptr<State> state;
};

} // namespace kingcup
