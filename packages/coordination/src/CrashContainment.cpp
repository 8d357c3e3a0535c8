/** @file CrashContainment.cpp Suspicion of requests that were in flight on lost connections. */
#include "kingcup/CrashContainment.h"

#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <deque>
#include <mutex>
#include <set>
#include <xxhash.h>

namespace kingcup {

namespace {

constexpr int64_t trustAfterSuccessMs = 10000; ///< Time after a complete answer during which the first lost target raises no suspicion.
constexpr int64_t defaultQuarantineMs = 60000;
constexpr size_t maxRecentAnswers = 16384; ///< Limit of the complete answers that are kept.
constexpr size_t maxSuspects = 4096; ///< Limit of local suspicions; beyond it only the leader's records apply.
constexpr size_t targetsForQuarantine = 2;

/** Service and fingerprint of a request. */
using RequestKey = std::pair<std::string, Fingerprint>;

/** Attempts with the same fingerprint in flight on one target. */
struct InFlightCopies {
    uint32_t count = 0;
    uint64_t firstStartEvent = 0; ///< Event number of the first start since none was in flight.
};

/** State of one request on this VM. */
struct RequestRecord {
    std::map<std::string, InFlightCopies> inFlight; ///< Attempts in flight by target address.
    std::set<std::string> lostSinceSuccess; ///< Addresses of targets whose connections were lost after the last complete answer.
    std::set<std::string> suspectedTargets; ///< Addresses of targets for which a suspicion was reported to the leader.
    uint64_t lastSuccessEvent = 0; ///< Event number of the last complete answer; 0 if none.
    int64_t lastSuccessMs = 0; ///< Log time of the last complete answer.
    int64_t lastSuspicionMs = 0; ///< Log time of the last suspicion.
    bool isClearReported = false; ///< Whether the leader was requested to clear its suspicion; its record may still be unchanged.
};

/** Suspicions and quarantines of the leader. */
struct LeaderRecords {
    std::map<RequestKey, wire::Quarantine> quarantines; ///< Records by service and fingerprint.
    std::map<std::string, int64_t> quarantineMs; ///< Duration of a quarantine by service, in milliseconds.
};

} // namespace

struct CrashContainment::State {
    ContainmentVerdict leaderVerdict(const RequestKey& key, int64_t logMs) const;
    ContainmentVerdict localVerdict(const RequestKey& key, int64_t logMs) const;
    ContainmentVerdict currentVerdict(const RequestKey& key, int64_t logMs) const;
    void removeInFlight(RequestRecord& record, const std::string& address);
    void evictOldAnswers();
    void evictOldSuspicions();
    std::set<std::string> suspectTargets(const std::string& service) const;
    void addSuspectTargets(const RequestKey& key, const std::string& service, std::set<std::string>& addresses) const;
    bool isTrusted(const RequestRecord& record, const std::string& address) const;

    mutable std::mutex mutex; ///< Guards all fields below; held only for a few map operations.
    absl::flat_hash_map<RequestKey, RequestRecord> records; ///< Requests that are in flight, were answered recently or are suspected.
    std::set<RequestKey> suspects; ///< Requests that this VM suspects.
    std::deque<std::pair<RequestKey, uint64_t>> recentAnswers; ///< Complete answers with their event numbers, oldest first.
    LeaderRecords leaderRecords; ///< Records of the last snapshot.
    uint64_t eventCount = 0; ///< Number of starts and answers so far, used to order them.
    mutable int64_t logMs = 0; ///< Latest log time received.
};

ContainmentVerdict CrashContainment::State::leaderVerdict(const RequestKey& key, int64_t logMs) const
{
    auto found = this->leaderRecords.quarantines.find(key);
    if (found == this->leaderRecords.quarantines.end() || found->second.cleared())
        return ContainmentVerdict::Run;
    if (static_cast<int64_t>(found->second.until_log_ms()) <= logMs)
        return ContainmentVerdict::Run;
    bool isQuarantined = found->second.suspected_targets() >= targetsForQuarantine;
    return isQuarantined ? ContainmentVerdict::Refuse : ContainmentVerdict::RunAlone;
}

ContainmentVerdict CrashContainment::State::localVerdict(const RequestKey& key, int64_t logMs) const
{
    auto found = this->records.find(key);
    if (found == this->records.end() || found->second.suspectedTargets.empty())
        return ContainmentVerdict::Run;
    auto period = this->leaderRecords.quarantineMs.find(key.first);
    int64_t periodMs = period == this->leaderRecords.quarantineMs.end() ? defaultQuarantineMs : period->second;
    if (found->second.lastSuspicionMs + periodMs <= logMs)
        return ContainmentVerdict::Run;
    bool isQuarantined = found->second.suspectedTargets.size() >= targetsForQuarantine;
    return isQuarantined ? ContainmentVerdict::Refuse : ContainmentVerdict::RunAlone;
}

ContainmentVerdict CrashContainment::State::currentVerdict(const RequestKey& key, int64_t logMs) const
{
    auto found = this->records.find(key);
    bool isCleared = found != this->records.end() && found->second.isClearReported;
    ContainmentVerdict byLeader = isCleared ? ContainmentVerdict::Run : this->leaderVerdict(key, logMs);
    return std::max(byLeader, this->localVerdict(key, logMs));
}

void CrashContainment::State::removeInFlight(RequestRecord& record, const std::string& address)
{
    auto copies = record.inFlight.find(address);
    if (copies != record.inFlight.end() && --copies->second.count == 0)
        record.inFlight.erase(copies);
}

void CrashContainment::State::evictOldAnswers()
{
    while (this->recentAnswers.size() > maxRecentAnswers) {
        auto [key, event] = std::move(this->recentAnswers.front());
        this->recentAnswers.pop_front();
        auto found = this->records.find(key);
        if (found == this->records.end() || found->second.lastSuccessEvent != event)
            continue;
        found->second.lastSuccessEvent = 0;
        if (found->second.inFlight.empty() && found->second.suspectedTargets.empty())
            this->records.erase(found);
    }
}

void CrashContainment::State::evictOldSuspicions()
{
    for (auto it = this->suspects.begin(); it != this->suspects.end();) {
        auto found = this->records.find(*it);
        bool isExpired = found == this->records.end() || this->localVerdict(*it, this->logMs) == ContainmentVerdict::Run;
        if (!isExpired && this->suspects.size() <= maxSuspects) {
            ++it;
            continue;
        }
        if (found != this->records.end())
            found->second.suspectedTargets.clear();
        if (found != this->records.end() && found->second.inFlight.empty())
            this->records.erase(found);
        it = this->suspects.erase(it);
    }
}

void CrashContainment::State::addSuspectTargets(const RequestKey& key, const std::string& service, std::set<std::string>& addresses) const
{
    auto found = this->records.find(key);
    if (key.first != service || found == this->records.end() || found->second.inFlight.empty())
        return;
    if (this->currentVerdict(key, this->logMs) == ContainmentVerdict::Run)
        return;
    for (const auto& [address, copies] : found->second.inFlight)
        addresses.insert(address);
}

std::set<std::string> CrashContainment::State::suspectTargets(const std::string& service) const
{
    std::set<std::string> addresses;
    for (const RequestKey& key : this->suspects)
        this->addSuspectTargets(key, service, addresses);
    for (const auto& [key, quarantine] : this->leaderRecords.quarantines)
        this->addSuspectTargets(key, service, addresses);
    return addresses;
}

bool CrashContainment::State::isTrusted(const RequestRecord& record, const std::string& address) const
{
    if (!record.lastSuccessEvent)
        return false;
    // A request that used to be answered may have started to crash targets, so a second target lost since its last answer raises a suspicion.
    if (!record.lostSinceSuccess.empty() && !record.lostSinceSuccess.contains(address))
        return false;
    auto copies = record.inFlight.find(address);
    bool wasAnsweredMeanwhile = copies != record.inFlight.end() && record.lastSuccessEvent > copies->second.firstStartEvent;
    return wasAnsweredMeanwhile || record.lastSuccessMs + trustAfterSuccessMs > this->logMs;
}

Fingerprint requestFingerprint(std::string_view service, std::string_view method, std::string_view target, std::string_view body)
{
    XXH3_state_t* hash = XXH3_createState();
    XXH3_128bits_reset(hash);
    for (std::string_view part : { service, method, target, body }) {
        uint64_t size = part.size(); // Without the sizes, requests whose parts are split differently would have the same hash.
        XXH3_128bits_update(hash, &size, sizeof size);
        XXH3_128bits_update(hash, part.data(), part.size());
    }
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits_digest(hash));
    XXH3_freeState(hash);
    return { reinterpret_cast<const char*>(canonical.digest), sizeof canonical.digest };
}

CrashContainment::CrashContainment()
    : state(std::make_unique<State>())
{
}

CrashContainment::~CrashContainment() = default;

void CrashContainment::applySnapshot(const ConfigurationSnapshot& snapshot)
{
    LeaderRecords next;
    next.quarantines = snapshot.quarantines;
    for (const auto& [name, service] : snapshot.services)
        next.quarantineMs[name] = static_cast<int64_t>(service->limits.quarantine.count());
    std::lock_guard<std::mutex> lock(this->state->mutex);
    this->state->leaderRecords = std::move(next);
    for (auto& [key, record] : this->state->records) {
        auto found = this->state->leaderRecords.quarantines.find(key);
        bool isAbsent = found == this->state->leaderRecords.quarantines.end();
        if (isAbsent || found->second.cleared())
            record.isClearReported = false;
        if (!isAbsent && found->second.cleared())
            record.suspectedTargets.clear();
    }
    this->state->evictOldSuspicions();
}

ContainmentVerdict CrashContainment::verdict(const std::string& service, const Fingerprint& fingerprint, int64_t logMs) const
{
    std::lock_guard<std::mutex> lock(this->state->mutex);
    this->state->logMs = std::max(this->state->logMs, logMs);
    return this->state->currentVerdict({ service, fingerprint }, logMs);
}

bool CrashContainment::recordStart(const std::string& service, const Fingerprint& fingerprint, const std::string& address)
{
    std::lock_guard<std::mutex> lock(this->state->mutex);
    RequestKey key { service, fingerprint };
    bool isSuspect = this->state->currentVerdict(key, this->state->logMs) != ContainmentVerdict::Run;
    bool hasOtherSuspect = isSuspect && this->state->suspectTargets(service).contains(address);
    InFlightCopies& copies = this->state->records[key].inFlight[address];
    if (copies.count++ == 0)
        copies.firstStartEvent = ++this->state->eventCount;
    return !hasOtherSuspect;
}

std::vector<std::string> CrashContainment::targetsWithSuspects(const std::string& service) const
{
    std::lock_guard<std::mutex> lock(this->state->mutex);
    std::set<std::string> addresses = this->state->suspectTargets(service);
    return { addresses.begin(), addresses.end() };
}

bool CrashContainment::recordSuccess(const std::string& service, const Fingerprint& fingerprint, const std::string& address)
{
    std::lock_guard<std::mutex> lock(this->state->mutex);
    RequestKey key { service, fingerprint };
    bool isSuspect = this->state->currentVerdict(key, this->state->logMs) != ContainmentVerdict::Run;
    RequestRecord& record = this->state->records[key];
    this->state->removeInFlight(record, address);
    record.lastSuccessEvent = ++this->state->eventCount;
    record.lastSuccessMs = this->state->logMs;
    record.lostSinceSuccess.clear();
    record.suspectedTargets.clear();
    record.isClearReported |= isSuspect;
    this->state->suspects.erase(key);
    this->state->recentAnswers.emplace_back(key, record.lastSuccessEvent);
    this->state->evictOldAnswers();
    return isSuspect;
}

bool CrashContainment::recordConnectionLoss(const std::string& service, const Fingerprint& fingerprint, const std::string& address)
{
    std::lock_guard<std::mutex> lock(this->state->mutex);
    RequestKey key { service, fingerprint };
    RequestRecord& record = this->state->records[key];
    bool isTrusted = this->state->isTrusted(record, address);
    this->state->removeInFlight(record, address);
    record.lostSinceSuccess.insert(address);
    if (isTrusted)
        return false;
    record.suspectedTargets.insert(address);
    record.lastSuspicionMs = this->state->logMs;
    record.isClearReported = false;
    this->state->suspects.insert(key);
    if (this->state->suspects.size() > maxSuspects)
        this->state->evictOldSuspicions();
    return true;
}

void CrashContainment::recordEnd(const std::string& service, const Fingerprint& fingerprint, const std::string& address)
{
    std::lock_guard<std::mutex> lock(this->state->mutex);
    auto found = this->state->records.find({ service, fingerprint });
    if (found == this->state->records.end())
        return;
    this->state->removeInFlight(found->second, address);
    bool isKept = found->second.lastSuccessEvent || !found->second.suspectedTargets.empty();
    if (!isKept && found->second.inFlight.empty())
        this->state->records.erase(found);
}

} // namespace kingcup
