/** @file JournalTest.cpp Tests that crashes, failed syncs and full disks neither lose synced records nor add records that were not appended. */
#include "kingcup/Journal.h"

#include "testing/ScratchFolder.h"
#include "testing/Story.h"

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sys/stat.h>
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

// Guards against a process that ends, or loses records, because a full disk refused a sync, a rename or a truncation in place of a write. File systems that allocate late do so.
TEST(JournalTest, fullDiskAtAnyOperation)
{
    ScratchFolder folder;
    std::unique_ptr<Journal> journal;
    std::vector<JournalRecord> records;
    bool refusesWrite = false;
    bool refusesSync = false;
    bool refusesFolderSync = false;
    bool refusesRename = false;
    bool refusesTruncate = false;
    FileHooks hooks = systemFileHooks();
    hooks.write = [&](int descriptor, std::string_view data) {
        int failure = systemFileHooks().write(descriptor, refusesWrite ? data.substr(0, data.size() / 2) : data);
        return refusesWrite ? ENOSPC : failure;
    };
    hooks.sync = [&](int descriptor) {
        struct stat status { };
        ::fstat(descriptor, &status);
        if (S_ISDIR(status.st_mode))
            return refusesFolderSync ? ENOSPC : 0;
        if (!refusesSync)
            return 0;
        // After a failed sync the kernel may drop what was not written.
        EXPECT_EQ(truncateFile(descriptor, static_cast<uint64_t>(status.st_size) / 2), 0);
        return ENOSPC;
    };
    hooks.rename = [&](const std::string& from, const std::string& to) { return refusesRename ? ENOSPC : renameFile(from, to); };
    hooks.truncate = [&](int descriptor, uint64_t size) { return refusesTruncate ? ENOSPC : truncateFile(descriptor, size); };
    ASSERT_FALSE(openJournal(folder.path(), journal, records, hooks));
    ASSERT_FALSE(journal->append({ { 1, "first" } }));
    ASSERT_FALSE(journal->sync());

    section("a refused sync can be repeated and loses no record", [&] {
        ASSERT_FALSE(journal->append({ { 1, "second" }, { 1, "third" } }));
        refusesSync = true;
        EXPECT_EQ(journal->sync(), ResultCode::DiskFull);
        EXPECT_EQ(journal->sync(), ResultCode::DiskFull);
        refusesSync = false;
        ASSERT_FALSE(journal->sync());
        ASSERT_FALSE(openJournal(folder.path(), journal, records, hooks));
        EXPECT_EQ(contents(records), (Contents { "first", "second", "third" }));
    });
    section("a partial write that cannot be removed at once is removed before the next record", [&] {
        refusesWrite = true;
        refusesTruncate = true;
        EXPECT_EQ(journal->append({ { 1, "refused" } }), ResultCode::DiskFull);
        refusesWrite = false;
        EXPECT_EQ(journal->append({ { 1, "refused" } }), ResultCode::DiskFull);
        refusesTruncate = false;
        ASSERT_FALSE(journal->append({ { 1, "fourth" } }));
        ASSERT_FALSE(journal->sync());
        ASSERT_FALSE(openJournal(folder.path(), journal, records, hooks));
        EXPECT_EQ(contents(records), (Contents { "first", "second", "third", "fourth" }));
    });
    for (bool* refusal : { &refusesWrite, &refusesSync, &refusesRename }) {
        section("a refused rewrite leaves no temporary file and the former records, to which records can be appended", [&] {
            *refusal = true;
            EXPECT_EQ(journal->rewrite({ { 2, "new" } }), ResultCode::DiskFull);
            *refusal = false;
            EXPECT_FALSE(std::filesystem::exists(folder.path() + "/journal.tmp"));
            ASSERT_FALSE(journal->append({ { 1, "more" } }));
            ASSERT_FALSE(journal->sync());
            ASSERT_FALSE(openJournal(folder.path(), journal, records, hooks));
            EXPECT_EQ(records.back().data, "more");
            EXPECT_EQ(records.front().data, "first");
        });
    }
    section("after a rewrite whose sync of the folder is refused, records are appended to the new file and nothing is synced before the folder", [&] {
        refusesFolderSync = true;
        EXPECT_EQ(journal->rewrite({ { 2, "new" } }), ResultCode::DiskFull);
        ASSERT_FALSE(journal->append({ { 1, "after" } }));
        EXPECT_EQ(journal->sync(), ResultCode::DiskFull);
        refusesFolderSync = false;
        ASSERT_FALSE(journal->sync());
        ASSERT_FALSE(openJournal(folder.path(), journal, records, hooks));
        EXPECT_EQ(contents(records), (Contents { "new", "after" }));
    });
    section("a journal that cannot be opened on a full disk can be opened once it has room", [&] {
        journal.reset();
        writeAll(folder.path() + "/journal", readAll(folder.path() + "/journal") + "torn");
        refusesTruncate = true;
        EXPECT_EQ(openJournal(folder.path(), journal, records, hooks), ResultCode::DiskFull);
        refusesTruncate = false;
        refusesFolderSync = true;
        EXPECT_EQ(openJournal(folder.path(), journal, records, hooks), ResultCode::DiskFull);
        refusesFolderSync = false;
        ASSERT_FALSE(openJournal(folder.path(), journal, records, hooks));
        EXPECT_EQ(contents(records), (Contents { "new", "after" }));
    });
}
