/** @file ApiKey.h Hashes of API keys, which stand for the keys wherever they are stored or compared. */
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace kingcup {

/** SHA-256 of an API key. */
using ApiKeyHash = std::array<unsigned char, 32>;

/** Returns the hash of a key. */
ApiKeyHash hashApiKey(std::string_view key);

/** Returns the hash as 64 lowercase hexadecimal digits. */
std::string formatKeyHash(const ApiKeyHash& hash);

/** Parses the text of formatKeyHash(); empty if it is malformed. */
std::optional<ApiKeyHash> parseKeyHash(std::string_view text);

/** Returns whether two hashes are equal. The duration does not depend on the position of the first difference. */
bool areSameKeyHash(const ApiKeyHash& one, const ApiKeyHash& other);

} // namespace kingcup
