/** @file SessionTable.cpp Leases of entry VMs and heartbeats of targets. */
#include "kingcup/SessionTable.h"

#include "kingcup/EntryVmCount.h"

#include <algorithm>
#include <cmath>
#include <google/protobuf/io/coded_stream.h>
#include <iterator>

namespace kingcup {

namespace {

constexpr double observationHalfLifeMs = 500; ///< Age at which the information value of an observation has halved.

/** Returns the number of requests in flight per slot. A target without slots counts as one slot. */
double utilization(const wire::TargetLoad& load)
{
    return static_cast<double>(load.in_flight()) / std::max(load.target().slots(), 1u);
}

/** Returns the encoded size as an element of a repeated message field whose tag takes one byte. */
size_t encodedSize(const wire::TargetLoad& load)
{
    size_t size = load.ByteSizeLong();
    return 1 + google::protobuf::io::CodedOutputStream::VarintSize64(size) + size;
}

} // namespace

SessionTable::SessionTable(Milliseconds leaseTerm, Milliseconds targetLease)
    : leaseTerm(leaseTerm)
    , targetLease(targetLease)
{
}

void SessionTable::becomeLeader(TimePoint now, const std::vector<wire::TargetRecord>& targets)
{
    this->leaderSince = now;
    this->statedEntryVms = 0;
    this->entrySessions.clear();
    this->replacedSessions.clear();
    this->leaseEnds.clear();
    this->heartbeats.clear();
    for (const wire::TargetRecord& target : targets) {
        TargetHeartbeat& heartbeat = this->heartbeats[{ target.service(), target.address() }];
        *heartbeat.load.mutable_target() = target;
        heartbeat.received = now;
    }
}

void SessionTable::renewLease(const wire::SessionRequest& request, TimePoint now)
{
    EntrySession& session = this->entrySessions[request.entry_vm()];
    if (request.incarnation() < session.incarnation)
        return;
    if (!session.entryVm.empty() && request.incarnation() > session.incarnation) {
        // The older process may be isolated rather than stopped. It then serves until its lease ends.
        this->replacedSessions.push_back(session);
        session = {};
    }
    session.entryVm = request.entry_vm();
    session.incarnation = request.incarnation();
    session.heldIndex = std::max(session.heldIndex, request.held_index());
    session.heldManifestNumber = std::max(session.heldManifestNumber, request.held_manifest_number());
    session.leaseEnd = now + this->leaseTerm;
    auto [leaseEnd, isFirstRequest] = this->leaseEnds.insert_or_assign(request.entry_vm(), session.leaseEnd);
    // Later requests state the number that this leader has answered, which may count a replaced process.
    if (isFirstRequest)
        this->statedEntryVms = std::max(this->statedEntryVms, request.known_entry_vms());
}

std::vector<EntrySession> SessionTable::takeExpiredSessions(TimePoint now)
{
    std::erase_if(this->replacedSessions, [&](const EntrySession& session) { return session.leaseEnd <= now; });
    std::erase_if(this->leaseEnds, [&](const auto& entry) { return entry.second + isolationTerm <= now; });
    std::vector<EntrySession> expired;
    std::erase_if(this->entrySessions, [&](const auto& entry) {
        bool isExpired = entry.second.leaseEnd <= now;
        if (isExpired)
            expired.push_back(entry.second);
        return isExpired;
    });
    return expired;
}

/** Returns the sessions that may still hold a lease, including those of replaced incarnations. */
std::vector<EntrySession> SessionTable::leaseHolders(TimePoint now) const
{
    std::vector<EntrySession> holders;
    for (const auto& [vm, session] : this->entrySessions) {
        if (session.leaseEnd > now)
            holders.push_back(session);
    }
    auto isRunning = [&](const EntrySession& session) { return session.leaseEnd > now; };
    std::copy_if(this->replacedSessions.begin(), this->replacedSessions.end(), std::back_inserter(holders), isRunning);
    return holders;
}

/** Returns the number of known entry VMs that may serve, with or without a lease. A replaced process counts beside its successor while it may hold a lease. */
uint32_t SessionTable::servingEntryVms(TimePoint now) const
{
    auto mayServe = [&](const auto& entry) { return entry.second + isolationTerm > now; };
    auto holdsLease = [&](const EntrySession& session) { return session.leaseEnd > now; };
    return static_cast<uint32_t>(std::count_if(this->leaseEnds.begin(), this->leaseEnds.end(), mayServe) + std::count_if(this->replacedSessions.begin(), this->replacedSessions.end(), holdsLease));
}

uint32_t SessionTable::liveEntryVms(TimePoint now) const
{
    if (now < this->leaderSince + this->leaseTerm)
        return 0;
    // Until then, VMs that have not reached this leader may serve, counted by the former one.
    bool mayMissVms = now < this->leaderSince + this->leaseTerm + isolationTerm;
    return mayMissVms ? this->estimatedEntryVms(now) : this->servingEntryVms(now);
}

uint32_t SessionTable::estimatedEntryVms(TimePoint now) const
{
    return std::max(this->statedEntryVms, this->servingEntryVms(now));
}

InForceStatus SessionTable::inForceStatus(uint64_t manifestNumber, TimePoint now) const
{
    std::vector<EntrySession> holders = this->leaseHolders(now);
    auto hasConfirmed = [&](const EntrySession& session) { return session.heldManifestNumber >= manifestNumber; };
    InForceStatus status;
    status.total = static_cast<uint32_t>(holders.size());
    status.confirmed = static_cast<uint32_t>(std::count_if(holders.begin(), holders.end(), hasConfirmed));
    bool unknownLeasesEnded = now >= this->leaderSince + this->leaseTerm;
    status.isComplete = unknownLeasesEnded && status.confirmed == status.total;
    return status;
}

void SessionTable::recordHeartbeat(const wire::TargetLoad& load, TimePoint now)
{
    const wire::TargetRecord& target = load.target();
    std::pair<std::string, std::string> key { target.service(), target.address() };
    auto previous = this->heartbeats.find(key);
    if (previous != this->heartbeats.end() && target.incarnation() < previous->second.load.target().incarnation())
        return;
    if (target.state() == wire::TARGET_GONE) {
        this->heartbeats.erase(key);
        return;
    }
    this->heartbeats[key] = { load, now, true };
}

std::vector<wire::TargetRecord> SessionTable::takeTimedOutTargets(TimePoint now)
{
    std::vector<wire::TargetRecord> timedOut;
    for (auto& [key, heartbeat] : this->heartbeats) {
        if (now < heartbeat.received + this->targetLease)
            continue;
        timedOut.push_back(heartbeat.load.target());
        heartbeat.received = now;
        heartbeat.isObserved = false;
    }
    return timedOut;
}

std::vector<SessionTable::RankedLoad> SessionTable::rankedLoads(TimePoint now) const
{
    struct Mean {
        double sum = 0; ///< Sum of utilizations.
        size_t count = 0; ///< Number of targets with an observation.
    };
    std::map<std::string, Mean> means;
    for (const auto& [key, heartbeat] : this->heartbeats) {
        Mean& mean = means[key.first];
        mean.sum += heartbeat.isObserved ? utilization(heartbeat.load) : 0;
        mean.count += heartbeat.isObserved ? 1 : 0;
    }
    std::vector<RankedLoad> ranked;
    for (const auto& [key, heartbeat] : this->heartbeats) {
        if (!heartbeat.isObserved)
            continue;
        RankedLoad row { 0, heartbeat.load };
        double ageMs = heartbeat.load.age_ms() + (now - heartbeat.received).count();
        row.load.set_age_ms(static_cast<uint32_t>(std::max(ageMs, 0.0)));
        const Mean& mean = means[key.first];
        double deviation = std::abs(utilization(heartbeat.load) - mean.sum / static_cast<double>(mean.count));
        // The offset ranks recent observations of targets near the mean above old observations of targets far from it.
        row.score = (0.1 + deviation) * std::exp2(-ageMs / observationHalfLifeMs);
        ranked.push_back(std::move(row));
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](const RankedLoad& a, const RankedLoad& b) { return a.score > b.score; });
    return ranked;
}

std::vector<wire::TargetLoad> SessionTable::loadDigest(size_t maxBytes, TimePoint now) const
{
    std::vector<wire::TargetLoad> digest;
    size_t used = 0;
    for (RankedLoad& row : this->rankedLoads(now)) {
        size_t size = encodedSize(row.load);
        if (used + size > maxBytes)
            break;
        used += size;
        digest.push_back(std::move(row.load));
    }
    return digest;
}

const std::map<std::string, EntrySession>& SessionTable::sessions() const
{
    return this->entrySessions;
}

} // namespace kingcup
