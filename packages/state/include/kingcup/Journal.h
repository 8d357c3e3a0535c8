/** @file Journal.h Append-only file of records with checksums, the durable part of a replicated log. */
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

/** File operations that tests replace to provoke failed syncs and full disks. Each returns 0 or an errno value. */
struct FileHooks {
    std::function<int(int descriptor)> sync; ///< fdatasync.
    std::function<int(int descriptor, std::string_view data)> write; ///< Writes all bytes.
};

/** Returns the hooks that use the operating system. */
FileHooks systemFileHooks();

/** One record: a type that its owner defines, and bytes. */
struct JournalRecord {
    uint32_t type = 0; ///< Defined by the owner.
    std::string data; ///< Content.
};

/**
 * Record file. A torn record at the tail is cut off when opening; damage before the tail is refused
 * with JournalDamaged. Not thread-safe.
 */
class Journal {
public:
    ~Journal();

    /** Opens or creates the journal in a folder and reads all records. Errors: JournalDamaged, FileError. */
    static std::error_code open(const std::string& folder, FileHooks hooks, std::unique_ptr<Journal>& journal, std::vector<JournalRecord>& records);

    /** Appends records without syncing. Errors: DiskFull (nothing stays written), FileError. */
    std::error_code append(const std::vector<JournalRecord>& records);

    /** Syncs all appended records. Error: SyncFailed, after which the journal must not be used again. */
    std::error_code sync();

    /** Atomically replaces the whole content by these records and syncs. Used when a snapshot makes old records useless. */
    std::error_code rewrite(const std::vector<JournalRecord>& records);

    uint64_t sizeBytes() const; ///< Bytes in the file.

private:
    Journal();
    struct State;
    std::unique_ptr<State> state;
};

} // namespace kingcup
