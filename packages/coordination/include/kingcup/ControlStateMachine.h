/** @file ControlStateMachine.h What the replicated log decides: manifest, targets, claims, crash containment. */
#pragma once

#include "kingcup/ReplicatedLogTypes.h"
#include "kingcup/ResultCode.h"

#include <memory>
#include <string>

namespace kingcup {

/** Test switches; each removes one rule, and the history checker must then find a violation. */
struct ControlRules {
    bool claimsAreExclusive = true; ///< A key in use is refused.
    bool unknownIsFinal = true; ///< A claim with unknown outcome is never granted again.
    bool releaseLeavesTombstone = true; ///< A release that overtakes its claim refuses the claim.
    bool manifestNumbersGrow = true; ///< A lower number is refused.
    bool equalNumbersConflict = true; ///< Another manifest with an equal number is refused.
    bool checkIncarnations = true; ///< Messages of old incarnations of targets change nothing.
};

/** Deterministic state machine: the same commands give the same state and results on every replica. Not thread-safe. */
class ControlStateMachine {
public:
    explicit ControlStateMachine(ControlRules rules = {});
    ~ControlStateMachine();

    /** Tells whether a command would be accepted now, without changing anything. Used before proposing. */
    wire::CommandResult check(const wire::Command& command) const;

    /** Checks and applies a command. The log index becomes the modification index of what it changes. */
    wire::CommandResult apply(LogIndex index, const wire::Command& command);

    /** Returns all configuration changes after an index; a full copy when that index is too old or 0. */
    wire::ConfigurationChanges changesSince(LogIndex index) const;

    /** Returns the index of the newest change that entry VMs need to know. */
    LogIndex configurationIndex() const;

    /** Returns the last applied index. */
    LogIndex appliedIndex() const;

    /** Saves the state in the current version of the table-described format. */
    std::string save() const;

    /** Loads a saved state. Returns JournalDamaged or SnapshotVersion on failure and then changes nothing. */
    ResultCode load(const std::string& data);

    /** Gives the next incarnation to a target that states an instance only. Returns false for an instance that was replaced. */
    bool assignIncarnation(wire::TargetRecord& record) const;

    /** Returns the record of a target, or null. */
    const wire::TargetRecord* findTarget(const std::string& service, const std::string& address) const;

    /** Returns all targets that are not gone. */
    std::vector<wire::TargetRecord> targets() const;

    uint64_t logTimeMs() const; ///< Newest time of an applied command.
    uint64_t manifestNumber() const; ///< Number in force; 0 for none.
    const std::string& manifestDigest() const; ///< Digest in force.
    std::vector<wire::ServiceDocument> serviceDocuments() const; ///< Ordered by name.

    /** Returns the state as JSON, with counts in place of long lists. */
    std::string dump() const;

    /** Returns a digest of the whole state; equal on replicas that applied the same entries. */
    uint64_t stateDigest() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace kingcup
