/** @file LogWriter.h Thread that writes the replicated log to disk, with one sync for all waiting jobs. */
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

/** Data that is written to the disk as a unit. */
struct LogWriteJob {
    LogWrite write; ///< Entries, term and vote for the journal.
    std::optional<ReceivedSnapshot> receivedSnapshot; ///< Snapshot of the leader, stored before `write`.
    std::optional<ReceivedSnapshot> takenSnapshot; ///< Own snapshot, stored after `write`, so that the journal can drop old entries.
    std::function<void()> written; ///< Called on the writer's thread after all of this is synced; not called after an error.
};

/** Writes jobs in order; all waiting jobs share one sync. addJob(), isIdle() and syncs() are thread-safe. */
class LogWriter {
public:
    /** Called on the writer's thread when the disk becomes full (true) and when it is no longer full (false). */
    using DiskFullHook = std::function<void(bool isFull)>;
    /** Called on the writer's thread after an error other than a full disk; the process must end. */
    using FailureHook = std::function<void(std::error_code)>;

    /** Starts the thread. The storage must outlive this object. */
    LogWriter(LogStorage& storage, DiskFullHook diskFullHook, FailureHook failureHook);
    ~LogWriter();

    /** Queues a job. Jobs that are added after stop() has returned are never written. */
    void addJob(LogWriteJob job);

    /** Returns whether no job waits or is being written. */
    bool isIdle() const { return this->unfinishedJobs.load() == 0; }

    /** Returns the number of journal syncs since the start. */
    uint64_t syncs() const { return this->syncCount.load(); }

    /** Finishes all jobs and joins the thread. Jobs that wait for disk space are dropped. */
    void stop();

private:
    void run();
    void writeBatch(std::deque<LogWriteJob>& batch);
    bool retryWhileDiskFull(const std::function<std::error_code()>& step);

    LogStorage& storage; ///< Journal and snapshots; used only on the writer's thread.
    DiskFullHook diskFullHook; ///< Called when the disk becomes full or writable.
    FailureHook failureHook; ///< Called after a permanent error.
    std::mutex mutex; ///< Protects `jobs` and `isStopping`.
    std::condition_variable queueChanged; ///< Signals a new job or the stop.
    std::deque<LogWriteJob> jobs; ///< Queued jobs, oldest first.
    bool isStopping = false; ///< Whether the thread ends once the queue is empty.
    std::atomic<uint64_t> unfinishedJobs { 0 }; ///< Number of jobs that are queued or being written.
    std::atomic<uint64_t> syncCount { 0 }; ///< Number of journal syncs since the start.
    std::thread thread; ///< Writer's thread.
};

} // namespace kingcup
