/** @file ManifestParser.h Validates manifests and converts them to their model and their canonical text. */
#pragma once

#include "kingcup/ManifestTypes.h"
#include "kingcup/ResultCode.h"

#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace kingcup {

/** Validation error of a document. */
struct DocumentError {
    ResultCode code = ResultCode::Ok; ///< Ok: no error.
    std::string pointer; ///< JSON pointer (RFC 6901) to the value in error.
    std::string text; ///< Description of the error; it follows the pointer in messages.
};

/** Treatment of keys that the manifest format does not define. */
enum class UnknownKeys {
    Refuse, ///< The manifest is refused.
    Ignore, ///< They have no effect; for pipelines that write additional keys.
};

/** Options for parsing manifests. They must be the same in all processes of a deployment. */
struct ManifestPolicy {
    UnknownKeys unknownKeys = UnknownKeys::Refuse; ///< Treatment of unknown keys.
    bool keepSource = false; ///< Whether the original text is stored and returned when the manifest is read.
};

/** Type of a document of a manifest. The prefix of the document's key encodes it. */
enum class DocumentType {
    Service, ///< One service.
    Route, ///< One route.
    Organisation, ///< One organisation, with the hashes of its API keys.
    CallerLimits, ///< Limits for callers.
    Source, ///< Original text of the manifest. It is not distributed to entry VMs.
};

/** Returns the key under which a document is stored: the name for a service, the type and the name for all others. */
std::string documentKey(DocumentType type, const std::string& name = {});

/** Returns the type of the document that is stored under a key. */
DocumentType documentType(std::string_view key);

/** A manifest that passed all checks. */
struct CheckedManifest {
    Manifest manifest; ///< The model.
    std::string digest; ///< Hash of the documents as 32 hexadecimal digits; the manifest number is not part of it.
    std::vector<std::pair<std::string, std::string>> documents; ///< Key and canonical JSON, ordered by key.
};

/**
 * Parses and validates a manifest: syntax, unknown keys, types, ranges, overlapping services and kinds, services of routes, repeated API keys.
 * @param text JSON text, at most maxManifestBytes.
 */
std::variant<CheckedManifest, DocumentError> parseManifest(std::string_view text, const ManifestPolicy& policy = {});

/** Parses and validates a service document. It need not be in canonical form. */
std::variant<Service, DocumentError> parseService(std::string_view text);

/** Parses and validates a route document. It need not be in canonical form. */
std::variant<Route, DocumentError> parseRoute(std::string_view text);

/** Parses and validates an organisation document, with API keys or their hashes. It need not be in canonical form. */
std::variant<Organisation, DocumentError> parseOrganisation(std::string_view text);

/** Parses and validates the document of the limits for callers. It need not be in canonical form. */
std::variant<CallerLimits, DocumentError> parseCallerLimits(std::string_view text);

/** Largest accepted manifest text, in bytes. */
constexpr size_t maxManifestBytes = 8u << 20;

} // namespace kingcup
