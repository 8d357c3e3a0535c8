/** @file PathMonitor.cpp Implementation of the monitor of the path to the targets. */
#include "PathMonitor.h"

#include "kingcup/JsonLog.h"

namespace kingcup {

namespace {

constexpr Milliseconds checkTimeout { 200 };

} // namespace

PathEvidence pathEvidence(const UpstreamResult& result)
{
    switch (result.outcome) {
    case UpstreamOutcome::Complete:
        return result.newConnection ? PathEvidence::Connected : PathEvidence::Answered;
    case UpstreamOutcome::ConnectFailed:
        return PathEvidence::NotConnected;
    case UpstreamOutcome::TimedOut:
        return result.isConnected ? PathEvidence::Silent : PathEvidence::NotConnected;
    case UpstreamOutcome::ConnectionLost:
        return PathEvidence::Silent;
    case UpstreamOutcome::Truncated:
    case UpstreamOutcome::Cancelled:
    case UpstreamOutcome::Invalid:
        return PathEvidence::None;
    }
    return PathEvidence::None;
}

PathMonitor::PathMonitor(UpstreamClient& upstream, Metrics& metrics, uint64_t seed, std::function<void(PathState)> changeHook)
    : upstream(upstream)
    , metrics(metrics)
    , changeHook(std::move(changeHook))
    , reachability(RandomSource(seed))
{
    this->metrics.setGauge("kingcup_targets_reachable", 1);
}

void PathMonitor::setTargets(std::vector<std::string> addresses)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->targets = std::move(addresses);
}

void PathMonitor::recordExchange(const std::string& address, const UpstreamResult& result)
{
    PathEvidence evidence = pathEvidence(result);
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->reachability.recordExchange(address, evidence);
    }
    if (evidence == PathEvidence::NotConnected || evidence == PathEvidence::Silent)
        this->startDueChecks();
}

void PathMonitor::startDueChecks()
{
    std::vector<std::string> checks;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        checks = this->reachability.takeChecks(this->targets, MillisecondClock::now());
    }
    for (const std::string& address : checks)
        this->startCheck(address);
}

/** Opens a connection to a target and closes it. */
void PathMonitor::startCheck(const std::string& address)
{
    UpstreamRequest check;
    check.address = address;
    check.method = "GET";
    check.target.push_back('/');
    check.connectsOnly = true;
    check.connectTimeout = checkTimeout;
    check.deadline = MillisecondClock::now() + checkTimeout;
    check.onEnd = [this](const UpstreamResult& result) { this->recordCheck(result.isConnected); };
    this->metrics.incrementCounter("kingcup_path_checks_total");
    this->upstream.start(std::move(check));
}

void PathMonitor::recordCheck(bool isConnected)
{
    PathState state = PathState::Intact;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (!this->reachability.recordCheck(isConnected, MillisecondClock::now()))
            return;
        state = this->reachability.state();
        this->isPathCut.store(state == PathState::Cut);
    }
    logLine(LogLevel::Warning, "target_path_changed", { { "path", nameOf(pathStateNames, state) } });
    this->metrics.setGauge("kingcup_targets_reachable", state == PathState::Cut ? 0 : 1);
    if (this->changeHook)
        this->changeHook(state);
}

} // namespace kingcup
