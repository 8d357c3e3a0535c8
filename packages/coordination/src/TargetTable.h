/** @file TargetTable.h Replicated records of targets, and the transitions between their states. */
#pragma once

#include "ControlDecision.h"
#include "OrderedIndex.h"
#include "kingcup/ControlStateMachine.h"

#include <map>
#include <vector>

namespace kingcup {

/** Record of a target, or the tombstone of one that is gone. */
struct TargetRow {
    wire::TargetRecord record; ///< Latest accepted record.
    LogIndex index = 0; ///< Log index of the last change.
    uint64_t goneAtMs = 0; ///< Log time at which its state became TARGET_GONE; 0: not gone.
    bool drained = false; ///< Whether its incarnation announced its departure or was draining before it was gone. It cannot return then.
    std::string formerInstances; ///< Instance names of earlier incarnations, one a line, newest last.
};

/** Validates and applies state transitions of targets. */
class TargetTable {
public:
    /** Validates a command against the current state. */
    Decision decide(const wire::ChangeTarget& command, const ControlRules& rules) const;

    /**
     * Assigns an incarnation to a record that has only an instance name: that of the recorded instance, or else the next one
     * of its address. Returns false if another instance has replaced this one, so that a delayed message does not restore it.
     */
    bool assignIncarnation(wire::TargetRecord& record) const;

    /** Applies a command for which decide() returned acceptance. */
    void apply(LogIndex index, uint64_t nowMs, const wire::ChangeTarget& command);

    /** Appends the records that changed after a log index, including tombstones; with `full`, all targets that are not gone. */
    void addChanges(LogIndex index, bool full, wire::ConfigurationChanges& changes) const;

    /** Removes expired tombstones. Returns their highest log index; 0 if none expired. */
    LogIndex expire(uint64_t nowMs);

    /** Returns whether expire() would remove a tombstone. */
    bool anyDue(uint64_t nowMs) const { return this->tombstoneExpiries.hasKeyUpTo(nowMs); }

    const std::map<NamePair, TargetRow>& targets() const { return this->rows; } ///< Rows by service and address, including tombstones.
    bool restore(TargetRow row); ///< Adds a row from a snapshot. Returns false if it is malformed or already present.

private:
    void storeRow(TargetRow row);

    std::map<NamePair, TargetRow> rows; ///< Targets and tombstones by service and address.
    OrderedIndex<NamePair> modified; ///< Keys of rows by the log index of their last change.
    OrderedIndex<NamePair> tombstoneExpiries; ///< Keys of tombstones by expiry in log time.
};

} // namespace kingcup
