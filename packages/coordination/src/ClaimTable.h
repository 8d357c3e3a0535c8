/** @file ClaimTable.h Replicated claims of idempotency keys, which prevent a request from running twice. */
#pragma once

#include "ControlDecision.h"
#include "OrderedIndex.h"
#include "kingcup/ControlStateMachine.h"

#include <map>
#include <set>
#include <tuple>

namespace kingcup {

/** State of a claim. The values are part of the snapshot format. */
enum class ClaimState : uint32_t {
    Running = 0, ///< Granted, without an outcome so far.
    Finished = 1, ///< The request ran, and its answer is recorded.
    Unknown = 2, ///< The request may have run, so the key is not granted again until the claim expires.
};

/** Identifies one attempt to run a request. */
struct AttemptKey {
    std::string entryVm; ///< Name of the entry VM that runs it.
    uint64_t incarnation = 0; ///< Incarnation of that VM's process.
    uint64_t sequence = 0; ///< Number of the attempt, increasing within the incarnation.
    bool operator==(const AttemptKey&) const = default;
    bool operator<(const AttemptKey& other) const { return std::tie(this->entryVm, this->incarnation, this->sequence) < std::tie(other.entryVm, other.incarnation, other.sequence); }
};

/** Claim of an idempotency key by one attempt. */
struct ClaimRow {
    std::string service; ///< Name of the service.
    std::string key; ///< Idempotency key, unique within the service.
    std::string fingerprint; ///< Fingerprint of the request, 16 bytes.
    AttemptKey attempt; ///< Attempt that holds the claim.
    uint32_t state = 0; ///< Value of a ClaimState.
    uint64_t retentionMs = 0; ///< Time for which the claim is kept after each change of its state.
    uint64_t expiresAtMs = 0; ///< Log time at which it expires.
    LogIndex index = 0; ///< Index of the log entry that granted it.
    uint32_t answerStatus = 0; ///< HTTP status of the recorded answer.
    std::string answerType; ///< Content type of the recorded answer.
    std::string answerBody; ///< Body of the recorded answer.
    bool answerComplete = false; ///< Whether the whole body is recorded.
};

/** Tombstone of a released attempt. A claim of this attempt that arrives later or again is refused. */
struct ReleasedAttemptRow {
    AttemptKey attempt; ///< Attempt that was released.
    uint64_t expiresAtMs = 0; ///< Log time at which the tombstone expires.
};

/** Newest recorded incarnation of an entry VM. */
struct EntryVmRow {
    std::string name; ///< Name of the VM.
    uint64_t incarnation = 0; ///< Newest incarnation; claims of older ones are refused.
    uint64_t seenAtMs = 0; ///< Log time of the last granted claim or recorded departure of the VM.
};

/** Grants at most one attempt the right to run a request with an idempotency key, and records the outcome. */
class ClaimTable {
public:
    /** Validates a claim against the current state. A refusal because of a finished claim holds the recorded answer. */
    Decision decide(const wire::Claim& command, const ControlRules& rules) const;
    /** Validates an outcome: finished, unknown, or not run, which releases the claim. */
    Decision decide(const wire::FinishClaim& command) const;
    /** Validates the departure of an entry VM. */
    Decision decide(const wire::EntryVmGone& command) const;

    /** Grants a claim for which decide() returned acceptance. */
    void apply(LogIndex index, uint64_t nowMs, const wire::Claim& command);
    /** Records the outcome of a claim, or releases the claim if the request did not run. */
    void apply(uint64_t nowMs, const wire::FinishClaim& command, const ControlRules& rules);
    /** Sets running claims of incarnations older than the one in the command to ClaimState::Unknown. */
    void apply(uint64_t nowMs, const wire::EntryVmGone& command);

    /**
     * Removes expired claims, tombstones and entry VMs. An expired running claim becomes ClaimState::Unknown and is kept
     * for its retention once more.
     */
    void expire(uint64_t nowMs);

    /** Returns whether expire() would change a claim or a tombstone. */
    bool anyDue(uint64_t nowMs) const;

    const std::map<NamePair, ClaimRow>& claims() const { return this->rows; } ///< Claims by service and key.
    const std::map<AttemptKey, ReleasedAttemptRow>& releasedAttempts() const { return this->tombstones; } ///< Tombstones by attempt.
    const std::map<std::string, EntryVmRow>& entryVms() const { return this->vms; } ///< Entry VMs by name.

    bool restore(ClaimRow row); ///< Adds a claim from a snapshot. Returns false if it is malformed or already present.
    bool restore(ReleasedAttemptRow row); ///< Adds a tombstone from a snapshot. Returns false if it is malformed or already present.
    bool restore(EntryVmRow row); ///< Adds an entry VM from a snapshot. Returns false if it is already present.

private:
    void storeRow(ClaimRow row);
    void removeRow(const NamePair& key);
    void storeTombstone(ReleasedAttemptRow row);
    void recordIncarnation(const std::string& entryVm, uint64_t incarnation, uint64_t nowMs);
    void setState(ClaimRow row, ClaimState state, uint64_t nowMs);

    std::map<NamePair, ClaimRow> rows; ///< Claims by service and key.
    std::map<AttemptKey, ReleasedAttemptRow> tombstones; ///< Tombstones of released attempts.
    std::map<std::string, EntryVmRow> vms; ///< Entry VMs by name.
    std::map<std::string, std::set<NamePair>> runningClaims; ///< Keys of running claims by entry VM.
    OrderedIndex<NamePair> expiries; ///< Keys of claims by expiry in log time.
    OrderedIndex<AttemptKey> tombstoneExpiries; ///< Released attempts by expiry of their tombstone in log time.
};

} // namespace kingcup
