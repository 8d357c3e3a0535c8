/** @file ZonePlacement.h Feeds ZoneTransfer from a routing table and applies its decision to a choice of a target. */
#pragma once

#include "TargetChooser.h"

#include "kingcup/ZoneTransfer.h"

#include <atomic>
#include <mutex>
#include <nlohmann/json.hpp>
#include <span>
#include <string>

namespace kingcup {

/** Zone transfer of one router. Thread-safe. */
class ZonePlacement {
public:
    explicit ZonePlacement(const ZoneTransferCosts& costs)
        : transfer(costs)
    {
    }

    /** Updates the share if the last update is at least 50 ms ago. @param workMs Usual duration of a request at a target; 0: unknown. */
    void refresh(const RoutingTable& table, double workMs, double nowMs);

    /** Sets in a choice whether targets of other zones are considered, and at which cost. */
    void apply(Choice& choice) const;

    /** Records the target to which a choice led. */
    void recordChoice(const Choice& choice, const RoutingEntry& entry);

    void recordBytes(double bytes) { this->transfer.recordBytes(bytes); }

    ZoneTransferState state() const { return this->transfer.state(); }

    /** Returns the state as JSON, for operators. */
    nlohmann::json dump() const;

private:
    ZoneTransfer transfer;
    std::mutex updateMutex; ///< Serialises the updates of `transfer`.
    std::atomic<double> refreshedAtMs { neverMs };
};

/** Returns why a choice led to the zone of its target. */
ZoneReason zoneReasonOf(const Choice& choice, const RoutingEntry& entry);

} // namespace kingcup
