/** @file RetryPolicy.cpp Rules and budgets for retries and hedges. */
#include "kingcup/RetryPolicy.h"

#include "kingcup/LatencySketch.h"

#include <algorithm>
#include <atomic>
#include <mutex>

namespace kingcup {

namespace {

constexpr auto relaxed = std::memory_order_relaxed;
constexpr double retryBurst = 10; ///< Retries that are allowed at once, also to a service with little traffic.
constexpr double hedgeBurst = 10;
constexpr uint32_t maxUnsentAttempts = 3; ///< Attempts of a call that could not be sent, in addition to the largest number of those that arrive.
constexpr uint64_t minObservations = 50;
constexpr double minLatencyQuantile = 0.1; ///< A retry is pointless if less time is left than this quantile of the latency.

/** Token bucket that is refilled by events instead of by time. Thread-safe. */
class EventBucket {
public:
    explicit EventBucket(double tokens)
        : tokens(tokens)
    {
    }

    /** Adds tokens up to a limit. Tokens that already exceed the limit are kept. */
    void addTokens(double amount, double limit)
    {
        double old = this->tokens.load(relaxed);
        while (!this->tokens.compare_exchange_weak(old, std::min(old + amount, std::max(old, limit)), relaxed)) { }
    }

    /** Takes tokens if there are enough, and drops tokens that exceed the limit. Returns whether it took them. */
    bool takeTokens(double amount, double limit)
    {
        double old = this->tokens.load(relaxed);
        do {
            if (std::min(old, limit) < amount)
                return false;
        } while (!this->tokens.compare_exchange_weak(old, std::min(old, limit) - amount, relaxed));
        return true;
    }

private:
    std::atomic<double> tokens;
};

} // namespace

struct RetryPolicy::State {
    std::atomic<double> retryShare { 0 }; ///< Retries earned per call.
    EventBucket retryTokens { retryBurst }; ///< One token allows one retry.
    EventBucket hedgeTokens { 0 }; ///< One token is earned per call; a hedge costs 1 / budgetShare tokens.
    LatencySketch latencies; ///< Latencies of recent attempts.
    std::mutex budgetMutex; ///< Guards `budget`.
    std::optional<RetryBudget> budget; ///< This VM's part of the budget shared by all entry VMs; empty if none is configured.

    /** Takes one retry from the shared budget, or from the retry share if there is no shared budget. */
    bool takeRetryFromBudget(TimePoint now)
    {
        std::lock_guard<std::mutex> lock(this->budgetMutex);
        if (this->budget)
            return this->budget->takeAttempt(now);
        return this->retryShare.load(relaxed) > 0 && this->retryTokens.takeTokens(1, retryBurst);
    }
};

RetryPolicy::RetryPolicy(const ServiceLimits& limits)
    : state(std::make_unique<State>())
{
    this->setLimits(limits);
}

RetryPolicy::~RetryPolicy() = default;

void RetryPolicy::setLimits(const ServiceLimits& limits)
{
    this->state->retryShare.store(std::clamp(limits.retryShare, 0.0, 1.0), relaxed);
}

void RetryPolicy::setBudget(const RetryBudgetLimits& budget, TimePoint now)
{
    std::lock_guard<std::mutex> lock(this->state->budgetMutex);
    this->state->budget.emplace(budget, now);
}

void RetryPolicy::setLiveVms(uint32_t count, Milliseconds leaseTerm, TimePoint now)
{
    std::lock_guard<std::mutex> lock(this->state->budgetMutex);
    if (this->state->budget)
        this->state->budget->setLiveVms(count, leaseTerm, now);
}

std::optional<double> RetryPolicy::remainingBudget(TimePoint now)
{
    std::lock_guard<std::mutex> lock(this->state->budgetMutex);
    return this->state->budget ? std::optional(this->state->budget->remainingAttempts(now)) : std::nullopt;
}

void RetryPolicy::countCall(TimePoint now)
{
    constexpr double minHedgeShare = 0.001; // Bounds the tokens saved up for kinds with a small share.
    this->state->retryTokens.addTokens(this->state->retryShare.load(relaxed), retryBurst);
    this->state->hedgeTokens.addTokens(1, hedgeBurst / minHedgeShare);
    std::lock_guard<std::mutex> lock(this->state->budgetMutex);
    if (this->state->budget)
        this->state->budget->countRequest(now);
}

bool RetryPolicy::takeRetry(const RetryContext& context, TimePoint now)
{
    bool hasFailed = context.outcome != AttemptOutcome::Answered && context.outcome != AttemptOutcome::Cancelled;
    bool isSafe = !context.mayHaveBeenSent || (context.isRepeatable && context.depth == 0);
    uint32_t arrivals = context.arrivals.value_or(context.attempts);
    if (!hasFailed || !isSafe || arrivals >= context.maxAttempts || context.attempts >= context.maxAttempts + maxUnsentAttempts)
        return false;
    std::optional<Milliseconds> minLatency = this->state->latencies.quantile(minLatencyQuantile, minObservations, now);
    if (now + minLatency.value_or(Milliseconds(0)) >= context.deadline)
        return false;
    // The first attempt that arrives at a target is none beyond the first.
    return arrivals == 0 || this->state->takeRetryFromBudget(now);
}

void RetryPolicy::recordLatency(Milliseconds latency, TimePoint now)
{
    this->state->latencies.add(latency, now);
}

std::optional<Milliseconds> RetryPolicy::hedgeDelay(const Kind& kind, TimePoint now)
{
    if (!kind.hedge || !kind.repeatable)
        return std::nullopt;
    return this->state->latencies.quantile(kind.hedge->percentile, minObservations, now);
}

bool RetryPolicy::takeHedge(const Kind& kind, TimePoint now)
{
    if (!kind.hedge || !kind.repeatable || kind.hedge->budgetShare <= 0)
        return false;
    double callsPerHedge = 1 / kind.hedge->budgetShare;
    if (!this->state->hedgeTokens.takeTokens(callsPerHedge, hedgeBurst * callsPerHedge))
        return false;
    std::lock_guard<std::mutex> lock(this->state->budgetMutex);
    return !this->state->budget || this->state->budget->takeAttempt(now);
}

} // namespace kingcup
