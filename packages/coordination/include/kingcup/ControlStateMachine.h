/** @file ControlStateMachine.h State machine of the replicated log: manifest, targets, claims, quarantine of requests that crash targets, and zones out of use. */
#pragma once

#include "kingcup/ReplicatedLogTypes.h"
#include "kingcup/ResultCode.h"

#include <map>
#include <memory>
#include <string>

namespace kingcup {

/** Availability zones out of use by name, with the log time in milliseconds of the command that took them out of use. */
using ZonesOutOfUse = std::map<std::string, uint64_t>;

/** Rules of the state machine. All are enabled except in tests, which disable one rule at a time; the history checker must then find a violation. */
struct ControlRules {
    bool claimsAreExclusive = true; ///< A claim of a key that another attempt holds is refused.
    bool unknownIsFinal = true; ///< A key whose claim has an unknown outcome is not granted again.
    bool releaseLeavesTombstone = true; ///< A claim that arrives after its own release is refused.
    bool manifestNumbersGrow = true; ///< A manifest with a lower number than the one in force is refused.
    bool equalNumbersConflict = true; ///< A different manifest with the number of the one in force is refused.
    bool checkIncarnations = true; ///< A change of a target is refused if a newer incarnation or a later state is recorded.
};

/** Deterministic state machine: the same commands produce the same state and results on every replica. Not thread-safe. */
class ControlStateMachine {
public:
    explicit ControlStateMachine(ControlRules rules = {});
    ~ControlStateMachine();

    /** Returns the result that applying a command now would have, without changing the state. The leader calls it before it proposes a command. */
    wire::CommandResult check(const wire::Command& command) const;

    /** Applies the command of a log entry, or refuses it without a change. Changed rows receive the log index as modification index. */
    wire::CommandResult apply(LogIndex index, const wire::Command& command);

    /** Returns the configuration changes after a log index, or a full copy if the index is 0 or tombstones after it have been deleted. */
    wire::ConfigurationChanges changesSince(LogIndex index) const;

    /** Returns the log index of the newest change that entry VMs receive; 0 for none. */
    LogIndex configurationIndex() const;

    /** Returns the log index of the last applied entry. */
    LogIndex appliedIndex() const;

    /** Serializes the state in the current version of the snapshot format. */
    std::string save() const;

    /** Replaces the state by a saved one. Returns JournalDamaged or SnapshotVersion on failure, and then keeps the current state. */
    ResultCode load(const std::string& data);

    /** Sets the incarnation of a record that has an instance name but no incarnation. Returns false if a newer instance has replaced this one. */
    bool assignIncarnation(wire::TargetRecord& record) const;

    /** Returns the record of a target, also of a gone one while its tombstone is kept, or null. The next apply() or load() invalidates the pointer. */
    const wire::TargetRecord* findTarget(const std::string& service, const std::string& address) const;

    /** Returns all targets that are not gone. */
    std::vector<wire::TargetRecord> targets() const;

    /** Returns the zones whose targets must get no requests. */
    ZonesOutOfUse zonesOutOfUse() const;

    uint64_t logTimeMs() const; ///< Highest log time of the applied commands, in milliseconds.
    uint64_t manifestNumber() const; ///< Number of the manifest in force; 0 for none.
    const std::string& manifestDigest() const; ///< Digest of the manifest in force; empty for none.
    std::vector<wire::ServiceDocument> serviceDocuments() const; ///< Documents of the manifest in force, ordered by name.

    /** Returns the text of a document in force, or null. The next apply() or load() invalidates the pointer. */
    const std::string* findDocument(const std::string& name) const;

    /** Returns a summary of the state as JSON, with counts in place of long lists. */
    std::string dump() const;

    /** Returns a hash of the saved state, which is equal on all replicas that have applied the same entries. */
    uint64_t stateDigest() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace kingcup
