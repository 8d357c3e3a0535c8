/** @file ProbeBudget.cpp Token buckets for probes, divided among the live entry VMs. */
#include "kingcup/ProbeBudget.h"

#include <algorithm>

namespace kingcup {

namespace {

constexpr double msPerSecond = 1000;
constexpr double maxProbeTokens = 1; ///< If no burst is set, a bucket of a single probe spaces probes evenly.
constexpr double maxByteTokensSeconds = 1;
constexpr size_t maxBuckets = 4096;

/** Returns the tokens that a bucket gains between two times. */
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
    // A number that was not renewed within a lease term counts as unknown in between, even without a call with 0.
    bool wasKnown = this->liveVms > 0 && now - this->heardAt <= leaseTerm;
    this->heardAt = now;
    if ((liveVms > 0) != wasKnown) {
        // Tokens saved up at the old rate must not be spent in addition to those of the new rate.
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

/** Returns the tokens of a target that this process has not probed yet: the burst, divided by the assumed number of VMs. */
double ProbeBudget::firstTokens() const
{
    return this->budget.burstSeconds * std::max(this->budget.probesPerSecondPerTarget, 0.0) / std::max(1.0, this->assumedVms * this->usingPart);
}

double ProbeBudget::share() const
{
    double rate = std::max(this->budget.probesPerSecondPerTarget, 0.0);
    if (this->settled)
        return rate / std::max(1.0, this->liveVms * this->usingPart);
    // The other VMs may not count this one, so its probes exceed their budget; at most one is allowed per lease term.
    double unsettled = rate / std::max(1.0, std::max(this->assumedVms, this->liveVms) * this->usingPart);
    if (this->budget.burstSeconds > 0)
        return unsettled; // The burst covers the excess of one lease term.
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
