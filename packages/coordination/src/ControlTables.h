/** @file ControlTables.h The whole state that the replicated log decides. */
#pragma once

#include "ClaimTable.h"
#include "ManifestTable.h"
#include "SuspicionTable.h"
#include "TargetTable.h"

namespace kingcup {

/** Latest time that is taken over from a command (end of the year 9999). It keeps sums of times from overflowing. */
constexpr uint64_t maxLogTimeMs = 253402300799999;

/** Positions and time of the state. */
struct ControlPosition {
    LogIndex applied = 0; ///< Last applied entry.
    LogIndex configuration = 0; ///< Last entry that changed what entry VMs need to know.
    LogIndex forgotten = 0; ///< Highest index of a forgotten tombstone; holders of an older index need a full copy.
    uint64_t logTimeMs = 0; ///< Highest log time of a command; it never goes back when the leader changes.
};

/** All replicated tables. */
struct ControlTables {
    ControlPosition position; ///< Positions and time.
    ManifestTable manifest; ///< Manifest.
    TargetTable targets; ///< Targets.
    ClaimTable claims; ///< Claims.
    SuspicionTable suspicions; ///< Suspicions and quarantine.
};

} // namespace kingcup
