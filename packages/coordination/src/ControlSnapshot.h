/** @file ControlSnapshot.h Versioned format in which the control state is stored. */
#pragma once

#include "ControlTables.h"

#include <string>
#include <string_view>

namespace kingcup {

constexpr uint32_t snapshotVersion = 3; ///< Version that is written. Version 2 added the time at which a manifest was accepted, version 3 the instances of targets.

/** Writes a state. @param version Older versions are for tests of loading. */
std::string saveTables(const ControlTables& tables, uint32_t version = snapshotVersion);

/** Reads a state into empty tables. Returns JournalDamaged or SnapshotVersion on failure. */
ResultCode loadTables(std::string_view data, ControlTables& tables);

/** Returns the body with its checksum appended. */
std::string sealSnapshot(const std::string& body);

} // namespace kingcup
