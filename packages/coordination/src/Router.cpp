/** @file Router.cpp Router: publishes routing tables and records the outcomes of attempts. */
#include "kingcup/Router.h"

#include "RoutingTable.h"
#include "TargetChooser.h"
#include "placement/ZonePlacement.h"

#include "kingcup/Rcu.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <mutex>
#include <nlohmann/json.hpp>

namespace kingcup {

namespace {

constexpr auto relaxed = std::memory_order_relaxed;
constexpr size_t counterStripeCount = 8;
constexpr double msPerSecond = 1000;
constexpr double observationLifetimeMs = 5000;
constexpr Milliseconds maxRetryAfter { 60000 }; ///< Limit for the delay that a target may state, so that a wrong value does not take it out of use for good.

/** Returns a time point as a number of milliseconds. */
double toMs(TimePoint time)
{
    return time.time_since_epoch().count();
}

/** Counter that many threads update and that is rarely read; each thread adds to one of several cache lines. */
class StripedCounter {
public:
    void add(int64_t amount) { this->stripes[stripeIndex()].value.fetch_add(amount, relaxed); }

    int64_t sum() const
    {
        int64_t total = 0;
        for (const Stripe& stripe : this->stripes)
            total += stripe.value.load(relaxed);
        return total;
    }

private:
    /** Part of the sum, in a cache line of its own to avoid false sharing. */
    struct alignas(64) Stripe {
        std::atomic<int64_t> value { 0 };
    };

    static size_t stripeIndex()
    {
        static std::atomic<size_t> threadCount { 0 };
        thread_local size_t index = threadCount.fetch_add(1, relaxed) % counterStripeCount;
        return index;
    }

    std::array<Stripe, counterStripeCount> stripes {};
};

} // namespace

struct Router::State {
    State(RoutingPolicy policy, SubsetOwner owner, RandomSource random)
        : policy(policy)
        , owner(std::move(owner))
        , seed(random.next())
        , table(std::make_unique<RoutingTable>())
    {
    }

    /** Chooses a target, if need be an ejected or leaving one; null if none may get a request now. */
    const RoutingEntry* choose(Choice& choice) const;

    /** Returns the entry of an incarnation in use, or null. */
    static const RoutingEntry* find(const RoutingTable& routingTable, const std::string& address, uint64_t incarnation);

    /** Takes the permits that a request to a target needs; stores in the pick which ones. Returns false and takes none if one is not due. */
    static bool takePermits(const Choice& choice, TargetEstimate& target, Pick& pick);

    /** Counts an attempt on the chosen target and completes its pick. */
    void recordPick(const Choice& choice, const RoutingEntry& entry, Pick& pick);

    /** Returns a random number in [0, 1), for the first permit of a limit. */
    double randomPhase();

    /** Ejects a target, unless this would exceed the configured share of ejected targets. */
    void tryEject(const RoutingTable& routingTable, TargetEstimate& target, double nowMs);

    RoutingPolicy policy;
    SubsetOwner owner; ///< This VM.
    const uint64_t seed; ///< Seed of the random choices.
    RcuPointer<RoutingTable> table;
    FleetAverages fleetAverages;
    std::unique_ptr<ZonePlacement> zonePlacement; ///< Null: a fixed penalty applies to targets of other zones.
    alignas(64) std::atomic<uint64_t> nextChoice { 0 }; ///< Number of the next choice.
    StripedCounter outstanding; ///< Attempts in flight.
    std::atomic<double> vmsPerTarget { 1 }; ///< Entry VMs that may use the same target.
    std::mutex updateMutex; ///< Serialises update(), which reads the current table and replaces it.
    std::mutex ejectionMutex; ///< Prevents concurrent ejections from exceeding the allowed share together.
    uint32_t lastSerial = 0; ///< Last serial number given to an estimate; guarded by updateMutex.
};

const RoutingEntry* Router::State::choose(Choice& choice) const
{
    const RoutingEntry* entry = chooseTarget(this->policy, choice);
    if (!entry) {
        choice.mayUseEjected = true;
        entry = chooseTarget(this->policy, choice);
    }
    if (!entry) {
        choice.mayUseLeaving = true;
        entry = chooseTarget(this->policy, choice);
    }
    return entry;
}

const RoutingEntry* Router::State::find(const RoutingTable& routingTable, const std::string& address, uint64_t incarnation)
{
    const RoutingEntry* entry = routingTable.find(address);
    return entry && entry->target->incarnation == incarnation ? entry : nullptr;
}

bool Router::State::takePermits(const Choice& choice, TargetEstimate& target, Pick& pick)
{
    pick.hasPermit = target.rateLimit.isSet();
    if (pick.hasPermit && !target.rateLimit.takePermit(choice.vmsPerTarget, choice.nowMs))
        return false;
    pick.hasColdPermit = choice.coldIntervalMs > 0 && target.isCold(choice.nowMs);
    if (!pick.hasColdPermit || target.coldPermits.takePermit(choice.coldIntervalMs, choice.nowMs))
        return true;
    if (pick.hasPermit)
        target.rateLimit.returnPermit();
    return false;
}

void Router::State::recordPick(const Choice& choice, const RoutingEntry& entry, Pick& pick)
{
    pick.address = entry.target->address;
    pick.incarnation = entry.target->incarnation;
    pick.instance = entry.target->instance;
    pick.ticket = static_cast<uint64_t>(entry.target->serial) << 32 | (choice.number & 0xffffffff);
    pick.reason = pickReason(this->policy, choice, entry);
    pick.reason.zone = zoneReasonOf(choice, entry);
    if (this->zonePlacement)
        this->zonePlacement->recordChoice(choice, entry);
    entry.target->recordStart(choice.nowMs);
    this->outstanding.add(1);
}

double Router::State::randomPhase()
{
    constexpr size_t phases = 1 << 20;
    ChoiceRandom random(this->seed, this->nextChoice.fetch_add(1, relaxed));
    return static_cast<double>(random.below(phases)) / phases;
}

void Router::State::tryEject(const RoutingTable& routingTable, TargetEstimate& target, double nowMs)
{
    std::lock_guard<std::mutex> lock(this->ejectionMutex);
    if (target.isEjected(nowMs))
        return;
    size_t ejectedCount = 0;
    for (size_t i = 0; i < routingTable.servingCount; ++i)
        ejectedCount += routingTable.entries[i].target->isEjected(nowMs);
    double maxEjected = routingTable.limits.maxEjectedShare * static_cast<double>(routingTable.servingCount);
    if (static_cast<double>(ejectedCount + 1) <= maxEjected)
        target.eject(nowMs);
}

Router::Router(RoutingPolicy policy, std::string entryVm, std::string ownZone, RandomSource random)
    : state(std::make_unique<State>(policy, SubsetOwner { std::move(entryVm), std::move(ownZone) }, random))
{
}

Router::~Router() = default;

void Router::update(const Service& service, const std::vector<wire::TargetRecord>& targets, TimePoint now, uint64_t logTimeMs)
{
    std::lock_guard<std::mutex> lock(this->state->updateMutex);
    std::unique_ptr<RoutingTable> next;
    {
        RcuReadGuard guard;
        const RoutingTable& previous = this->state->table.read(guard);
        next = buildRoutingTable(this->state->owner, service, targets, previous, this->state->lastSerial, { toMs(now), logTimeMs });
    }
    this->state->table.replace(std::move(next));
}

void Router::setZoneTransfer(const ZoneTransferCosts& costs)
{
    this->state->zonePlacement = std::make_unique<ZonePlacement>(costs);
}

void Router::recordTransferBytes(uint64_t bytes)
{
    if (this->state->zonePlacement)
        this->state->zonePlacement->recordBytes(static_cast<double>(bytes));
}

std::optional<ZoneTransferState> Router::zoneTransfer() const
{
    return this->state->zonePlacement ? std::optional(this->state->zonePlacement->state()) : std::nullopt;
}

std::optional<Pick> Router::pick(std::span<const std::string> excluded, TimePoint now)
{
    RcuReadGuard guard;
    const RoutingTable& table = this->state->table.read(guard);
    uint64_t number = this->state->nextChoice.fetch_add(1, relaxed);
    ChoiceRandom random(this->state->seed, number);
    this->state->fleetAverages.refresh(table, toMs(now));
    double vms = this->state->vmsPerTarget.load(relaxed);
    Choice choice { table, excluded, this->state->fleetAverages, random, number, toMs(now), vms, table.coldIntervalMs(vms) };
    if (this->state->zonePlacement) {
        this->state->zonePlacement->refresh(table, this->state->fleetAverages.latencyMs.load(relaxed), toMs(now));
        this->state->zonePlacement->apply(choice);
    }
    const RoutingEntry* entry = nullptr;
    Pick pick;
    do {
        entry = this->state->choose(choice);
        if (!entry)
            return std::nullopt;
        // Another thread may take the permit after the choice; the target is not eligible then.
    } while (!State::takePermits(choice, *entry->target, pick));
    this->state->recordPick(choice, *entry, pick);
    return pick;
}

void Router::finish(const Pick& pick, AttemptOutcome outcome, Milliseconds latency, TimePoint now)
{
    this->state->outstanding.add(-1);
    RcuReadGuard guard;
    const RoutingTable& table = this->state->table.read(guard);
    const RoutingEntry* entry = table.find(pick.address);
    if (!entry || entry->target->serial != pick.ticket >> 32)
        return;
    double fleetLatencyMs = this->state->fleetAverages.latencyMs.load(relaxed);
    entry->target->recordEnd(outcome, latency.count(), fleetLatencyMs, toMs(now));
    bool hasFailed = outcome != AttemptOutcome::Answered && outcome != AttemptOutcome::Cancelled;
    if (hasFailed && entry->target->shouldEject())
        this->state->tryEject(table, *entry->target, toMs(now));
}

bool Router::isInUse(const Pick& pick) const
{
    RcuReadGuard guard;
    return State::find(this->state->table.read(guard), pick.address, pick.incarnation) != nullptr;
}

void Router::abandon(const Pick& pick, TimePoint now)
{
    this->finish(pick, AttemptOutcome::Cancelled, Milliseconds(0), now);
    if (!pick.hasPermit && !pick.hasColdPermit)
        return;
    RcuReadGuard guard;
    const RoutingEntry* entry = State::find(this->state->table.read(guard), pick.address, pick.incarnation);
    if (entry && pick.hasPermit)
        entry->target->rateLimit.returnPermit();
    if (entry && pick.hasColdPermit)
        entry->target->coldPermits.returnPermit();
}

void Router::markInstanceGone(const Pick& pick)
{
    RcuReadGuard guard;
    const RoutingEntry* entry = this->state->table.read(guard).find(pick.address);
    if (entry && entry->target->serial == pick.ticket >> 32)
        entry->target->markReplaced();
}

bool Router::recordLeaving(const std::string& address, uint64_t incarnation, TimePoint now)
{
    RcuReadGuard guard;
    const RoutingEntry* entry = State::find(this->state->table.read(guard), address, incarnation);
    return entry && entry->target->recordLeaving(toMs(now));
}

void Router::recordRetryAfter(const std::string& address, uint64_t incarnation, Milliseconds delay, TimePoint now)
{
    RcuReadGuard guard;
    const RoutingEntry* entry = State::find(this->state->table.read(guard), address, incarnation);
    if (entry)
        entry->target->recordRetryAfter(toMs(now) + std::min(delay, maxRetryAfter).count());
}

void Router::recordLimit(const std::string& address, uint64_t incarnation, double requestsPerSecond, TimePoint now)
{
    RcuReadGuard guard;
    const RoutingEntry* entry = State::find(this->state->table.read(guard), address, incarnation);
    if (!entry)
        return;
    entry->target->rateLimit.setLimit(requestsPerSecond, this->state->randomPhase(), toMs(now));
}

void Router::clearLimit(const std::string& address, uint64_t incarnation)
{
    RcuReadGuard guard;
    const RoutingEntry* entry = State::find(this->state->table.read(guard), address, incarnation);
    if (entry)
        entry->target->rateLimit.clear();
}

void Router::recordCold(const std::string& address, uint64_t incarnation, Milliseconds coldLeft, TimePoint now)
{
    RcuReadGuard guard;
    const RoutingTable& table = this->state->table.read(guard);
    const RoutingEntry* entry = State::find(table, address, incarnation);
    if (entry && table.coldRequestsPerSecond > 0)
        entry->target->recordCold(toMs(now) + std::min(coldLeft, table.maxCold).count(), this->state->randomPhase(), toMs(now));
}

bool Router::takeColdPermit(Pick& pick, TimePoint now)
{
    RcuReadGuard guard;
    const RoutingTable& table = this->state->table.read(guard);
    const RoutingEntry* entry = State::find(table, pick.address, pick.incarnation);
    double intervalMs = table.coldIntervalMs(this->state->vmsPerTarget.load(relaxed));
    if (pick.hasColdPermit || !entry || intervalMs <= 0 || !entry->target->isCold(toMs(now)))
        return true;
    pick.hasColdPermit = entry->target->coldPermits.takePermit(intervalMs, toMs(now));
    pick.reason.coldFactor = entry->target->coldFactor(toMs(now));
    return pick.hasColdPermit;
}

uint32_t Router::coldTargets(TimePoint now) const
{
    RcuReadGuard guard;
    const RoutingTable& table = this->state->table.read(guard);
    if (table.coldRequestsPerSecond <= 0)
        return 0;
    auto end = table.entries.begin() + static_cast<ptrdiff_t>(table.servingCount);
    return static_cast<uint32_t>(std::count_if(table.entries.begin(), end, [&](const RoutingEntry& entry) { return entry.target->isCold(toMs(now)); }));
}

void Router::setVmsPerTarget(double vms)
{
    if (vms >= 1)
        this->state->vmsPerTarget.store(vms, relaxed);
}

std::optional<uint64_t> Router::incarnationOf(const std::string& address) const
{
    RcuReadGuard guard;
    const RoutingEntry* entry = this->state->table.read(guard).find(address);
    return entry ? std::optional(entry->target->incarnation) : std::nullopt;
}

std::optional<Milliseconds> Router::timeUntilAccepted(TimePoint now) const
{
    RcuReadGuard guard;
    const RoutingTable& table = this->state->table.read(guard);
    double vms = this->state->vmsPerTarget.load(relaxed);
    double coldIntervalMs = table.coldIntervalMs(vms);
    std::optional<Milliseconds> shortest;
    for (size_t i = 0; i < table.servingCount; ++i) {
        const TargetEstimate& target = *table.entries[i].target;
        bool isCold = coldIntervalMs > 0 && target.isCold(toMs(now));
        bool isLimited = target.rateLimit.isSet() || isCold;
        if (target.isReplaced() || target.isLeaving() || (!target.isDeclining(toMs(now)) && !isLimited))
            continue;
        double coldPermitAt = isCold ? std::min(target.coldPermits.nextPermitAt(coldIntervalMs, toMs(now)), target.coldUntil()) : neverMs;
        Milliseconds delay(std::max({ target.declinedUntil(), target.rateLimit.nextPermitAt(vms), coldPermitAt, toMs(now) }) - toMs(now));
        shortest = std::min(shortest.value_or(delay), delay);
    }
    return shortest;
}

void Router::recordReport(const std::string& address, const LoadReport& load, Milliseconds age, TimePoint now)
{
    RcuReadGuard guard;
    const RoutingEntry* entry = this->state->table.read(guard).find(address);
    if (!entry)
        return;
    entry->target->recordReport(load, toMs(now) - std::max(age.count(), 0.0));
}

double Router::subsetShare() const
{
    RcuReadGuard guard;
    const RoutingTable& table = this->state->table.read(guard);
    return table.serviceServingCount ? static_cast<double>(table.servingCount) / static_cast<double>(table.serviceServingCount) : 1;
}

uint32_t Router::outstanding() const
{
    return static_cast<uint32_t>(std::max<int64_t>(0, this->state->outstanding.sum()));
}

uint32_t Router::usableSlots(TimePoint now) const
{
    RcuReadGuard guard;
    const RoutingTable& table = this->state->table.read(guard);
    double latencyMs = this->state->fleetAverages.latencyMs.load(relaxed);
    double slots = 0;
    for (size_t i = 0; i < table.servingCount; ++i) {
        const RoutingEntry& entry = table.entries[i];
        if (entry.target->isEjected(toMs(now)))
            continue;
        bool isLimited = table.coldRequestsPerSecond > 0 && latencyMs > 0 && entry.target->isCold(toMs(now));
        double occupied = isLimited ? table.coldRequestsPerSecond * latencyMs * entry.target->coldFactor(toMs(now)) / msPerSecond : entry.slots;
        slots += std::min<double>(occupied, entry.slots);
    }
    return static_cast<uint32_t>(std::ceil(slots));
}

std::vector<std::string> Router::leastRecentlyReported(size_t count, TimePoint now) const
{
    RcuReadGuard guard;
    const RoutingTable& table = this->state->table.read(guard);
    double vms = this->state->vmsPerTarget.load(relaxed);
    std::vector<std::pair<double, const std::string*>> order;
    for (size_t i = 0; i < table.servingCount; ++i) {
        const TargetEstimate& target = *table.entries[i].target;
        bool mayGetRequest = !target.isLeaving() && !target.isDeclining(toMs(now)) && target.rateLimit.hasPermit(vms, toMs(now));
        if (mayGetRequest)
            order.emplace_back(target.reportedAtMs.load(relaxed), &target.address);
    }
    std::stable_sort(order.begin(), order.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<std::string> addresses;
    for (size_t i = 0; i < std::min(count, order.size()); ++i)
        addresses.push_back(*order[i].second);
    return addresses;
}

std::vector<wire::TargetLoad> Router::observations(TimePoint now) const
{
    RcuReadGuard guard;
    const RoutingTable& table = this->state->table.read(guard);
    double fleetLogLatency = std::log(std::max(this->state->fleetAverages.latencyMs.load(relaxed), 0.001));
    std::vector<std::pair<double, wire::TargetLoad>> ranked;
    for (const RoutingEntry& entry : table.entries) {
        const TargetEstimate& target = *entry.target;
        double age = toMs(now) - target.observedAtMs.load(relaxed);
        if (age > observationLifetimeMs || !target.latencyCount.load(relaxed))
            continue;
        wire::TargetLoad load;
        load.mutable_target()->set_service(table.service);
        load.mutable_target()->set_address(target.address);
        load.mutable_target()->set_incarnation(target.incarnation);
        load.mutable_target()->set_slots(entry.slots);
        load.mutable_target()->set_state(entry.state);
        load.set_in_flight(static_cast<uint32_t>(std::max(0, target.reportedInFlight.load(relaxed))));
        load.set_latency_ms(std::exp(target.logLatency.load(relaxed)));
        load.set_age_ms(static_cast<uint32_t>(std::max(0.0, age)));
        double deviation = std::abs(target.logLatency.load(relaxed) - fleetLogLatency) + target.recentFailures(toMs(now));
        ranked.emplace_back(deviation * std::exp(-age / observationLifetimeMs), std::move(load));
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<wire::TargetLoad> result;
    result.reserve(ranked.size());
    for (auto& row : ranked)
        result.push_back(std::move(row.second));
    return result;
}

std::string Router::dump(TimePoint now) const
{
    RcuReadGuard guard;
    const RoutingTable& table = this->state->table.read(guard);
    nlohmann::json targets = nlohmann::json::array();
    for (const RoutingEntry& entry : table.entries) {
        const TargetEstimate& target = *entry.target;
        targets.push_back({ { "address", target.address },
            { "incarnation", target.incarnation },
            { "state", wire::TargetState_Name(entry.state) },
            { "local", entry.isLocal },
            { "slots", entry.slots },
            { "outstanding", target.outstanding.load(relaxed) },
            { "latencyMs", target.latency(this->state->fleetAverages.latencyMs.load(relaxed), toMs(now)) },
            { "recentFailures", target.recentFailures(toMs(now)) },
            { "ejected", target.isEjected(toMs(now)) },
            { "limitPerSecond", target.rateLimit.isSet() ? nlohmann::json(target.rateLimit.limit()) : nlohmann::json() },
            { "coldMs", std::max(0.0, target.coldUntil() - toMs(now)) },
            { "ramp", target.slowStartShare(toMs(now)) },
            { "reportedInFlight", target.reportedInFlight.load(relaxed) },
            { "reportAgeMs", std::min(toMs(now) - target.reportedAtMs.load(relaxed), 1e9) } });
    }
    nlohmann::json result { { "service", table.service }, { "outstanding", this->outstanding() }, { "vmsPerTarget", this->state->vmsPerTarget.load(relaxed) }, { "targets", targets } };
    if (this->state->zonePlacement)
        result["zoneTransfer"] = this->state->zonePlacement->dump();
    return result.dump();
}

} // namespace kingcup
