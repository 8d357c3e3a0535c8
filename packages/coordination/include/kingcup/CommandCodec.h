/** @file CommandCodec.h Payload of log entries: serialised commands, large ones compressed. */
#pragma once

#include "kingcup/ReplicatedLogTypes.h"

#include <optional>
#include <string>
#include <string_view>

namespace kingcup {

/** Returns the payload of a command. A large command, such as a manifest with thousands of routes, is compressed. */
std::string encodeCommand(const wire::Command& command);

/** Returns the command of a payload; empty if the payload is malformed. */
std::optional<wire::Command> decodeCommand(std::string_view payload);

} // namespace kingcup
