/** @file ScratchFolder.h A folder for one test or benchmark. */
#pragma once

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>
#include <unistd.h>

namespace kingcup::testing {

/** Creates an empty folder and removes it with its content at the end of its scope, unless the environment variable KINGCUP_KEEP_FOLDERS is set. */
class ScratchFolder {
public:
    /** @param parent Where to create it. By default TMPDIR, else in memory, because a sync on a busy disk takes seconds. */
    explicit ScratchFolder(const std::filesystem::path& parent = defaultParent())
    {
        this->name = parent / "kingcup-XXXXXX";
        if (!::mkdtemp(this->name.data()))
            throw std::runtime_error("cannot create a folder in " + parent.string());
    }

    ~ScratchFolder()
    {
        std::error_code ignored;
        if (!std::getenv("KINGCUP_KEEP_FOLDERS"))
            std::filesystem::remove_all(this->name, ignored);
    }

    ScratchFolder(const ScratchFolder&) = delete;
    ScratchFolder& operator=(const ScratchFolder&) = delete;

    const std::string& path() const { return this->name; } ///< The folder.

private:
    static std::filesystem::path defaultParent()
    {
        if (const char* chosen = std::getenv("TMPDIR"))
            return chosen;
        return std::filesystem::temp_directory_path();
    }

    std::string name;
};

} // namespace kingcup::testing
