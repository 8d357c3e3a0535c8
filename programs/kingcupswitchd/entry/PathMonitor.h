/** @file PathMonitor.h Watches whether this VM reaches the targets over its own connections. */
#pragma once

#include "kingcup/Metrics.h"
#include "kingcup/TargetReachability.h"
#include "kingcup/UpstreamClient.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace kingcup {

/** Collects the evidence of all exchanges with targets and sends the checks. Thread-safe. */
class PathMonitor {
public:
    /** @param upstream Sends the checks; used only after its construction. @param changeHook Called on any thread when the state has changed; may be empty. */
    PathMonitor(UpstreamClient& upstream, Metrics& metrics, uint64_t seed, std::function<void(PathState)> changeHook);

    /** Replaces the targets that may be checked. */
    void setTargets(std::vector<std::string> addresses);

    /** Records the end of an exchange over an own connection, and starts the checks that it makes due. */
    void recordExchange(const std::string& address, const UpstreamResult& result);

    /** Starts the checks that are due. */
    void startDueChecks();

    /** Returns whether this VM has lost its path to the targets. */
    bool isCut() const { return this->isPathCut.load(); }

private:
    void startCheck(const std::string& address);
    void recordCheck(bool isConnected);

    UpstreamClient& upstream; ///< Sends the checks.
    Metrics& metrics; ///< Metrics of this process.
    std::function<void(PathState)> changeHook; ///< Called when the state has changed.
    std::atomic<bool> isPathCut { false }; ///< Copy of the state for the request path.
    std::mutex mutex; ///< Guards the members below.
    TargetReachability reachability; ///< Decides by the evidence.
    std::vector<std::string> targets; ///< Addresses of the targets that may be checked.
};

/** Returns what the end of an exchange over an own connection shows about the path. */
PathEvidence pathEvidence(const UpstreamResult& result);

} // namespace kingcup
