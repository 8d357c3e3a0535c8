/** @file ChangesCache.h Configuration changes in the form in which they are sent to many entry VMs. */
#pragma once

#include "kingcup/ControlStateMachine.h"

#include <map>

namespace kingcup {

/** Returns the changes in compressed form if that is worthwhile, otherwise as they are. The log time stays outside. */
wire::ConfigurationChanges compressChanges(const wire::ConfigurationChanges& changes);

/** Returns the changes that compressChanges() was given; empty if they are malformed. */
std::optional<wire::ConfigurationChanges> decompressChanges(const wire::ConfigurationChanges& changes);

/**
 * Keeps the changes after an index until the configuration changes. After a loss of power hundreds of entry VMs ask for the whole
 * configuration at once, and a push goes to all of them with the same content; it is collected and compressed only once.
 * Not thread-safe.
 */
class ChangesCache {
public:
    /** Returns the changes of the state machine after an index, compressed. The reference is valid until the next call. */
    const wire::ConfigurationChanges& changesSince(LogIndex index, const ControlStateMachine& stateMachine);

private:
    LogIndex configurationIndex = 0; ///< Configuration to which the rows belong.
    std::map<LogIndex, wire::ConfigurationChanges> rows; ///< Changes by the index after which they begin.
};

} // namespace kingcup
