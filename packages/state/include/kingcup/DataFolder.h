/** @file DataFolder.h Identity and files of the one folder that holds a control VM's durable state. */
#pragma once

#include "kingcup/Journal.h"

#include <cstdint>
#include <memory>
#include <string>
#include <system_error>

namespace kingcup {

/** What names a data folder. */
struct FolderIdentity {
    std::string deployment; ///< Deployment id.
    uint32_t vmId = 0; ///< Control VM id.
    uint64_t incarnation = 0; ///< Random, made with the folder.
    bool bootstrapped = false; ///< Whether the VM was ever part of a group.
};

/** An open, locked data folder. */
class DataFolder {
public:
    ~DataFolder();

    /**
     * Opens a folder, or gives an empty one a new identity.
     * Errors: ForeignDataFolder (other deployment or VM, or files without identity), DataFolderLocked, FileError.
     * @param newIncarnation Incarnation of a folder that has none yet; must not be 0.
     */
    static std::error_code open(const std::string& path, const std::string& deployment, uint32_t vmId, uint64_t newIncarnation, std::unique_ptr<DataFolder>& folder);

    const FolderIdentity& identity() const; ///< Who this folder belongs to.

    /** Records durably that this VM is part of a group. */
    std::error_code markBootstrapped();

    /** Stores a file atomically and durably (write, sync, rename, sync of the folder). Errors: DiskFull, SyncFailed, FileError. */
    std::error_code storeFile(const std::string& name, std::string_view content, const FileHooks& hooks);

    /** Reads a file stored by storeFile. Errors: NotFound, JournalDamaged (checksum), FileError. */
    std::error_code loadFile(const std::string& name, std::string& content) const;

    const std::string& path() const; ///< The folder.

private:
    DataFolder();
    struct State;
    std::unique_ptr<State> state;
};

} // namespace kingcup
