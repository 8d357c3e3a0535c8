/** @file ManifestText.cpp Validation of methods, paths and hosts. */
#include "ManifestText.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <algorithm>

namespace kingcup {

namespace {

/** Returns the error codes of manifests or their stored documents with the given treatment of unknown keys. */
constexpr DocumentCodes codesWith(UnknownKeys unknownKeys, DocumentOrigin origin = DocumentOrigin::Submitted)
{
    return {
        ResultCode::ManifestSyntax,
        ResultCode::ManifestUnknownKey,
        ResultCode::ManifestWrongType,
        ResultCode::ManifestOutOfRange,
        ResultCode::ManifestMissingKey,
        unknownKeys,
        origin,
    };
}

/** Returns whether the text is an HTTP method in uppercase, or "*". */
bool isMethod(std::string_view text)
{
    return text == "*" || std::all_of(text.begin(), text.end(), [](char c) { return absl::ascii_isupper(static_cast<unsigned char>(c)); });
}

/** Returns whether the text is an absolute path without query, empty segments and dot segments. */
bool isPlainPath(std::string_view text)
{
    auto allowed = [](char c) { return absl::ascii_isgraph(static_cast<unsigned char>(c)) && c != '?' && c != '#' && c != '*'; };
    if (!text.starts_with('/') || !std::all_of(text.begin(), text.end(), allowed))
        return false;
    std::string closed = std::string(text) + "/";
    bool emptySegment = text.find("//") != std::string_view::npos;
    return !emptySegment && !absl::StrContains(closed, "/./") && !absl::StrContains(closed, "/../");
}

/** Returns whether the text is a plain path or a prefix that ends in "/" followed by "*". */
bool isKindPath(std::string_view text)
{
    return isPlainPath(text.ends_with("/*") ? text.substr(0, text.size() - 1) : text);
}

/** Returns whether the text is a lowercase host name with an optional port. */
bool isHost(std::string_view text)
{
    auto allowed = [](char c) { return absl::ascii_islower(static_cast<unsigned char>(c)) || absl::ascii_isdigit(static_cast<unsigned char>(c)) || c == '.' || c == '-' || c == ':'; };
    return std::all_of(text.begin(), text.end(), allowed);
}

} // namespace

const DocumentCodes manifestCodes = codesWith(UnknownKeys::Refuse);
const DocumentCodes lenientManifestCodes = codesWith(UnknownKeys::Ignore);
const DocumentCodes storedDocumentCodes = codesWith(UnknownKeys::Refuse, DocumentOrigin::Stored);
const TextRule methodText = { 1, 16, isMethod, "an uppercase HTTP method or \"*\"" };
const TextRule kindPathText = { 1, 512, isKindPath, "a path, or a prefix that ends in \"/*\"" };
const TextRule prefixText = { 1, 512, isPlainPath, "an absolute path" };
const TextRule hostText = { 0, 255, isHost, "a lowercase host name" };

} // namespace kingcup
