/** @file EntryNode.h Entry role of the process: keeps the configuration and the lease current and serves callers. */
#pragma once

#include "Gateway.h"
#include "LeaderClient.h"
#include "Prober.h"
#include "TargetAnnouncements.h"

#include "kingcup/EntryConfiguration.h"
#include "kingcup/HttpListener.h"
#include "kingcup/KeyLease.h"
#include "kingcup/Settings.h"

#include <atomic>
#include <memory>

#include <nlohmann/json.hpp>

namespace kingcup {

/** Entry role of a process. receive() and tick() must be called on the thread of the hub. */
class EntryNode {
public:
    EntryNode(const Settings& settings, const Edge& edge, LinkHub& hub, LeaderClient& leader, Metrics& metrics, RelayGate& gate, uint64_t incarnation, uint64_t seed);

    /** Starts the listener for callers and the prober. Fails with ListenFailed. */
    std::error_code start();

    /** Handles session answers and configuration pushes. Returns false for other messages. */
    bool receive(const wire::Envelope& envelope);

    /** Sends a session request, which renews the lease, when one is due. */
    void tick(TimePoint now);

    /** Returns whether this VM should receive calls: a manifest is in force, no stop has begun, targets can be reached, and the lease is valid or there are routes, which are served without one. */
    bool isReady() const { return this->gateway.hasPathToTargets(MillisecondClock::now()) && (this->gateway.isLeaseValid() || this->servesIsolated.load()) && !this->gateway.isStopping.load() && this->hasManifest.load() && !this->isLeaving.load(); }

    /** First step of a planned stop: clears readiness and closes connections after their next answer. Calls whose deadline is after `latestDeadline` are refused, others are still served. */
    void announceStop(TimePoint latestDeadline);

    /** Second step: accepts no new connections and waits for the calls in flight. Returns false if they did not finish within the limit. */
    bool drain(Milliseconds limit);

    /** Refuses all calls that arrive from now on. */
    void refuseCalls() { this->gateway.stopServing(); }

    /** Third step, if calls are left: ends them with an answer, and waits until the answers are sent and the outcomes of claims reported, or the limit has passed. */
    void cutOffCalls(Milliseconds limit);

    /** Last step: refuses calls, closes all connections and cancels what is in flight. */
    void stop();

    /** Returns the number of calls that have not ended. */
    uint64_t activeCalls() const { return this->gateway.activeCalls.load(); }

    /** Updates the gauges of the entry role. */
    void updateGauges() const { this->gateway.updateGauges(); }

    /** Returns the state for diagnosis. */
    nlohmann::json dump() const { return this->gateway.dump(); }

    /** Records load reports of targets that other VMs observed and the leader distributed. */
    void recordLoads(const std::vector<wire::TargetLoad>& loads) { this->gateway.recordLoads(loads); }

private:
    void sendSessionRequest(TimePoint now);
    void sendSessionRequestTo(uint32_t vm, TimePoint now);
    void followLeaderHint(uint32_t sender, uint32_t leaderVm, TimePoint now);
    void publishConfiguration();
    void recordLiveVms(uint32_t liveVms);
    void handlePathChange();
    void updateGate();

    Settings settings; ///< Settings of this process.
    TimePoint startTime; ///< Start of this process.
    LinkHub& hub; ///< Sends session requests.
    LeaderClient& leader; ///< Selects the control VM for session requests.
    Metrics& metrics; ///< Metrics of this process.
    RelayGate& gate; ///< Decides on connections that other VMs want relayed.
    ClaimClient claims; ///< Claims idempotency keys.
    Gateway gateway; ///< Serves callers' requests.
    Prober prober; ///< Probes the load of targets.
    EntryConfiguration configuration; ///< Merged configuration and lease; used on the thread of the hub only.
    uint32_t loggedLiveVms = 0; ///< Number of live entry VMs in the last log line about it.
    KeyLease keyLease; ///< Permission to use API keys; used on the thread of the hub only.
    HttpListener listener; ///< Accepts callers' connections.
    TimePoint nextSessionRequest {}; ///< Time of the next session request.
    TimePoint lastSessionRequest {}; ///< Time of the latest session request.
    uint32_t pendingSessionVm = 0; ///< Control VM whose answer to the last session request is pending; 0: none.
    std::atomic<bool> hasManifest { false }; ///< Whether a manifest is in force.
    std::atomic<bool> servesIsolated { false }; ///< Whether there are routes, which are served without a lease.
    std::atomic<bool> isLeaving { false }; ///< Whether a planned stop has begun.
};

} // namespace kingcup
