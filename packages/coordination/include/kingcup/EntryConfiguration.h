/** @file EntryConfiguration.h Configuration in force on an entry VM, and the lease under which it serves. */
#pragma once

#include "kingcup/LogClock.h"
#include "kingcup/ManifestParser.h"
#include "kingcup/ManifestTypes.h"
#include "kingcup/ReplicatedLogTypes.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kingcup {

/** Immutable list of targets, ordered by address. Consecutive snapshots share it until one of its targets changes. */
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

    operator const std::vector<wire::TargetRecord>&() const { return *this->records; }
    auto begin() const { return this->records->begin(); }
    auto end() const { return this->records->end(); }
    size_t size() const { return this->records->size(); }

    /** Returns whether both share the same records in memory, so that a user of one has nothing to update from the other. */
    bool sharesRecordsWith(const TargetList& other) const { return this->records == other.records; }

private:
    std::shared_ptr<const std::vector<wire::TargetRecord>> records; ///< Never null.
};

/** Immutable copy of the configuration for the request path. */
struct ConfigurationSnapshot {
    LogIndex index = 0; ///< Log index up to which it is complete.
    uint64_t manifestNumber = 0; ///< Number of the manifest in force; 0: none.
    std::string manifestDigest; ///< Digest of that manifest.
    std::map<std::string, std::shared_ptr<const Service>> services; ///< Services by name.
    std::map<std::string, std::shared_ptr<const Route>> routes; ///< Routes by document key.
    std::map<std::string, std::shared_ptr<const Organisation>> organisations; ///< Organisations by document key; empty: requests need no key.
    std::set<std::string> zonesOutOfUse; ///< Availability zones whose targets get no requests.
    std::shared_ptr<const CallerLimits> callerLimits; ///< Limits of the manifest; null: those of the settings apply.
    std::map<std::string, TargetList> targets; ///< Targets by service name, without those that are gone. No list is empty.
    std::map<std::pair<std::string, std::string>, wire::Quarantine> quarantines; ///< Suspicions and quarantines by service and fingerprint.
};

/**
 * Merges configuration changes of the control VMs into immutable snapshots and tracks the lease. Not thread-safe; snapshots
 * may be read by any thread.
 */
class EntryConfiguration {
public:
    /** Called when a document of received changes cannot be read, so that the configuration in force stays. */
    using UnreadableHook = std::function<void(const std::string& document, const DocumentError& error)>;

    EntryConfiguration(std::string entryVm, uint64_t incarnation, std::string availabilityZone, Milliseconds leaseTerm);

    /**
     * Creates a session request and records its sending. A lease granted by its answer counts from `now`.
     * @param requestId Id under which the request is sent.
     */
    wire::SessionRequest createSessionRequest(uint64_t requestId, TimePoint now);

    /**
     * Merges an answer. Returns whether the configuration changed. The lease is extended once per recorded request, and
     * only by an answer whose changes were not refused.
     */
    bool receiveAnswer(uint64_t requestId, const wire::SessionAnswer& answer, TimePoint now);

    /**
     * Merges a push. Returns whether the configuration changed. Pushes that are older than the configuration, or start
     * after its index, are ignored.
     */
    bool receivePush(const wire::ConfigurationPush& push, TimePoint now);

    /** Returns whether this VM holds a lease, and with it the assurance that its configuration is current. */
    bool isLeaseValid(TimePoint now) const;

    /**
     * Returns the number of live entry VMs in the answer that last extended the lease; 0 if unknown or if the lease has
     * expired.
     */
    uint32_t liveEntryVms(TimePoint now) const;

    std::shared_ptr<const ConfigurationSnapshot> snapshot() const; ///< Configuration in force; never null.

    TimePoint leaseEnd() const; ///< End of the latest lease, which may have expired.

    /**
     * Returns when the latest session request was sent that a leader has answered and whose changes are merged; empty before the
     * first one. The configuration holds every manifest that was acknowledged before this time.
     */
    std::optional<TimePoint> lastConfirmedRequest() const { return this->lastConfirmed; }

    /** Sets the hook that reports unreadable documents, once for each index of a configuration. */
    void setUnreadableHook(UnreadableHook hook) { this->unreadableHook = std::move(hook); }

    const LogClock& logClock() const { return this->clock; } ///< Time of the replicated log, advanced by received changes.

private:
    /** Result of merging changes. */
    enum class MergeResult {
        Refused, ///< The changes are older than the current configuration, start after its index, or hold an invalid document.
        Unchanged, ///< The changes end at the index of the current configuration.
        Changed, ///< A newer configuration is in force.
    };
    MergeResult merge(const wire::ConfigurationChanges& received, TimePoint now);
    void reportUnreadable(LogIndex index, const std::string& document, const DocumentError& error);

    std::string entryVm; ///< Name of this VM.
    uint64_t incarnation; ///< Incarnation of this process.
    std::string availabilityZone; ///< Availability zone of this VM.
    Milliseconds leaseTerm; ///< Upper limit for the duration of a lease.
    std::map<uint64_t, TimePoint> sentRequests; ///< Send times of session requests without an answer, by request id.
    TimePoint leaseEndTime {}; ///< End of the latest lease.
    std::optional<TimePoint> lastConfirmed; ///< Send time of the latest confirmed session request.
    uint32_t liveVms = 0; ///< Number of live entry VMs in the answer that last extended the lease.
    std::shared_ptr<const ConfigurationSnapshot> current; ///< Configuration in force; never null.
    UnreadableHook unreadableHook; ///< Empty: nothing is reported.
    LogIndex unreadableIndex = 0; ///< Index of the configuration that was reported last.
    LogClock clock; ///< Time of the replicated log, by which quarantines expire.
};

} // namespace kingcup
