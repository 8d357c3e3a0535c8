/** @file ChangesCache.cpp Compresses configuration changes and keeps them while they are current. */
#include "kingcup/ChangesCache.h"

#include "kingcup/Compression.h"

namespace kingcup {

namespace {

constexpr size_t minBytesToCompress = 1024; ///< Smaller changes fit one packet.
constexpr size_t maxDecompressedBytes = 64u << 20; ///< Limit of decompressed changes.
constexpr size_t maxRows = 16; ///< Most VMs hold one of the few latest indices.

} // namespace

wire::ConfigurationChanges compressChanges(const wire::ConfigurationChanges& changes)
{
    std::string data = changes.SerializeAsString();
    if (data.size() < minBytesToCompress)
        return changes;
    wire::ConfigurationChanges compressed;
    compressed.set_log_time_ms(changes.log_time_ms());
    compressed.set_compressed(compress(data));
    return compressed;
}

std::optional<wire::ConfigurationChanges> decompressChanges(const wire::ConfigurationChanges& changes)
{
    if (changes.compressed().empty())
        return changes;
    std::optional<std::string> data = decompress(changes.compressed(), maxDecompressedBytes);
    wire::ConfigurationChanges decompressed;
    if (!data || !decompressed.ParseFromString(*data) || !decompressed.compressed().empty())
        return std::nullopt;
    decompressed.set_log_time_ms(changes.log_time_ms());
    return decompressed;
}

const wire::ConfigurationChanges& ChangesCache::changesSince(LogIndex index, const ControlStateMachine& stateMachine)
{
    if (this->configurationIndex != stateMachine.configurationIndex() || this->rows.size() >= maxRows)
        this->rows.clear();
    this->configurationIndex = stateMachine.configurationIndex();
    auto found = this->rows.find(index);
    if (found == this->rows.end())
        found = this->rows.emplace(index, compressChanges(stateMachine.changesSince(index))).first;
    return found->second;
}

} // namespace kingcup
