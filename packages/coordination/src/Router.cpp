/** @file Router.cpp Routing of the attempts of one service on one entry VM. */
#include "kingcup/Router.h"

#include "RoutingTable.h"
#include "TargetChooser.h"

#include "kingcup/Rcu.h"

#include <algorithm>
#include <cmath>
#include <mutex>
#include <nlohmann/json.hpp>

namespace kingcup {

namespace {

constexpr auto relaxed = std::memory_order_relaxed;
constexpr double fleetWeight = 0.02;
constexpr double observationLifetimeMs = 5000;

/** Returns a time point as a number of milliseconds. */
double inMs(TimePoint time)
{
    return time.time_since_epoch().count();
}

/** Moves an average towards a value. */
void average(std::atomic<double>& mean, double value, bool first)
{
    double old = mean.load(relaxed);
    mean.store(first ? value : old + fleetWeight * (value - old), relaxed);
}

} // namespace

/** Everything behind the interface. */
struct Router::State {
    State(RoutingPolicy policy, SubsetOwner owner, RandomSource random)
        : policy(policy)
        , owner(std::move(owner))
        , random(random.next())
        , table(std::make_unique<RoutingTable>())
    {
    }

    /** Ejects a target, unless the share of ejected targets would become too large. */
    void tryEject(const RoutingTable& routingTable, TargetEstimate& target, double nowMs);

    RoutingPolicy policy; ///< Way to choose.
    SubsetOwner owner; ///< This VM.
    SharedRandom random; ///< For samples.
    RcuPointer<RoutingTable> table; ///< Targets in use.
    FleetAverages fleet; ///< Averages over all targets.
    std::atomic<uint64_t> turn { 0 }; ///< Position of the round robin.
    std::atomic<uint32_t> attempts { 0 }; ///< Lower half of tickets.
    std::atomic<int64_t> outstanding { 0 }; ///< Calls in flight.
    std::mutex updateMutex; ///< Serialises update().
    std::mutex ejectionMutex; ///< Keeps two threads from ejecting more than the allowed share together.
    uint32_t serial = 0; ///< Last serial number of an estimate; guarded by updateMutex.
};

void Router::State::tryEject(const RoutingTable& routingTable, TargetEstimate& target, double nowMs)
{
    std::lock_guard<std::mutex> lock(this->ejectionMutex);
    if (target.ejected(nowMs))
        return;
    size_t ejected = 0;
    for (size_t i = 0; i < routingTable.servingCount; ++i)
        ejected += routingTable.entries[i].target->ejected(nowMs);
    double allowed = routingTable.limits.maxEjectedShare * static_cast<double>(routingTable.servingCount);
    if (static_cast<double>(ejected + 1) <= allowed)
        target.eject(nowMs);
}

Router::Router(RoutingPolicy policy, std::string entryVm, std::string ownZone, RandomSource random)
    : state(std::make_unique<State>(policy, SubsetOwner { std::move(entryVm), std::move(ownZone) }, random))
{
}

Router::~Router() = default;

void Router::update(const Service& service, const std::vector<wire::TargetRecord>& targets, TimePoint now)
{
    std::lock_guard<std::mutex> lock(this->state->updateMutex);
    std::unique_ptr<RoutingTable> next;
    {
        RcuReadGuard guard;
        const RoutingTable& previous = this->state->table.read(guard);
        next = buildRoutingTable(this->state->owner, service, targets, previous, this->state->serial, inMs(now));
    }
    this->state->table.replace(std::move(next));
}

std::optional<Pick> Router::pick(std::span<const std::string> excluded, TimePoint now)
{
    RcuReadGuard guard;
    const RoutingTable& table = this->state->table.read(guard);
    Choice choice { table, excluded, this->state->fleet, this->state->random, this->state->turn, inMs(now) };
    const RoutingEntry* entry = chooseTarget(this->state->policy, choice);
    if (!entry) {
        choice.allowEjected = true;
        entry = chooseTarget(this->state->policy, choice);
    }
    if (!entry)
        return std::nullopt;
    entry->target->started(inMs(now));
    this->state->outstanding.fetch_add(1, relaxed);
    uint64_t attempt = this->state->attempts.fetch_add(1, relaxed);
    uint64_t ticket = static_cast<uint64_t>(entry->target->serial) << 32 | attempt;
    return Pick { entry->target->address, entry->target->incarnation, ticket };
}

void Router::finish(const Pick& pick, AttemptOutcome outcome, Milliseconds latency, TimePoint now)
{
    this->state->outstanding.fetch_sub(1, relaxed);
    RcuReadGuard guard;
    const RoutingTable& table = this->state->table.read(guard);
    const RoutingEntry* entry = table.find(pick.address);
    if (!entry || entry->target->serial != pick.ticket >> 32)
        return;
    FleetAverages& fleet = this->state->fleet;
    entry->target->finished(outcome, latency.count(), fleet.latency(), inMs(now));
    if (outcome == AttemptOutcome::Answered)
        average(fleet.logLatency, std::log(std::max(latency.count(), 0.001)), fleet.answers.fetch_add(1, relaxed) == 0);
    bool failed = outcome != AttemptOutcome::Answered && outcome != AttemptOutcome::Cancelled;
    if (failed && entry->target->shouldEject())
        this->state->tryEject(table, *entry->target, inMs(now));
}

void Router::report(const std::string& address, const LoadReport& load, Milliseconds age, TimePoint now)
{
    RcuReadGuard guard;
    const RoutingEntry* entry = this->state->table.read(guard).find(address);
    if (!entry)
        return;
    entry->target->reported(load, inMs(now) - std::max(age.count(), 0.0));
    double others = std::max(0.0, static_cast<double>(load.inFlight) - entry->target->outstanding.load(relaxed));
    average(this->state->fleet.othersPerSlot, others / entry->slots, false);
}

uint32_t Router::outstanding() const
{
    return static_cast<uint32_t>(std::max<int64_t>(0, this->state->outstanding.load(relaxed)));
}

uint32_t Router::usableSlots(TimePoint now) const
{
    RcuReadGuard guard;
    const RoutingTable& table = this->state->table.read(guard);
    uint32_t slots = 0;
    for (size_t i = 0; i < table.servingCount; ++i)
        slots += table.entries[i].target->ejected(inMs(now)) ? 0 : table.entries[i].slots;
    return slots;
}

std::vector<std::string> Router::leastObserved(size_t count, TimePoint) const
{
    RcuReadGuard guard;
    const RoutingTable& table = this->state->table.read(guard);
    std::vector<std::pair<double, const std::string*>> order;
    for (size_t i = 0; i < table.servingCount; ++i) {
        const TargetEstimate& target = *table.entries[i].target;
        order.emplace_back(target.reportedMs.load(relaxed), &target.address);
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
    double fleetLog = this->state->fleet.logLatency.load(relaxed);
    std::vector<std::pair<double, wire::TargetLoad>> ranked;
    for (const RoutingEntry& entry : table.entries) {
        const TargetEstimate& target = *entry.target;
        double age = inMs(now) - target.observedMs.load(relaxed);
        if (age > observationLifetimeMs || !target.answers.load(relaxed))
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
        double surprise = std::abs(target.logLatency.load(relaxed) - fleetLog) + target.failureShare.load(relaxed);
        ranked.emplace_back(surprise * std::exp(-age / observationLifetimeMs), std::move(load));
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<wire::TargetLoad> result;
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
            { "local", entry.local },
            { "slots", entry.slots },
            { "outstanding", target.outstanding.load(relaxed) },
            { "latencyMs", target.latency(this->state->fleet.latency(), inMs(now)) },
            { "failureShare", target.failureShare.load(relaxed) },
            { "ejected", target.ejected(inMs(now)) },
            { "ramp", target.ramp(inMs(now)) },
            { "reportedInFlight", target.reportedInFlight.load(relaxed) },
            { "reportAgeMs", std::min(inMs(now) - target.reportedMs.load(relaxed), 1e9) } });
    }
    return nlohmann::json({ { "service", table.service }, { "outstanding", this->outstanding() }, { "targets", targets } }).dump();
}

} // namespace kingcup
