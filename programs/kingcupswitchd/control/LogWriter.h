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
    std::function<void()> snapshotRefused; ///< Called in place of `written` if the disk has no room for `takenSnapshot`.
};

/** Writes jobs in order; all waiting jobs share one sync. addJob(), isIdle(), journalBytes() and syncs() are thread-safe. */
class LogWriter {
public:
    /** Called on the writer's thread when the disk becomes full (true) and when it is no longer full (false). */
    using DiskFullHook = std::function<void(bool isFull)>;
    /** Called on the writer's thread after an error other than a full disk; the process must end. */
    using FailureHook = std::function<void(std::error_code)>;

    /** Who calls writeJobs(). */
    enum class Thread {
        Own, ///< A thread that the writer starts.
        Caller, ///< The owner, for simulations in which time is simulated as well.
    };

    /** The storage must outlive this object. */
    LogWriter(LogStorage& storage, DiskFullHook diskFullHook, FailureHook failureHook, Thread thread = Thread::Own);
    ~LogWriter();

    /** Queues a job. Jobs that are added after stop() has returned are never written. */
    void addJob(LogWriteJob job);

    /**
     * Writes the waiting jobs. Returns false after an error. On a full disk the next call repeats the first step that was refused, and
     * the jobs behind it wait. Only for Thread::Caller.
     */
    bool writeJobs();

    /** Returns whether no job waits or is being written. */
    bool isIdle() const { return this->unfinishedJobs.load() == 0; }

    /** Returns the number of journal syncs since the start. */
    uint64_t syncs() const { return this->syncCount.load(); }

    /** Returns the size of the journal after the latest job. */
    uint64_t journalBytes() const { return this->journalSize.load(); }

    /** Finishes all jobs and joins the thread. Jobs that wait for disk space are dropped. */
    void stop();

private:
    void run();
    bool takeJobs();
    bool writeBatch();
    bool finishJob(LogWriteJob& job);
    bool checkStep(std::error_code error);

    LogStorage& storage; ///< Journal and snapshots; used only on the writer's thread.
    DiskFullHook diskFullHook; ///< Called when the disk becomes full or writable.
    FailureHook failureHook; ///< Called after a permanent error.
    std::mutex mutex; ///< Protects `jobs` and `isStopping`.
    std::condition_variable queueChanged; ///< Signals a new job or the stop.
    std::deque<LogWriteJob> jobs; ///< Queued jobs, oldest first.
    bool isStopping = false; ///< Whether the thread ends once the queue is empty.
    std::deque<LogWriteJob> batch; ///< Jobs being written.
    size_t writtenJobs = 0; ///< Jobs of the batch that are in the journal, perhaps without a sync.
    bool needsSync = false; ///< Whether the batch has written to the journal since the last sync.
    bool isDiskFull = false; ///< Whether the disk refused the latest step.
    bool hasFailed = false; ///< Whether a permanent error occurred, after which nothing more is written.
    std::atomic<uint64_t> unfinishedJobs { 0 }; ///< Number of jobs that are queued or being written.
    std::atomic<uint64_t> syncCount { 0 }; ///< Number of journal syncs since the start.
    std::atomic<uint64_t> journalSize { 0 }; ///< Size of the journal after the latest job.
    std::thread thread; ///< Writer's thread.
};

} // namespace kingcup
