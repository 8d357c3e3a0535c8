/** @file ManifestText.h Result codes and rules for the texts of manifests. */
#pragma once

#include "JsonReader.h"

namespace kingcup {

constexpr double dayMs = 24.0 * 3600 * 1000; ///< Upper bound of most times of a manifest, milliseconds.

/** Result codes of manifests. */
extern const DocumentCodes manifestCodes;
/** The same for manifests whose unknown keys have no effect. */
extern const DocumentCodes lenientManifestCodes;

extern const TextRule methodText; ///< An HTTP method, or "*".
extern const TextRule kindPathText; ///< Path of a kind.
extern const TextRule prefixText; ///< Path prefix of a service or route.
extern const TextRule hostText; ///< Host name.

} // namespace kingcup
