/** @file SettingsFile.cpp Reading and comparison of the settings file. */
#include "SettingsFile.h"

#include <absl/strings/str_cat.h>
#include <fstream>
#include <sstream>

namespace kingcup {

SettingsFile::SettingsFile(std::string path)
    : path(std::move(path))
{
}

std::optional<std::string> SettingsFile::readContent() const
{
    std::ifstream stream(this->path);
    if (!stream)
        return std::nullopt;
    std::stringstream text;
    text << stream.rdbuf();
    return text.str();
}

std::variant<Settings, std::string> SettingsFile::read()
{
    std::optional<std::string> text = this->readContent();
    if (!text)
        return absl::StrCat("cannot read the settings file '", this->path, "'");
    this->lastContent = *text;
    auto parsed = parseSettings(*text);
    if (const DocumentError* error = std::get_if<DocumentError>(&parsed))
        return absl::StrCat(static_cast<int>(error->code), " ", std::string(resultCodeRow(error->code).name), " at '", error->pointer, "': ", error->text);
    return std::get<Settings>(std::move(parsed));
}

bool SettingsFile::hasChanged() const
{
    std::optional<std::string> text = this->readContent();
    return text && *text != this->lastContent;
}

} // namespace kingcup
