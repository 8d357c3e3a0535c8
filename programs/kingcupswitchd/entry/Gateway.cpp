/** @file Gateway.cpp Implementation of the state shared by all calls. */
#include "Gateway.h"

#include "Call.h"

#include "kingcup/EntryVmCount.h"
#include "kingcup/JsonLog.h"
#include "kingcup/ZonesOutOfUse.h"

#include <absl/strings/ascii.h>
#include <algorithm>

namespace kingcup {

namespace {

constexpr uint32_t maxIdleConnectionsPerThread = 2000;
constexpr uint64_t usageSeed = 0x75736167; ///< Makes the random numbers of usage caps differ from those of other users of the seed.
constexpr Milliseconds departureReportTimeout { 2000 };

/** Orders rows so that the first match is the most specific one: rows with a host first, then longer path prefixes, then by name. */
bool isMoreSpecific(const RequestTableRow& one, const RequestTableRow& other)
{
    bool oneHasHost = !one.service->host.empty();
    bool otherHasHost = !other.service->host.empty();
    if (oneHasHost != otherHasHost)
        return oneHasHost;
    if (one.service->pathPrefix.size() != other.service->pathPrefix.size())
        return one.service->pathPrefix.size() > other.service->pathPrefix.size();
    return one.service->name < other.service->name;
}

/** Returns the table that is in force before the first configuration. */
std::unique_ptr<const RequestTable> createEmptyTable()
{
    auto table = std::make_unique<RequestTable>();
    table->configuration = std::make_shared<ConfigurationSnapshot>();
    table->keys = std::make_shared<const KeyTable>();
    return table;
}

} // namespace

Gateway::Gateway(const Settings& settings, const Edge& edge, LeaderClient& leader, ClaimClient& claims, Metrics& metrics, RelayGate& gate, std::function<void(PathState)> pathHook, uint64_t seed)
    : entryVm(settings.vm)
    , edge(edge)
    , maxConnectionIdle(settings.maxConnectionIdle)
    , suspicionWait(settings.suspicionWait)
    , leader(leader)
    , claims(claims)
    , metrics(metrics)
    , paths(this->upstream, metrics, seed, std::move(pathHook))
    , relays(this->paths)
    , upstream(settings.upstreamThreads, maxIdleConnectionsPerThread)
    , gate(gate)
    , usage(settings.usageCap, settings.leaseTerm, initialAssumedEntryVms, seed ^ usageSeed)
    , requestTable(createEmptyTable())
    , availabilityZone(settings.availabilityZone)
    , leaseTerm(settings.leaseTerm)
    , seed(seed)
    , retryBudget(settings.retryBudget)
    , zoneTransfer(settings.zoneTransfer)
    , routeMeasuringBudget(settings.routeMeasuringBudget)
    , startupQueue(MillisecondClock::now(), RandomSource(seed))
{
}

void Gateway::handleRequest(std::shared_ptr<HttpExchange> exchange)
{
    auto call = std::make_shared<Call>(*this, std::move(exchange));
    call->start();
}

void Gateway::applyConfiguration(std::shared_ptr<const ConfigurationSnapshot> configuration, TimePoint keyLeaseEnd)
{
    std::lock_guard<std::mutex> lock(this->configurationMutex);
    auto next = std::make_unique<RequestTable>();
    this->addServices(*configuration, *next);
    this->addRoutes(*configuration, *next);
    next->keys = this->keys();
    if (!next->keys->isBuiltFrom(configuration->organisations))
        next->keys = std::make_shared<const KeyTable>(configuration->organisations);
    this->containment.applySnapshot(*configuration);
    this->paths.setTargets(addressesInUse(*configuration));
    this->gate.setTargets(addressesInUse(*configuration));
    this->reportZones(*configuration);
    next->configuration = std::move(configuration);
    logLine(LogLevel::Info, "configuration_in_force", { { "index", next->configuration->index }, { "manifest", next->configuration->manifestNumber } });
    this->metrics.setGauge("kingcup_manifest_number", static_cast<double>(next->configuration->manifestNumber));
    bool hasManifest = next->configuration->manifestNumber > 0;
    this->requestTable.replace(std::move(next));
    // Between the table that the lease covers and the waiting calls, whose keys are checked at once.
    this->setKeyLease(keyLeaseEnd);
    if (hasManifest)
        this->releaseWaitingCalls();
}

bool Gateway::waitForConfiguration(uint64_t callId, TimePoint callDeadline, std::function<void(bool isConfigured)> resume)
{
    {
        std::lock_guard<std::mutex> lock(this->startupMutex);
        if (!this->isConfigured) {
            std::optional<TimePoint> end = this->startupQueue.enter(callDeadline, MillisecondClock::now());
            if (!end)
                return false;
            TimerId timer = this->timers.schedule(*end, [this, callId] { this->endWait(callId); });
            this->waitingCalls[callId] = { std::move(resume), timer };
            return true;
        }
    }
    resume(true);
    return true;
}

Milliseconds Gateway::startupRetryAfter()
{
    std::lock_guard<std::mutex> lock(this->startupMutex);
    return this->startupQueue.retryAfter(MillisecondClock::now());
}

/** Ends the wait of a call without a configuration. */
void Gateway::endWait(uint64_t callId)
{
    std::function<void(bool)> resume;
    {
        std::lock_guard<std::mutex> lock(this->startupMutex);
        auto call = this->waitingCalls.find(callId);
        if (call == this->waitingCalls.end())
            return;
        resume = std::move(call->second.resume);
        this->waitingCalls.erase(call);
        this->startupQueue.leave();
    }
    resume(false);
}

/** Resumes the calls that wait for the first configuration, in the order of their arrival. */
void Gateway::releaseWaitingCalls()
{
    std::map<uint64_t, WaitingCall> calls;
    {
        std::lock_guard<std::mutex> lock(this->startupMutex);
        this->isConfigured = true;
        calls.swap(this->waitingCalls);
        for (size_t i = 0; i < calls.size(); ++i)
            this->startupQueue.leave();
    }
    if (!calls.empty())
        logLine(LogLevel::Info, "waiting_calls_released", { { "calls", calls.size() } });
    for (auto& [id, call] : calls) {
        this->timers.cancel(call.timer);
        call.resume(true);
    }
}

/** Logs the zones whose state differs from the configuration in force, and sets the gauge. */
void Gateway::reportZones(const ConfigurationSnapshot& configuration) const
{
    std::shared_ptr<const ConfigurationSnapshot> previous;
    {
        RcuReadGuard guard;
        previous = this->requestTable.read(guard).configuration;
    }
    auto logDifference = [](const std::set<std::string>& zones, const std::set<std::string>& others, std::string_view state) {
        for (const std::string& zone : zones) {
            if (!others.contains(zone))
                logLine(LogLevel::Info, "zone_changed", { { "zone", zone }, { "state", state } });
        }
    };
    logDifference(configuration.zonesOutOfUse, previous->zonesOutOfUse, "out_of_use");
    logDifference(previous->zonesOutOfUse, configuration.zonesOutOfUse, "in_use");
    this->metrics.setGauge("kingcup_zones_out_of_use", static_cast<double>(configuration.zonesOutOfUse.size()));
}

/** Adds the services. Those that are in the table in force keep their runtime, with its queue and estimates. */
void Gateway::addServices(const ConfigurationSnapshot& configuration, RequestTable& next)
{
    std::map<std::string, std::shared_ptr<ServiceRuntime>> runtimes;
    for (const RequestTableRow& row : this->services())
        runtimes[row.service->name] = row.runtime;
    TimePoint now = MillisecondClock::now();
    for (const auto& [name, service] : configuration.services) {
        std::shared_ptr<ServiceRuntime>& runtime = runtimes[name];
        bool isNew = !runtime;
        if (isNew)
            runtime = std::make_shared<ServiceRuntime>(*service, this->entryVm, this->availabilityZone, this->retryBudget, std::max(initialAssumedEntryVms, this->usage.assumedVms()), this->seed ^ std::hash<std::string>()(name), this->timers);
        if (isNew && this->zoneTransfer)
            runtime->setZoneTransfer(*this->zoneTransfer);
        const MeasuringBudget& budget = service->kinds.empty() ? this->routeMeasuringBudget : service->measuringBudget;
        runtime->applyConfiguration(*service, budget, targetsInUse(configuration, name), now, static_cast<uint64_t>(this->logTimeMs()));
        runtime->setOnlyTargetsOutOfUse(hasOnlyTargetsOutOfUse(configuration, name));
        next.rows.push_back({ service, runtime });
    }
    std::sort(next.rows.begin(), next.rows.end(), isMoreSpecific);
}

/** Adds the routes. Of two routes with the same host and prefix, the first in the order of their keys is used. */
void Gateway::addRoutes(const ConfigurationSnapshot& configuration, RequestTable& next) const
{
    std::map<std::string_view, const RequestTableRow*> services;
    for (const RequestTableRow& row : next.rows)
        services[row.service->name] = &row;
    RandomSource random(this->seed ^ configuration.index);
    for (const auto& [key, route] : configuration.routes) {
        RouteRow row { route, {}, std::make_shared<WeightedSplit>(random.fraction()) };
        for (const RouteShare& share : route->shares)
            row.shares.push_back(*services.at(share.service));
        next.routes[absl::AsciiStrToLower(route->host)].push_back(std::move(row));
    }
    auto hasLongerPrefix = [](const RouteRow& one, const RouteRow& other) { return one.route->pathPrefix.size() > other.route->pathPrefix.size(); };
    for (auto& [host, rows] : next.routes)
        std::stable_sort(rows.begin(), rows.end(), hasLongerPrefix);
}

void Gateway::setLogClock(const LogClock& clock)
{
    std::lock_guard<std::mutex> lock(this->logClockMutex);
    this->logClock = clock;
}

int64_t Gateway::logTimeMs() const
{
    std::lock_guard<std::mutex> lock(this->logClockMutex);
    return static_cast<int64_t>(this->logClock.at(MillisecondClock::now()));
}

void Gateway::setLease(TimePoint end, uint32_t liveVms)
{
    this->leaseEndMs.store(end.time_since_epoch().count());
    TimePoint now = MillisecondClock::now();
    uint32_t assumedVms = this->usage.assumedVms();
    for (const RequestTableRow& row : this->services())
        row.runtime->setLiveVms(liveVms, assumedVms, this->leaseTerm, now);
}

std::shared_ptr<const KeyTable> Gateway::keys() const
{
    RcuReadGuard guard;
    return this->requestTable.read(guard).keys;
}

std::vector<RequestTableRow> Gateway::services() const
{
    RcuReadGuard guard;
    return this->requestTable.read(guard).rows;
}

void Gateway::recordLoads(const std::vector<wire::TargetLoad>& loads)
{
    std::map<std::string, std::shared_ptr<ServiceRuntime>> runtimes;
    for (const RequestTableRow& row : this->services())
        runtimes[row.service->name] = row.runtime;
    TimePoint now = MillisecondClock::now();
    for (const wire::TargetLoad& load : loads) {
        auto runtime = runtimes.find(load.target().service());
        if (runtime == runtimes.end())
            continue;
        LoadReport report { load.in_flight(), load.target().slots(), load.latency_ms() };
        runtime->second->router.recordReport(load.target().address(), report, Milliseconds(load.age_ms()), now);
    }
}

TargetNotice Gateway::parseNotice(const HttpAnswerHead& head) const
{
    return parseTargetNotice(head, { this->edge.headers.leaving, this->edge.headers.limit, this->edge.headers.coldLeft });
}

bool Gateway::recordTargetNotice(const RequestTableRow& service, const std::string& address, uint64_t incarnation, const TargetNotice& notice, TimePoint now)
{
    Router& router = service.runtime->router;
    if (notice.retryAfter)
        router.recordRetryAfter(address, incarnation, *notice.retryAfter, now);
    if (notice.requestsPerSecond)
        router.recordLimit(address, incarnation, *notice.requestsPerSecond, now);
    if (!notice.isLeaving || !router.recordLeaving(address, incarnation, now))
        return false;
    this->reportDeparture(service.service->name, address, incarnation);
    return true;
}

/** Reports to control that a target leaves, unless its record says so already. */
void Gateway::reportDeparture(const std::string& service, const std::string& address, uint64_t incarnation)
{
    std::shared_ptr<const ConfigurationSnapshot> configuration;
    {
        RcuReadGuard guard;
        configuration = this->requestTable.read(guard).configuration;
    }
    auto targets = configuration->targets.find(service);
    if (targets == configuration->targets.end())
        return;
    for (const wire::TargetRecord& record : targets->second) {
        if (record.address() != address || record.incarnation() != incarnation || record.state() != wire::TARGET_SERVING)
            continue;
        wire::Command command;
        wire::TargetRecord& leaving = *command.mutable_change_target()->mutable_target();
        leaving = record;
        leaving.set_state(wire::TARGET_DRAINING);
        this->leader.sendCommand(std::move(command), departureReportTimeout, [](const wire::CommandResult&) {});
    }
}

void Gateway::recordExchange(const std::string& address, const std::optional<RelayHop>& relay, const UpstreamResult& result)
{
    if (relay)
        this->relays.recordResult(*relay, result);
    else
        this->paths.recordExchange(address, result);
}

void Gateway::updateGauges() const
{
    TimePoint now = MillisecondClock::now();
    for (const RequestTableRow& row : this->services())
        row.runtime->updateGauges(row.service->name, this->metrics, now);
    this->metrics.setGauge("kingcup_usage_caps_closed", static_cast<double>(this->usage.closedOrganisations(now)));
    this->metrics.setGauge("kingcup_active_calls", static_cast<double>(this->activeCalls.load()));
    this->metrics.setGauge("kingcup_claim_reports_open", static_cast<double>(this->claims.pendingReports()));
}

void Gateway::stop()
{
    this->upstream.stop();
    this->timers.stop();
}

nlohmann::json Gateway::dump() const
{
    TimePoint now = MillisecondClock::now();
    nlohmann::json services;
    for (const RequestTableRow& row : this->services())
        services[row.service->name] = row.runtime->dump(now);
    std::shared_ptr<const ConfigurationSnapshot> configuration;
    {
        RcuReadGuard guard;
        configuration = this->requestTable.read(guard).configuration;
    }
    return { { "services", services }, { "configurationIndex", configuration->index }, { "manifestNumber", configuration->manifestNumber },
        { "manifestDigest", configuration->manifestDigest }, { "quarantines", configuration->quarantines.size() }, { "zonesOutOfUse", configuration->zonesOutOfUse }, { "activeCalls", this->activeCalls.load() },
        { "leaseMs", this->leaseEndMs.load() - now.time_since_epoch().count() }, { "claimReportsOpen", this->claims.pendingReports() }, { "stopping", this->isStopping.load() } };
}

} // namespace kingcup
