/** @file ManifestDigest.cpp 128-bit xxhash over the canonical text of a manifest. */
#include "kingcup/ManifestDigest.h"

#include <absl/strings/escaping.h>
#define XXH_STATIC_LINKING_ONLY // Declares the complete type of XXH3_state_t.
#include <xxhash.h>

namespace kingcup {

/** State of the incremental hash. */
struct ManifestDigest::State {
    XXH3_state_t hash; ///< Incremental xxhash state.
};

ManifestDigest::ManifestDigest()
    : state(std::make_unique<State>())
{
    XXH3_128bits_reset(&this->state->hash);
}

ManifestDigest::~ManifestDigest() = default;

void ManifestDigest::add(std::string_view document)
{
    XXH3_128bits_update(&this->state->hash, document.data(), document.size());
    XXH3_128bits_update(&this->state->hash, "\n", 1);
}

std::string ManifestDigest::text() const
{
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits_digest(&this->state->hash));
    return absl::BytesToHexString({ reinterpret_cast<const char*>(canonical.digest), sizeof(canonical.digest) });
}

} // namespace kingcup
