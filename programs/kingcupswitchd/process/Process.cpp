/** @file Process.cpp Start, message dispatch and graceful stop of the daemon process. */
#include "Process.h"

#include "kingcup/JsonLog.h"
#include "kingcup/StopSchedule.h"

#include <algorithm>
#include <fstream>
#include <future>
#include <random>
#include <thread>

namespace kingcup {

namespace {

constexpr Milliseconds stopPollInterval { 10 };
constexpr Milliseconds handOverTimeout { 2000 };
constexpr Milliseconds cutOffTimeout { 100 }; ///< Longest time for the answers to calls that are cut off.
constexpr Milliseconds gaugeUpdateInterval { 1000 };
constexpr Milliseconds controlConnectTimeout { 100 }; ///< Between control VMs, whose links decide how long an election takes after a loss of power. They are few, so that frequent tries cost little.
constexpr Milliseconds controlReconnectInterval { 20 };

/** Returns a nonzero random number. */
uint64_t randomNonzero()
{
    std::random_device device;
    uint64_t number = (static_cast<uint64_t>(device()) << 32) | device();
    return number ? number : 1;
}

} // namespace

Process::Process(Settings settings, Edge edge)
    : settings(std::move(settings))
    , edge(std::move(edge))
    , directory(this->settings)
    , incarnation(static_cast<uint64_t>(MillisecondClock::wallTimeMs()))
    , seed(this->settings.seed ? this->settings.seed : randomNonzero())
    , relayGate(this->settings)
{
}

Process::~Process() = default;

std::error_code Process::start()
{
    LinkKeys keys;
    if (std::error_code error = this->loadLinkKeys(keys))
        return error;
    if (this->settings.control) {
        this->control = std::make_unique<ControlNode>();
        if (std::error_code error = this->control->open(this->settings, this->directory, randomNonzero()))
            return error;
    }
    auto receiver = [this](const LinkOrigin& origin, const wire::Envelope& envelope) { this->receive(origin, envelope); };
    this->hub = std::make_unique<LinkHub>(
        this->hubOptions(keys), receiver, [this] { this->tick(); }, this->settings.tickInterval);
    this->leaderClient = std::make_unique<LeaderClient>(*this->hub, this->directory, randomNonzero() >> 1);
    if (this->control)
        this->control->start(*this->hub, this->relayGate, this->seed);
    if (this->settings.entry)
        this->entry = std::make_unique<EntryNode>(this->settings, this->edge, *this->hub, *this->leaderClient, this->metrics, this->relayGate, this->incarnation, this->seed);
    this->announcements = std::make_unique<TargetAnnouncements>(*this->leaderClient, [this](const std::vector<wire::TargetLoad>& loads) {
        if (this->entry)
            this->entry->recordLoads(loads);
    });
    this->operatorApi = std::make_unique<OperatorApi>(this->settings, this->edge, *this->leaderClient, *this->announcements, this->metrics, this->operatorHooks());
    if (std::error_code error = this->startRelayListener())
        return error;
    if (std::error_code error = this->hub->start())
        return error;
    if (std::error_code error = this->operatorApi->start())
        return error;
    if (this->entry) {
        if (std::error_code error = this->entry->start())
            return error;
    }
    logLine(LogLevel::Info, "started", { { "incarnation", this->incarnation }, { "seed", this->seed } });
    return {};
}

std::error_code Process::startRelayListener()
{
    if (this->settings.relayListener.empty())
        return {};
    RelayListenerOptions options;
    options.address = this->settings.relayListener;
    options.maxConnections = this->settings.maxRelayedConnections;
    this->relayListener = std::make_unique<RelayListener>(options, [this](std::string_view token, const std::string& target) { return this->relayGate.decide(token, target); });
    return this->relayListener->start();
}

std::error_code Process::loadLinkKeys(LinkKeys& keys) const
{
    if (this->settings.linkSecurity == LinkSecurity::None)
        return {};
    std::ifstream stream(this->settings.curveSecretKeyFile);
    keys.publicKey = this->settings.curvePublicKey;
    if (!std::getline(stream, keys.secretKey))
        return ResultCode::FileError;
    return {};
}

LinkHubOptions Process::hubOptions(const LinkKeys& keys) const
{
    LinkHubOptions options;
    options.isSecured = this->settings.linkSecurity == LinkSecurity::Curve;
    options.deployment = this->settings.deployment;
    options.sender = this->settings.vm;
    options.senderVm = this->settings.control ? this->settings.controlId : 0;
    options.senderIncarnation = this->control ? this->control->incarnation() : this->incarnation;
    options.keys = keys;
    options.listen = this->settings.control ? this->settings.linkListener : "";
    if (this->settings.control) {
        options.connectTimeout = controlConnectTimeout;
        options.minReconnectInterval = controlReconnectInterval;
        options.maxReconnectInterval = controlReconnectInterval;
    }
    options.allowedKeys = this->settings.allowedKeys;
    for (VmId vm : this->directory.initialVms()) {
        options.peers.push_back(*this->directory.peer(vm));
        options.allowedKeys.push_back(options.peers.back().publicKey);
    }
    return options;
}

OperatorApiHooks Process::operatorHooks()
{
    OperatorApiHooks hooks;
    hooks.isReady = [this] { return !this->entry || this->entry->isReady(); };
    hooks.dump = [this](std::function<void(nlohmann::json)> done) {
        this->hub->post([this, done = std::move(done)] { done(this->dump()); });
    };
    hooks.localStatus = [this](std::function<void(nlohmann::json)> done) {
        this->hub->post([this, done = std::move(done)] { done(this->localStatus()); });
    };
    if (this->control) {
        hooks.bootstrap = [this](MembershipManager::Done done) {
            this->hub->post([this, done = std::move(done)] { this->control->bootstrap(done); });
        };
    }
    return hooks;
}

void Process::receive(const LinkOrigin& origin, const wire::Envelope& envelope)
{
    // Answers arrive over connections that this process opened. A control VM is also connected to itself, so its own
    // requests arrive at its listener with an id that is still pending and must not be taken for answers.
    bool overOwnConnection = origin.route.empty();
    if (overOwnConnection && envelope.request_id() && this->leaderClient->receiveAnswer(envelope))
        return;
    if (this->entry && this->entry->receive(envelope))
        return;
    if (this->control)
        this->control->receive(origin, envelope);
}

void Process::tick()
{
    TimePoint now = MillisecondClock::now();
    this->relayGate.recordTick(now);
    this->leaderClient->tick(now);
    if (this->entry)
        this->entry->tick(now);
    if (this->control)
        this->control->tick();
    this->announcements->tick(now);
    if (now >= this->nextGaugeUpdate)
        this->updateGauges(now);
}

/** Updates the gauges of the links and of all roles. */
void Process::updateGauges(TimePoint now)
{
    this->nextGaugeUpdate = now + gaugeUpdateInterval;
    LinkCounters counters = this->hub->counters();
    this->metrics.setGauge("kingcup_link_sent_bytes", static_cast<double>(counters.sentBytes));
    this->metrics.setGauge("kingcup_link_received_bytes", static_cast<double>(counters.receivedBytes));
    this->metrics.setGauge("kingcup_link_dropped_messages", static_cast<double>(counters.droppedMessages));
    if (this->relayListener)
        this->metrics.setGauge("kingcup_relayed_connections", this->relayListener->openConnections());
    if (this->entry)
        this->entry->updateGauges();
    if (this->control)
        this->control->report(this->metrics);
}

void Process::reload(const Settings& changed)
{
    this->settings.stopNotice = changed.stopNotice;
    this->settings.stopLimit = changed.stopLimit;
    this->settings.stopGracePeriod = changed.stopGracePeriod;
    if (changed.controlSeeds == this->settings.controlSeeds)
        return;
    this->settings.controlSeeds = changed.controlSeeds;
    this->hub->post([this, vms = ControlDirectory(changed).initialVms()] {
        for (VmId vm : vms) {
            if (std::optional<LinkPeer> peer = this->directory.peer(vm))
                this->hub->connect(std::move(*peer));
        }
        if (this->control)
            this->control->setSeeds(vms);
        // The new seeds are used only while no leader is known: the members that a leader names take precedence over seeds.
        if (!this->leaderClient->leader())
            this->leaderClient->setControlVms(vms);
    });
}

bool Process::stop(const std::atomic<bool>& isAborted)
{
    TimePoint start = MillisecondClock::now();
    StopSchedule schedule({ this->settings.stopNotice, this->settings.stopLimit, this->settings.stopGracePeriod }, start);
    logLine(LogLevel::Info, "stopping", { { "calls", this->callsInFlight() }, { "noticeMs", (schedule.noticeEnd() - start).count() }, { "callsMs", (schedule.callsEnd() - start).count() } });
    this->relayGate.setServing(false);
    if (this->relayListener)
        this->relayListener->stopAccepting();
    if (this->entry)
        this->entry->announceStop(schedule.latestDeadline());
    // Before the wait for calls, so that the group has a leader when the platform kills this process.
    this->handOverLeadership(schedule.noticeEnd());
    while (this->entry && MillisecondClock::now() < schedule.noticeEnd() && !isAborted.load())
        std::this_thread::sleep_for(stopPollInterval);
    bool isClean = true;
    if (this->entry || this->busyRelayedConnections() > 0)
        isClean = this->waitForCalls(schedule.callsEnd(), isAborted);
    // This VM may have been elected again while it waited.
    TimePoint now = MillisecondClock::now();
    TimePoint handOverEnd = now + handOverTimeout;
    if (std::optional<TimePoint> processEnd = schedule.processEnd())
        handOverEnd = std::min(handOverEnd, now + (*processEnd - now) / 2);
    this->handOverLeadership(handOverEnd);
    if (this->entry)
        this->entry->stop();
    if (this->relayListener)
        this->relayListener->stop();
    this->operatorApi->stop();
    this->hub->stop();
    if (this->control)
        this->control->stop();
    logLine(LogLevel::Info, "stopped", { { "clean", isClean } });
    return isClean;
}

/** Waits for the calls in flight, also those of other VMs, in short steps so that `isAborted` is checked in between; then cuts off the rest. Returns whether all calls completed. */
bool Process::waitForCalls(TimePoint end, const std::atomic<bool>& isAborted)
{
    constexpr Milliseconds step { 100 };
    bool isRefusing = !this->entry;
    for (;;) {
        TimePoint now = MillisecondClock::now();
        // At the end too, since there may be no call to cut off.
        bool isLastCheck = now >= end || isAborted.load();
        bool isIdle = !this->entry || this->entry->drain(isLastCheck ? Milliseconds(0) : std::min(step, end - now));
        if (isIdle && !this->busyRelayedConnections()) {
            if (isRefusing)
                return true;
            // A call may have arrived on a kept connection since the check. It is finished, and none is passed on after it.
            this->entry->refuseCalls();
            isRefusing = true;
            continue;
        }
        if (isLastCheck)
            break;
        if (isIdle)
            std::this_thread::sleep_for(stopPollInterval);
    }
    logLine(LogLevel::Warning, "calls_cut_off", { { "calls", this->callsInFlight() } });
    if (this->entry)
        this->entry->cutOffCalls(cutOffTimeout);
    return false;
}

/** Returns the number of calls in flight, also of other VMs. */
uint64_t Process::callsInFlight() const
{
    return (this->entry ? this->entry->activeCalls() : 0) + this->busyRelayedConnections();
}

/** Returns the number of connections of other VMs on which an answer is awaited. */
uint32_t Process::busyRelayedConnections() const
{
    return this->relayListener ? this->relayListener->busyConnections() : 0;
}

/** Transfers leadership and waits until this VM is no longer the leader, or until the end. */
void Process::handOverLeadership(TimePoint end)
{
    bool isLeader = this->control != nullptr;
    while (isLeader && MillisecondClock::now() < end) {
        std::promise<bool> answer;
        this->hub->post([this, &answer] {
            if (this->control->isLeader())
                this->control->transferLeadership();
            answer.set_value(this->control->isLeader());
        });
        isLeader = answer.get_future().get();
        if (isLeader)
            std::this_thread::sleep_for(stopPollInterval);
    }
}

nlohmann::json Process::localStatus() const
{
    if (this->control)
        return this->control->status();
    return { { "vm", this->settings.vm }, { "role", "entry" }, { "leader", this->leaderClient->leader() } };
}

nlohmann::json Process::dump() const
{
    LinkCounters counters = this->hub->counters();
    nlohmann::json result { { "vm", this->settings.vm }, { "availabilityZone", this->settings.availabilityZone }, { "incarnation", this->incarnation }, { "seed", this->seed },
        { "leader", this->leaderClient->leader() } };
    result["links"] = { { "sentMessages", counters.sentMessages }, { "sentBytes", counters.sentBytes }, { "receivedMessages", counters.receivedMessages },
        { "receivedBytes", counters.receivedBytes }, { "dropped", counters.droppedMessages } };
    if (this->control)
        result["control"] = this->control->dump();
    if (this->entry)
        result["entry"] = this->entry->dump();
    return result;
}

} // namespace kingcup
