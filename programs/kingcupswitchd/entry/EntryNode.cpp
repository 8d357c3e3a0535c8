/** @file EntryNode.cpp Implementation of the role entry. */
#include "EntryNode.h"

#include "kingcup/JsonLog.h"

namespace kingcup {

namespace {

constexpr Milliseconds sessionRetryInterval { 200 }; ///< A session request without an answer for this long is sent to another control VM.
constexpr Milliseconds redirectPause { 30 }; ///< Before a session request to the leader that an answer named.
constexpr Milliseconds electionPause { 100 }; ///< Before the next session request when an answer named no leader.

/** Returns the options of the callers' listener. */
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

EntryNode::EntryNode(const Settings& settings, const Edge& edge, LinkHub& hub, LeaderClient& leader, Metrics& metrics, uint64_t incarnation, uint64_t seed)
    : settings(settings)
    , hub(hub)
    , leader(leader)
    , metrics(metrics)
    , claims(leader, settings.vm, incarnation)
    , gateway(settings, edge, leader, this->claims, metrics, seed)
    , prober(this->gateway)
    , configuration(settings.vm, incarnation, settings.availabilityZone, settings.leaseTerm)
    , listener(
          listenerOptions(settings), [this](std::shared_ptr<HttpExchange> exchange) { this->gateway.handle(std::move(exchange)); },
          [this](ResultCode code) { this->metrics.countCall("", "", code); })
{
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
            this->publish();
            // The leader counts a configuration as in force once a session request confirms it.
            this->sendSessionRequest(now);
        }
        return true;
    }
    if (!envelope.has_session_answer())
        return false;
    const wire::SessionAnswer& answer = envelope.session_answer();
    this->askedVm = 0;
    if (answer.result_code() != 0) {
        this->followHint(envelope.sender_vm(), answer.leader_vm(), now);
        return true;
    }
    this->nextSession = now + this->settings.sessionInterval;
    this->leader.setLeader(envelope.sender_vm());
    this->leader.setControlVms({ answer.control_vms().begin(), answer.control_vms().end() });
    if (this->configuration.receiveAnswer(envelope.request_id(), answer, now)) {
        this->publish();
        this->sendSessionRequest(now);
    }
    this->gateway.setLease(this->configuration.leaseEnd(), this->configuration.liveEntryVms(now));
    return true;
}

/** Turns to the leader that a control VM named, or to the next control VM when it knows none. */
void EntryNode::followHint(uint32_t sender, uint32_t leaderVm, TimePoint now)
{
    if (leaderVm && leaderVm != sender) {
        this->leader.setLeader(leaderVm);
        this->nextSession = now + redirectPause;
        return;
    }
    if (!leaderVm)
        this->leader.failed(sender);
    this->nextSession = now + electionPause;
}

/** Puts the merged configuration in force. */
void EntryNode::publish()
{
    std::shared_ptr<const ConfigurationSnapshot> snapshot = this->configuration.snapshot();
    this->hasManifest.store(snapshot->manifestNumber > 0);
    this->servesIsolated.store(!snapshot->routes.empty());
    this->gateway.setLogClock(this->configuration.logClock());
    this->gateway.configure(std::move(snapshot));
}

void EntryNode::tick(TimePoint now)
{
    this->metrics.setGauge("kingcup_lease_valid", this->gateway.leaseValid() ? 1 : 0);
    if (now < this->nextSession)
        return;
    if (this->askedVm)
        this->leader.failed(this->askedVm);
    this->sendSessionRequest(now);
}

void EntryNode::sendSessionRequest(TimePoint now)
{
    this->nextSession = now + sessionRetryInterval;
    wire::Envelope envelope;
    uint64_t id = this->leader.nextRequestId();
    envelope.set_request_id(id);
    *envelope.mutable_session_request() = this->configuration.createSessionRequest(id, now);
    envelope.mutable_session_request()->set_incarnation(this->claims.currentIncarnation());
    envelope.mutable_session_request()->set_leaving(this->leaving.load());
    this->askedVm = this->leader.preferredVm();
    this->hub.send(this->askedVm, std::move(envelope));
}

void EntryNode::announceStop()
{
    this->leaving.store(true);
    this->listener.announceClose();
}

bool EntryNode::drain(Milliseconds limit)
{
    this->listener.stopAccepting();
    TimePoint end = MillisecondClock::now() + limit;
    bool idle = this->listener.waitIdle(limit);
    // Claimed requests whose caller has gone still have to report their outcome.
    constexpr Milliseconds pollInterval { 5 };
    while (idle && (this->claims.unreported() > 0 || this->activeCalls() > 0) && MillisecondClock::now() < end)
        std::this_thread::sleep_for(pollInterval);
    return idle && this->activeCalls() == 0;
}

void EntryNode::stop()
{
    this->gateway.stopServing();
    this->listener.stop();
    this->gateway.stop();
}

} // namespace kingcup
