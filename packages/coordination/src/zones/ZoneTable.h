/** @file ZoneTable.h Replicated record of the availability zones that operators took out of use. */
#pragma once

#include "../ControlDecision.h"
#include "../OrderedIndex.h"

#include <map>

namespace kingcup {

/** A zone out of use, or the tombstone of one that was restored. */
struct ZoneRow {
    std::string zone; ///< Name of the availability zone.
    bool isOutOfUse = false; ///< False for a tombstone.
    uint64_t changedAtMs = 0; ///< Log time of the command that took it out of use or restored it.
    LogIndex index = 0; ///< Log index of that command.
};

/**
 * Zones out of use, and the decisions on commands that change them. Load: a few commands of operators in an hour, repeated until they are
 * answered; rows for at most a few tens of zones.
 */
class ZoneTable {
public:
    /** Validates a command. A repeated one is accepted without a change, also for a zone that no target has. */
    Decision decide(const wire::ChangeZone& command) const;

    /** Applies a command for which decide() returned acceptance. */
    void apply(LogIndex index, uint64_t nowMs, const wire::ChangeZone& command);

    /** Appends the zones that changed after a log index, including restored ones; with `full`, all zones out of use. */
    void addChanges(LogIndex index, bool full, wire::ConfigurationChanges& changes) const;

    /** Removes expired tombstones. Returns their highest log index; 0 if none expired. */
    LogIndex expire(uint64_t nowMs);

    /** Returns whether expire() would remove a tombstone. */
    bool anyDue(uint64_t nowMs) const { return this->tombstoneExpiries.hasKeyUpTo(nowMs); }

    const std::map<std::string, ZoneRow>& zones() const { return this->rows; } ///< Rows by name, including tombstones.
    bool restore(ZoneRow row); ///< Adds a row from a snapshot. Returns false if it is malformed or already present.

private:
    void storeRow(ZoneRow row);

    std::map<std::string, ZoneRow> rows; ///< Zones out of use and tombstones by name.
    OrderedIndex<std::string> modified; ///< Names by the log index of their last change.
    OrderedIndex<std::string> tombstoneExpiries; ///< Names of restored zones by expiry in log time.
};

} // namespace kingcup
