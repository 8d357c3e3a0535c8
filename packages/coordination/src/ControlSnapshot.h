/** @file ControlSnapshot.h Versioned serialization of the control state. */
#pragma once

#include "ControlTables.h"

#include <string>
#include <string_view>

namespace kingcup {

constexpr uint32_t snapshotVersion = 4; ///< Format version that is written. Version 2 added the acceptance time of manifests, version 3 the instances of targets, version 4 the zones out of use.

/** Returns the serialized state. @param version Format version; only tests write older ones. */
std::string saveTables(const ControlTables& tables, uint32_t version = snapshotVersion);

/** Reads a state into empty tables. On failure returns JournalDamaged or SnapshotVersion and may leave the tables partly filled. */
ResultCode loadTables(std::string_view data, ControlTables& tables);

/** Returns a snapshot body followed by its checksum. */
std::string appendChecksum(const std::string& body);

} // namespace kingcup
