/** @file ManifestParser.h Checks manifests and turns them into their model and their canonical text. */
#pragma once

#include "kingcup/ManifestTypes.h"
#include "kingcup/ResultCode.h"

#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace kingcup {

/** Why a document was refused. */
struct DocumentError {
    ResultCode code = ResultCode::Ok; ///< Ok: no error.
    std::string pointer; ///< JSON pointer (RFC 6901) to the place.
    std::string text; ///< What is wrong there, one sentence.
};

/** A manifest that passed all checks. */
struct CheckedManifest {
    Manifest manifest; ///< The model.
    std::string digest; ///< 32 hexadecimal digits over the canonical text without the number.
    std::vector<std::pair<std::string, std::string>> documents; ///< Service name and canonical JSON, ordered by name.
};

/**
 * Checks a whole manifest: syntax, unknown keys, types, ranges, overlapping services and kinds.
 * @param text JSON text, at most maxManifestBytes.
 */
std::variant<CheckedManifest, DocumentError> parseManifest(std::string_view text);

/** Checks one service document in canonical or any other form. */
std::variant<Service, DocumentError> parseService(std::string_view text);

/** Largest accepted manifest text, in bytes. */
constexpr size_t maxManifestBytes = 8u << 20;

} // namespace kingcup
