/** @file ControlTables.h Complete replicated state of the control VMs. */
#pragma once

#include "ClaimTable.h"
#include "ManifestTable.h"
#include "SuspicionTable.h"
#include "TargetTable.h"
#include "zones/ZoneTable.h"

namespace kingcup {

/** Upper limit of the log time of a command (end of the year 9999), so that sums of times do not overflow. */
constexpr uint64_t maxLogTimeMs = 253402300799999;

/** Log positions and log time of the state. */
struct ControlPosition {
    LogIndex appliedIndex = 0; ///< Index of the last applied entry.
    LogIndex configurationIndex = 0; ///< Index of the last entry that changed the configuration that entry VMs receive.
    LogIndex forgottenIndex = 0; ///< Highest modification index of a deleted tombstone. Entry VMs whose configuration is older need a full copy.
    uint64_t logTimeMs = 0; ///< Highest log time of an applied command; a new leader with an earlier clock does not set it back.
};

struct ControlTables {
    ControlPosition position;
    ManifestTable manifest;
    TargetTable targets;
    ClaimTable claims;
    SuspicionTable suspicions; ///< Suspected and quarantined requests.
    ZoneTable zones; ///< Availability zones out of use.
};

} // namespace kingcup
