/** @file LogStorage.h Durable state of a member of the replicated log: journal and snapshot in a data folder. */
#pragma once

#include "kingcup/DataFolder.h"
#include "kingcup/ReplicatedLogTypes.h"

#include <deque>
#include <memory>
#include <string>
#include <system_error>

namespace kingcup {

/** Stores what a ReplicatedLog asks to be written. Not thread-safe. */
class LogStorage {
public:
    /**
     * Reads the durable state of a folder, which must outlive the storage.
     * @param state Receives term, vote, snapshot position and the entries after it.
     * @param snapshotData Receives the newest snapshot's bytes; empty when there is none.
     * Errors: JournalDamaged, FileError.
     */
    static std::error_code open(DataFolder& folder, FileHooks hooks, std::unique_ptr<LogStorage>& storage, DurableLogState& state, std::string& snapshotData);

    /** Appends a write without syncing it. On DiskFull nothing was written and the same write may be tried again. Errors: DiskFull, SyncFailed, FileError. */
    std::error_code write(const LogWrite& write);

    /** Syncs everything written. Error: SyncFailed, after which the process must terminate. */
    std::error_code sync();

    /**
     * Stores a snapshot durably and drops the entries that it covers from the journal. The entries after it are kept if
     * the log continues the snapshot. A snapshot that is not newer than the stored one changes nothing.
     * After DiskFull the earlier snapshot and journal are still in force. Errors: DiskFull, SyncFailed, FileError.
     */
    std::error_code storeSnapshot(const SnapshotMeta& meta, const std::string& data);

    /** Reads the bytes of the newest snapshot. Errors: NotFound, JournalDamaged, FileError. */
    std::error_code readSnapshot(std::string& data) const;

    uint64_t journalBytes() const; ///< Size of the journal, for deciding when to take a snapshot.
    const SnapshotMeta& snapshot() const; ///< Position of the newest snapshot.

private:
    LogStorage(DataFolder& folder, FileHooks hooks);
    bool replay(const JournalRecord& record);
    bool appendEntry(wire::LogEntry entry);
    void truncateFrom(LogIndex index);
    bool dropCovered();
    std::error_code loadSnapshot(std::string& data);
    std::error_code readStored(wire::SnapshotRequest& stored) const;
    std::error_code compactJournal();
    std::vector<JournalRecord> currentRecords() const;

    DataFolder& folder;
    FileHooks hooks;
    std::unique_ptr<Journal> journal;
    HardState hardState;
    SnapshotMeta snapshotMeta;
    bool compactionPending = false; ///< The journal still holds entries that the snapshot covers, for lack of space.
    std::deque<wire::LogEntry> entries; ///< Entries in the journal, for its compaction.
};

} // namespace kingcup
