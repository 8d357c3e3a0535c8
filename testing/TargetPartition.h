/** @file TargetPartition.h Cuts entry VMs off from all targets; see transport/src/SimulatedPartition.h. */
#pragma once

#include "testing/Deployment.h"
#include "testing/Socket.h"

#include <string>
#include <vector>

namespace kingcup::testing {

/** Address whose connections are neither accepted nor refused. */
class SilentAddress {
public:
    SilentAddress();

    std::string text() const { return localAddress(this->listener); } ///< As host:port.

private:
    Socket listener; ///< Accepts nothing.
    Socket filler; ///< Fills its queue, so that further connections get no answer.
};

/** Returns an address at which nothing listens. */
std::string refusingAddress();

/** Diverts the new connections of entry VMs to targets while it exists. A process that is started later is not cut off. */
class TargetPartition {
public:
    /** @param prefix Value of KINGCUP_PARTITION_FILE of the processes. @param destination Where the connections go instead, as host:port. */
    TargetPartition(const std::string& prefix, const std::vector<Vm*>& vms, const std::string& destination);
    ~TargetPartition();
    TargetPartition(const TargetPartition&) = delete;
    TargetPartition& operator=(const TargetPartition&) = delete;

private:
    std::vector<std::string> files; ///< One per process.
};

} // namespace kingcup::testing
