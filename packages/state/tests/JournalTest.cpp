/** @file JournalTest.cpp Tests that crashes, failed syncs and full disks neither lose synced records nor add records that were not appended. */
#include "kingcup/Journal.h"

#include "testing/ScratchFolder.h"
#include "testing/Story.h"

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <unistd.h>

using namespace kingcup;
using kingcup::testing::ScratchFolder;
using kingcup::testing::section;

namespace {

/** Closes the journal, if it is open, and opens the one in the folder. */
std::error_code openJournal(const std::string& folder, std::unique_ptr<Journal>& journal, std::vector<JournalRecord>& records, FileHooks hooks = systemFileHooks())
{
    journal.reset();
    return Journal::open(folder, std::move(hooks), journal, records);
}

/** Returns hooks that skip the syncs, for tests that open a journal hundreds of times. */
FileHooks hooksWithoutSync()
{
    FileHooks hooks = systemFileHooks();
    hooks.sync = [](int) { return 0; };
    return hooks;
}

/** Returns the data of all records. */
std::vector<std::string> contents(const std::vector<JournalRecord>& records)
{
    std::vector<std::string> result;
    result.reserve(records.size());
    for (const JournalRecord& record : records)
        result.push_back(record.data);
    return result;
}

std::string readAll(const std::string& path)
{
    std::ifstream stream(path, std::ios::binary);
    return { std::istreambuf_iterator<char>(stream), {} };
}

void writeAll(const std::string& path, const std::string& content)
{
    // Remove the file first: ext4 flushes a file that is truncated and rewritten to the disk at once.
    std::filesystem::remove(path);
    std::ofstream(path, std::ios::binary | std::ios::trunc) << content;
}

using Contents = std::vector<std::string>;

} // namespace

TEST(JournalTest, tornAndDamaged)
{
    ScratchFolder folder;
    std::string path = folder.path() + "/journal";
    std::unique_ptr<Journal> journal;
    std::vector<JournalRecord> records;
    ASSERT_FALSE(openJournal(folder.path(), journal, records, hooksWithoutSync()));
    ASSERT_FALSE(journal->append({ { 1, "first" }, { 2, "" } }));
    ASSERT_FALSE(journal->sync());
    uint64_t syncedSize = journal->sizeBytes();
    ASSERT_FALSE(journal->append({ { 3, "third" } }));
    const std::string whole = readAll(path);

    section("a tail that is cut at any byte is truncated, and records can be appended afterwards", [&] {
        for (uint64_t size = syncedSize; size < whole.size(); ++size) {
            writeAll(path, whole.substr(0, size));
            ASSERT_FALSE(openJournal(folder.path(), journal, records, hooksWithoutSync())) << size;
            EXPECT_EQ(contents(records), (Contents { "first", "" })) << size;
            ASSERT_FALSE(journal->append({ { 4, "fourth" } }));
            ASSERT_FALSE(openJournal(folder.path(), journal, records, hooksWithoutSync())) << size;
            EXPECT_EQ(contents(records), (Contents { "first", "", "fourth" })) << size;
        }
    });
    section("an unsynced tail with a changed byte is truncated", [&] {
        for (uint64_t position = syncedSize; position < whole.size(); ++position) {
            std::string damaged = whole;
            damaged[position] ^= 0x10;
            writeAll(path, damaged);
            ASSERT_FALSE(openJournal(folder.path(), journal, records, hooksWithoutSync())) << position;
            EXPECT_EQ(contents(records), (Contents { "first", "" })) << position;
        }
    });
    section("a changed byte in the synced part is refused and the file is not modified", [&] {
        for (uint64_t position = 0; position < syncedSize; ++position) {
            std::string damaged = whole;
            damaged[position] ^= 0x10;
            writeAll(path, damaged);
            EXPECT_EQ(openJournal(folder.path(), journal, records, hooksWithoutSync()), ResultCode::JournalDamaged) << position;
            EXPECT_EQ(readAll(path), damaged);
        }
    });
    section("a rewritten journal has no unsynced tail, so any missing or changed byte is refused", [&] {
        writeAll(path, whole);
        ASSERT_FALSE(openJournal(folder.path(), journal, records, hooksWithoutSync()));
        ASSERT_FALSE(journal->rewrite({ { 5, "kept" }, { 6, "kept too" } }));
        const std::string rewritten = readAll(path);
        for (uint64_t position = rewritten.size() - 9; position < rewritten.size(); ++position) {
            std::string damaged = rewritten;
            damaged[position] ^= 0x10;
            writeAll(path, damaged);
            EXPECT_EQ(openJournal(folder.path(), journal, records, hooksWithoutSync()), ResultCode::JournalDamaged) << position;
            writeAll(path, rewritten.substr(0, position));
            EXPECT_EQ(openJournal(folder.path(), journal, records, hooksWithoutSync()), ResultCode::JournalDamaged) << position;
        }
    });
}

TEST(JournalTest, failures)
{
    ScratchFolder folder;
    std::unique_ptr<Journal> journal;
    std::vector<JournalRecord> records;
    int syncErrorNumber = 0;
    size_t freeBytes = 1000;
    FileHooks hooks = systemFileHooks();
    hooks.sync = [&](int descriptor) { return syncErrorNumber ? syncErrorNumber : systemFileHooks().sync(descriptor); };
    hooks.write = [&](int descriptor, std::string_view data) {
        size_t writableBytes = std::min(freeBytes, data.size());
        freeBytes -= writableBytes;
        int failure = systemFileHooks().write(descriptor, data.substr(0, writableBytes));
        return writableBytes < data.size() ? ENOSPC : failure;
    };
    ASSERT_FALSE(openJournal(folder.path(), journal, records, hooks));
    ASSERT_FALSE(journal->append({ { 1, "first" } }));

    section("a write that fails on a full disk leaves no partial record, and later appends succeed", [&] {
        freeBytes = 20;
        EXPECT_EQ(journal->append({ { 1, "refused" } }), ResultCode::DiskFull);
        EXPECT_EQ(journal->rewrite({ { 1, "refused" } }), ResultCode::DiskFull);
        freeBytes = 1000;
        ASSERT_FALSE(journal->append({ { 1, "second" } }));
        ASSERT_FALSE(openJournal(folder.path(), journal, records, hooks));
        EXPECT_EQ(contents(records), (Contents { "first", "second" }));
    });
    section("every operation after a failed sync is refused, because the content on disk is unknown", [&] {
        syncErrorNumber = EIO;
        EXPECT_EQ(journal->sync(), ResultCode::SyncFailed);
        syncErrorNumber = 0;
        EXPECT_EQ(journal->sync(), ResultCode::SyncFailed);
        EXPECT_EQ(journal->append({ { 1, "late" } }), ResultCode::SyncFailed);
        EXPECT_EQ(journal->rewrite({}), ResultCode::SyncFailed);
    });
}
