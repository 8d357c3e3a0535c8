/** @file Journal.h Append-only file of checksummed records; stores the replicated log durably. */
#pragma once

#include "kingcup/ResultCode.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace kingcup {

int truncateFile(int descriptor, uint64_t sizeBytes); ///< Calls ftruncate. Returns 0 or an errno value.
int renameFile(const std::string& from, const std::string& to); ///< Calls rename. Returns 0 or an errno value.

/** File operations that tests replace to simulate failed syncs and full disks. Each returns 0 or an errno value. */
struct FileHooks {
    std::function<int(int descriptor)> sync; ///< Calls fdatasync.
    std::function<int(int descriptor, std::string_view data)> write; ///< Writes all bytes.
    std::function<int(int descriptor, uint64_t sizeBytes)> truncate = truncateFile;
    std::function<int(const std::string& from, const std::string& to)> rename = renameFile;
};

/** Returns the hooks that call the operating system. */
FileHooks systemFileHooks();

/** Record of the journal. */
struct JournalRecord {
    uint32_t type = 0; ///< Meaning of the data; defined by the user of the journal.
    std::string data;
};

/**
 * Append-only file of records. Opening truncates an incomplete or damaged tail, and fails with JournalDamaged if an intact
 * record states that the damaged bytes were synced. Not thread-safe.
 */
class Journal {
public:
    ~Journal();

    /**
     * Opens or creates the journal in a folder, reads all records and syncs the file and the folder.
     * Errors: JournalDamaged, SyncFailed, FileError, and DiskFull if the file has to be created, truncated or synced. After DiskFull the journal can be opened again.
     * @param journal Set on success only.
     */
    static std::error_code open(const std::string& folder, FileHooks hooks, std::unique_ptr<Journal>& journal, std::vector<JournalRecord>& records);

    /** Appends records without syncing. Errors: DiskFull (none is appended), FileError, and SyncFailed after a failed sync. */
    std::error_code append(const std::vector<JournalRecord>& records);

    /** Syncs all appended records. Errors: DiskFull, after which it can be repeated; SyncFailed and FileError, after which every later operation fails as well. */
    std::error_code sync();

    /**
     * Atomically replaces the whole content with these records and syncs. Used after a snapshot to drop the records that it covers.
     * Errors: DiskFull (the content is the former one or the new one, and can be appended to), SyncFailed, FileError.
     */
    std::error_code rewrite(const std::vector<JournalRecord>& records);

    uint64_t sizeBytes() const; ///< Size of the file.

private:
    Journal();
    struct State;
    std::unique_ptr<State> state;
};

} // namespace kingcup
