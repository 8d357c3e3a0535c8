/** @file TargetRateLimit.cpp Interval between the permits of a VM, and the permits taken and returned. */
#include "TargetRateLimit.h"

#include <algorithm>

namespace kingcup {

namespace {

constexpr double msPerSecond = 1000;
constexpr double usableShare = 0.7; ///< Part of the limit in use. The rest is reserved for VMs that are not counted and for permits that are due on many VMs at once.
constexpr double minRequestsPerSecond = 0.2; ///< Lower limits are raised to this, because only an answer can tell that the limit has ended.
constexpr double savedPermitsMs = 1000; ///< Time for which unused permits are saved.

} // namespace

double TargetRateLimit::intervalMs(double vms) const
{
    return msPerSecond * std::max(vms, 1.0) / (usableShare * std::max(this->limit(), minRequestsPerSecond));
}

/** Returns the time of the next permit if none are saved. The lock must be held. */
double TargetRateLimit::dueAt(double vms) const
{
    return this->baseMs + this->intervalsToNext * this->intervalMs(vms);
}

void TargetRateLimit::setLimit(double limitPerSecond, double phase, double nowMs)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->namedAtMs = nowMs;
    if (this->requestsPerSecond.exchange(limitPerSecond, std::memory_order_relaxed) != unlimited)
        return;
    this->baseMs = nowMs;
    this->intervalsToNext = phase;
}

double TargetRateLimit::nextPermitAt(double vms) const
{
    if (!this->isSet())
        return -unlimited;
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->dueAt(vms) - std::max(0.0, savedPermitsMs - this->intervalMs(vms));
}

bool TargetRateLimit::takePermit(double vms, double nowMs)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    double due = this->dueAt(vms);
    if (nowMs < due - std::max(0.0, savedPermitsMs - this->intervalMs(vms)))
        return false;
    this->baseMs = std::max(due, nowMs);
    this->intervalsToNext = 1;
    return true;
}

void TargetRateLimit::returnPermit()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->intervalsToNext -= 1;
}

bool TargetRateLimit::isNamedSince(double retentionMs, double nowMs) const
{
    if (!this->isSet())
        return false;
    std::lock_guard<std::mutex> lock(this->mutex);
    return nowMs < this->namedAtMs + retentionMs;
}

} // namespace kingcup
