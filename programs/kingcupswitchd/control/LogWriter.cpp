/** @file LogWriter.cpp Implementation of the thread that writes the replicated log. */
#include "LogWriter.h"

namespace kingcup {

namespace {

constexpr Milliseconds diskFullRetryInterval { 200 };

} // namespace

LogWriter::LogWriter(LogStorage& storage, DiskFullHook diskFullHook, FailureHook failureHook)
    : storage(storage)
    , diskFullHook(std::move(diskFullHook))
    , failureHook(std::move(failureHook))
    , thread([this] { this->run(); })
{
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
        std::deque<LogWriteJob> batch;
        {
            std::unique_lock<std::mutex> lock(this->mutex);
            this->queueChanged.wait(lock, [this] { return this->isStopping || !this->jobs.empty(); });
            if (this->jobs.empty())
                return;
            batch.swap(this->jobs);
        }
        this->writeBatch(batch);
    }
}

/** Writes a batch of jobs with one journal sync and calls their callbacks, unless a step fails. */
void LogWriter::writeBatch(std::deque<LogWriteJob>& batch)
{
    bool isSuccessful = true;
    bool needsSync = false;
    for (LogWriteJob& job : batch) {
        if (job.receivedSnapshot)
            isSuccessful = isSuccessful && this->retryWhileDiskFull([&] { return this->storage.storeSnapshot(job.receivedSnapshot->meta, job.receivedSnapshot->data); });
        if (!job.write.empty()) {
            needsSync = true;
            isSuccessful = isSuccessful && this->retryWhileDiskFull([&] { return this->storage.write(job.write); });
        }
    }
    if (needsSync && isSuccessful) {
        this->syncCount++;
        isSuccessful = this->retryWhileDiskFull([&] { return this->storage.sync(); });
    }
    for (LogWriteJob& job : batch) {
        if (job.takenSnapshot)
            isSuccessful = isSuccessful && this->retryWhileDiskFull([&] { return this->storage.storeSnapshot(job.takenSnapshot->meta, job.takenSnapshot->data); });
        if (isSuccessful && job.written)
            job.written();
        this->unfinishedJobs--;
    }
}

/** Repeats a step while the disk is full. Returns false after another error or if stop() was called meanwhile. */
bool LogWriter::retryWhileDiskFull(const std::function<std::error_code()>& step)
{
    bool isDiskFull = false;
    for (;;) {
        std::error_code error = step();
        if (error != ResultCode::DiskFull) {
            if (isDiskFull)
                this->diskFullHook(false);
            if (error)
                this->failureHook(error);
            return !error;
        }
        if (!isDiskFull)
            this->diskFullHook(true);
        isDiskFull = true;
        std::unique_lock<std::mutex> lock(this->mutex);
        this->queueChanged.wait_for(lock, diskFullRetryInterval, [this] { return this->isStopping; });
        if (this->isStopping)
            return false;
    }
}

} // namespace kingcup
