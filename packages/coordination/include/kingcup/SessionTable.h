/** @file SessionTable.h Soft state of a leader: leases of entry VMs and heartbeats of targets. It is not replicated. */
#pragma once

#include "kingcup/ReplicatedLogTypes.h"

#include <map>
#include <string>
#include <vector>

namespace kingcup {

/** Lease and confirmed configuration of one entry VM, as last reported to the leader. */
struct EntrySession {
    std::string entryVm; ///< Name of the VM.
    uint64_t incarnation = 0; ///< Incarnation of its process.
    LogIndex heldIndex = 0; ///< Log index of the configuration that it confirmed.
    uint64_t heldManifestNumber = 0; ///< Number of the manifest that it confirmed.
    TimePoint leaseEnd {}; ///< Time until which the leader assumes that it holds a lease.
};

/** Progress of a manifest on the entry VMs. */
struct InForceStatus {
    uint32_t confirmed = 0; ///< Entry VMs among `total` that confirmed the number or a higher one.
    uint32_t total = 0; ///< Entry VMs that may still hold a lease.
    bool isComplete = false; ///< Whether no entry VM with a lease can serve an older manifest.
};

/** Stores the leases of entry VMs and the heartbeats of targets. A new leader calls becomeLeader() first. Not thread-safe. */
class SessionTable {
public:
    /**
     * @param leaseTerm Duration of an entry VM's lease. @param targetLease Time without a heartbeat after which a target
     * has timed out.
     */
    SessionTable(Milliseconds leaseTerm, Milliseconds targetLease);

    /**
     * Discards all state and starts a full target lease for each given target. For one lease term, entry VMs without a
     * session may hold leases of the former leader.
     */
    void becomeLeader(TimePoint now, const std::vector<wire::TargetRecord>& targets);

    /**
     * Records a session request and renews the lease. The lease counts from the arrival of the request, which is later than its
     * sending, so it never ends here before it ends on the entry VM. Requests of older incarnations are ignored.
     */
    void renewLease(const wire::SessionRequest& request, TimePoint now);

    /** Removes the sessions whose lease has ended. Returns those that were not replaced by a newer incarnation. */
    std::vector<EntrySession> takeExpiredSessions(TimePoint now);

    /**
     * Returns the number of entry VMs that may serve, by which shared limits are divided: those that were in contact within the isolation
     * term, and for that time after becomeLeader() at least the largest number that a session request has stated. 0 while unknown,
     * which is for one lease term after becomeLeader().
     */
    uint32_t liveEntryVms(TimePoint now) const;

    /**
     * Returns the number of entry VMs that this leader has heard of: those that were in contact, or the largest number that
     * a session request has stated. It replaces liveEntryVms() while that is unknown and may be too small then.
     */
    uint32_t estimatedEntryVms(TimePoint now) const;

    /** Returns the progress of a manifest. It is never complete within one lease term after becomeLeader(). */
    InForceStatus inForceStatus(uint64_t manifestNumber, TimePoint now) const;

    /**
     * Records a heartbeat of a target. State TARGET_GONE removes the target; a caller passes it also when an applied
     * command removed the target. Older incarnations are ignored.
     */
    void recordHeartbeat(const wire::TargetLoad& load, TimePoint now);

    /** Returns the targets whose lease has ended and starts a new lease for each, so that a lost command is proposed again. */
    std::vector<wire::TargetRecord> takeTimedOutTargets(TimePoint now);

    /**
     * Returns the observations with the highest information value first, within a size.
     * @param maxBytes Limit for their encoded size as a repeated field of the answer.
     */
    std::vector<wire::TargetLoad> loadDigest(size_t maxBytes, TimePoint now) const;

    const std::map<std::string, EntrySession>& sessions() const; ///< Sessions by VM name, without those of replaced incarnations.

private:
    struct TargetHeartbeat {
        wire::TargetLoad load; ///< Latest heartbeat, or only the record of a target that has sent none to this leader.
        TimePoint received {}; ///< Its arrival, or the start of a new lease without a heartbeat.
        bool isObserved = false; ///< Whether the load was reported in the current lease of the target.
    };
    /** Observation of a target's load with its information value for other VMs. */
    struct RankedLoad {
        double score = 0; ///< Information value; higher comes first.
        wire::TargetLoad load; ///< Observation with its current age.
    };
    std::vector<RankedLoad> rankedLoads(TimePoint now) const;
    std::vector<EntrySession> leaseHolders(TimePoint now) const;
    uint32_t servingEntryVms(TimePoint now) const;

    Milliseconds leaseTerm; ///< Duration of an entry VM's lease.
    Milliseconds targetLease; ///< Time without a heartbeat after which a target has timed out.
    TimePoint leaderSince {}; ///< Time at which this VM became the leader.
    uint32_t statedEntryVms = 0; ///< Largest number of live entry VMs that the first request of a VM has stated to this leader.
    std::map<std::string, EntrySession> entrySessions; ///< Session of the newest incarnation, by VM name.
    std::map<std::string, TimePoint> leaseEnds; ///< End of the latest lease of each entry VM that may serve, also after it has expired, by VM name.
    std::vector<EntrySession> replacedSessions; ///< Sessions of older incarnations that may still hold a lease.
    std::map<std::pair<std::string, std::string>, TargetHeartbeat> heartbeats; ///< Targets by service and address.
};

} // namespace kingcup
