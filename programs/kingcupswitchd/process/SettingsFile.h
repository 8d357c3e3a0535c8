/** @file SettingsFile.h Reads the settings file and detects changes of it. */
#pragma once

#include "kingcup/Settings.h"

#include <optional>
#include <string>

namespace kingcup {

/** Settings file of a process, with the content that was read last. */
class SettingsFile {
public:
    explicit SettingsFile(std::string path);

    /** Reads and parses the settings. Returns an error message if the file cannot be read or is invalid. */
    std::variant<Settings, std::string> read();

    /** Returns whether the file is readable and its content differs from what was read last. */
    bool hasChanged() const;

private:
    std::optional<std::string> readContent() const;

    std::string path; ///< Path of the file.
    std::string lastContent; ///< Content that was read last, also if it was invalid.
};

} // namespace kingcup
