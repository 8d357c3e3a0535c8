/** @file EntryNode.cpp Implementation of the entry role. */
#include "EntryNode.h"

#include "kingcup/JsonLog.h"

#include <algorithm>
#include <utility>

namespace kingcup {

namespace {

constexpr Milliseconds sessionRetryInterval { 200 }; ///< Time without an answer after which a session request is sent to another control VM.
constexpr Milliseconds startupRetryInterval { 50 }; ///< The same while this VM has no configuration and knows no leader: links may not be open yet.
constexpr Milliseconds startupDuration { 2000 }; ///< Time after the start in which that interval holds.
constexpr Milliseconds firstConfigurationTimeout { 600 }; ///< The same for the leader while this VM has no configuration: the whole one takes longer on a slow link, and each repetition would send it again.
constexpr Milliseconds redirectDelay { 30 }; ///< Shortest time between a session request and the next one to the leader that an answer named; also from that answer on if there is no link to the leader yet.
constexpr Milliseconds electionDelay { 100 }; ///< Shortest time between a session request and the next one after an answer that named no leader.

/** Returns the options of the listener for callers. */
HttpListenerOptions listenerOptions(const Settings& settings)
{
    HttpListenerOptions options;
    options.address = settings.callerListener;
    options.threads = settings.callerThreads;
    options.maxConnections = settings.maxCallerConnections;
    options.maxHeaderBytes = settings.maxHeaderBytes;
    options.slowSenderTimeout = settings.slowSenderTimeout;
    return options;
}

} // namespace

EntryNode::EntryNode(const Settings& settings, const Edge& edge, LinkHub& hub, LeaderClient& leader, Metrics& metrics, RelayGate& gate, uint64_t incarnation, uint64_t seed)
    : settings(settings)
    , startTime(MillisecondClock::now())
    , hub(hub)
    , leader(leader)
    , metrics(metrics)
    , gate(gate)
    , claims(leader, settings.vm, incarnation)
    , gateway(
          settings, edge, leader, this->claims, metrics, gate, [this](PathState) { this->hub.post([this] { this->handlePathChange(); }); }, seed)
    , prober(this->gateway)
    , configuration(settings.vm, incarnation, settings.availabilityZone, settings.leaseTerm)
    , keyLease(settings.keyRevocation)
    , listener(
          listenerOptions(settings), [this](std::shared_ptr<HttpExchange> exchange) { this->gateway.handleRequest(std::move(exchange)); },
          [this](ResultCode code) { this->metrics.countCall("", "", code); })
{
    this->configuration.setUnreadableHook([this](const std::string& document, const DocumentError& error) {
        this->metrics.incrementCounter("kingcup_configurations_refused_total");
        logLine(LogLevel::Error, "configuration_refused", { { "document", document }, { "place", error.pointer }, { "error", error.text } });
    });
}

std::error_code EntryNode::start()
{
    std::error_code error = this->listener.start();
    if (!error)
        this->prober.start();
    return error;
}

bool EntryNode::receive(const wire::Envelope& envelope)
{
    TimePoint now = MillisecondClock::now();
    if (envelope.has_configuration_push()) {
        if (this->configuration.receivePush(envelope.configuration_push(), now)) {
            this->publishConfiguration();
            // The leader counts the configuration as in force on this VM only after a session request has confirmed it.
            this->sendSessionRequest(now);
        }
        return true;
    }
    if (!envelope.has_session_answer())
        return false;
    const wire::SessionAnswer& answer = envelope.session_answer();
    if (envelope.sender_vm() == this->pendingSessionVm)
        this->pendingSessionVm = 0;
    if (answer.result_code() != 0) {
        this->followLeaderHint(envelope.sender_vm(), answer.leader_vm(), now);
        return true;
    }
    this->nextSessionRequest = now + this->settings.sessionInterval;
    this->leader.setLeader(envelope.sender_vm());
    this->leader.setControlVms({ answer.control_vms().begin(), answer.control_vms().end() });
    this->gateway.relays.receiveRelays(answer);
    this->gateway.usage.receiveShares(envelope.request_id(), answer, now);
    bool hasChanged = this->configuration.receiveAnswer(envelope.request_id(), answer, now);
    this->keyLease.renew(this->configuration.lastConfirmedRequest());
    // Calls that wait for the first configuration are checked against the lease when it is published.
    uint32_t liveVms = this->configuration.liveEntryVms(now);
    this->recordLiveVms(liveVms);
    this->gateway.setLease(this->configuration.leaseEnd(), liveVms);
    if (hasChanged) {
        this->publishConfiguration();
        this->gateway.setLease(this->configuration.leaseEnd(), liveVms);
        this->sendSessionRequest(now);
    } else {
        this->gateway.setKeyLease(this->keyLease.end());
    }
    return true;
}

/** Logs a change of the number of entry VMs among which shared limits are divided. */
void EntryNode::recordLiveVms(uint32_t liveVms)
{
    uint32_t before = std::exchange(this->loggedLiveVms, liveVms);
    if (liveVms == before)
        return;
    this->metrics.setGauge("kingcup_live_entry_vms", liveVms);
    logLine(LogLevel::Info, "live_entry_vms_changed", { { "before", before }, { "live", liveVms } });
}

/** Redirects session requests to the leader that a control VM named, or to the next control VM if it named none. */
void EntryNode::followLeaderHint(uint32_t sender, uint32_t leaderVm, TimePoint now)
{
    if (leaderVm && leaderVm == this->pendingSessionVm)
        return;
    if (leaderVm && leaderVm != sender) {
        const std::vector<VmId>& linkedVms = this->leader.controlVms();
        bool isLinked = std::find(linkedVms.begin(), linkedVms.end(), leaderVm) != linkedVms.end();
        this->leader.setLeader(leaderVm);
        // A message to a VM whose link is still being opened would be dropped.
        this->nextSessionRequest = (isLinked ? this->lastSessionRequest : now) + redirectDelay;
        // The next tick may be tens of milliseconds away, and callers wait for the first configuration.
        if (now >= this->nextSessionRequest && !this->hasManifest.load())
            this->sendSessionRequest(now);
        return;
    }
    if (!leaderVm)
        this->leader.recordFailure(sender);
    this->nextSessionRequest = this->lastSessionRequest + electionDelay;
}

/** Puts the merged configuration in force on the request path. */
void EntryNode::publishConfiguration()
{
    std::shared_ptr<const ConfigurationSnapshot> snapshot = this->configuration.snapshot();
    this->hasManifest.store(snapshot->manifestNumber > 0);
    this->servesIsolated.store(!snapshot->routes.empty());
    this->gateway.setLogClock(this->configuration.logClock());
    this->gateway.applyConfiguration(std::move(snapshot), this->keyLease.end());
    this->updateGate();
}

void EntryNode::tick(TimePoint now)
{
    this->metrics.setGauge("kingcup_lease_valid", this->gateway.isLeaseValid() ? 1 : 0);
    this->metrics.setGauge("kingcup_key_lease_valid", this->keyLease.isValid(now) ? 1 : 0);
    if (now < this->nextSessionRequest)
        return;
    if (this->pendingSessionVm)
        this->leader.recordFailure(this->pendingSessionVm);
    this->sendSessionRequest(now);
}

void EntryNode::sendSessionRequest(TimePoint now)
{
    // Any control VM may be the first to know a new leader.
    bool asksAll = !this->hasManifest.load() && !this->leader.leader();
    bool expectsFirstConfiguration = !this->hasManifest.load() && !asksAll;
    Milliseconds retryInterval = expectsFirstConfiguration ? firstConfigurationTimeout : sessionRetryInterval;
    if (asksAll && now < this->startTime + startupDuration)
        retryInterval = startupRetryInterval;
    this->nextSessionRequest = now + retryInterval;
    this->lastSessionRequest = now;
    this->pendingSessionVm = asksAll ? 0 : this->leader.preferredVm();
    if (asksAll) {
        for (uint32_t vm : this->leader.controlVms()) {
            this->leader.connect(vm);
            this->sendSessionRequestTo(vm, now);
        }
    } else {
        this->sendSessionRequestTo(this->pendingSessionVm, now);
    }
}

void EntryNode::sendSessionRequestTo(uint32_t vm, TimePoint now)
{
    wire::Envelope envelope;
    uint64_t id = this->leader.allocateRequestId();
    envelope.set_request_id(id);
    *envelope.mutable_session_request() = this->configuration.createSessionRequest(id, now);
    envelope.mutable_session_request()->set_incarnation(this->claims.currentIncarnation());
    envelope.mutable_session_request()->set_leaving(this->isLeaving.load());
    envelope.mutable_session_request()->set_relay_version(this->gateway.relays.version());
    this->gateway.usage.addUsage(id, now, *envelope.mutable_session_request());
    if (std::optional<wire::RelayOffer> offer = this->gate.offer())
        *envelope.mutable_session_request()->mutable_relay_offer() = std::move(*offer);
    this->hub.send(vm, std::move(envelope));
}

/** Tells control at once whether this VM relays connections, and asks for its own relays. */
void EntryNode::handlePathChange()
{
    this->updateGate();
    this->sendSessionRequest(MillisecondClock::now());
}

/** This VM relays connections while it reaches the targets itself. */
void EntryNode::updateGate()
{
    this->gate.setServing(this->hasManifest.load() && !this->isLeaving.load() && !this->gateway.paths.isCut());
}

void EntryNode::announceStop(TimePoint latestDeadline)
{
    this->gateway.setLatestDeadline(latestDeadline);
    this->isLeaving.store(true);
    this->updateGate();
    this->listener.announceClose();
}

bool EntryNode::drain(Milliseconds limit)
{
    this->listener.stopAccepting();
    TimePoint end = MillisecondClock::now() + limit;
    bool idle = this->listener.waitUntilIdle(limit);
    // A claimed request whose caller has disconnected still has to report its outcome.
    constexpr Milliseconds pollInterval { 5 };
    while (idle && (this->claims.pendingReports() > 0 || this->activeCalls() > 0) && MillisecondClock::now() < end)
        std::this_thread::sleep_for(pollInterval);
    return idle && this->activeCalls() == 0;
}

void EntryNode::cutOffCalls(Milliseconds limit)
{
    this->gateway.stopServing();
    this->listener.announceCutOff();
    this->drain(limit);
}

void EntryNode::stop()
{
    this->gateway.stopServing();
    this->listener.stop();
    this->gateway.stop();
}

} // namespace kingcup
