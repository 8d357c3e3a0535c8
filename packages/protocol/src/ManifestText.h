/** @file ManifestText.h Error codes and string rules of manifests. */
#pragma once

#include "JsonReader.h"

namespace kingcup {

constexpr double dayMs = 24.0 * 3600 * 1000; ///< Upper bound of most durations in a manifest.

/** Error codes of manifests whose unknown keys are refused. */
extern const DocumentCodes manifestCodes;
/** Error codes of manifests whose unknown keys are ignored. */
extern const DocumentCodes lenientManifestCodes;
/** Error codes of the stored documents of accepted manifests. */
extern const DocumentCodes storedDocumentCodes;

extern const TextRule methodText; ///< An HTTP method, or "*".
extern const TextRule kindPathText; ///< Path of a kind.
extern const TextRule prefixText; ///< Path prefix of a service or route.
extern const TextRule hostText; ///< Host name.

} // namespace kingcup
