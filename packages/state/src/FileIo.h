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

/** Syncs a folder, so that files created or renamed in it survive a crash. Error: SyncFailed. */
std::error_code syncFolder(const std::string& folder, const FileHooks& hooks);

/**
 * Replaces a file atomically and durably: writes and syncs a temporary file in the same folder, renames it and syncs the folder.
 * Errors: DiskFull and FileError (the old file is unchanged), SyncFailed (the file may be the old or the new one).
 */
std::error_code replaceFile(const std::string& folder, const std::string& name, std::string_view content, const FileHooks& hooks);

} // namespace kingcup
