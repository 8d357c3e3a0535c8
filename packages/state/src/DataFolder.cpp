/** @file DataFolder.cpp Identity, lock file and stored files of a data folder. */
#include "kingcup/DataFolder.h"

#include "FileIo.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <sys/file.h>
#include <xxhash.h>

namespace kingcup {

namespace {

constexpr char identityFile[] = "identity";
constexpr char lockFile[] = "lock";
constexpr std::string_view storedMagic = "KCFILE01"; ///< First bytes of a stored file; the digits are the version of the format.

/** Returns whether a folder is uninitialised: it holds at most the leftovers of an interrupted initialisation and the lost+found folder of a file system. */
bool isFresh(const std::string& path, std::error_code& error)
{
    for (const auto& entry : std::filesystem::directory_iterator(path, error)) {
        std::string name = entry.path().filename();
        if (name != lockFile && name != std::string(identityFile) + ".tmp" && name != "lost+found")
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
        { "bootstrapped", identity.bootstrapped },
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
        identity.bootstrapped = document.at("bootstrapped").get<bool>();
        return true;
    } catch (const nlohmann::json::exception&) {
        return false;
    }
}

} // namespace

/** State of an open folder. */
struct DataFolder::State {
    std::error_code takeLock();

    std::string path;
    Descriptor lock; ///< Lock file; the lock is held while the descriptor is open.
    FolderIdentity identity; ///< Content of the identity file.
};

DataFolder::DataFolder()
    : state(std::make_unique<State>())
{
}

DataFolder::~DataFolder() = default;

std::error_code DataFolder::State::takeLock()
{
    std::string name = this->path + "/" + lockFile;
    this->lock = Descriptor(::open(name.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
    if (this->lock.get() < 0)
        return ResultCode::FileError;
    if (!::flock(this->lock.get(), LOCK_EX | LOCK_NB))
        return {};
    return errno == EWOULDBLOCK ? ResultCode::DataFolderLocked : ResultCode::FileError;
}

std::error_code DataFolder::open(const std::string& path, const std::string& deployment, uint32_t vmId, uint64_t newIncarnation, std::unique_ptr<DataFolder>& folder)
{
    std::error_code error;
    std::filesystem::create_directories(path, error);
    if (error)
        return ResultCode::FileError;
    std::unique_ptr<DataFolder> opened(new DataFolder);
    opened->state->path = path;
    error = opened->state->takeLock();
    if (error)
        return error;
    FolderIdentity& identity = opened->state->identity;
    std::string content;
    error = opened->loadFile(identityFile, content);
    if (error == ResultCode::NotFound) {
        std::error_code listError;
        if (!isFresh(path, listError))
            return listError ? ResultCode::FileError : ResultCode::ForeignDataFolder;
        identity = { deployment, vmId, newIncarnation, false };
        error = opened->storeFile(identityFile, encodeIdentity(identity), systemFileHooks());
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
    if (this->state->identity.bootstrapped)
        return {};
    FolderIdentity next = this->state->identity;
    next.bootstrapped = true;
    std::error_code error = this->storeFile(identityFile, encodeIdentity(next), systemFileHooks());
    if (!error)
        this->state->identity = next;
    return error;
}

std::error_code DataFolder::storeFile(const std::string& name, std::string_view content, const FileHooks& hooks)
{
    uint64_t checksum = XXH3_64bits(content.data(), content.size());
    std::string bytes(storedMagic);
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
    size_t headerSize = storedMagic.size() + sizeof(checksum);
    if (bytes.size() < headerSize || !bytes.starts_with(storedMagic))
        return ResultCode::JournalDamaged;
    std::memcpy(&checksum, bytes.data() + storedMagic.size(), sizeof(checksum));
    content = bytes.substr(headerSize);
    return XXH3_64bits(content.data(), content.size()) == checksum ? ResultCode::Ok : ResultCode::JournalDamaged;
}

const std::string& DataFolder::path() const
{
    return this->state->path;
}

} // namespace kingcup
