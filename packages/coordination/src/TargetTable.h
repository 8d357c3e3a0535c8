/** @file TargetTable.h Records of the targets and the order of their states. */
#pragma once

#include "ControlDecision.h"
#include "OrderedIndex.h"
#include "kingcup/ControlStateMachine.h"

#include <map>
#include <vector>

namespace kingcup {

/** One target or the tombstone of a gone one. */
struct TargetRow {
    wire::TargetRecord record; ///< Newest accepted record.
    LogIndex index = 0; ///< Last change.
    uint64_t goneAtMs = 0; ///< Log time when it went; 0: not gone.
    bool drained = false; ///< Whether its incarnation was draining before it went.
    std::string formerInstances; ///< Names of earlier incarnations, one a line, newest last.
};

/** Decides on state transitions of targets. */
class TargetTable {
public:
    /** Checks a command. */
    Decision decide(const wire::ChangeTarget& command, const ControlRules& rules) const;

    /**
     * Gives the next incarnation to a target that states an instance only. Returns false when that instance is known to
     * have been replaced, so that a delayed message does not bring it back.
     */
    bool assignIncarnation(wire::TargetRecord& record) const;

    /** Applies a command that decide() accepted. */
    void apply(LogIndex index, uint64_t nowMs, const wire::ChangeTarget& command);

    /** Adds the records that changed after an index, or all targets that are not gone. */
    void addChanges(LogIndex index, bool full, wire::ConfigurationChanges& changes) const;

    /** Forgets tombstones that are due. Returns the highest index among them, 0 for none. */
    LogIndex expire(uint64_t nowMs);

    /** Returns whether expire() would forget anything. */
    bool anyDue(uint64_t nowMs) const { return this->departures.hasKeyUpTo(nowMs); }

    const std::map<NamePair, TargetRow>& targets() const { return this->rows; } ///< By service and address, with tombstones.
    bool restore(TargetRow row); ///< Loads from a snapshot. Returns false for a repeated or malformed record.

private:
    void put(TargetRow row);

    std::map<NamePair, TargetRow> rows; ///< By service and address.
    OrderedIndex<NamePair> modified; ///< Keys by last change.
    OrderedIndex<NamePair> departures; ///< Keys of tombstones by expiry.
};

} // namespace kingcup
