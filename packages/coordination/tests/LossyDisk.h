/** @file LossyDisk.h Disk of a simulated VM that keeps only what was synced when the power is lost. */
#pragma once

#include "kingcup/Journal.h"
#include "kingcup/RandomSource.h"

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace kingcup::testing {

/**
 * Files of one folder that are written through FileHooks. After a loss of power, a file holds what its last sync covered, and
 * each later write is present, missing or torn. Names that were created or replaced since the last sync of the folder are kept
 * or lost independently. Other files of the folder are not touched.
 */
class LossyDisk {
public:
    static constexpr uint64_t noFailure = std::numeric_limits<uint64_t>::max();

    /** @param areSyncsHonoured Whether a sync makes anything durable; false: it only reports success. */
    LossyDisk(std::string folder, RandomSource& random, bool areSyncsHonoured)
        : folder(std::move(folder))
        , random(random)
        , areSyncsHonoured(areSyncsHonoured)
    {
    }

    FileHooks hooks()
    {
        return {
            [this](int descriptor) { return this->takeCall() ? this->sync(descriptor) : EIO; },
            [this](int descriptor, std::string_view data) { return this->takeCall() ? this->write(descriptor, data) : EIO; },
        };
    }

    /** Lets every write and sync fail after some more calls, as if the process ended there. */
    void failAfter(uint64_t calls) { this->remainingCalls = calls; }

    /** Changes the folder to what it may hold after a loss of power. Its files must be closed. */
    void losePower()
    {
        bool keepsUnsynced = this->random.below(3) > 0;
        std::map<std::string, std::shared_ptr<File>> current = this->listFiles();
        std::set<std::string> names;
        for (const auto& [name, file] : current)
            names.insert(name);
        for (const auto& [name, file] : this->durableNames)
            names.insert(name);
        std::map<std::string, std::string> contents;
        for (const std::string& name : names) {
            const auto& source = keepsUnsynced && this->random.below(2) ? current : this->durableNames;
            auto found = source.find(name);
            if (found != source.end())
                contents[name] = this->contentAfterLoss(*found->second, keepsUnsynced);
        }
        for (const std::string& name : names)
            std::filesystem::remove(this->folder + "/" + name);
        this->files.clear();
        this->durableNames.clear();
        this->remainingCalls = noFailure;
        for (const auto& [name, content] : contents) {
            std::ofstream(this->folder + "/" + name, std::ios::binary) << content;
            std::shared_ptr<File> file = this->fileAt(this->folder + "/" + name);
            file->synced = content;
            this->durableNames[name] = file;
        }
    }

private:
    /** Content of a file, found by its inode. */
    struct File {
        ~File() { ::close(this->descriptor); }

        int descriptor = -1; ///< Held open so that the inode is not used again for another file.
        std::string synced; ///< Content at the last sync.
        std::vector<std::pair<size_t, std::string>> unsyncedWrites; ///< Offset and data of each write since the last sync.
    };

    bool takeCall() { return this->remainingCalls && this->remainingCalls--; }

    std::shared_ptr<File> fileAt(const std::string& path)
    {
        struct stat status { };
        if (::stat(path.c_str(), &status) || !S_ISREG(status.st_mode))
            return nullptr;
        std::shared_ptr<File>& file = this->files[status.st_ino];
        if (!file) {
            file = std::make_shared<File>();
            file->descriptor = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
        }
        return file;
    }

    static std::string pathOf(int descriptor) { return "/proc/self/fd/" + std::to_string(descriptor); }

    /** Returns the files that were written through the hooks, by their current names. */
    std::map<std::string, std::shared_ptr<File>> listFiles()
    {
        std::map<std::string, std::shared_ptr<File>> result;
        for (const auto& entry : std::filesystem::directory_iterator(this->folder)) {
            struct stat status { };
            if (!::stat(entry.path().c_str(), &status) && this->files.contains(status.st_ino))
                result[entry.path().filename()] = this->files[status.st_ino];
        }
        return result;
    }

    int write(int descriptor, std::string_view data)
    {
        struct stat status { };
        ::fstat(descriptor, &status);
        this->fileAt(pathOf(descriptor))->unsyncedWrites.emplace_back(static_cast<size_t>(status.st_size), data);
        return systemFileHooks().write(descriptor, data);
    }

    int sync(int descriptor)
    {
        if (!this->areSyncsHonoured)
            return 0;
        struct stat status { };
        ::fstat(descriptor, &status);
        if (!S_ISDIR(status.st_mode)) {
            std::shared_ptr<File> file = this->fileAt(pathOf(descriptor));
            file->synced.resize(static_cast<size_t>(status.st_size));
            if (::pread(file->descriptor, file->synced.data(), file->synced.size(), 0) != static_cast<ssize_t>(file->synced.size()))
                return EIO;
            file->unsyncedWrites.clear();
            return 0;
        }
        this->durableNames = this->listFiles();
        std::erase_if(this->files, [this](const auto& row) {
            return std::none_of(this->durableNames.begin(), this->durableNames.end(), [&row](const auto& named) { return named.second == row.second; });
        });
        return 0;
    }

    std::string contentAfterLoss(const File& file, bool keepsUnsynced)
    {
        std::string content = file.synced;
        for (const auto& [offset, data] : file.unsyncedWrites) {
            uint64_t choice = keepsUnsynced ? this->random.below(3) : 0;
            size_t length = choice == 0 ? 0 : choice == 1 ? data.size()
                                                          : this->random.below(data.size());
            if (!length)
                continue;
            if (content.size() < offset + length)
                content.resize(offset + length);
            content.replace(offset, length, data, 0, length);
        }
        return content;
    }

    std::string folder;
    RandomSource& random;
    bool areSyncsHonoured;
    uint64_t remainingCalls = noFailure; ///< Calls until every write and sync fails.
    std::map<ino_t, std::shared_ptr<File>> files; ///< Files that may be present after a loss of power.
    std::map<std::string, std::shared_ptr<File>> durableNames; ///< Names at the last sync of the folder.
};

} // namespace kingcup::testing
