/** @file Compression.cpp Compression with zstd. */
#include "kingcup/Compression.h"

#include <zstd.h>

namespace kingcup {

namespace {

constexpr int compressionLevel = 3;

} // namespace

std::string compress(std::string_view data)
{
    std::string result(ZSTD_compressBound(data.size()), '\0');
    // Cannot fail with a buffer of this size.
    result.resize(ZSTD_compress(result.data(), result.size(), data.data(), data.size(), compressionLevel));
    result.shrink_to_fit();
    return result;
}

std::optional<std::string> decompress(std::string_view compressed, size_t maxBytes)
{
    unsigned long long size = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > maxBytes)
        return std::nullopt;
    std::string result(size, '\0');
    size_t written = ZSTD_decompress(result.data(), result.size(), compressed.data(), compressed.size());
    if (ZSTD_isError(written) || written != size)
        return std::nullopt;
    return result;
}

} // namespace kingcup
