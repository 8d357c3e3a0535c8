/** @file LogWriterTest.cpp Guards against a writer that loses a job on a full disk, goes on after a failed sync, or does not end. */
#include "LogWriter.h"

#include "testing/ProcessHarness.h"
#include "testing/ScratchFolder.h"
#include "testing/Story.h"

#include <cerrno>
#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr Milliseconds waitLimit { 5000 };

/** Writer with a thread of its own, on a disk that refuses syncs with an error. */
struct WriterOnDisk {
    WriterOnDisk()
    {
        FileHooks hooks = systemFileHooks();
        hooks.sync = [this](int) { return this->syncError.load(); };
        DurableLogState state;
        std::string snapshot;
        EXPECT_FALSE(DataFolder::open(this->files.path(), "test", 1, 7, this->folder));
        EXPECT_FALSE(LogStorage::open(*this->folder, hooks, this->storage, state, snapshot));
        this->writer = std::make_unique<LogWriter>(
            *this->storage, [this](bool isFull) { this->isFull = isFull; }, [this](std::error_code) { this->failures++; });
    }

    void add(Term term)
    {
        LogWriteJob job;
        job.write.hardState = HardState { term, 0 };
        job.written = [this] { this->written++; };
        this->writer->addJob(std::move(job));
    }

    ScratchFolder files;
    std::atomic<int> syncError = 0;
    std::atomic<bool> isFull = false;
    std::atomic<int> failures = 0;
    std::atomic<int> written = 0;
    std::unique_ptr<DataFolder> folder;
    std::unique_ptr<LogStorage> storage;
    std::unique_ptr<LogWriter> writer;
};

} // namespace

TEST(LogWriterTest, jobsWaitWhileTheDiskIsFull)
{
    WriterOnDisk disk;
    disk.syncError = ENOSPC;
    disk.add(1);
    ASSERT_TRUE(waitUntil(waitLimit, [&] { return disk.isFull.load(); }));
    disk.add(2);
    EXPECT_EQ(disk.written, 0);
    disk.syncError = 0;
    EXPECT_TRUE(waitUntil(waitLimit, [&] { return disk.writer->isIdle(); }));
    EXPECT_EQ(disk.written, 2);
    EXPECT_FALSE(disk.isFull);
    EXPECT_EQ(disk.failures, 0);
}

TEST(LogWriterTest, endsOnAFullDisk)
{
    WriterOnDisk disk;
    disk.syncError = ENOSPC;
    disk.add(1);
    ASSERT_TRUE(waitUntil(waitLimit, [&] { return disk.isFull.load(); }));
    disk.writer->stop();
    EXPECT_EQ(disk.written, 0);
}

TEST(LogWriterTest, writesNothingAfterAFailedSync)
{
    WriterOnDisk disk;
    disk.syncError = EIO;
    disk.add(1);
    ASSERT_TRUE(waitUntil(waitLimit, [&] { return disk.failures.load() > 0; }));
    disk.syncError = 0;
    disk.add(2);
    disk.writer->stop();
    EXPECT_EQ(disk.written, 0);
    EXPECT_EQ(disk.failures, 1);
}
