/** @file LogStorage.cpp Journal records and snapshot file of a replicated log. */
#include "kingcup/LogStorage.h"

#include <bit>
#include <cstring>

namespace kingcup {

namespace {

constexpr char snapshotFileName[] = "snapshot";

/** Types of journal records; the numbers are part of the file format. */
enum class LogRecordType : uint32_t {
    HardState = 1, ///< Term and vote as two 64-bit numbers. A third number follows if this member has been leader in the term.
    Entry = 2, ///< Serialized wire::LogEntry.
    Truncate = 3, ///< 64-bit index of the first entry to remove; all later ones are removed too.
};

static_assert(std::endian::native == std::endian::little, "journal numbers are stored in little-endian byte order");

/** Encodes numbers as consecutive 64-bit values. */
std::string encode(std::initializer_list<uint64_t> numbers)
{
    return { reinterpret_cast<const char*>(numbers.begin()), numbers.size() * sizeof(uint64_t) };
}

/** Decodes the 64-bit value at a position, counted in values. */
uint64_t decode(const std::string& data, size_t position)
{
    uint64_t number = 0;
    std::memcpy(&number, data.data() + position * sizeof(number), sizeof(number));
    return number;
}

JournalRecord makeRecord(LogRecordType type, std::string data)
{
    return { static_cast<uint32_t>(type), std::move(data) };
}

JournalRecord hardStateRecord(const HardState& hardState)
{
    if (hardState.wasElected)
        return makeRecord(LogRecordType::HardState, encode({ hardState.term, hardState.votedFor, 1 }));
    return makeRecord(LogRecordType::HardState, encode({ hardState.term, hardState.votedFor }));
}

JournalRecord entryRecord(const wire::LogEntry& entry)
{
    return makeRecord(LogRecordType::Entry, entry.SerializeAsString());
}

} // namespace

LogStorage::LogStorage(DataFolder& folder, FileHooks hooks)
    : folder(folder)
    , hooks(std::move(hooks))
{
}

std::error_code LogStorage::open(DataFolder& folder, FileHooks hooks, std::unique_ptr<LogStorage>& storage, DurableLogState& state, std::string& snapshotData)
{
    std::unique_ptr<LogStorage> opened(new LogStorage(folder, std::move(hooks)));
    std::error_code error = opened->loadSnapshot(snapshotData);
    if (error)
        return error;
    std::vector<JournalRecord> records;
    error = Journal::open(folder.path(), opened->hooks, opened->journal, records);
    if (error)
        return error;
    for (const JournalRecord& record : records) {
        if (!opened->replayRecord(record))
            return ResultCode::JournalDamaged;
    }
    // After a crash between storing a snapshot and compacting the journal, the journal holds entries that the snapshot covers.
    size_t replayedEntries = opened->entries.size();
    opened->journalEnd = opened->lastPosition();
    if (!opened->removeCoveredEntries())
        return ResultCode::JournalDamaged;
    if (opened->entries.size() < replayedEntries)
        error = opened->compactJournal();
    if (error && error != ResultCode::DiskFull)
        return error;
    state.hardState = opened->hardState;
    state.snapshot = opened->snapshotMeta;
    state.entries.assign(opened->entries.begin(), opened->entries.end());
    storage = std::move(opened);
    return {};
}

std::error_code LogStorage::loadSnapshot(std::string& data)
{
    data.clear();
    wire::SnapshotRequest stored;
    std::error_code error = this->readSnapshotFile(stored);
    if (error == ResultCode::NotFound)
        return {};
    if (error)
        return error;
    this->snapshotMeta = { stored.last_index(), stored.last_term(), stored.membership() };
    data = std::move(*stored.mutable_chunk());
    return {};
}

std::error_code LogStorage::readSnapshotFile(wire::SnapshotRequest& stored) const
{
    std::string content;
    std::error_code error = this->folder.loadFile(snapshotFileName, content);
    if (error)
        return error;
    return stored.ParseFromString(content) ? ResultCode::Ok : ResultCode::JournalDamaged;
}

bool LogStorage::replayRecord(const JournalRecord& record)
{
    switch (static_cast<LogRecordType>(record.type)) {
    case LogRecordType::HardState:
        if (record.data.size() != 2 * sizeof(uint64_t) && record.data.size() != 3 * sizeof(uint64_t))
            return false;
        this->hardState = { decode(record.data, 0), static_cast<VmId>(decode(record.data, 1)), record.data.size() == 3 * sizeof(uint64_t) };
        return true;
    case LogRecordType::Entry: {
        wire::LogEntry entry;
        return entry.ParseFromString(record.data) && this->appendEntry(std::move(entry));
    }
    case LogRecordType::Truncate:
        if (record.data.size() != sizeof(uint64_t))
            return false;
        this->truncateFrom(decode(record.data, 0));
        return true;
    }
    return false;
}

bool LogStorage::appendEntry(wire::LogEntry entry)
{
    if (!this->entries.empty() && entry.index() != this->entries.back().index() + 1)
        return false;
    this->entries.push_back(std::move(entry));
    return true;
}

void LogStorage::truncateFrom(LogIndex index)
{
    while (!this->entries.empty() && this->entries.back().index() >= index)
        this->entries.pop_back();
}

bool LogStorage::removeCoveredEntries()
{
    bool followsSnapshot = this->entries.empty() || this->entries.front().index() == this->snapshotMeta.lastIndex + 1;
    while (!this->entries.empty() && this->entries.front().index() <= this->snapshotMeta.lastIndex) {
        const wire::LogEntry& covered = this->entries.front();
        followsSnapshot = covered.index() == this->snapshotMeta.lastIndex && covered.term() == this->snapshotMeta.lastTerm;
        this->entries.pop_front();
    }
    // Entries that conflict with the snapshot were never committed and must not follow it.
    bool hasGap = !this->entries.empty() && this->entries.front().index() > this->snapshotMeta.lastIndex + 1;
    if (!followsSnapshot && !hasGap)
        this->entries.clear();
    return !hasGap;
}

std::error_code LogStorage::write(const LogWrite& write)
{
    std::vector<JournalRecord> records;
    if (write.hardState)
        records.push_back(hardStateRecord(*write.hardState));
    if (write.truncateFrom)
        records.push_back(makeRecord(LogRecordType::Truncate, encode({ write.truncateFrom })));
    for (const wire::LogEntry& entry : write.entries)
        records.push_back(entryRecord(entry));
    if (records.empty())
        return {};
    // New entries must follow the last one in the journal. After a snapshot of the leader they may not, unless the journal is compacted.
    std::error_code error = this->journalEnd == this->lastPosition() ? std::error_code() : this->compactJournal();
    if (!error)
        error = this->journal->append(records);
    if (error)
        return error;
    if (write.hardState)
        this->hardState = *write.hardState;
    if (write.truncateFrom)
        this->truncateFrom(write.truncateFrom);
    this->entries.insert(this->entries.end(), write.entries.begin(), write.entries.end());
    this->journalEnd = this->lastPosition();
    return {};
}

/** Returns the position of the last entry, or of the snapshot if no entry follows it. */
LogStorage::Position LogStorage::lastPosition() const
{
    if (this->entries.empty())
        return { this->snapshotMeta.lastIndex, this->snapshotMeta.lastTerm };
    return { this->entries.back().index(), this->entries.back().term() };
}

std::error_code LogStorage::sync()
{
    return this->journal->sync();
}

std::error_code LogStorage::storeSnapshot(const SnapshotMeta& meta, const std::string& data)
{
    if (meta.lastIndex <= this->snapshotMeta.lastIndex)
        return {};
    wire::SnapshotRequest stored;
    stored.set_last_index(meta.lastIndex);
    stored.set_last_term(meta.lastTerm);
    *stored.mutable_membership() = meta.membership;
    stored.set_chunk(data);
    std::error_code error = this->folder.storeFile(snapshotFileName, stored.SerializeAsString(), this->hooks);
    if (error)
        return error;
    this->snapshotMeta = meta;
    this->removeCoveredEntries();
    error = this->compactJournal();
    // The stored snapshot is valid without the compaction, which the next snapshot or, if it is necessary, the next write() retries.
    return error == ResultCode::DiskFull ? std::error_code() : error;
}

std::error_code LogStorage::compactJournal()
{
    std::error_code error = this->journal->rewrite(this->currentRecords());
    if (!error)
        this->journalEnd = this->lastPosition();
    return error;
}

std::vector<JournalRecord> LogStorage::currentRecords() const
{
    std::vector<JournalRecord> records { hardStateRecord(this->hardState) };
    for (const wire::LogEntry& entry : this->entries)
        records.push_back(entryRecord(entry));
    return records;
}

std::error_code LogStorage::readSnapshot(std::string& data) const
{
    wire::SnapshotRequest stored;
    std::error_code error = this->readSnapshotFile(stored);
    if (!error)
        data = std::move(*stored.mutable_chunk());
    return error;
}

uint64_t LogStorage::journalBytes() const
{
    return this->journal->sizeBytes();
}

const SnapshotMeta& LogStorage::snapshot() const
{
    return this->snapshotMeta;
}

} // namespace kingcup
