/** @file FileIo.cpp POSIX file operations that return result codes. */
#include "FileIo.h"

#include <cerrno>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace kingcup {

Descriptor::~Descriptor()
{
    if (this->number >= 0)
        ::close(this->number);
}

Descriptor::Descriptor(Descriptor&& other) noexcept
    : number(std::exchange(other.number, -1))
{
}

Descriptor& Descriptor::operator=(Descriptor&& other) noexcept
{
    std::swap(this->number, other.number);
    return *this;
}

ResultCode writeFailure(int errorNumber)
{
    return errorNumber == ENOSPC || errorNumber == EDQUOT ? ResultCode::DiskFull : ResultCode::FileError;
}

std::error_code readFile(const std::string& path, std::string& content)
{
    Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (file.get() < 0)
        return errno == ENOENT ? ResultCode::NotFound : ResultCode::FileError;
    struct stat status { };
    if (::fstat(file.get(), &status))
        return ResultCode::FileError;
    content.resize(static_cast<size_t>(status.st_size));
    size_t done = 0;
    while (done < content.size()) {
        ssize_t count = ::read(file.get(), content.data() + done, content.size() - done);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return ResultCode::FileError;
        done += static_cast<size_t>(count);
    }
    return {};
}

std::error_code syncFolder(const std::string& folder, const FileHooks& hooks)
{
    Descriptor descriptor(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (descriptor.get() < 0 || hooks.sync(descriptor.get()))
        return ResultCode::SyncFailed;
    return {};
}

std::error_code replaceFile(const std::string& folder, const std::string& name, std::string_view content, const FileHooks& hooks)
{
    std::string path = folder + "/" + name;
    std::string temporary = path + ".tmp";
    Descriptor file(::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    if (file.get() < 0)
        return writeFailure(errno);
    int failure = hooks.write(file.get(), content);
    if (failure) {
        ::unlink(temporary.c_str());
        return writeFailure(failure);
    }
    if (hooks.sync(file.get()))
        return ResultCode::SyncFailed;
    if (::rename(temporary.c_str(), path.c_str()))
        return writeFailure(errno);
    return syncFolder(folder, hooks);
}

} // namespace kingcup
