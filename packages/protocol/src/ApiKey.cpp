/** @file ApiKey.cpp Hashing of API keys with libsodium. */
#include "kingcup/ApiKey.h"

#include <algorithm>
#include <sodium.h>

namespace kingcup {

static_assert(std::tuple_size_v<ApiKeyHash> == crypto_hash_sha256_BYTES);

ApiKeyHash hashApiKey(std::string_view key)
{
    ApiKeyHash hash;
    crypto_hash_sha256(hash.data(), reinterpret_cast<const unsigned char*>(key.data()), key.size());
    return hash;
}

std::string formatKeyHash(const ApiKeyHash& hash)
{
    std::string text(hash.size() * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), hash.data(), hash.size());
    text.pop_back();
    return text;
}

std::optional<ApiKeyHash> parseKeyHash(std::string_view text)
{
    auto isLowercaseDigit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    ApiKeyHash hash;
    if (text.size() != hash.size() * 2 || !std::all_of(text.begin(), text.end(), isLowercaseDigit))
        return std::nullopt;
    sodium_hex2bin(hash.data(), hash.size(), text.data(), text.size(), nullptr, nullptr, nullptr);
    return hash;
}

bool areSameKeyHash(const ApiKeyHash& one, const ApiKeyHash& other)
{
    return sodium_memcmp(one.data(), other.data(), one.size()) == 0;
}

} // namespace kingcup
