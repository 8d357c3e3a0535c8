/** @file EntryNode.cpp Implementation of the role entry. */
#include "EntryNode.h"

#include "kingcup/JsonLog.h"

namespace kingcup {

namespace {

constexpr int unansweredBeforeNextVm = 2; ///< Session requests without an answer after which another control VM is asked.
constexpr Milliseconds redirectPause { 30 }; ///< Before a session request to the leader that an answer named.

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

EntryNode::EntryNode(const Settings& settings, LinkHub& hub, LeaderClient& leader, Metrics& metrics, uint64_t incarnation, uint64_t seed)
    : settings(settings)
    , hub(hub)
    , leader(leader)
    , metrics(metrics)
    , claims(leader, settings.vm, incarnation)
    , gateway(settings, leader, this->claims, metrics, seed)
    , prober(this->gateway)
    , configuration(settings.vm, incarnation, settings.availabilityZone, settings.leaseTerm)
    , listener(
          listenerOptions(settings), [this](std::shared_ptr<HttpExchange> exchange) { this->gateway.handle(std::move(exchange)); },
          [this](ResultCode code) { this->metrics.call("", "", code); })
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
        if (this->configuration.receive(envelope.configuration_push())) {
            this->publish();
            // The leader counts a configuration as in force once a session request confirms it.
            this->sendSessionRequest(now);
        }
        return true;
    }
    if (!envelope.has_session_answer())
        return false;
    const wire::SessionAnswer& answer = envelope.session_answer();
    if (answer.result_code() != 0) {
        this->leader.setLeader(answer.leader_vm() == envelope.sender_vm() ? 0 : answer.leader_vm());
        if (this->leader.leader())
            this->nextSession = std::min(this->nextSession, now + redirectPause);
        return true;
    }
    this->unanswered = 0;
    this->leader.setLeader(envelope.sender_vm());
    if (this->configuration.receive(envelope.request_id(), answer, now)) {
        this->publish();
        this->nextSession = now;
    }
    this->gateway.setLease(this->configuration.leaseEnd(), this->configuration.liveEntryVms(now));
    return true;
}

/** Puts the merged configuration in force. */
void EntryNode::publish()
{
    std::shared_ptr<const ConfigurationSnapshot> snapshot = this->configuration.snapshot();
    this->hasManifest.store(snapshot->manifestNumber > 0);
    this->gateway.configure(std::move(snapshot));
}

void EntryNode::tick(TimePoint now)
{
    this->metrics.gauge("kingcup_lease_valid", this->gateway.leaseValid() ? 1 : 0);
    if (now < this->nextSession)
        return;
    if (++this->unanswered > unansweredBeforeNextVm) {
        this->unanswered = 1;
        this->leader.tryNextVm();
    }
    this->sendSessionRequest(now);
}

void EntryNode::sendSessionRequest(TimePoint now)
{
    this->nextSession = now + this->settings.sessionInterval;
    wire::Envelope envelope;
    uint64_t id = this->leader.nextRequestId();
    envelope.set_request_id(id);
    *envelope.mutable_session_request() = this->configuration.sessionRequest(id, now);
    envelope.mutable_session_request()->set_leaving(this->leaving.load());
    this->hub.send(this->leader.preferredVm(), std::move(envelope));
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
