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
constexpr uint64_t fewestObservations = 50;
constexpr double quickestUsefulQuantile = 0.1; ///< A retry is pointless if less time is left than this quantile of the latency.

/** Token bucket that is refilled by events instead of by time. Thread-safe. */
class EventBucket {
public:
    explicit EventBucket(double tokens)
        : tokens(tokens)
    {
    }

    /** Adds tokens up to a limit. Tokens that already exceed the limit are kept. */
    void earn(double amount, double limit)
    {
        double old = this->tokens.load(relaxed);
        while (!this->tokens.compare_exchange_weak(old, std::min(old + amount, std::max(old, limit)), relaxed)) { }
    }

    /** Takes tokens if there are enough, and drops tokens that exceed the limit. Returns whether it took them. */
    bool take(double amount, double limit)
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
    EventBucket retries { retryBurst }; ///< One token allows one retry.
    EventBucket hedges { 0 }; ///< One token is earned per call; a hedge costs 1 / budgetShare tokens.
    LatencySketch latencies; ///< Latencies of recent attempts.
    std::mutex budgetMutex; ///< Guards `budget`.
    std::optional<RetryBudget> budget; ///< This VM's part of the budget shared by all entry VMs; empty if none is configured.

    /** Takes one retry from the shared budget, or from the retry share if there is no shared budget. */
    bool takeRetry(TimePoint now)
    {
        std::lock_guard<std::mutex> lock(this->budgetMutex);
        if (this->budget)
            return this->budget->take(now);
        return this->retryShare.load(relaxed) > 0 && this->retries.take(1, retryBurst);
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

void RetryPolicy::setLiveVms(uint32_t count)
{
    std::lock_guard<std::mutex> lock(this->state->budgetMutex);
    if (this->state->budget && count > 0)
        this->state->budget->setLiveVms(count);
}

void RetryPolicy::call(TimePoint now)
{
    constexpr double smallestShare = 0.001; // Bounds the tokens saved up for kinds with a small share.
    this->state->retries.earn(this->state->retryShare.load(relaxed), retryBurst);
    this->state->hedges.earn(1, hedgeBurst / smallestShare);
    std::lock_guard<std::mutex> lock(this->state->budgetMutex);
    if (this->state->budget)
        this->state->budget->request(now);
}

bool RetryPolicy::mayRetry(const RetryQuestion& question, TimePoint now)
{
    bool failed = question.outcome != AttemptOutcome::Answered && question.outcome != AttemptOutcome::Cancelled;
    bool safe = !question.sent || (question.repeatable && question.depth == 0);
    if (!failed || !safe || question.attempts >= question.maxAttempts)
        return false;
    std::optional<Milliseconds> quickest = this->state->latencies.quantile(quickestUsefulQuantile, fewestObservations, now);
    if (now + quickest.value_or(Milliseconds(0)) >= question.deadline)
        return false;
    return this->state->takeRetry(now);
}

void RetryPolicy::latency(Milliseconds latency, TimePoint now)
{
    this->state->latencies.add(latency, now);
}

std::optional<Milliseconds> RetryPolicy::hedgeDelay(const Kind& kind, TimePoint now)
{
    if (!kind.hedge || !kind.repeatable)
        return std::nullopt;
    return this->state->latencies.quantile(kind.hedge->percentile, fewestObservations, now);
}

bool RetryPolicy::mayHedge(const Kind& kind, TimePoint now)
{
    if (!kind.hedge || !kind.repeatable || kind.hedge->budgetShare <= 0)
        return false;
    double callsPerHedge = 1 / kind.hedge->budgetShare;
    if (!this->state->hedges.take(callsPerHedge, hedgeBurst * callsPerHedge))
        return false;
    std::lock_guard<std::mutex> lock(this->state->budgetMutex);
    return !this->state->budget || this->state->budget->take(now);
}

} // namespace kingcup
