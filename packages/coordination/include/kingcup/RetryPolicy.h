/** @file RetryPolicy.h Rules and budgets for retries and hedges of one service on one entry VM. */
#pragma once

#include "kingcup/ManifestTypes.h"
#include "kingcup/RetryBudget.h"
#include "kingcup/Router.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace kingcup {

/** State of a call when an attempt has failed. */
struct RetryContext {
    bool isRepeatable = false; ///< Whether the kind of the call may be executed more than once.
    bool mayHaveBeenSent = false; ///< Whether any byte of the attempt may have reached the target.
    uint32_t attempts = 1; ///< Attempts made so far.
    std::optional<uint32_t> arrivals; ///< Those among them that may have arrived at a target; empty: all.
    uint32_t maxAttempts = 3; ///< Largest number of attempts that arrive, from the kind of the call.
    uint32_t depth = 0; ///< Depth in a chain of calls. Above 0 only attempts that were not sent are retried.
    AttemptOutcome outcome = AttemptOutcome::ConnectFailed; ///< Outcome of the last attempt.
    TimePoint deadline {}; ///< Deadline of the call.
};

/** Decides whether a call may be retried or hedged. Thread-safe. */
class RetryPolicy {
public:
    explicit RetryPolicy(const ServiceLimits& limits);
    ~RetryPolicy();

    void setLimits(const ServiceLimits& limits);

    /** Bounds retries and hedges by a budget that all entry VMs share. It replaces the retry share of the service's limits. */
    void setBudget(const RetryBudgetLimits& budget, TimePoint now);

    /** Sets the number of entry VMs that share the budget, as RetryBudget::setLiveVms() does. */
    void setLiveVms(uint32_t count, Milliseconds leaseTerm, TimePoint now);

    /** Returns the extra attempts that the shared budget allows this VM now, possibly a fraction or negative; empty without a shared budget. */
    std::optional<double> remainingBudget(TimePoint now);

    /** Counts a new call, which adds to the budgets. */
    void countCall(TimePoint now);

    /** Returns whether the call may be retried, and if so takes the retry from the budget. */
    bool takeRetry(const RetryContext& context, TimePoint now);

    /** Records the latency of a finished attempt. */
    void recordLatency(Milliseconds latency, TimePoint now);

    /** Returns the delay after which a hedge may start; empty if the kind has no hedge rule or there are too few observations. */
    std::optional<Milliseconds> hedgeDelay(const Kind& kind, TimePoint now);

    /** Returns whether the call may be hedged, and if so takes the hedge from the budgets. */
    bool takeHedge(const Kind& kind, TimePoint now);

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace kingcup
