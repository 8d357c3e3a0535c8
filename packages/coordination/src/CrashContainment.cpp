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

constexpr int64_t exonerationMs = 10000; ///< Time after a complete answer during which the first lost target raises no suspicion.
constexpr int64_t defaultQuarantineMs = 60000;
constexpr size_t maxAnswered = 16384; ///< Limit of the complete answers that are kept.
constexpr size_t maxSuspects = 4096; ///< Limit of local suspicions; beyond it only the leader's records apply.
constexpr size_t suspectsForQuarantine = 2;

/** Service and fingerprint of a request. */
using RequestKey = std::pair<std::string, Fingerprint>;

/** Attempts with the same fingerprint in flight on one target. */
struct Copies {
    uint32_t count = 0;
    uint64_t firstStarted = 0; ///< Event number of the first start since none was in flight.
};

/** State of one request on this VM. */
struct RequestRecord {
    std::map<std::string, Copies> inFlight; ///< Attempts in flight by target address.
    std::set<std::string> lostSinceSuccess; ///< Addresses of targets whose connections were lost after the last complete answer.
    std::set<std::string> suspectedOn; ///< Addresses of targets for which a suspicion was reported to the leader.
    uint64_t succeededEvent = 0; ///< Event number of the last complete answer; 0 if none.
    int64_t succeededMs = 0; ///< Log time of the last complete answer.
    int64_t suspectedMs = 0; ///< Log time of the last suspicion.
    bool clearTold = false; ///< Whether the leader was requested to clear its suspicion; its record may still be unchanged.
};

/** Suspicions and quarantines of the leader. */
struct LeaderRecords {
    std::map<RequestKey, wire::Quarantine> quarantines; ///< Records by service and fingerprint.
    std::map<std::string, int64_t> periods; ///< Duration of a quarantine by service, in milliseconds.
};

} // namespace

struct CrashContainment::State {
    ContainmentVerdict leaderVerdict(const RequestKey& key, int64_t logMs) const;
    ContainmentVerdict localVerdict(const RequestKey& key, int64_t logMs) const;
    ContainmentVerdict currentVerdict(const RequestKey& key, int64_t logMs) const;
    void remove(RequestRecord& record, const std::string& address);
    void forgetOldAnswers();
    void forgetOldSuspicions();
    std::set<std::string> suspectTargets(const std::string& service) const;
    void addSuspectTargets(const RequestKey& key, const std::string& service, std::set<std::string>& addresses) const;
    bool exonerated(const RequestRecord& record, const std::string& address) const;

    mutable std::mutex mutex; ///< Guards all fields below; held only for a few map operations.
    absl::flat_hash_map<RequestKey, RequestRecord> records; ///< Requests that are in flight, were answered recently or are suspected.
    std::set<RequestKey> suspects; ///< Requests that this VM suspects.
    std::deque<std::pair<RequestKey, uint64_t>> answered; ///< Complete answers with their event numbers, oldest first.
    LeaderRecords leader; ///< Records of the last snapshot.
    uint64_t events = 0; ///< Number of starts and answers so far, used to order them.
    mutable int64_t logMs = 0; ///< Latest log time received.
};

ContainmentVerdict CrashContainment::State::leaderVerdict(const RequestKey& key, int64_t logMs) const
{
    auto found = this->leader.quarantines.find(key);
    if (found == this->leader.quarantines.end() || found->second.cleared())
        return ContainmentVerdict::Run;
    if (static_cast<int64_t>(found->second.until_log_ms()) <= logMs)
        return ContainmentVerdict::Run;
    bool quarantined = found->second.suspected_targets() >= suspectsForQuarantine;
    return quarantined ? ContainmentVerdict::Refuse : ContainmentVerdict::RunAlone;
}

ContainmentVerdict CrashContainment::State::localVerdict(const RequestKey& key, int64_t logMs) const
{
    auto found = this->records.find(key);
    if (found == this->records.end() || found->second.suspectedOn.empty())
        return ContainmentVerdict::Run;
    auto period = this->leader.periods.find(key.first);
    int64_t length = period == this->leader.periods.end() ? defaultQuarantineMs : period->second;
    if (found->second.suspectedMs + length <= logMs)
        return ContainmentVerdict::Run;
    bool quarantined = found->second.suspectedOn.size() >= suspectsForQuarantine;
    return quarantined ? ContainmentVerdict::Refuse : ContainmentVerdict::RunAlone;
}

ContainmentVerdict CrashContainment::State::currentVerdict(const RequestKey& key, int64_t logMs) const
{
    auto found = this->records.find(key);
    bool cleared = found != this->records.end() && found->second.clearTold;
    ContainmentVerdict byLeader = cleared ? ContainmentVerdict::Run : this->leaderVerdict(key, logMs);
    return std::max(byLeader, this->localVerdict(key, logMs));
}

void CrashContainment::State::remove(RequestRecord& record, const std::string& address)
{
    auto copies = record.inFlight.find(address);
    if (copies != record.inFlight.end() && --copies->second.count == 0)
        record.inFlight.erase(copies);
}

void CrashContainment::State::forgetOldAnswers()
{
    while (this->answered.size() > maxAnswered) {
        auto [key, event] = std::move(this->answered.front());
        this->answered.pop_front();
        auto found = this->records.find(key);
        if (found == this->records.end() || found->second.succeededEvent != event)
            continue;
        found->second.succeededEvent = 0;
        if (found->second.inFlight.empty() && found->second.suspectedOn.empty())
            this->records.erase(found);
    }
}

void CrashContainment::State::forgetOldSuspicions()
{
    for (auto it = this->suspects.begin(); it != this->suspects.end();) {
        auto found = this->records.find(*it);
        bool over = found == this->records.end() || this->localVerdict(*it, this->logMs) == ContainmentVerdict::Run;
        if (!over && this->suspects.size() <= maxSuspects) {
            ++it;
            continue;
        }
        if (found != this->records.end())
            found->second.suspectedOn.clear();
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
    for (const auto& [key, quarantine] : this->leader.quarantines)
        this->addSuspectTargets(key, service, addresses);
    return addresses;
}

bool CrashContainment::State::exonerated(const RequestRecord& record, const std::string& address) const
{
    if (!record.succeededEvent)
        return false;
    // A request that used to be answered may have started to crash targets, so a second target lost since its last answer raises a suspicion.
    if (!record.lostSinceSuccess.empty() && !record.lostSinceSuccess.contains(address))
        return false;
    auto copies = record.inFlight.find(address);
    bool answeredMeanwhile = copies != record.inFlight.end() && record.succeededEvent > copies->second.firstStarted;
    return answeredMeanwhile || record.succeededMs + exonerationMs > this->logMs;
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

void CrashContainment::update(const ConfigurationSnapshot& snapshot)
{
    LeaderRecords next;
    next.quarantines = snapshot.quarantines;
    for (const auto& [name, service] : snapshot.services)
        next.periods[name] = static_cast<int64_t>(service->limits.quarantine.count());
    std::lock_guard<std::mutex> lock(this->state->mutex);
    this->state->leader = std::move(next);
    for (auto& [key, record] : this->state->records) {
        auto found = this->state->leader.quarantines.find(key);
        bool absent = found == this->state->leader.quarantines.end();
        if (absent || found->second.cleared())
            record.clearTold = false;
        if (!absent && found->second.cleared())
            record.suspectedOn.clear();
    }
    this->state->forgetOldSuspicions();
}

ContainmentVerdict CrashContainment::verdict(const std::string& service, const Fingerprint& fingerprint, int64_t logMs) const
{
    std::lock_guard<std::mutex> lock(this->state->mutex);
    this->state->logMs = std::max(this->state->logMs, logMs);
    return this->state->currentVerdict({ service, fingerprint }, logMs);
}

bool CrashContainment::started(const std::string& service, const Fingerprint& fingerprint, const std::string& address)
{
    std::lock_guard<std::mutex> lock(this->state->mutex);
    RequestKey key { service, fingerprint };
    bool suspect = this->state->currentVerdict(key, this->state->logMs) != ContainmentVerdict::Run;
    bool taken = suspect && this->state->suspectTargets(service).contains(address);
    Copies& copies = this->state->records[key].inFlight[address];
    if (copies.count++ == 0)
        copies.firstStarted = ++this->state->events;
    return !taken;
}

std::vector<std::string> CrashContainment::targetsWithSuspects(const std::string& service) const
{
    std::lock_guard<std::mutex> lock(this->state->mutex);
    std::set<std::string> addresses = this->state->suspectTargets(service);
    return { addresses.begin(), addresses.end() };
}

bool CrashContainment::succeeded(const std::string& service, const Fingerprint& fingerprint, const std::string& address)
{
    std::lock_guard<std::mutex> lock(this->state->mutex);
    RequestKey key { service, fingerprint };
    bool suspect = this->state->currentVerdict(key, this->state->logMs) != ContainmentVerdict::Run;
    RequestRecord& record = this->state->records[key];
    this->state->remove(record, address);
    record.succeededEvent = ++this->state->events;
    record.succeededMs = this->state->logMs;
    record.lostSinceSuccess.clear();
    record.suspectedOn.clear();
    record.clearTold |= suspect;
    this->state->suspects.erase(key);
    this->state->answered.emplace_back(key, record.succeededEvent);
    this->state->forgetOldAnswers();
    return suspect;
}

bool CrashContainment::connectionLost(const std::string& service, const Fingerprint& fingerprint, const std::string& address)
{
    std::lock_guard<std::mutex> lock(this->state->mutex);
    RequestKey key { service, fingerprint };
    RequestRecord& record = this->state->records[key];
    bool innocent = this->state->exonerated(record, address);
    this->state->remove(record, address);
    record.lostSinceSuccess.insert(address);
    if (innocent)
        return false;
    record.suspectedOn.insert(address);
    record.suspectedMs = this->state->logMs;
    record.clearTold = false;
    this->state->suspects.insert(key);
    if (this->state->suspects.size() > maxSuspects)
        this->state->forgetOldSuspicions();
    return true;
}

void CrashContainment::ended(const std::string& service, const Fingerprint& fingerprint, const std::string& address)
{
    std::lock_guard<std::mutex> lock(this->state->mutex);
    auto found = this->state->records.find({ service, fingerprint });
    if (found == this->state->records.end())
        return;
    this->state->remove(found->second, address);
    bool known = found->second.succeededEvent || !found->second.suspectedOn.empty();
    if (!known && found->second.inFlight.empty())
        this->state->records.erase(found);
}

} // namespace kingcup
