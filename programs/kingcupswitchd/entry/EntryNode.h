/** @file EntryNode.h The role entry: keeps the configuration and the lease current and serves callers. */
#pragma once

#include "Gateway.h"
#include "LeaderClient.h"
#include "Prober.h"
#include "TargetAnnouncements.h"

#include "kingcup/EntryConfiguration.h"
#include "kingcup/HttpListener.h"
#include "kingcup/Settings.h"

#include <atomic>
#include <memory>

#include <nlohmann/json.hpp>

namespace kingcup {

/** Runs the role entry. receive() and tick() run on the thread of the hub. */
class EntryNode {
public:
    EntryNode(const Settings& settings, const Edge& edge, LinkHub& hub, LeaderClient& leader, Metrics& metrics, uint64_t incarnation, uint64_t seed);

    /** Starts to listen for callers. Error: ListenFailed. */
    std::error_code start();

    /** Handles session answers and pushes. Returns false for other messages. */
    bool receive(const wire::Envelope& envelope);

    /** Renews the lease. */
    void tick(TimePoint now);

    /** Returns whether this VM should get calls. */
    bool ready() const { return (this->gateway.leaseValid() || this->servesIsolated.load()) && !this->gateway.stopping.load() && this->hasManifest.load() && !this->leaving.load(); }

    /** First step of a planned stop: readiness off, connections are closed after their answer. Calls are still served. */
    void announceStop();

    /** Between the steps: only calls are taken that end by this time. */
    void setStopEnd(TimePoint end) { this->gateway.setStopEnd(end); }

    /** Second step: no new connections, calls in flight are finished. Returns false when the limit passed first. */
    bool drain(Milliseconds limit);

    /** Last step: everything is closed. */
    void stop();

    /** Returns the number of calls that are not over. */
    uint64_t activeCalls() const { return this->gateway.activeCalls.load(); }

    /** Sets the gauges of this role. */
    void report() const { this->gateway.report(); }

    /** Returns the state as JSON. */
    nlohmann::json dump() const { return this->gateway.dump(); }

    /** Takes the announcement of a target's observed load by other VMs. */
    void reportLoads(const std::vector<wire::TargetLoad>& loads) { this->gateway.reportLoads(loads); }

private:
    void sendSessionRequest(TimePoint now);
    void followHint(uint32_t sender, uint32_t leaderVm, TimePoint now);
    void publish();

    Settings settings; ///< Of this process.
    LinkHub& hub; ///< Sends.
    LeaderClient& leader; ///< Knows the leader.
    Metrics& metrics; ///< Counts.
    ClaimClient claims; ///< For keys.
    Gateway gateway; ///< Serves calls.
    Prober prober; ///< Measures targets.
    EntryConfiguration configuration; ///< Thread of the hub only.
    HttpListener listener; ///< For callers.
    TimePoint nextSession {}; ///< Next session request.
    uint32_t askedVm = 0; ///< Control VM that has not answered the last session request; 0: none.
    std::atomic<bool> hasManifest { false }; ///< Whether a manifest was ever in force.
    std::atomic<bool> servesIsolated { false }; ///< Whether routes are served without a lease.
    std::atomic<bool> leaving { false }; ///< A planned stop has begun.
};

} // namespace kingcup
