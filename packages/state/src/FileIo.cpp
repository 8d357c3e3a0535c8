/** @file FileIo.cpp POSIX file operations that return result codes. */
#include "FileIo.h"

#include <cerrno>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace kingcup {

FileDescriptor::~FileDescriptor()
{
    if (this->descriptor >= 0)
        ::close(this->descriptor);
}

FileDescriptor::FileDescriptor(FileDescriptor&& other) noexcept
    : descriptor(std::exchange(other.descriptor, -1))
{
}

FileDescriptor& FileDescriptor::operator=(FileDescriptor&& other) noexcept
{
    std::swap(this->descriptor, other.descriptor);
    return *this;
}

ResultCode writeErrorCode(int errorNumber)
{
    return errorNumber == ENOSPC || errorNumber == EDQUOT ? ResultCode::DiskFull : ResultCode::FileError;
}

std::error_code readFile(const std::string& path, std::string& content)
{
    FileDescriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (file.get() < 0)
        return errno == ENOENT ? ResultCode::NotFound : ResultCode::FileError;
    struct stat status { };
    if (::fstat(file.get(), &status))
        return ResultCode::FileError;
    content.resize(static_cast<size_t>(status.st_size));
    size_t readBytes = 0;
    while (readBytes < content.size()) {
        ssize_t count = ::read(file.get(), content.data() + readBytes, content.size() - readBytes);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return ResultCode::FileError;
        readBytes += static_cast<size_t>(count);
    }
    return {};
}

ResultCode syncErrorCode(int errorNumber)
{
    return writeErrorCode(errorNumber) == ResultCode::DiskFull ? ResultCode::DiskFull : ResultCode::SyncFailed;
}

std::error_code syncFolder(const std::string& folder, const FileHooks& hooks)
{
    FileDescriptor descriptor(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (descriptor.get() < 0)
        return ResultCode::SyncFailed;
    int errorNumber = hooks.sync(descriptor.get());
    return errorNumber ? syncErrorCode(errorNumber) : ResultCode::Ok;
}

std::error_code writeReplacement(const std::string& folder, const std::string& name, std::string_view content, const FileHooks& hooks)
{
    std::string path = folder + "/" + name;
    std::string temporaryPath = path + ".tmp";
    FileDescriptor file(::open(temporaryPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    if (file.get() < 0)
        return writeErrorCode(errno);
    ResultCode code = ResultCode::Ok;
    if (int errorNumber = hooks.write(file.get(), content))
        code = writeErrorCode(errorNumber);
    else if (int syncError = hooks.sync(file.get()))
        code = syncErrorCode(syncError);
    else if (int renameError = hooks.rename(temporaryPath, path))
        code = writeErrorCode(renameError);
    // On a full disk the temporary file would take the space that the next attempt needs.
    if (code != ResultCode::Ok && code != ResultCode::SyncFailed)
        ::unlink(temporaryPath.c_str());
    return code;
}

std::error_code replaceFile(const std::string& folder, const std::string& name, std::string_view content, const FileHooks& hooks)
{
    std::error_code error = writeReplacement(folder, name, content, hooks);
    return error ? error : syncFolder(folder, hooks);
}

} // namespace kingcup
