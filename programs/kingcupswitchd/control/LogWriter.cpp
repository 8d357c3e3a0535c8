/** @file LogWriter.cpp Implementation of the thread that writes the replicated log. */
#include "LogWriter.h"

namespace kingcup {

namespace {

constexpr Milliseconds diskFullRetryInterval { 200 };

} // namespace

LogWriter::LogWriter(LogStorage& storage, DiskFullHook diskFullHook, FailureHook failureHook, Thread thread)
    : storage(storage)
    , diskFullHook(std::move(diskFullHook))
    , failureHook(std::move(failureHook))
    , journalSize(storage.journalBytes())
{
    if (thread == Thread::Own)
        this->thread = std::thread([this] { this->run(); });
}

LogWriter::~LogWriter()
{
    this->stop();
}

void LogWriter::addJob(LogWriteJob job)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->unfinishedJobs++;
    this->jobs.push_back(std::move(job));
    this->queueChanged.notify_one();
}

void LogWriter::stop()
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->isStopping = true;
        this->queueChanged.notify_one();
    }
    if (this->thread.joinable())
        this->thread.join();
}

/** Main loop of the thread: writes the queued jobs in batches until stop(). */
void LogWriter::run()
{
    for (;;) {
        bool hasWritten = this->writeJobs();
        std::unique_lock<std::mutex> lock(this->mutex);
        if (this->hasFailed)
            return;
        if (!hasWritten)
            this->queueChanged.wait_for(lock, diskFullRetryInterval, [this] { return this->isStopping; });
        else
            this->queueChanged.wait(lock, [this] { return this->isStopping || !this->jobs.empty(); });
        if (this->isStopping && (!hasWritten || this->jobs.empty()))
            return;
    }
}

bool LogWriter::writeJobs()
{
    while (this->takeJobs()) {
        if (!this->writeBatch())
            return false;
        this->journalSize = this->storage.journalBytes();
    }
    return true;
}

/** Makes the queued jobs the next batch, unless one is being written. Returns whether there is one to write. */
bool LogWriter::takeJobs()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->batch.empty())
        this->batch.swap(this->jobs);
    return !this->batch.empty() && !this->hasFailed;
}

/** Writes the rest of the batch with one journal sync and calls its callbacks. Returns false at the first step that fails. */
bool LogWriter::writeBatch()
{
    for (; this->writtenJobs < this->batch.size(); this->writtenJobs++) {
        LogWriteJob& job = this->batch[this->writtenJobs];
        if (job.receivedSnapshot && !this->checkStep(this->storage.storeSnapshot(job.receivedSnapshot->meta, job.receivedSnapshot->data)))
            return false;
        if (job.write.empty())
            continue;
        if (!this->checkStep(this->storage.write(job.write)))
            return false;
        this->needsSync = true;
    }
    if (this->needsSync && !this->checkStep(this->storage.sync()))
        return false;
    this->syncCount += this->needsSync ? 1 : 0;
    this->needsSync = false;
    while (!this->batch.empty()) {
        if (!this->finishJob(this->batch.front()))
            return false;
        this->batch.pop_front();
        this->writtenJobs--;
        this->unfinishedJobs--;
    }
    return true;
}

/** Stores the own snapshot of a job whose write is synced, and calls its callback. Returns false after a permanent error. */
bool LogWriter::finishJob(LogWriteJob& job)
{
    std::error_code error;
    if (job.takenSnapshot)
        error = this->storage.storeSnapshot(job.takenSnapshot->meta, job.takenSnapshot->data);
    // The journal still holds what the snapshot covers, so the jobs behind it need not wait for room.
    bool isRefused = error == ResultCode::DiskFull;
    if (!isRefused && !this->checkStep(error))
        return false;
    const std::function<void()>& callback = isRefused ? job.snapshotRefused : job.written;
    if (callback)
        callback();
    return true;
}

/** Reports a full disk, the end of one, and a permanent error. Returns whether the step succeeded. */
bool LogWriter::checkStep(std::error_code error)
{
    bool isFull = error == ResultCode::DiskFull;
    if (isFull != this->isDiskFull) {
        this->isDiskFull = isFull;
        this->diskFullHook(isFull);
    }
    if (error && !isFull) {
        this->hasFailed = true;
        this->failureHook(error);
    }
    return !error;
}

} // namespace kingcup
