/** @file ProbeBudget.cpp Token buckets for probes, divided among the live entry VMs. */
#include "kingcup/ProbeBudget.h"

#include <algorithm>

namespace kingcup {

namespace {

constexpr double msPerSecond = 1000;
constexpr double maxProbeTokens = 1; ///< Without a burst, a bucket of one probe spaces probes evenly.
constexpr double maxByteTokensSeconds = 1;
constexpr size_t maxBuckets = 4096;

/** Returns the tokens that a bucket earns from one time to another. */
double earned(double perSecond, TimePoint from, TimePoint to)
{
    return std::max(0.0, (to - from).count()) * perSecond / msPerSecond;
}

} // namespace

ProbeBudget::ProbeBudget(const MeasuringBudget& budget, uint32_t assumedVms)
    : budget(budget)
    , assumedVms(std::max(assumedVms, 1u))
{
}

void ProbeBudget::setBudget(const MeasuringBudget& budget)
{
    this->budget = budget;
}

void ProbeBudget::setLiveVms(uint32_t liveVms, Milliseconds leaseTerm, TimePoint now)
{
    this->leaseTerm = leaseTerm;
    // A number that was not confirmed for a lease term was unknown in between, even when nobody said so.
    bool wasKnown = this->liveVms > 0 && now - this->heardAt <= leaseTerm;
    this->heardAt = now;
    if ((liveVms > 0) != wasKnown) {
        // What was saved up under one share must not be spent on top of another.
        this->buckets.clear();
        this->settled = false;
        this->settledAt = now + leaseTerm;
    }
    if (!liveVms || !wasKnown || liveVms >= this->liveVms) {
        this->liveVms = liveVms;
        this->pendingVms = 0;
        return;
    }
    if (!this->pendingVms) {
        this->pendingSince = now;
        this->pendingTerm = leaseTerm;
    }
    this->pendingVms = std::max(this->pendingVms, liveVms);
    if (now - this->pendingSince < this->pendingTerm)
        return;
    this->liveVms = this->pendingVms;
    this->pendingVms = 0;
}

bool ProbeBudget::take(const std::string& address, size_t bytes, TimePoint now)
{
    this->settle(now);
    double byteRate = this->budget.bytesPerSecondPerVm;
    auto cost = static_cast<double>(bytes);
    bool firstBytes = this->bytesFilled == TimePoint {};
    double byteLimit = std::max(byteRate * maxByteTokensSeconds, cost);
    this->byteTokens = firstBytes ? byteRate * std::min(this->budget.burstSeconds, maxByteTokensSeconds) : std::min(this->byteTokens + earned(byteRate, this->bytesFilled, now), byteLimit);
    this->bytesFilled = now;

    if (this->buckets.size() >= maxBuckets && !this->buckets.contains(address))
        this->buckets.erase(this->buckets.begin());
    auto [found, inserted] = this->buckets.try_emplace(address, Bucket { this->firstTokens(), now });
    Bucket& bucket = found->second;
    double limit = std::max(maxProbeTokens, this->share() * this->budget.burstSeconds);
    bucket.tokens = std::min(bucket.tokens + earned(this->share(), bucket.filled, now), limit);
    bucket.filled = now;
    if (bucket.tokens < 1 || this->byteTokens < cost) {
        ++this->deniedCount;
        return false;
    }
    bucket.tokens -= 1;
    this->byteTokens -= cost;
    ++this->grantedCount;
    return true;
}

uint64_t ProbeBudget::granted() const
{
    return this->grantedCount;
}

uint64_t ProbeBudget::denied() const
{
    return this->deniedCount;
}

/** Returns what a process may spend on a target that it has not probed yet: the burst of its share among the assumed VMs. */
double ProbeBudget::firstTokens() const
{
    return this->budget.burstSeconds * std::max(this->budget.probesPerSecondPerTarget, 0.0) / std::max(1.0, this->assumedVms * this->usingPart);
}

double ProbeBudget::share() const
{
    double rate = std::max(this->budget.probesPerSecondPerTarget, 0.0);
    if (this->settled)
        return rate / std::max(1.0, this->liveVms * this->usingPart);
    // Others may not count this VM, so its probes come on top of theirs: at most one a lease term.
    double unsettled = rate / std::max(1.0, std::max(this->assumedVms, this->liveVms) * this->usingPart);
    if (this->budget.burstSeconds > 0)
        return unsettled; // The burst allows for what comes on top within a lease term.
    double term = this->leaseTerm.count();
    return term > 0 ? std::min(unsettled, msPerSecond / term) : unsettled;
}

void ProbeBudget::settle(TimePoint now)
{
    if (this->settled || !this->liveVms || now < this->settledAt)
        return;
    this->settled = true;
    this->buckets.clear();
}

} // namespace kingcup
