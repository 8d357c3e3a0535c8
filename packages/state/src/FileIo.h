/** @file FileIo.h File operations that the journal and the data folder share. */
#pragma once

#include "kingcup/Journal.h"

namespace kingcup {

/** Owns a file descriptor and closes it on destruction. */
class FileDescriptor {
public:
    explicit FileDescriptor(int descriptor = -1)
        : descriptor(descriptor)
    {
    }
    ~FileDescriptor();
    FileDescriptor(FileDescriptor&& other) noexcept;
    FileDescriptor& operator=(FileDescriptor&& other) noexcept;
    int get() const { return this->descriptor; } ///< -1 if there is no open descriptor.

private:
    int descriptor;
};

/** Returns the result code for the errno value of a failed write: DiskFull if the space or the quota is used up, otherwise FileError. */
ResultCode writeErrorCode(int errorNumber);

/** Reads a whole file. Errors: NotFound, FileError. */
std::error_code readFile(const std::string& path, std::string& content);

/** Returns the result code for the errno value of a failed sync: DiskFull if the space or the quota is used up, otherwise SyncFailed. */
ResultCode syncErrorCode(int errorNumber);

/** Syncs a folder, so that files created or renamed in it survive a crash. Errors: DiskFull, SyncFailed. */
std::error_code syncFolder(const std::string& folder, const FileHooks& hooks);

/**
 * Writes and syncs a temporary file in the folder and renames it to a name. The rename is durable once the folder is synced.
 * Errors: DiskFull, FileError, SyncFailed. After an error the file of that name is unchanged.
 */
std::error_code writeReplacement(const std::string& folder, const std::string& name, std::string_view content, const FileHooks& hooks);

/** Calls writeReplacement() and syncs the folder. Errors: DiskFull and SyncFailed (the file may be the old or the new one), FileError (it is unchanged). */
std::error_code replaceFile(const std::string& folder, const std::string& name, std::string_view content, const FileHooks& hooks);

} // namespace kingcup
