/** @file ControlDecision.h Result of checking a command against a table of the control state, with limits and helpers that the tables share. */
#pragma once

#include "kingcup/ReplicatedLogTypes.h"
#include "kingcup/ResultCode.h"

#include <algorithm>
#include <string>
#include <utility>

namespace kingcup {

constexpr uint64_t hourInMs = 3600 * 1000;

/** Retention of the tombstones of removed services, gone targets and cleared suspicions. Entry VMs that are further behind receive a full copy. */
constexpr uint64_t tombstoneRetentionMs = hourInMs;

/** Upper limit of every retention, so that the sum of a time and a retention does not overflow. */
constexpr uint64_t maxRetentionMs = 400 * 24 * hourInMs;

constexpr size_t maxNameBytes = 64; ///< Limit for names of services, VMs and availability zones.
constexpr size_t maxDocumentKeyBytes = 80; ///< Limit for the type and name of a manifest document together.
constexpr size_t maxAddressBytes = 255; ///< Limit for addresses of targets.
constexpr size_t fingerprintBytes = 16; ///< Length of the fingerprint of a request.

/** Key of a table row: service and idempotency key, service and address, or service and fingerprint. */
using NamePair = std::pair<std::string, std::string>;

/** Outcome of checking a command before it is applied. */
struct Decision {
    wire::CommandResult result; ///< Result for the proposer. The index is set only if it refers to an earlier entry.
    bool changesTable = false; ///< The command is accepted and changes the table.
};

/** Returns a decision that refuses a command. @param index Earlier entry that caused the refusal; 0 for none. */
inline Decision refusal(ResultCode code, std::string detail, LogIndex index = 0)
{
    Decision decision;
    decision.result.set_result_code(static_cast<int>(code));
    decision.result.set_detail(std::move(detail));
    decision.result.set_index(index);
    return decision;
}

/** Returns a decision that accepts a command without a change, because an earlier entry already had its effect. */
inline Decision acceptanceWithoutChange(LogIndex index)
{
    return refusal(ResultCode::Ok, "", index);
}

/** Returns a decision that accepts a command which changes the table. */
inline Decision acceptance()
{
    Decision decision;
    decision.changesTable = true;
    return decision;
}

/** Returns whether a text is neither empty nor longer than the limit. */
inline bool hasValidLength(const std::string& text, size_t maxBytes)
{
    return !text.empty() && text.size() <= maxBytes;
}

/** Returns the log time at which a retention that starts now ends; it is limited to maxRetentionMs. */
inline uint64_t expiryAfter(uint64_t nowMs, uint64_t retentionMs)
{
    return nowMs + std::min(retentionMs, maxRetentionMs);
}

} // namespace kingcup
