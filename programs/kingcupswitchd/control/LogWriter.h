/** @file LogWriter.h The thread that writes and syncs the replicated log, with one sync for all that waits. */
#pragma once

#include "kingcup/LogStorage.h"
#include "kingcup/ReplicatedLogTypes.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace kingcup {

/** One piece of work for the disk. */
struct LogWriteJob {
    LogWrite write; ///< Entries, term and vote.
    std::optional<ReceivedSnapshot> receivedSnapshot; ///< Stored before `write`.
    std::optional<ReceivedSnapshot> takenSnapshot; ///< Stored after `write`; lets the journal drop old entries.
    std::function<void()> written; ///< Called on the writer's thread once all this is synced.
};

/** Writes jobs in order; all jobs that wait share one sync. */
class LogWriter {
public:
    /** Told on the writer's thread when the disk takes no more writes (true) and when it does again (false). */
    using DiskFullHook = std::function<void(bool full)>;
    /** Told on the writer's thread of an error after which the process must end. */
    using FailureHook = std::function<void(std::error_code)>;

    LogWriter(LogStorage& storage, DiskFullHook diskFullHook, FailureHook failureHook);
    ~LogWriter();

    /** Adds a job. */
    void add(LogWriteJob job);

    /** Returns whether no job waits or is being written. */
    bool idle() const { return this->unfinished.load() == 0; }

    /** Returns the number of syncs so far. */
    uint64_t syncs() const { return this->syncCount.load(); }

    /** Finishes all jobs and joins the thread. Jobs that a full disk holds up are dropped. */
    void stop();

private:
    void run();
    void writeBatch(std::deque<LogWriteJob>& batch);
    bool writeWithRetries(const std::function<std::error_code()>& step);

    LogStorage& storage; ///< Used on the writer's thread only.
    DiskFullHook diskFullHook; ///< See above.
    FailureHook failureHook; ///< See above.
    std::mutex mutex; ///< Guards the queue.
    std::condition_variable changed; ///< Signals a job or the stop.
    std::deque<LogWriteJob> jobs; ///< Waiting.
    bool stopping = false; ///< Ends the thread.
    std::atomic<uint64_t> unfinished { 0 }; ///< Jobs waiting or being written.
    std::atomic<uint64_t> syncCount { 0 }; ///< Syncs so far.
    std::thread thread; ///< Does the writing.
};

} // namespace kingcup
