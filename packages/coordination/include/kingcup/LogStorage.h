/** @file LogStorage.h Persistent storage of a replicated log: journal and snapshot in a data folder. */
#pragma once

#include "kingcup/DataFolder.h"
#include "kingcup/ReplicatedLogTypes.h"

#include <deque>
#include <memory>
#include <string>
#include <system_error>

namespace kingcup {

/** Persists the log writes and snapshots of a ReplicatedLog. Not thread-safe. */
class LogStorage {
public:
    /**
     * Opens the storage in a folder, which must outlive it, and reads the stored state.
     * @param state Receives term, vote, snapshot position and the entries after it.
     * @param snapshotData Receives the data of the newest snapshot; empty if there is none.
     * Errors: JournalDamaged, FileError, SyncFailed, and DiskFull, after which it can be opened again.
     */
    static std::error_code open(DataFolder& folder, FileHooks hooks, std::unique_ptr<LogStorage>& storage, DurableLogState& state, std::string& snapshotData);

    /** Appends a write without syncing it. After DiskFull nothing has been written, and the same write can be retried. Errors: DiskFull, SyncFailed, FileError. */
    std::error_code write(const LogWrite& write);

    /** Syncs all earlier writes to disk. Errors: DiskFull, after which it can be repeated; SyncFailed and FileError, after which the process must terminate. */
    std::error_code sync();

    /**
     * Stores a snapshot durably and removes the entries that it covers from the journal. Later entries are kept if the
     * journal holds the last covered entry with the term of the snapshot, or starts right after it. A snapshot that is not
     * newer than the stored one is ignored. After DiskFull the previous snapshot and journal are still valid, and entries can
     * be written.
     * Errors: DiskFull, SyncFailed, FileError.
     */
    std::error_code storeSnapshot(const SnapshotMeta& meta, const std::string& data);

    /** Reads the data of the newest snapshot from disk. Errors: NotFound, JournalDamaged, FileError. */
    std::error_code readSnapshot(std::string& data) const;

    uint64_t journalBytes() const; ///< Size of the journal, by which the owner decides when to take a snapshot.
    const SnapshotMeta& snapshot() const; ///< Position of the newest snapshot; index 0 if there is none.

private:
    /** Index and term of an entry. */
    struct Position {
        LogIndex index = 0;
        Term term = 0;
        bool operator==(const Position&) const = default;
    };
    LogStorage(DataFolder& folder, FileHooks hooks);
    bool replayRecord(const JournalRecord& record);
    bool appendEntry(wire::LogEntry entry);
    void truncateFrom(LogIndex index);
    bool removeCoveredEntries();
    std::error_code loadSnapshot(std::string& data);
    std::error_code readSnapshotFile(wire::SnapshotRequest& stored) const;
    std::error_code compactJournal();
    std::vector<JournalRecord> currentRecords() const;
    Position lastPosition() const;

    DataFolder& folder;
    FileHooks hooks;
    std::unique_ptr<Journal> journal;
    HardState hardState;
    SnapshotMeta snapshotMeta;
    Position journalEnd; ///< Last entry in the journal, which may still hold entries that the snapshot covers; that of the snapshot if there is none.
    std::deque<wire::LogEntry> entries; ///< Entries after the snapshot, with which compaction rewrites the journal.
};

} // namespace kingcup
