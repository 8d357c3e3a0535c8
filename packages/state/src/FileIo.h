/** @file FileIo.h File operations shared by the journal and the data folder. */
#pragma once

#include "kingcup/Journal.h"

namespace kingcup {

/** Closes a file descriptor at the end of its scope. */
class Descriptor {
public:
    explicit Descriptor(int number = -1)
        : number(number)
    {
    }
    ~Descriptor();
    Descriptor(Descriptor&& other) noexcept;
    Descriptor& operator=(Descriptor&& other) noexcept;
    int get() const { return this->number; } ///< The descriptor, or -1.

private:
    int number;
};

/** Returns the result code of a failed write: DiskFull for lack of space or quota, otherwise FileError. */
ResultCode writeFailure(int errorNumber);

/** Reads a whole file. Errors: NotFound, FileError. */
std::error_code readFile(const std::string& path, std::string& content);

/** Syncs a folder, so that files created or renamed in it last. Error: SyncFailed. */
std::error_code syncFolder(const std::string& folder, const FileHooks& hooks);

/**
 * Replaces a file atomically and durably: write beside it, sync, rename, sync of the folder.
 * Errors: DiskFull and FileError (the old file is in force), SyncFailed (either may be).
 */
std::error_code replaceFile(const std::string& folder, const std::string& name, std::string_view content, const FileHooks& hooks);

} // namespace kingcup
