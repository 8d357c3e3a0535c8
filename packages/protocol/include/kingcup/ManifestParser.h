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

/** What happens with keys that a manifest should not have. */
enum class UnknownKeys {
    Refuse, ///< The manifest is refused.
    Ignore, ///< They have no effect, for pipelines that write keys of their own.
};

/** How manifests are read; the same for all processes of a deployment. */
struct ManifestPolicy {
    UnknownKeys unknownKeys = UnknownKeys::Refuse; ///< Treatment of unknown keys.
    bool keepSource = false; ///< Whether the text is stored as it came and given back to whoever reads the manifest.
};

/** What a document of a manifest describes. The type is the first part of the document's key. */
enum class DocumentType {
    Service, ///< One service.
    Route, ///< One route.
    CallerLimits, ///< Bounds for callers.
    Source, ///< Text of the manifest as it came. Not distributed to entry VMs.
};

/** Returns the key under which a document is stored: a service's name, or the type and the name for the others. */
std::string documentKey(DocumentType type, const std::string& name = {});

/** Returns the type of the document that a key names. */
DocumentType documentType(std::string_view key);

/** A manifest that passed all checks. */
struct CheckedManifest {
    Manifest manifest; ///< The model.
    std::string digest; ///< 32 hexadecimal digits over the canonical text without the number.
    std::vector<std::pair<std::string, std::string>> documents; ///< Key and canonical JSON, ordered by key.
};

/**
 * Checks a whole manifest: syntax, unknown keys, types, ranges, overlapping services and kinds, services of routes.
 * @param text JSON text, at most maxManifestBytes.
 */
std::variant<CheckedManifest, DocumentError> parseManifest(std::string_view text, const ManifestPolicy& policy = {});

/** Checks one service document in canonical or any other form. */
std::variant<Service, DocumentError> parseService(std::string_view text);

/** Checks one route document in canonical or any other form. */
std::variant<Route, DocumentError> parseRoute(std::string_view text);

/** Checks the document of the callers' limits in canonical or any other form. */
std::variant<CallerLimits, DocumentError> parseCallerLimits(std::string_view text);

/** Largest accepted manifest text, in bytes. */
constexpr size_t maxManifestBytes = 8u << 20;

} // namespace kingcup
