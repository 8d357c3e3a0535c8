/** @file Process.h One daemon process: its roles, links and listeners, from start to graceful stop. */
#pragma once

#include "ControlDirectory.h"
#include "ControlNode.h"
#include "Edge.h"
#include "EntryNode.h"
#include "OperatorApi.h"

#include <memory>

namespace kingcup {

/** Wires the roles of one process. */
class Process {
public:
    /** @param edge Interface towards callers, targets and operators. */
    Process(Settings settings, Edge edge);
    ~Process();

    /** Opens state, links and listeners. */
    std::error_code start();

    /** Takes over settings that may change while the process runs: the seeds. */
    void reload(const Settings& changed);

    /** Stops gracefully. Returns whether nothing was cut off. @param aborted Set when a second signal ends the wait. */
    bool stop(const std::atomic<bool>& aborted);

private:
    std::error_code openKeys(LinkKeys& keys) const;
    LinkHubOptions hubOptions(const LinkKeys& keys) const;
    OperatorApiHooks operatorHooks();
    void receive(const LinkOrigin& origin, const wire::Envelope& envelope);
    void tick();
    void report(TimePoint now);
    bool runUntilDrained(const std::atomic<bool>& aborted);
    void handOverLeadership();
    nlohmann::json localStatus() const;
    nlohmann::json dump() const;

    Settings settings; ///< Checked.
    const Edge edge; ///< Interface.
    ControlDirectory directory; ///< Addresses of control VMs.
    uint64_t incarnation; ///< Start of this process: wall time in ms, so that it grows over restarts without a disk.
    uint64_t seed; ///< Of random numbers.
    TimePoint nextReport {}; ///< When the gauges are set again.
    Metrics metrics; ///< Of this process.
    std::unique_ptr<ControlNode> control; ///< Role control, if any.
    std::unique_ptr<LinkHub> hub; ///< Links.
    std::unique_ptr<LeaderClient> leader; ///< Client of the control group.
    std::unique_ptr<EntryNode> entry; ///< Role entry, if any.
    std::unique_ptr<TargetAnnouncements> announcements; ///< Of targets.
    std::unique_ptr<OperatorApi> operatorApi; ///< For operators.
};

} // namespace kingcup
