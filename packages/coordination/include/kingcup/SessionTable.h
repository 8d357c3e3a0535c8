/** @file SessionTable.h The leader's soft state: leases of entry VMs and heartbeats of targets. */
#pragma once

#include "kingcup/ReplicatedLogTypes.h"

#include <map>
#include <string>
#include <vector>

namespace kingcup {

/** One entry VM as the leader sees it. */
struct EntrySession {
    std::string entryVm; ///< Name.
    uint64_t incarnation = 0; ///< Start of its process.
    LogIndex heldIndex = 0; ///< Configuration that it confirmed.
    uint64_t heldManifestNumber = 0; ///< Manifest that it confirmed.
    TimePoint leaseEnd {}; ///< Until when it may serve by itself.
};

/** How far a manifest is in force. */
struct InForce {
    uint32_t confirmed = 0; ///< Entry VMs that confirmed the number or a higher one.
    uint32_t total = 0; ///< Entry VMs whose lease may still run.
    bool complete = false; ///< Nobody can serve an older one any more.
};

/** Leases and heartbeats held by a leader. A new leader starts with becomeLeader(). Not thread-safe. */
class SessionTable {
public:
    /** @param leaseTerm Lease of an entry VM. @param targetLease Time without heartbeat after which a target is gone. */
    SessionTable(Milliseconds leaseTerm, Milliseconds targetLease);

    /** Gives every known target a full term, and assumes for one lease term that unknown entry VMs hold leases. */
    void becomeLeader(TimePoint now, const std::vector<wire::TargetRecord>& targets);

    /** Records a session request. The lease counts from its arrival, which is later than its sending. */
    void renew(const wire::SessionRequest& request, TimePoint now);

    /** Returns the sessions whose lease ended since the last call and forgets them. */
    std::vector<EntrySession> takeExpired(TimePoint now);

    /** Returns the number of live entry VMs, or 0 within one lease term of becoming leader. */
    uint32_t liveEntryVms(TimePoint now) const;

    /** Returns how far a manifest number is in force. */
    InForce inForce(uint64_t manifestNumber, TimePoint now) const;

    /** Records a heartbeat of a target. One with TARGET_GONE forgets the target; it is also given when a departure was applied. */
    void heartbeat(const wire::TargetLoad& load, TimePoint now);

    /** Returns the targets without heartbeat for the target lease and gives each another term, so that a lost command is proposed again. */
    std::vector<wire::TargetRecord> takeSilentTargets(TimePoint now);

    /** Returns the most informative observations within a size. @param maxBytes Encoded size. */
    std::vector<wire::TargetLoad> loadDigest(size_t maxBytes, TimePoint now) const;

    const std::map<std::string, EntrySession>& sessions() const; ///< By VM name.

private:
    struct TargetHeartbeat {
        wire::TargetLoad load; ///< Newest announcement.
        TimePoint received {}; ///< When it arrived.
        bool observed = false; ///< Whether it was announced to this leader.
    };
    /** An observation and how much it tells other VMs. */
    struct RankedLoad {
        double score = 0; ///< Higher is more informative.
        wire::TargetLoad load; ///< Observation with its age as of now.
    };
    std::vector<RankedLoad> rankedLoads(TimePoint now) const;
    std::vector<EntrySession> leaseHolders(TimePoint now) const;

    Milliseconds leaseTerm; ///< Lease of an entry VM.
    Milliseconds targetLease; ///< Lease of a target.
    TimePoint leaderSince {}; ///< When this VM became leader.
    std::map<std::string, EntrySession> entrySessions; ///< By VM name.
    std::vector<EntrySession> replacedSessions; ///< Of older incarnations whose lease may still run elsewhere.
    std::map<std::pair<std::string, std::string>, TargetHeartbeat> heartbeats; ///< By service and address.
};

} // namespace kingcup
