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

void LogWriter::add(LogWriteJob job)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->unfinished++;
    this->jobs.push_back(std::move(job));
    this->changed.notify_one();
}

void LogWriter::stop()
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->stopping = true;
        this->changed.notify_one();
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
            this->changed.wait(lock, [this] { return this->stopping || !this->jobs.empty(); });
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
    bool ok = true;
    bool needsSync = false;
    for (LogWriteJob& job : batch) {
        if (job.receivedSnapshot)
            ok = ok && this->writeWithRetries([&] { return this->storage.storeSnapshot(job.receivedSnapshot->meta, job.receivedSnapshot->data); });
        if (!job.write.empty()) {
            needsSync = true;
            ok = ok && this->writeWithRetries([&] { return this->storage.write(job.write); });
        }
    }
    if (needsSync && ok) {
        this->syncCount++;
        ok = this->writeWithRetries([&] { return this->storage.sync(); });
    }
    for (LogWriteJob& job : batch) {
        if (job.takenSnapshot)
            ok = ok && this->writeWithRetries([&] { return this->storage.storeSnapshot(job.takenSnapshot->meta, job.takenSnapshot->data); });
        if (ok && job.written)
            job.written();
        this->unfinished--;
    }
}

/** Repeats a step while the disk is full. Returns false after another error or if stop() was called meanwhile. */
bool LogWriter::writeWithRetries(const std::function<std::error_code()>& step)
{
    bool full = false;
    for (;;) {
        std::error_code error = step();
        if (error != ResultCode::DiskFull) {
            if (full)
                this->diskFullHook(false);
            if (error)
                this->failureHook(error);
            return !error;
        }
        if (!full)
            this->diskFullHook(true);
        full = true;
        std::unique_lock<std::mutex> lock(this->mutex);
        this->changed.wait_for(lock, diskFullRetryInterval, [this] { return this->stopping; });
        if (this->stopping)
            return false;
    }
}

} // namespace kingcup
