/** @file DataFolder.cpp Identity, lock file and stored files of a data folder. */
#include "kingcup/DataFolder.h"

#include "FileIo.h"
#include "SimulatedFullDisk.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <sys/file.h>
#include <xxhash.h>

namespace kingcup {

namespace {

constexpr char identityFileName[] = "identity";
constexpr char lockFileName[] = "lock";
constexpr std::string_view storedFileMagic = "KCFILE01"; ///< First bytes of a stored file; the digits are the version of the format.

/** Returns whether a folder is uninitialised: it holds at most the leftovers of an interrupted initialisation and the lost+found folder of a file system. */
bool isUninitialised(const std::string& path, std::error_code& error)
{
    for (const auto& entry : std::filesystem::directory_iterator(path, error)) {
        std::string name = entry.path().filename();
        if (name != lockFileName && name != std::string(identityFileName) + ".tmp" && name != "lost+found")
            return false;
    }
    return !error;
}

std::string encodeIdentity(const FolderIdentity& identity)
{
    nlohmann::json document = {
        { "deployment", identity.deployment },
        { "vmId", identity.vmId },
        { "incarnation", identity.incarnation },
        { "bootstrapped", identity.isBootstrapped },
    };
    return document.dump();
}

/** Parses the JSON of an identity. Returns whether all fields are present and of the right type. */
bool decodeIdentity(const std::string& content, FolderIdentity& identity)
{
    nlohmann::json document = nlohmann::json::parse(content, nullptr, false);
    try {
        identity.deployment = document.at("deployment").get<std::string>();
        identity.vmId = document.at("vmId").get<uint32_t>();
        identity.incarnation = document.at("incarnation").get<uint64_t>();
        identity.isBootstrapped = document.at("bootstrapped").get<bool>();
        return true;
    } catch (const nlohmann::json::exception&) {
        return false;
    }
}

} // namespace

/** State of an open folder. */
struct DataFolder::State {
    std::error_code acquireLock();

    std::string path;
    FileDescriptor lock; ///< Lock file; the lock is held while the descriptor is open.
    FolderIdentity identity; ///< Content of the identity file.
};

DataFolder::DataFolder()
    : state(std::make_unique<State>())
{
}

DataFolder::~DataFolder() = default;

std::error_code DataFolder::State::acquireLock()
{
    std::string name = this->path + "/" + lockFileName;
    this->lock = FileDescriptor(::open(name.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
    if (this->lock.get() < 0)
        return writeErrorCode(errno);
    if (!::flock(this->lock.get(), LOCK_EX | LOCK_NB))
        return {};
    return errno == EWOULDBLOCK ? ResultCode::DataFolderLocked : ResultCode::FileError;
}

std::error_code DataFolder::open(const std::string& path, const std::string& deployment, uint32_t vmId, uint64_t newIncarnation, std::unique_ptr<DataFolder>& folder)
{
    setSimulatedDisk(path);
    std::error_code error;
    std::filesystem::create_directories(path, error);
    if (error)
        return writeErrorCode(error.value());
    std::unique_ptr<DataFolder> opened(new DataFolder);
    opened->state->path = path;
    error = opened->state->acquireLock();
    if (error)
        return error;
    FolderIdentity& identity = opened->state->identity;
    std::string content;
    error = opened->loadFile(identityFileName, content);
    if (error == ResultCode::NotFound) {
        std::error_code listError;
        if (!isUninitialised(path, listError))
            return listError ? ResultCode::FileError : ResultCode::ForeignDataFolder;
        identity = { deployment, vmId, newIncarnation, false };
        error = opened->storeFile(identityFileName, encodeIdentity(identity), systemFileHooks());
        std::string parent = std::filesystem::absolute(path).lexically_normal().parent_path();
        if (!error)
            error = syncFolder(parent, systemFileHooks());
    } else if (!error && !decodeIdentity(content, identity)) {
        error = ResultCode::JournalDamaged;
    }
    if (error)
        return error;
    if (identity.deployment != deployment || identity.vmId != vmId)
        return ResultCode::ForeignDataFolder;
    folder = std::move(opened);
    return {};
}

const FolderIdentity& DataFolder::identity() const
{
    return this->state->identity;
}

std::error_code DataFolder::markBootstrapped()
{
    if (this->state->identity.isBootstrapped)
        return {};
    FolderIdentity updated = this->state->identity;
    updated.isBootstrapped = true;
    std::error_code error = this->storeFile(identityFileName, encodeIdentity(updated), systemFileHooks());
    if (!error)
        this->state->identity = updated;
    return error;
}

std::error_code DataFolder::storeFile(const std::string& name, std::string_view content, const FileHooks& hooks)
{
    uint64_t checksum = XXH3_64bits(content.data(), content.size());
    std::string bytes(storedFileMagic);
    bytes.append(reinterpret_cast<const char*>(&checksum), sizeof(checksum));
    bytes.append(content);
    return replaceFile(this->state->path, name, bytes, hooks);
}

std::error_code DataFolder::loadFile(const std::string& name, std::string& content) const
{
    std::string bytes;
    std::error_code error = readFile(this->state->path + "/" + name, bytes);
    if (error)
        return error;
    uint64_t checksum = 0;
    size_t headerSize = storedFileMagic.size() + sizeof(checksum);
    if (bytes.size() < headerSize || !bytes.starts_with(storedFileMagic))
        return ResultCode::JournalDamaged;
    std::memcpy(&checksum, bytes.data() + storedFileMagic.size(), sizeof(checksum));
    content = bytes.substr(headerSize);
    return XXH3_64bits(content.data(), content.size()) == checksum ? ResultCode::Ok : ResultCode::JournalDamaged;
}

const std::string& DataFolder::path() const
{
    return this->state->path;
}

} // namespace kingcup
