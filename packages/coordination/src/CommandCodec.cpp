/** @file CommandCodec.cpp Encodes and decodes the payload of log entries. */
#include "kingcup/CommandCodec.h"

#include "kingcup/Compression.h"

namespace kingcup {

namespace {

constexpr size_t minBytesToCompress = 16u << 10; ///< Smaller commands are stored as they are.
constexpr size_t maxDecompressedBytes = 64u << 20; ///< Limit of a decompressed command.

} // namespace

std::string encodeCommand(const wire::Command& command)
{
    std::string payload = command.SerializeAsString();
    if (payload.size() < minBytesToCompress)
        return payload;
    wire::Command envelope;
    envelope.set_compressed(compress(payload));
    return envelope.SerializeAsString();
}

std::optional<wire::Command> decodeCommand(std::string_view payload)
{
    wire::Command command;
    if (!command.ParseFromArray(payload.data(), static_cast<int>(payload.size())))
        return std::nullopt;
    if (command.compressed().empty())
        return command;
    std::optional<std::string> data = decompress(command.compressed(), maxDecompressedBytes);
    wire::Command decoded;
    if (!data || !decoded.ParseFromString(*data) || !decoded.compressed().empty())
        return std::nullopt;
    return decoded;
}

} // namespace kingcup
