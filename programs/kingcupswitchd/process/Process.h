/** @file Process.h Roles, links and listeners of a daemon process, from start to graceful stop. */
#pragma once

#include "ControlDirectory.h"
#include "ControlNode.h"
#include "Edge.h"
#include "EntryNode.h"
#include "OperatorApi.h"
#include "RelayGate.h"

#include "kingcup/RelayListener.h"

#include <memory>

namespace kingcup {

/** Creates, connects and stops the components of a daemon process. */
class Process {
public:
    /** @param settings Validated settings. @param edge Interface to callers, targets and operators. */
    Process(Settings settings, Edge edge);
    ~Process();

    /** Opens the stored state, the links and the listeners. Returns the first error. After DiskFull it can be called again. */
    std::error_code start();

    /** Applies the settings that may change at run time, which are the seeds and the durations of a stop. */
    void reload(const Settings& changed);

    /** Stops gracefully. Returns whether all calls in flight were completed. @param isAborted Set by another thread to end the wait for calls in flight. */
    bool stop(const std::atomic<bool>& isAborted);

private:
    std::error_code loadLinkKeys(LinkKeys& keys) const;
    LinkHubOptions hubOptions(const LinkKeys& keys) const;
    OperatorApiHooks operatorHooks();
    void receive(const LinkOrigin& origin, const wire::Envelope& envelope);
    void tick();
    void updateGauges(TimePoint now);
    bool waitForCalls(TimePoint end, const std::atomic<bool>& isAborted);
    uint64_t callsInFlight() const;
    void handOverLeadership(TimePoint end);
    std::error_code startRelayListener();
    uint32_t busyRelayedConnections() const;
    nlohmann::json localStatus() const;
    nlohmann::json dump() const;

    Settings settings; ///< Validated settings; the seeds and the durations of a stop change on reload.
    const Edge edge; ///< Interface to callers, targets and operators.
    ControlDirectory directory; ///< Addresses of the control VMs.
    uint64_t incarnation; ///< Start time of this process: wall time in ms, so that it increases over restarts without being stored on disk.
    uint64_t seed; ///< Seed of the random number generators.
    TimePoint nextGaugeUpdate {}; ///< Time of the next update of the gauges.
    Metrics metrics; ///< Metrics of this process.
    RelayGate relayGate; ///< Decides on connections that other VMs want relayed.
    std::unique_ptr<RelayListener> relayListener; ///< Relays connections of other VMs; null if disabled.
    std::unique_ptr<ControlNode> control; ///< Control role; null if disabled.
    std::unique_ptr<LinkHub> hub; ///< Links to other VMs.
    std::unique_ptr<LeaderClient> leaderClient; ///< Client of the control group.
    std::unique_ptr<EntryNode> entry; ///< Entry role; null if disabled.
    std::unique_ptr<TargetAnnouncements> announcements; ///< Announcements that targets send to this VM.
    std::unique_ptr<OperatorApi> operatorApi; ///< HTTP interface for operators and targets.
};

} // namespace kingcup
