/** @file ColdPermits.cpp Counts the permits that become due and lapse. */
#include "ColdPermits.h"

#include <algorithm>
#include <cmath>

namespace kingcup {

namespace {

constexpr double permitLifetimeMs = 250;

} // namespace

void ColdPermits::start(double phase, double nowMs)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->permits = phase;
    this->countedAtMs = nowMs;
}

/** Counts the permits up to a time. The lock must be held. */
void ColdPermits::advance(double intervalMs, double nowMs) const
{
    if (std::isfinite(this->countedAtMs))
        this->permits += std::max(0.0, nowMs - this->countedAtMs) / intervalMs;
    this->countedAtMs = std::max(this->countedAtMs, nowMs);
    double lapsed = this->permits - (1 + permitLifetimeMs / intervalMs);
    if (lapsed >= 0)
        this->permits -= std::floor(lapsed) + 1;
}

bool ColdPermits::hasPermit(double intervalMs, double nowMs) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->advance(intervalMs, nowMs);
    return this->permits >= 1;
}

double ColdPermits::nextPermitAt(double intervalMs, double nowMs) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->advance(intervalMs, nowMs);
    return nowMs + std::max(0.0, 1 - this->permits) * intervalMs;
}

bool ColdPermits::takePermit(double intervalMs, double nowMs)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->advance(intervalMs, nowMs);
    if (this->permits < 1)
        return false;
    this->permits -= 1;
    return true;
}

void ColdPermits::returnPermit()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->permits += 1;
}

} // namespace kingcup
