/** @file LoadGenerator.h Open-loop callers with a seeded mix of calls. */
#pragma once

#include "kingcup/MillisecondClock.h"
#include "kingcup/RandomSource.h"
#include "testing/HistoryChecker.h"
#include "testing/HttpStream.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace kingcup::testing {

/** One kind of call in a mix. */
struct CallTemplate {
    std::string name; ///< For tables.
    double weight = 1; ///< Share in the mix, relative to the others.
    std::string method = "GET"; ///< HTTP method.
    std::string path = "/"; ///< Path.
    std::string host; ///< Host field; empty: a default.
    bool repeatable = true; ///< Whether its kind may be repeated.
    bool keyed = false; ///< Whether each call carries an Idempotency-Key.
    size_t requestBytes = 0; ///< Size of the request body.
    size_t answerBytes = 256; ///< Size of the answer's filler.
};

/** Options of a generator. */
struct LoadOptions {
    std::vector<std::string> addresses; ///< Caller listeners.
    std::vector<CallTemplate> mix; ///< At least one.
    double callsPerSecond = 100; ///< Arrival rate, whatever the answers.
    Milliseconds duration { 1000 }; ///< Length of the run.
    Milliseconds timeout { 5000 }; ///< A caller's patience.
    uint32_t threads = 32; ///< Calls that can be open at once.
    uint64_t seed = 1; ///< Seed of mix and addresses.
    std::string idPrefix = "call"; ///< Start of each call id; generators that share targets need different ones.
    bool reuseConnections = true; ///< Whether connections are kept.
    uint32_t resends = 0; ///< How often a keyed call without a final answer is sent again with its key.
    Milliseconds resendDelay { 50 }; ///< Pause before a resend.
};

/** A call, its template and its view. */
struct CallRecord {
    CallerView view; ///< What the caller saw.
    size_t templateIndex = 0; ///< Position in the mix.
    std::string address; ///< Entry VM that was called.
    std::string result; ///< Value of Kingcup-Result, or what went wrong.
    Milliseconds latency { 0 }; ///< From the due time to the end, so that a late start counts.
};

/** Totals of some calls. */
struct LoadSummary {
    uint64_t calls = 0; ///< All.
    uint64_t answered = 0; ///< Whole answers of targets.
    uint64_t refused = 0; ///< Told not run.
    uint64_t unknown = 0; ///< Outcome unknown.
    double p50Ms = 0; ///< Median latency of the answered ones.
    double p99Ms = 0; ///< 99th percentile of the answered ones.
    std::map<std::string, uint64_t> results; ///< Calls by result.
};

/** Sums up calls. */
LoadSummary summarise(const std::vector<CallRecord>& records);

/** Returns a percentile by the nearest rank; 0 for no values. @param share In [0, 1]. */
double percentile(std::vector<double> values, double share);

/** Sends calls at a rate that does not depend on the answers. */
class LoadGenerator {
public:
    explicit LoadGenerator(LoadOptions options);
    ~LoadGenerator();

    /** Starts to send. */
    void start();

    /** Stops sending new calls and waits for the open ones. */
    void finish();

    /** Waits for the end of the run and of all calls. */
    void join();

    /** Replaces the addresses, as the platform's load balancer does when a VM is not ready. */
    void setAddresses(std::vector<std::string> addresses);

    std::vector<CallRecord> records() const; ///< Calls that have ended.
    std::vector<CallerView> views() const; ///< Callers' views of the calls that have ended.
    uint64_t ended() const; ///< Number of calls that have ended.

private:
    /** A call that is due. */
    struct DueCall {
        TimePoint due {}; ///< When it should be sent.
        size_t templateIndex = 0; ///< Position in the mix.
        uint64_t number = 0; ///< Number of the call, or of the first one of its key.
        uint32_t resend = 0; ///< 0 for the first.
        std::string address; ///< Caller listener.
    };
    using Connections = std::map<std::string, HttpStream>;

    void schedule();
    void work();
    CallRecord call(const DueCall& due, Connections& connections);
    HttpMessage buildRequest(const DueCall& due, const CallerView& view) const;
    HttpStream* connection(const std::string& address, Connections& connections) const;
    void judge(CallRecord& record, const HttpMessage& request, const HttpMessage& answer, HttpReadResult result) const;
    void resendLater(const DueCall& due, const CallRecord& record);
    size_t drawTemplate();
    std::string drawAddress();

    LoadOptions options; ///< Options.
    RandomSource random; ///< Mix and addresses.
    std::thread scheduler; ///< Makes calls due.
    std::vector<std::thread> workers; ///< Send calls.
    mutable std::mutex mutex; ///< Guards all that follows.
    std::condition_variable changed; ///< Signalled when a call is due or all are.
    std::deque<DueCall> queue; ///< Calls that are due.
    std::vector<CallRecord> finished; ///< Calls that have ended.
    bool stopRequested = false; ///< Whether no more new calls are wanted.
    bool allScheduled = false; ///< Whether the scheduler has ended.
    uint32_t busy = 0; ///< Workers in a call.
};

} // namespace kingcup::testing
