/** @file ControlDecision.h What a table of the control state decides about one command. */
#pragma once

#include "kingcup/ReplicatedLogTypes.h"
#include "kingcup/ResultCode.h"

#include <algorithm>
#include <string>
#include <utility>

namespace kingcup {

constexpr uint64_t hourInMs = 3600 * 1000;

/** How long removed services, gone targets and cleared suspicions are kept, so that entry VMs learn of them without a full copy. */
constexpr uint64_t tombstoneRetentionMs = hourInMs;

/** Longest retention of anything. It keeps sums of a time and a retention from overflowing. */
constexpr uint64_t maxRetentionMs = 400 * 24 * hourInMs;

constexpr size_t maxNameBytes = 64; ///< Names of services, VMs and availability zones.
constexpr size_t maxDocumentKeyBytes = 80; ///< Type and name of a manifest document.
constexpr size_t maxAddressBytes = 255; ///< Addresses of targets.
constexpr size_t fingerprintBytes = 16; ///< Fingerprint of a request.

/** Service and key, service and address, or service and fingerprint. */
using NamePair = std::pair<std::string, std::string>;

/** Outcome of checking a command, which changes nothing yet. */
struct Decision {
    wire::CommandResult result; ///< What the proposer gets. The index is set only when it refers to an earlier entry.
    bool changes = false; ///< Whether applying the command changes the table.
};

/** Makes a decision that changes nothing. */
inline Decision refusal(ResultCode code, std::string detail, LogIndex index = 0)
{
    Decision decision;
    decision.result.set_result_code(static_cast<int>(code));
    decision.result.set_detail(std::move(detail));
    decision.result.set_index(index);
    return decision;
}

/** Makes a decision that accepts a command without a change, because an earlier entry had its effect. */
inline Decision settled(LogIndex index)
{
    return refusal(ResultCode::Ok, "", index);
}

/** Makes a decision that accepts a command and changes the table. */
inline Decision acceptance()
{
    Decision decision;
    decision.changes = true;
    return decision;
}

/** Returns whether a name is present and not too long. */
inline bool isBounded(const std::string& text, size_t maxBytes)
{
    return !text.empty() && text.size() <= maxBytes;
}

/** Returns the time at which something kept from now on expires. */
inline uint64_t expiryAfter(uint64_t nowMs, uint64_t retentionMs)
{
    return nowMs + std::min(retentionMs, maxRetentionMs);
}

} // namespace kingcup
