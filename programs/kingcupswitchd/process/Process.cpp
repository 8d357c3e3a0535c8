/** @file Process.cpp Implementation of the daemon process. */
#include "Process.h"

#include "kingcup/JsonLog.h"

#include <algorithm>
#include <fstream>
#include <future>
#include <random>
#include <thread>

namespace kingcup {

namespace {

constexpr Milliseconds stopPollInterval { 10 };
constexpr Milliseconds handOverLimit { 2000 };
constexpr Milliseconds reportInterval { 1000 };

/** Returns a random number that is not 0. */
uint64_t randomNumber()
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
    , seed(this->settings.seed ? this->settings.seed : randomNumber())
{
}

Process::~Process() = default;

std::error_code Process::start()
{
    LinkKeys keys;
    if (std::error_code error = this->openKeys(keys))
        return error;
    if (this->settings.control) {
        this->control = std::make_unique<ControlNode>();
        if (std::error_code error = this->control->open(this->settings, this->directory, randomNumber()))
            return error;
    }
    auto receiver = [this](const LinkOrigin& origin, const wire::Envelope& envelope) { this->receive(origin, envelope); };
    this->hub = std::make_unique<LinkHub>(
        this->hubOptions(keys), receiver, [this] { this->tick(); }, this->settings.tickInterval);
    this->leader = std::make_unique<LeaderClient>(*this->hub, this->directory, randomNumber() >> 1);
    if (this->control)
        this->control->start(*this->hub, this->seed);
    if (this->settings.entry)
        this->entry = std::make_unique<EntryNode>(this->settings, this->edge, *this->hub, *this->leader, this->metrics, this->incarnation, this->seed);
    this->announcements = std::make_unique<TargetAnnouncements>(*this->leader, [this](const std::vector<wire::TargetLoad>& loads) {
        if (this->entry)
            this->entry->reportLoads(loads);
    });
    this->operatorApi = std::make_unique<OperatorApi>(this->settings, this->edge, *this->leader, *this->announcements, this->metrics, this->operatorHooks());
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

std::error_code Process::openKeys(LinkKeys& keys) const
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
    options.allowedKeys = this->settings.allowedKeys;
    for (VmId vm : this->directory.firstVms()) {
        options.peers.push_back(*this->directory.peer(vm));
        options.allowedKeys.push_back(options.peers.back().publicKey);
    }
    return options;
}

OperatorApiHooks Process::operatorHooks()
{
    OperatorApiHooks hooks;
    hooks.ready = [this] { return !this->entry || this->entry->ready(); };
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
    // Answers come over this process's own connections. A control VM is also connected to itself, so that a request of
    // its own arrives at its listener under an id that is still open.
    bool overOwnConnection = origin.route.empty();
    if (overOwnConnection && envelope.request_id() && this->leader->receive(envelope))
        return;
    if (this->entry && this->entry->receive(envelope))
        return;
    if (this->control)
        this->control->receive(origin, envelope);
}

void Process::tick()
{
    TimePoint now = MillisecondClock::now();
    this->leader->tick(now);
    if (this->entry)
        this->entry->tick(now);
    if (this->control)
        this->control->tick();
    this->announcements->tick(now);
    if (now >= this->nextReport)
        this->report(now);
}

/** Sets the gauges of all roles. */
void Process::report(TimePoint now)
{
    this->nextReport = now + reportInterval;
    LinkCounters counters = this->hub->counters();
    this->metrics.setGauge("kingcup_link_sent_bytes", static_cast<double>(counters.sentBytes));
    this->metrics.setGauge("kingcup_link_received_bytes", static_cast<double>(counters.receivedBytes));
    this->metrics.setGauge("kingcup_link_dropped_messages", static_cast<double>(counters.droppedMessages));
    if (this->entry)
        this->entry->report();
    if (this->control)
        this->control->report(this->metrics);
}

void Process::reload(const Settings& changed)
{
    if (changed.controlSeeds == this->settings.controlSeeds)
        return;
    this->settings.controlSeeds = changed.controlSeeds;
    this->hub->post([this, vms = ControlDirectory(changed).firstVms()] {
        for (VmId vm : vms) {
            if (std::optional<LinkPeer> peer = this->directory.peer(vm))
                this->hub->connect(std::move(*peer));
        }
        if (this->control)
            this->control->setSeeds(vms);
        // Without a leader the new seeds are asked; members that the leader names come before seeds.
        if (!this->leader->leader())
            this->leader->setControlVms(vms);
    });
}

bool Process::stop(const std::atomic<bool>& aborted)
{
    logLine(LogLevel::Info, "stopping");
    bool clean = true;
    if (this->entry) {
        this->entry->announceStop();
        TimePoint noticeEnd = MillisecondClock::now() + this->settings.stopNotice;
        while (MillisecondClock::now() < noticeEnd && !aborted.load())
            std::this_thread::sleep_for(stopPollInterval);
        clean = this->runUntilDrained(aborted);
    }
    if (this->control)
        this->handOverLeadership();
    if (this->entry)
        this->entry->stop();
    this->operatorApi->stop();
    this->hub->stop();
    if (this->control)
        this->control->stop();
    logLine(LogLevel::Info, "stopped", { { "clean", clean } });
    return clean;
}

/** Waits for the calls in flight, in short steps, so that a second signal is noticed. */
bool Process::runUntilDrained(const std::atomic<bool>& aborted)
{
    constexpr Milliseconds step { 100 };
    TimePoint end = MillisecondClock::now() + this->settings.stopLimit;
    this->entry->setStopEnd(end);
    while (MillisecondClock::now() < end && !aborted.load()) {
        if (this->entry->drain(step))
            return true;
    }
    logLine(LogLevel::Warning, "calls_cut_off", { { "calls", this->entry->activeCalls() } });
    return false;
}

/** Gives leadership away and waits until another VM leads. */
void Process::handOverLeadership()
{
    TimePoint end = MillisecondClock::now() + handOverLimit;
    bool leads = true;
    while (leads && MillisecondClock::now() < end) {
        std::promise<bool> answer;
        this->hub->post([this, &answer] {
            if (this->control->leads())
                this->control->handOver();
            answer.set_value(this->control->leads());
        });
        leads = answer.get_future().get();
        if (leads)
            std::this_thread::sleep_for(stopPollInterval);
    }
}

nlohmann::json Process::localStatus() const
{
    if (this->control)
        return this->control->status();
    return { { "vm", this->settings.vm }, { "role", "entry" }, { "leader", this->leader->leader() } };
}

nlohmann::json Process::dump() const
{
    LinkCounters counters = this->hub->counters();
    nlohmann::json result { { "vm", this->settings.vm }, { "availabilityZone", this->settings.availabilityZone }, { "incarnation", this->incarnation }, { "seed", this->seed },
        { "leader", this->leader->leader() } };
    result["links"] = { { "sentMessages", counters.sentMessages }, { "sentBytes", counters.sentBytes }, { "receivedMessages", counters.receivedMessages },
        { "receivedBytes", counters.receivedBytes }, { "dropped", counters.droppedMessages } };
    if (this->control)
        result["control"] = this->control->dump();
    if (this->entry)
        result["entry"] = this->entry->dump();
    return result;
}

} // namespace kingcup
