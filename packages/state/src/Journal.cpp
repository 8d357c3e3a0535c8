/** @file Journal.cpp File format of the journal and recovery after a crash. */
#include "kingcup/Journal.h"

#include "FileIo.h"
#include "SimulatedFullDisk.h"

#include <algorithm>
#include <bit>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <optional>
#include <unistd.h>
#include <xxhash.h>

namespace kingcup {

namespace {

constexpr char journalFileName[] = "journal";
constexpr std::string_view fileMagic = "KCJRNL01"; ///< First bytes of the file; the digits are the version of the format.
constexpr uint32_t recordMagic = 0x52434b01; ///< First bytes of each record.

static_assert(std::endian::native == std::endian::little, "integers in the journal are little-endian");

/** Header of a record in the file. */
struct RecordHeader {
    uint32_t magic = recordMagic;
    uint32_t type = 0; ///< Type of the record.
    uint64_t length = 0; ///< Size of the data after the header, in bytes.
    uint64_t syncedEnd = 0; ///< Number of bytes of the file that were synced when the record was written.
    uint64_t checksum = 0; ///< Checksum of the type, the length, syncedEnd, the position in the file and the data.
};
static_assert(sizeof(RecordHeader) == 32, "the header has no padding");

/** Returns the checksum of a record. It includes the position, so that a copy of a record within the data of another record is not valid. */
uint64_t recordChecksum(const RecordHeader& header, uint64_t position, std::string_view data)
{
    uint64_t checkedFields[] = { header.type, header.length, header.syncedEnd, position };
    return XXH3_64bits_withSeed(data.data(), data.size(), XXH3_64bits(checkedFields, sizeof(checkedFields)));
}

/** Appends the encoding of a record to a buffer. @param position Offset in the file at which the record will be written. */
void encodeRecord(const JournalRecord& record, uint64_t syncedEnd, uint64_t position, std::string& bytes)
{
    RecordHeader header;
    header.type = record.type;
    header.length = record.data.size();
    header.syncedEnd = syncedEnd;
    header.checksum = recordChecksum(header, position, record.data);
    bytes.append(reinterpret_cast<const char*>(&header), sizeof(header));
    bytes.append(record.data);
}

/** Returns the header of the record at a position; empty if there is no complete record with a valid checksum. */
std::optional<RecordHeader> parseIntactRecord(std::string_view content, uint64_t position)
{
    RecordHeader header;
    if (content.size() - position < sizeof(header))
        return std::nullopt;
    std::memcpy(&header, content.data() + position, sizeof(header));
    if (header.magic != recordMagic || header.length > content.size() - position - sizeof(header))
        return std::nullopt;
    std::string_view data = content.substr(position + sizeof(header), header.length);
    if (recordChecksum(header, position, data) != header.checksum)
        return std::nullopt;
    return header;
}

/** Returns the largest syncedEnd of the intact records at or after a position; 0 if there is none. */
uint64_t maxSyncedEndAfter(std::string_view content, uint64_t position)
{
    uint64_t result = 0;
    std::string_view magic(reinterpret_cast<const char*>(&recordMagic), sizeof(recordMagic));
    for (size_t found = content.find(magic, position); found != std::string_view::npos; found = content.find(magic, found + 1)) {
        std::optional<RecordHeader> header = parseIntactRecord(content, found);
        if (header && header->syncedEnd > result)
            result = header->syncedEnd;
    }
    return result;
}

/**
 * Reads records up to the first that is not intact.
 * @return End of the intact part; empty if synced bytes are damaged or missing.
 */
std::optional<uint64_t> readRecords(std::string_view content, std::vector<JournalRecord>& records)
{
    uint64_t position = fileMagic.size();
    uint64_t syncedEnd = 0;
    while (position < content.size()) {
        std::optional<RecordHeader> header = parseIntactRecord(content, position);
        if (!header)
            break;
        syncedEnd = std::max(syncedEnd, header->syncedEnd);
        position += sizeof(RecordHeader);
        records.push_back({ header->type, std::string(content.substr(position, header->length)) });
        position += header->length;
    }
    // If an intact record states that bytes beyond this position were synced, the damage is not an interrupted write.
    if (position < content.size())
        syncedEnd = std::max(syncedEnd, maxSyncedEndAfter(content, position));
    if (syncedEnd > position)
        return std::nullopt;
    return position;
}

/** Writes all bytes. Returns 0 or an errno value. */
int writeAll(int descriptor, std::string_view data)
{
    while (!data.empty()) {
        ssize_t count = ::write(descriptor, data.data(), data.size());
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return errno;
        data.remove_prefix(static_cast<size_t>(count));
    }
    return 0;
}

} // namespace

int truncateFile(int descriptor, uint64_t sizeBytes)
{
    if (int error = simulatedRefusal(DiskOperation::Truncate))
        return error;
    return ::ftruncate(descriptor, static_cast<off_t>(sizeBytes)) ? errno : 0;
}

int renameFile(const std::string& from, const std::string& to)
{
    if (int error = simulatedRefusal(DiskOperation::Rename))
        return error;
    return std::rename(from.c_str(), to.c_str()) ? errno : 0;
}

FileHooks systemFileHooks()
{
    FileHooks hooks;
    hooks.sync = [](int descriptor) {
        int error = simulatedRefusal(DiskOperation::Sync);
        return error || !::fdatasync(descriptor) ? error : errno;
    };
    hooks.write = [](int descriptor, std::string_view data) {
        int error = simulatedRefusal(DiskOperation::Write);
        return error ? error : writeAll(descriptor, data);
    };
    return hooks;
}

/** State of an open journal. */
struct Journal::State {
    std::error_code openFile();
    std::error_code createFile();
    std::error_code repairTail();
    std::error_code syncFolder();
    std::error_code fail(ResultCode code);

    std::string folder; ///< Folder that holds the file.
    FileHooks hooks;
    FileDescriptor file; ///< Opened for appending.
    uint64_t end = 0; ///< Size of the file.
    uint64_t syncedEnd = 0; ///< Size of the file at the last sync.
    std::string unsyncedBytes; ///< Bytes from `syncedEnd` to `end`. After a sync that failed on a full disk, only this copy of them is reliable.
    bool isTailUnreliable = false; ///< Whether the file after `syncedEnd` may differ from `unsyncedBytes`, because a full disk refused a sync or the removal of a partial write.
    bool isFolderSyncPending = false; ///< Whether the file was renamed and a full disk refused the sync of the folder.
    std::error_code permanentError; ///< Set after a failure that leaves the content on disk unknown; every later operation returns it.
};

Journal::Journal()
    : state(std::make_unique<State>())
{
}

Journal::~Journal() = default;

std::error_code Journal::State::openFile()
{
    std::string path = this->folder + "/" + journalFileName;
    this->file = FileDescriptor(::open(path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC));
    return this->file.get() < 0 ? ResultCode::FileError : ResultCode::Ok;
}

std::error_code Journal::State::createFile()
{
    std::error_code error = replaceFile(this->folder, journalFileName, fileMagic, this->hooks);
    return error ? error : this->openFile();
}

/** Stores a permanent error, unless the disk is full, which may end. Returns the error. */
std::error_code Journal::State::fail(ResultCode code)
{
    if (code != ResultCode::DiskFull)
        this->permanentError = code;
    return code;
}

/** Writes the unsynced bytes again if the file may not hold them. Errors: DiskFull, FileError. */
std::error_code Journal::State::repairTail()
{
    if (!this->isTailUnreliable)
        return {};
    int errorNumber = this->hooks.truncate(this->file.get(), this->syncedEnd);
    if (!errorNumber)
        errorNumber = this->hooks.write(this->file.get(), this->unsyncedBytes);
    if (errorNumber)
        return this->fail(writeErrorCode(errorNumber));
    this->isTailUnreliable = false;
    return {};
}

/** Syncs the folder after a rename. Errors: DiskFull, SyncFailed. */
std::error_code Journal::State::syncFolder()
{
    std::error_code error = kingcup::syncFolder(this->folder, this->hooks);
    this->isFolderSyncPending = static_cast<bool>(error);
    return error ? this->fail(static_cast<ResultCode>(error.value())) : error;
}

std::error_code Journal::open(const std::string& folder, FileHooks hooks, std::unique_ptr<Journal>& journal, std::vector<JournalRecord>& records)
{
    std::unique_ptr<Journal> opened(new Journal);
    State& state = *opened->state;
    state.folder = folder;
    state.hooks = std::move(hooks);
    std::string content;
    records.clear();
    std::error_code error = readFile(folder + "/" + journalFileName, content);
    if (error == ResultCode::NotFound) {
        content = fileMagic;
        error = state.createFile();
    } else if (!error) {
        error = state.openFile();
    }
    if (error)
        return error;
    if (!content.starts_with(fileMagic))
        return ResultCode::JournalDamaged;
    std::optional<uint64_t> end = readRecords(content, records);
    if (!end)
        return ResultCode::JournalDamaged;
    int errorNumber = *end < content.size() ? state.hooks.truncate(state.file.get(), *end) : 0;
    if (errorNumber)
        return writeErrorCode(errorNumber);
    state.end = *end;
    // The records may be in the page cache only; sync them before any decision depends on them.
    error = opened->sync();
    // If the earlier process was killed between a rename and the sync of the folder, a loss of power would bring back the replaced file without later records.
    if (!error)
        error = syncFolder(folder, state.hooks);
    if (!error)
        journal = std::move(opened);
    return error;
}

std::error_code Journal::append(const std::vector<JournalRecord>& records)
{
    State& state = *this->state;
    if (state.permanentError)
        return state.permanentError;
    std::string bytes;
    for (const JournalRecord& record : records)
        encodeRecord(record, state.syncedEnd, state.end + bytes.size(), bytes);
    if (std::error_code error = state.repairTail())
        return error;
    int errorNumber = state.hooks.write(state.file.get(), bytes);
    if (!errorNumber) {
        state.end += bytes.size();
        state.unsyncedBytes += bytes;
        return {};
    }
    if (int truncateError = state.hooks.truncate(state.file.get(), state.end)) {
        if (std::error_code error = state.fail(writeErrorCode(truncateError)); error != ResultCode::DiskFull)
            return error;
        state.isTailUnreliable = true;
    }
    return writeErrorCode(errorNumber);
}

std::error_code Journal::sync()
{
    State& state = *this->state;
    if (state.permanentError)
        return state.permanentError;
    if (std::error_code error = state.repairTail())
        return error;
    if (int errorNumber = state.hooks.sync(state.file.get())) {
        state.isTailUnreliable = true;
        return state.fail(syncErrorCode(errorNumber));
    }
    state.syncedEnd = state.end;
    state.unsyncedBytes = {};
    return state.isFolderSyncPending ? state.syncFolder() : std::error_code();
}

std::error_code Journal::rewrite(const std::vector<JournalRecord>& records)
{
    State& state = *this->state;
    if (state.permanentError)
        return state.permanentError;
    uint64_t size = fileMagic.size();
    for (const JournalRecord& record : records)
        size += sizeof(RecordHeader) + record.data.size();
    // The whole file is synced before it is renamed, so each record can state the whole size as synced.
    std::string content(fileMagic);
    for (const JournalRecord& record : records)
        encodeRecord(record, size, content.size(), content);
    std::error_code error = writeReplacement(state.folder, journalFileName, content, state.hooks);
    if (error == ResultCode::SyncFailed)
        state.permanentError = error;
    if (error)
        return error;
    state.permanentError = state.openFile();
    if (state.permanentError)
        return state.permanentError;
    state.end = content.size();
    state.syncedEnd = content.size();
    state.unsyncedBytes = {};
    state.isTailUnreliable = false;
    return state.syncFolder();
}

uint64_t Journal::sizeBytes() const
{
    return this->state->end;
}

} // namespace kingcup
