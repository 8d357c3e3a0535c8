/** @file LogStorage.cpp Records of the replicated log in the journal, and the snapshot file. */
#include "kingcup/LogStorage.h"

#include <bit>
#include <cstring>

namespace kingcup {

namespace {

constexpr char snapshotFile[] = "snapshot";

/** Types of journal records; the numbers are part of the file format. */
enum class LogRecordType : uint32_t {
    HardState = 1, ///< Term and vote, as two 64-bit numbers; a third one follows if this member led the term.
    Entry = 2, ///< A wire::LogEntry.
    Truncate = 3, ///< Index from which entries are dropped, as a 64-bit number.
};

static_assert(std::endian::native == std::endian::little, "numbers in the journal are little-endian");

/** Encodes numbers as 64-bit values. */
std::string encode(std::initializer_list<uint64_t> numbers)
{
    return { reinterpret_cast<const char*>(numbers.begin()), numbers.size() * sizeof(uint64_t) };
}

/** Decodes one of several 64-bit values. */
uint64_t decode(const std::string& data, size_t position)
{
    uint64_t number = 0;
    std::memcpy(&number, data.data() + position * sizeof(number), sizeof(number));
    return number;
}

/** Makes a record of this file's types. */
JournalRecord makeRecord(LogRecordType type, std::string data)
{
    return { static_cast<uint32_t>(type), std::move(data) };
}

/** Makes the record of a term and vote. */
JournalRecord hardStateRecord(const HardState& hardState)
{
    if (hardState.wasElected)
        return makeRecord(LogRecordType::HardState, encode({ hardState.term, hardState.votedFor, 1 }));
    return makeRecord(LogRecordType::HardState, encode({ hardState.term, hardState.votedFor }));
}

/** Makes the record of an entry. */
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
        if (!opened->replay(record))
            return ResultCode::JournalDamaged;
    }
    // A crash between storing a snapshot and compacting the journal leaves entries that the snapshot covers.
    size_t read = opened->entries.size();
    if (!opened->dropCovered())
        return ResultCode::JournalDamaged;
    if (opened->entries.size() < read)
        error = opened->compactJournal();
    if (error)
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
    std::error_code error = this->readStored(stored);
    if (error == ResultCode::NotFound)
        return {};
    if (error)
        return error;
    this->snapshotMeta = { stored.last_index(), stored.last_term(), stored.membership() };
    data = std::move(*stored.mutable_chunk());
    return {};
}

std::error_code LogStorage::readStored(wire::SnapshotRequest& stored) const
{
    std::string content;
    std::error_code error = this->folder.loadFile(snapshotFile, content);
    if (error)
        return error;
    return stored.ParseFromString(content) ? ResultCode::Ok : ResultCode::JournalDamaged;
}

bool LogStorage::replay(const JournalRecord& record)
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

bool LogStorage::dropCovered()
{
    bool continues = this->entries.empty() || this->entries.front().index() == this->snapshotMeta.lastIndex + 1;
    while (!this->entries.empty() && this->entries.front().index() <= this->snapshotMeta.lastIndex) {
        const wire::LogEntry& covered = this->entries.front();
        continues = covered.index() == this->snapshotMeta.lastIndex && covered.term() == this->snapshotMeta.lastTerm;
        this->entries.pop_front();
    }
    // Entries of another history than the snapshot's are not committed and must not follow it.
    bool gap = !this->entries.empty() && this->entries.front().index() > this->snapshotMeta.lastIndex + 1;
    if (!continues && !gap)
        this->entries.clear();
    return !gap;
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
    // New entries may follow the snapshot only, so they cannot be appended to what it covers.
    std::error_code error = this->compactionPending ? this->compactJournal() : std::error_code();
    if (this->compactionPending)
        return error ? error : ResultCode::DiskFull;
    error = this->journal->append(records);
    if (error)
        return error;
    if (write.hardState)
        this->hardState = *write.hardState;
    if (write.truncateFrom)
        this->truncateFrom(write.truncateFrom);
    this->entries.insert(this->entries.end(), write.entries.begin(), write.entries.end());
    return {};
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
    std::error_code error = this->folder.storeFile(snapshotFile, stored.SerializeAsString(), this->hooks);
    if (error)
        return error;
    this->snapshotMeta = meta;
    this->dropCovered();
    return this->compactJournal();
}

std::error_code LogStorage::compactJournal()
{
    std::error_code error = this->journal->rewrite(this->currentRecords());
    this->compactionPending = static_cast<bool>(error);
    // The snapshot is in force; the next write tries again.
    return error == ResultCode::DiskFull ? std::error_code() : error;
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
    std::error_code error = this->readStored(stored);
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
