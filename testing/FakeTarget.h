/** @file FakeTarget.h A target with slots, faults on request, announcements and a log of its executions. */
#pragma once

#include "kingcup/MillisecondClock.h"
#include "kingcup/RandomSource.h"
#include "testing/HttpStream.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <list>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace kingcup::testing {

/** Who a target is and whom it tells. */
struct FakeTargetOptions {
    std::string service; ///< Service it belongs to.
    std::string listen; ///< host:port it listens on.
    std::string announcedAddress; ///< host:port it announces; differs from `listen` when a proxy stands in between.
    std::string availabilityZone; ///< Its zone.
    uint32_t slots = 6; ///< Requests it runs at once; more wait.
    std::vector<std::string> announceTo; ///< Operator listeners, tried in turn.
    std::string token; ///< Token of announcements.
    std::string executionLog; ///< File of the executions; empty: none.
    uint64_t seed = 1; ///< Seed of latencies and faults.
    nlohmann::json faults = nlohmann::json::object(); ///< Initial faults.
};

/** Behaviour that a test can change at any time. Shares are in [0, 1]. */
struct FakeTargetFaults {
    double latencyMedianMs = 2; ///< Median of the log-normal run time.
    double latencySigma = 0.3; ///< Standard deviation of its logarithm.
    double stragglerFactor = 1; ///< Multiplies each run time.
    double failFastShare = 0; ///< Requests answered 500 at once, without running.
    double shedShare = 0; ///< Requests answered 503 at once, without running.
    std::string shedRetryAfter; ///< Retry-After of answers by shedShare; empty: none.
    std::string leavingHeader; ///< Kingcup-Leaving of every answer; empty: none.
    std::string limitHeader; ///< Kingcup-Limit of every answer; empty: none.
    std::string coldHeader; ///< Kingcup-Cold-Ms of every answer; empty: none.
    double closeShare = 0; ///< Requests that run and whose connection is closed without an answer.
    bool closeOnlyReused = false; ///< Whether closeShare applies to kept-alive connections only.
    double truncateShare = 0; ///< Answers cut in the middle.
    bool stall = false; ///< Holds all requests until it is cleared.
    bool crashOnMark = true; ///< Whether a request with the header X-Crash ends the process.
    bool announce = true; ///< Whether announcements are sent.
    std::string state = "serving"; ///< Announced state.
};

void to_json(nlohmann::json& json, const FakeTargetFaults& faults); ///< Writes all fields.
void from_json(const nlohmann::json& json, FakeTargetFaults& faults); ///< Changes the fields that are present.

/** One execution as the target saw it. Times are of MillisecondClock, which all processes of a machine share. */
struct Execution {
    std::string target; ///< Address of the target.
    std::string callId; ///< X-Call-Id.
    std::string key; ///< Idempotency-Key; empty: none.
    double startMs = 0; ///< Start.
    double endMs = -1; ///< End; negative: it did not end.
};

/** Counters of one target. */
struct FakeTargetStats {
    uint64_t executions = 0; ///< Requests that started to run.
    uint64_t probes = 0; ///< GET /load.
    uint64_t shed = 0; ///< Requests answered by shedShare.
    uint64_t connections = 0; ///< Accepted connections.
    uint64_t announcements = 0; ///< Announcements that were accepted.
    uint64_t refusedAnnouncements = 0; ///< Announcements that were answered otherwise or not at all.
    uint32_t inFlight = 0; ///< Requests being run.
    double firstProbeMs = 0; ///< Time of the first probe.
    double lastProbeMs = 0; ///< Time of the last probe.
};

void to_json(nlohmann::json& json, const FakeTargetStats& stats); ///< Writes all fields.
void from_json(const nlohmann::json& json, FakeTargetStats& stats); ///< Reads all fields.

/** Reads the log of a target, also of one that was killed. */
std::vector<Execution> readExecutionLog(const std::string& file);

/** A threaded HTTP/1.1 server that stands in for a target. */
class FakeTarget {
public:
    explicit FakeTarget(FakeTargetOptions options);
    ~FakeTarget();

    /** Starts to listen and to announce itself. Returns false when the address is taken. */
    bool start();

    /** Announces that it drains and waits until nothing runs. */
    void drain(Milliseconds limit);

    /** Closes all connections and joins the threads. */
    void stop();

    /** Changes faults. @param patch Fields of FakeTargetFaults. */
    void changeFaults(const nlohmann::json& patch);

    FakeTargetFaults faults() const; ///< Faults in force.
    FakeTargetStats stats() const; ///< Counters.
    std::vector<Execution> executions() const; ///< All executions so far.
    const std::string& address() const { return this->options.listen; } ///< Address it listens on.

private:
    /** One connection and its thread. */
    struct Connection {
        HttpStream stream; ///< Connection.
        std::thread thread; ///< Serves it.
        std::atomic<bool> finished = false; ///< Whether the thread has ended.
    };

    void acceptLoop();
    void serve(Connection& connection);
    bool answerRequest(Connection& connection, const HttpMessage& request, bool reused);
    bool answerControl(HttpStream& stream, const HttpMessage& request);
    HttpMessage shedRequest(std::string body);
    HttpMessage answerProbe();
    HttpMessage runRequest(const HttpMessage& request);
    static nlohmann::json listFields(const HttpMessage& request);
    void waitForSlot(std::unique_lock<std::mutex>& lock);
    size_t recordStart(const HttpMessage& request);
    void recordEnd(size_t execution, Milliseconds elapsed);
    void logLine(const nlohmann::json& line) const;
    bool happens(double share);
    HttpMessage makeAnswer(int status, std::string body) const;
    void announceLoop();
    bool announceOnce(const std::string& address);
    void forgetFinishedConnections();

    FakeTargetOptions options; ///< Who it is.
    uint64_t incarnation; ///< Grows with each start.
    Socket listener; ///< Listening socket.
    int logDescriptor = -1; ///< Execution log.
    std::thread acceptThread; ///< Accepts connections.
    std::thread announceThread; ///< Announces.
    std::list<Connection> connections; ///< Open connections; used by the accepting thread and by stop().
    mutable std::mutex mutex; ///< Guards all that follows.
    std::condition_variable changed; ///< Signalled on any change of state.
    bool stopping = false; ///< Whether stop() was called.
    uint32_t running = 0; ///< Requests that hold a slot.
    uint64_t announcedChanges = 0; ///< Counts changes of the announced state.
    double latencyEstimateMs = 0; ///< Moving average of run times.
    RandomSource random; ///< Latencies and faults.
    FakeTargetFaults currentFaults; ///< Faults in force.
    FakeTargetStats counters; ///< Counters.
    std::vector<Execution> history; ///< All executions.
};

} // namespace kingcup::testing
