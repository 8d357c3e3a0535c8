/** @file ProbeBudget.cpp Token buckets for probes, divided among the live entry VMs. */
#include "kingcup/ProbeBudget.h"

#include <algorithm>

namespace kingcup {

namespace {

constexpr double msPerSecond = 1000;
constexpr double maxProbeTokens = 1; ///< If no burst is set, a bucket of a single probe spaces probes evenly.
constexpr double maxByteBurstSeconds = 1;
constexpr size_t maxBuckets = 4096;

/** Returns the tokens that a bucket gains between two times. */
double earnedTokens(double perSecond, TimePoint from, TimePoint to)
{
    return std::max(0.0, (to - from).count()) * perSecond / msPerSecond;
}

} // namespace

ProbeBudget::ProbeBudget(const MeasuringBudget& budget, uint32_t assumedVms)
    : budget(budget)
    , minAssumedVms(std::max(assumedVms, 1u))
    , assumedVms(this->minAssumedVms)
{
}

void ProbeBudget::setBudget(const MeasuringBudget& budget)
{
    this->budget = budget;
}

void ProbeBudget::setAssumedVms(uint32_t assumedVms)
{
    this->assumedVms = std::max(this->minAssumedVms, assumedVms);
}

void ProbeBudget::setLiveVms(uint32_t liveVms, Milliseconds leaseTerm, TimePoint now)
{
    this->leaseTerm = leaseTerm;
    // Otherwise more VMs than the assumed number exceed the budget together whenever a new leader doesn't know how many there are.
    if (liveVms)
        this->setAssumedVms(liveVms);
    // A number that was not renewed within a lease term counts as unknown in between, even without a call with 0.
    bool wasKnown = this->liveVms.value() > 0 && now - this->liveVmsSetAt <= leaseTerm;
    this->liveVmsSetAt = now;
    if ((liveVms > 0) != wasKnown) {
        // Tokens saved up at the old rate must not be spent in addition to those of the new rate.
        this->buckets.clear();
        this->isCounted = false;
        this->countedFrom = now + leaseTerm;
    }
    if (liveVms && wasKnown)
        this->liveVms.set(liveVms, leaseTerm, now);
    else
        this->liveVms.reset(liveVms);
}

bool ProbeBudget::takeProbe(const std::string& address, size_t bytes, TimePoint now)
{
    this->applyCountedShare(now);
    double byteRate = this->budget.bytesPerSecondPerVm;
    auto cost = static_cast<double>(bytes);
    bool isFirstProbe = this->bytesRefilledAt == TimePoint {};
    double byteLimit = std::max(byteRate * maxByteBurstSeconds, cost);
    this->byteTokens = isFirstProbe ? byteRate * std::min(this->budget.burstSeconds, maxByteBurstSeconds) : std::min(this->byteTokens + earnedTokens(byteRate, this->bytesRefilledAt, now), byteLimit);
    this->bytesRefilledAt = now;

    if (this->buckets.size() >= maxBuckets && !this->buckets.contains(address))
        this->buckets.erase(this->buckets.begin());
    auto [found, inserted] = this->buckets.try_emplace(address, Bucket { this->initialTokens(), now });
    Bucket& bucket = found->second;
    double limit = std::max(maxProbeTokens, this->probesPerSecond() * this->budget.burstSeconds);
    bucket.tokens = std::min(bucket.tokens + earnedTokens(this->probesPerSecond(), bucket.refilledAt, now), limit);
    bucket.refilledAt = now;
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
double ProbeBudget::initialTokens() const
{
    return this->budget.burstSeconds * std::max(this->budget.probesPerSecondPerTarget, 0.0) / std::max(1.0, this->assumedVms * this->targetVmShare);
}

double ProbeBudget::probesPerSecond() const
{
    double rate = std::max(this->budget.probesPerSecondPerTarget, 0.0);
    if (this->isCounted)
        return rate / std::max(1.0, this->liveVms.value() * this->targetVmShare);
    // The other VMs may not count this one, so its probes exceed their budget; at most one is allowed per lease term.
    double uncountedRate = rate / std::max(1.0, std::max(this->assumedVms, this->liveVms.value()) * this->targetVmShare);
    if (this->budget.burstSeconds > 0)
        return uncountedRate; // The burst covers the excess of one lease term.
    double leaseTermMs = this->leaseTerm.count();
    return leaseTermMs > 0 ? std::min(uncountedRate, msPerSecond / leaseTermMs) : uncountedRate;
}

void ProbeBudget::applyCountedShare(TimePoint now)
{
    if (this->isCounted || !this->liveVms.value() || now < this->countedFrom)
        return;
    this->isCounted = true;
    this->buckets.clear();
}

} // namespace kingcup
