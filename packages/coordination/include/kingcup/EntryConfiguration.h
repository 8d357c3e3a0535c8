/** @file EntryConfiguration.h The configuration in force on an entry VM and the lease under which it serves. */
#pragma once

#include "kingcup/LogClock.h"
#include "kingcup/ManifestTypes.h"
#include "kingcup/ReplicatedLogTypes.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kingcup {

/** Immutable list of targets, ordered by address. Snapshots share it while it does not change. */
class TargetList {
public:
    TargetList()
        : records(std::make_shared<const std::vector<wire::TargetRecord>>())
    {
    }

    explicit TargetList(std::vector<wire::TargetRecord> records)
        : records(std::make_shared<const std::vector<wire::TargetRecord>>(std::move(records)))
    {
    }

    operator const std::vector<wire::TargetRecord>&() const { return *this->records; } ///< The records.
    auto begin() const { return this->records->begin(); } ///< First record.
    auto end() const { return this->records->end(); } ///< Past the last record.
    size_t size() const { return this->records->size(); } ///< Number of records.

    /** Returns whether both are one list, so that a user of the older one has nothing to update. */
    bool isShared(const TargetList& other) const { return this->records == other.records; }

private:
    std::shared_ptr<const std::vector<wire::TargetRecord>> records; ///< Never null.
};

/** Immutable copy of the configuration for the request path. */
struct ConfigurationSnapshot {
    LogIndex index = 0; ///< Log index up to which it is complete.
    uint64_t manifestNumber = 0; ///< Manifest in force.
    std::string manifestDigest; ///< Its digest.
    std::map<std::string, std::shared_ptr<const Service>> services; ///< By name.
    std::map<std::string, std::shared_ptr<const Route>> routes; ///< By document key.
    std::shared_ptr<const CallerLimits> callerLimits; ///< Null: those of the settings.
    std::map<std::string, TargetList> targets; ///< By service name; no gone ones.
    std::map<std::pair<std::string, std::string>, wire::Quarantine> quarantines; ///< By service and fingerprint.
};

/** Merges changes from control and keeps the lease. Not thread-safe; publishes immutable snapshots. */
class EntryConfiguration {
public:
    EntryConfiguration(std::string entryVm, uint64_t incarnation, std::string availabilityZone, Milliseconds leaseTerm);

    /** Builds the next session request. The lease of its answer counts from `now`. @param requestId Id under which it is sent. */
    wire::SessionRequest sessionRequest(uint64_t requestId, TimePoint now);

    /** Merges an answer. Returns whether the configuration changed. Answers without a known request id extend no lease. */
    bool receive(uint64_t requestId, const wire::SessionAnswer& answer, TimePoint now);

    /** Merges a push. Returns whether the configuration changed. Older or non-adjacent pushes change nothing. */
    bool receive(const wire::ConfigurationPush& push, TimePoint now);

    /** Returns whether this VM knows that its configuration is current. */
    bool leaseValid(TimePoint now) const;

    /** Returns the live entry VMs named in the last answer; 0 when not known or the lease has lapsed. */
    uint32_t liveEntryVms(TimePoint now) const;

    /** Returns the configuration in force. */
    std::shared_ptr<const ConfigurationSnapshot> snapshot() const;

    TimePoint leaseEnd() const; ///< End of the lease.

    const LogClock& logClock() const { return this->clock; } ///< Time of the log as of the newest changes.

private:
    /** What merging changes did. */
    enum class MergeResult {
        Refused, ///< Older than the configuration held, not adjacent, or not readable.
        Unchanged, ///< The configuration held is the one described.
        Changed, ///< A newer configuration is in force.
    };
    MergeResult merge(const wire::ConfigurationChanges& changes, TimePoint now);

    std::string entryVm; ///< Own name.
    uint64_t incarnation; ///< Start of this process.
    std::string availabilityZone; ///< Own zone.
    Milliseconds leaseTerm; ///< Upper bound of a lease.
    std::map<uint64_t, TimePoint> sentRequests; ///< When open session requests were sent.
    TimePoint leaseEndTime {}; ///< End of the lease.
    uint32_t liveVms = 0; ///< From the last answer.
    std::shared_ptr<const ConfigurationSnapshot> current; ///< In force.
    LogClock clock; ///< By which quarantines end.
};

} // namespace kingcup
