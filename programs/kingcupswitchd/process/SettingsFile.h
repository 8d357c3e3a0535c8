/** @file SettingsFile.h Reads the settings file and notices when it changes. */
#pragma once

#include "kingcup/Settings.h"

#include <optional>
#include <string>

namespace kingcup {

/** The settings file of a process. */
class SettingsFile {
public:
    explicit SettingsFile(std::string path);

    /** Reads the settings, or the text of what is wrong with them. */
    std::variant<Settings, std::string> read();

    /** Returns whether the content differs from what was read last. */
    bool hasChanged() const;

private:
    std::optional<std::string> content() const;

    std::string path; ///< Of the file.
    std::string lastContent; ///< Read last.
};

} // namespace kingcup
