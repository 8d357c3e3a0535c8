/** @file ManifestDigest.h The digest that names the content of a manifest. */
#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace kingcup {

/** Digests the canonical documents of a manifest, which are added in the order of their service names. */
class ManifestDigest {
public:
    ManifestDigest();
    ~ManifestDigest();

    /** Adds the canonical document of the next service. */
    void add(std::string_view document);

    /** Returns 32 hexadecimal digits (128-bit xxhash). */
    std::string text() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace kingcup
