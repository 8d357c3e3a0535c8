/** @file RetryPolicy.h Retry and hedge budgets of one service on one entry VM. */
#pragma once

#include "kingcup/ManifestTypes.h"
#include "kingcup/RetryBudget.h"
#include "kingcup/Router.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace kingcup {

/** What is known of a call when an attempt has failed. */
struct RetryQuestion {
    bool repeatable = false; ///< From the kind.
    bool sent = false; ///< Whether any byte of the attempt may have reached the target.
    uint32_t attempts = 1; ///< Attempts so far.
    uint32_t maxAttempts = 3; ///< From the kind.
    uint32_t depth = 0; ///< Call depth; above 0 only attempts that were not sent are repeated.
    AttemptOutcome outcome = AttemptOutcome::ConnectFailed; ///< Of the last attempt.
    TimePoint deadline {}; ///< Of the call.
};

/** Decides about retries and hedges. Thread-safe. */
class RetryPolicy {
public:
    explicit RetryPolicy(const ServiceLimits& limits);
    ~RetryPolicy();

    /** Changes the limits. */
    void setLimits(const ServiceLimits& limits);

    /** Bounds retries and hedges by a budget that all entry VMs share, in place of the service's own one. */
    void setBudget(const RetryBudgetLimits& budget, TimePoint now);

    /** Sets the number of entry VMs that share the budget; 0: not known. */
    void setLiveVms(uint32_t count);

    /** Counts a new call, which earns budget. */
    void call(TimePoint now);

    /** Decides whether to try again, and takes from the budget if so. */
    bool mayRetry(const RetryQuestion& question, TimePoint now);

    /** Records the latency of a finished attempt. */
    void latency(Milliseconds latency, TimePoint now);

    /** Returns after what time a second attempt may start; empty without a rule or enough observations. */
    std::optional<Milliseconds> hedgeDelay(const Kind& kind, TimePoint now);

    /** Takes from the hedge budget. */
    bool mayHedge(const Kind& kind, TimePoint now);

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace kingcup
