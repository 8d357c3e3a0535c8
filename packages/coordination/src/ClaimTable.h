/** @file ClaimTable.h Claims of idempotency keys, which keep a request from running twice. */
#pragma once

#include "ControlDecision.h"
#include "OrderedIndex.h"
#include "kingcup/ControlStateMachine.h"

#include <map>
#include <set>
#include <tuple>

namespace kingcup {

/** State of a claim. The numbers are part of the snapshot format. */
enum class ClaimState : uint32_t {
    Running = 0, ///< Granted; no outcome yet.
    Finished = 1, ///< Ran; the answer is recorded.
    Unknown = 2, ///< May have run; never granted again.
};

/** Names one attempt to run a request. */
struct AttemptKey {
    std::string entryVm; ///< VM that runs it.
    uint64_t incarnation = 0; ///< Start of its process.
    uint64_t sequence = 0; ///< Grows within the incarnation.
    bool operator==(const AttemptKey&) const = default;
    bool operator<(const AttemptKey& other) const { return std::tie(this->entryVm, this->incarnation, this->sequence) < std::tie(other.entryVm, other.incarnation, other.sequence); } ///< Orders maps.
};

/** One claim. */
struct ClaimRow {
    std::string service; ///< Service.
    std::string key; ///< Idempotency key.
    std::string fingerprint; ///< Of the request, 16 bytes.
    AttemptKey attempt; ///< Owner.
    uint32_t state = 0; ///< ClaimState.
    uint64_t retentionMs = 0; ///< How long it is kept after each change of state.
    uint64_t expiresAtMs = 0; ///< Log time.
    LogIndex index = 0; ///< Entry that granted it.
    uint32_t answerStatus = 0; ///< Recorded answer.
    std::string answerType; ///< Recorded content type.
    std::string answerBody; ///< Recorded body.
    bool answerComplete = false; ///< Whether the body is recorded.
};

/** Tombstone of a released attempt: its claim is refused when it comes late or again. */
struct ReleasedRow {
    AttemptKey attempt; ///< Released attempt.
    uint64_t expiresAtMs = 0; ///< Log time.
};

/** Newest incarnation seen of an entry VM. */
struct EntryVmRow {
    std::string name; ///< VM.
    uint64_t incarnation = 0; ///< Newest.
    uint64_t seenAtMs = 0; ///< Log time of its last claim or departure.
};

/** Decides who may run a request that must not run twice. */
class ClaimTable {
public:
    /** Checks a claim. */
    Decision decide(const wire::Claim& command, const ControlRules& rules) const;
    /** Checks a finish or release. */
    Decision decide(const wire::FinishClaim& command) const;
    /** Checks the departure of an incarnation of an entry VM. */
    Decision decide(const wire::EntryVmGone& command) const;

    /** Grants a claim that decide() accepted. */
    void apply(LogIndex index, uint64_t nowMs, const wire::Claim& command);
    /** Records an outcome or releases. */
    void apply(uint64_t nowMs, const wire::FinishClaim& command, const ControlRules& rules);
    /** Marks running claims of older incarnations as unknown. */
    void apply(uint64_t nowMs, const wire::EntryVmGone& command);

    /** Forgets what is due. A running claim first becomes unknown and is kept for another retention. */
    void expire(uint64_t nowMs);

    /** Returns whether expire() would change anything. */
    bool anyDue(uint64_t nowMs) const;

    const std::map<NamePair, ClaimRow>& claims() const { return this->rows; } ///< By service and key.
    const std::map<AttemptKey, ReleasedRow>& released() const { return this->tombstones; } ///< By attempt.
    const std::map<std::string, EntryVmRow>& entryVms() const { return this->vms; } ///< By name.

    bool restore(ClaimRow row); ///< Loads from a snapshot. Returns false for a repeated or malformed claim.
    bool restore(ReleasedRow row); ///< Loads from a snapshot. Returns false for a repeated attempt.
    bool restore(EntryVmRow row); ///< Loads from a snapshot. Returns false for a repeated name.

private:
    void put(ClaimRow row);
    void remove(const NamePair& key);
    void release(ReleasedRow row);
    void see(const std::string& entryVm, uint64_t incarnation, uint64_t nowMs);
    void setState(ClaimRow row, ClaimState state, uint64_t nowMs);

    std::map<NamePair, ClaimRow> rows; ///< By service and key.
    std::map<AttemptKey, ReleasedRow> tombstones; ///< By attempt.
    std::map<std::string, EntryVmRow> vms; ///< By name.
    std::map<std::string, std::set<NamePair>> running; ///< Keys of running claims by entry VM.
    OrderedIndex<NamePair> expiries; ///< Claims by expiry.
    OrderedIndex<AttemptKey> tombstoneExpiries; ///< Released attempts by expiry.
};

} // namespace kingcup
