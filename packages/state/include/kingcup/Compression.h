/** @file Compression.h Compression of large messages and log entries. */
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace kingcup {

/** Returns the data in compressed form. */
std::string compress(std::string_view data);

/** Returns the data that compress() was given; empty if the input is damaged or stands for more than `maxBytes`. */
std::optional<std::string> decompress(std::string_view compressed, size_t maxBytes);

} // namespace kingcup
