/** @file FreeSpace.h Free space on the disk of a folder. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace kingcup {

/** Returns the number of bytes that are free for this process on the disk of a folder; empty if it is unknown. */
std::optional<uint64_t> freeBytes(const std::string& folder);

} // namespace kingcup
