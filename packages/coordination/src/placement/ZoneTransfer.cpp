/** @file ZoneTransfer.cpp Follows the difference between the expected waits of the zones. */
#include "kingcup/ZoneTransfer.h"

#include "kingcup/TargetSearch.h"

#include <algorithm>
#include <cmath>

namespace kingcup {

namespace {

constexpr auto relaxed = std::memory_order_relaxed;
constexpr double bytesWeight = 0.02;
constexpr double consideredWeight = 0.02;
constexpr double minRemoteOfConsidered = 0.1; ///< Bounds the share of choices that a short run of local ones allows.
constexpr double waitSmoothingMs = 800; ///< With 200 ms the share swings under steady load: the six remote targets of a subset give a wait that jumps.
constexpr double maxStepMs = 200; ///< Limit for the time that one update accounts for, so that a VM that was paused makes no large step.
constexpr int choicesPerRequest = 3; ///< Targets that a search probes before it accepts a busy one.
constexpr double busyCost = 1.3; ///< Relative duration above which a search goes on to another target.
constexpr double fullSpeedGain = 1; ///< Advantage, as a share of the work, from which the share moves at full speed. With 0.5 it swings when two zones have too few targets.
constexpr double risePerSecond = 1; ///< A quarter of a wave of 13 s takes 3.25 s.
constexpr double fallPerSecond = 0.3;
constexpr double minFallSpeed = 0.2; ///< A cost that is small against the work would otherwise take a minute to bring the share down.
constexpr double hysteresis = 0.5; ///< Share of the cost by which leaving must have become too expensive before the share falls.
constexpr double priorTargets = 4; ///< Weight of the reports, in targets, against those that a request has found busy itself.

/** Returns the expected time of a request beyond its usual duration. */
double expectedWaitMs(const ReportedTarget& target, double workMs)
{
    LoadReport load;
    load.slots = static_cast<uint32_t>(target.slots);
    load.inFlight = static_cast<uint32_t>(std::min(target.calls, target.slots));
    load.waiting = static_cast<uint32_t>(std::max(target.calls - target.slots, 0.0));
    load.slowdown = std::max(target.slowdown, 1.0);
    return workMs * std::max(TargetSearch::costOf(load) - 1, 0.0);
}

/** Returns the mean of the lowest of several waits that are drawn at random. @param waits In ascending order. */
double meanOfLowest(const std::vector<double>& waits, int draws)
{
    auto count = static_cast<double>(waits.size());
    double mean = 0;
    for (size_t i = 0; i < waits.size(); ++i) {
        double atLeast = (count - static_cast<double>(i)) / count;
        double above = (count - static_cast<double>(i) - 1) / count;
        mean += waits[i] * (std::pow(atLeast, draws) - std::pow(above, draws));
    }
    return mean;
}

/** Moves an average towards a value. */
void moveTowards(std::atomic<double>& average, double value, double weight)
{
    average.store(average.load(relaxed) + weight * (value - average.load(relaxed)), relaxed);
}

} // namespace

const char* zoneReasonName(ZoneReason reason)
{
    switch (reason) {
    case ZoneReason::Local:
        return "local";
    case ZoneReason::Cheaper:
        return "cheaper";
    case ZoneReason::NoLocal:
        return "no_local";
    }
    return "";
}

ZoneTransfer::ZoneTransfer(const ZoneTransferCosts& costs)
    : costs(costs)
{
}

void ZoneTransfer::recordBytes(double bytes)
{
    double average = this->bytesPerRequest.load(relaxed);
    this->bytesPerRequest.store(average > 0 ? average + bytesWeight * (bytes - average) : bytes, relaxed);
}

void ZoneTransfer::recordConsidered(bool isRemote)
{
    moveTowards(this->remoteOfConsidered, isRemote ? 1 : 0, consideredWeight);
}

double ZoneTransfer::costMs() const
{
    constexpr double bytesPerGigabyte = 1e9;
    constexpr double msPerSecond = 1000;
    return this->costs.roundTripMs + this->bytesPerRequest.load(relaxed) * this->costs.costPerGigabyte / bytesPerGigabyte / this->costs.valuePerSecond * msPerSecond;
}

/** Adds the newest reports to the averages of one side. Without any, they stay as they are. */
void ZoneTransfer::updateSide(Side& side, const ZoneReports& reports, double workMs, double weight)
{
    if (reports.targets.empty())
        return;
    std::vector<double> waits;
    double busyCount = 0;
    double busyWaitMs = 0;
    double calls = 0;
    double freeSlots = 0;
    double slots = 0;
    for (const ReportedTarget& target : reports.targets) {
        double waitMs = expectedWaitMs(target, workMs);
        waits.push_back(waitMs);
        bool isBusy = waitMs > workMs * (busyCost - 1);
        busyCount += isBusy;
        busyWaitMs += isBusy ? waitMs : 0;
        calls += target.calls;
        freeSlots += std::max(target.slots - target.calls, 0.0);
        slots += target.slots;
    }
    std::sort(waits.begin(), waits.end());
    auto count = static_cast<double>(waits.size());
    moveTowards(side.waitMs, meanOfLowest(waits, choicesPerRequest), weight);
    moveTowards(side.busyShare, busyCount / count, weight);
    if (busyCount > 0)
        moveTowards(side.busyWaitMs, busyWaitMs / busyCount, weight);
    moveTowards(side.freeShare, freeSlots / slots, weight);
    moveTowards(side.callsPerTarget, calls / count, weight);
}

/** Returns the share of choices for which the demand of the own zone that leaves fits into the free slots of the others. */
double ZoneTransfer::shareForFreeSlots(const ZoneTransferInput& input) const
{
    double slotsPerTarget = 0;
    for (const ReportedTarget& target : input.remote.targets)
        slotsPerTarget += target.slots / static_cast<double>(input.remote.targets.size());
    double freeSlots = this->remote.freeShare.load(relaxed) * slotsPerTarget * static_cast<double>(input.remote.serviceTargets);
    // Of the choices that consider other zones, only a part leads there.
    double leaving = std::max(this->remoteOfConsidered.load(relaxed), minRemoteOfConsidered);
    double demand = leaving * this->local.callsPerTarget.load(relaxed) * static_cast<double>(input.local.serviceTargets);
    return demand > freeSlots ? freeSlots / demand : 1;
}

void ZoneTransfer::update(const ZoneTransferInput& input, double nowMs)
{
    double elapsedMs = std::clamp(nowMs - this->updatedAtMs, 0.0, maxStepMs);
    double weight = this->isUpdated ? 1 - std::exp(-elapsedMs / waitSmoothingMs) : 1;
    this->updatedAtMs = nowMs;
    this->isUpdated = true;
    if (!input.local.usableTargets) {
        this->maxShare.store(1, relaxed);
        this->share.store(1, relaxed);
        return;
    }
    if (input.workMs <= 0)
        return;
    updateSide(this->local, input.local, input.workMs, weight);
    updateSide(this->remote, input.remote, input.workMs, weight);
    double cost = this->costMs();
    double gain = this->local.waitMs.load(relaxed) - this->remote.waitMs.load(relaxed) - cost;
    double speed = std::min(std::abs(gain) / (input.workMs * fullSpeedGain), 1.0);
    double step = 0;
    if (gain > 0)
        step = speed * risePerSecond * elapsedMs / 1000;
    else if (gain < -cost * hysteresis)
        step = -std::max(speed, minFallSpeed) * fallPerSecond * elapsedMs / 1000;
    double limit = input.remote.usableTargets && !input.remote.targets.empty() ? this->shareForFreeSlots(input) : 0;
    this->maxShare.store(limit, relaxed);
    this->share.store(std::clamp(this->share.load(relaxed) + step, 0.0, limit), relaxed);
}

bool ZoneTransfer::considersRemote(double fraction, size_t busyLocalTargets) const
{
    if (fraction < this->share.load(relaxed))
        return true;
    if (!busyLocalTargets || this->remote.freeShare.load(relaxed) <= 0)
        return false;
    auto tried = static_cast<double>(busyLocalTargets);
    double busyShare = (tried + priorTargets * this->local.busyShare.load(relaxed)) / (tried + priorTargets);
    double localWaitMs = busyShare * this->local.busyWaitMs.load(relaxed);
    double remoteWaitMs = this->remote.busyShare.load(relaxed) * this->remote.busyWaitMs.load(relaxed);
    return localWaitMs - remoteWaitMs > this->costMs();
}

ZoneTransferState ZoneTransfer::state() const
{
    return { this->share.load(relaxed), this->maxShare.load(relaxed), this->local.waitMs.load(relaxed), this->remote.waitMs.load(relaxed), this->costMs(), this->bytesPerRequest.load(relaxed) };
}

} // namespace kingcup
