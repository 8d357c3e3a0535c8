/** @file ManifestDigest.h Digest that identifies the content of a manifest. */
#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace kingcup {

/** Hashes the canonical documents of a manifest. They must be added in the order of their keys. */
class ManifestDigest {
public:
    ManifestDigest();
    ~ManifestDigest();

    /** Hashes the next canonical document and a newline after it. */
    void add(std::string_view document);

    /** Returns 32 hexadecimal digits (128-bit xxhash). */
    std::string text() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace kingcup
