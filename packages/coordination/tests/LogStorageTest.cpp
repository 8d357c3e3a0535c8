/** @file LogStorageTest.cpp Tests that the stored state of the replicated log survives restarts, crashes and full disks. */
#include "kingcup/LogStorage.h"

#include "LossyDisk.h"

#include "testing/ScratchFolder.h"
#include "testing/Story.h"

#include <cerrno>
#include <gtest/gtest.h>

using namespace kingcup;
using kingcup::testing::LossyDisk;
using kingcup::testing::ScratchFolder;
using kingcup::testing::section;

namespace {

/** Makes entries with a term and consecutive indexes. */
std::vector<wire::LogEntry> makeEntries(LogIndex first, LogIndex last, Term term)
{
    std::vector<wire::LogEntry> entries;
    for (LogIndex index = first; index <= last; ++index) {
        wire::LogEntry& entry = entries.emplace_back();
        entry.set_index(index);
        entry.set_term(term);
        entry.set_payload("payload " + std::to_string(index));
    }
    return entries;
}

/** Data folder with a storage that can be reopened as after a restart. */
struct ReopenableStorage {
    explicit ReopenableStorage(const std::string& path)
        : path(path)
    {
    }

    std::error_code reopen(FileHooks hooks = systemFileHooks())
    {
        this->storage.reset();
        this->folder.reset();
        std::error_code error = DataFolder::open(this->path, "deployment", 1, 7, this->folder);
        return error ? error : LogStorage::open(*this->folder, std::move(hooks), this->storage, this->state, this->snapshot);
    }

    /** Returns the first and last index of the entries that the last reopen() read; zeros for none. */
    std::pair<LogIndex, LogIndex> entryRange() const
    {
        if (this->state.entries.empty())
            return {};
        return { this->state.entries.front().index(), this->state.entries.back().index() };
    }

    std::string path;
    std::unique_ptr<DataFolder> folder;
    std::unique_ptr<LogStorage> storage;
    DurableLogState state;
    std::string snapshot;
};

using IndexRange = std::pair<LogIndex, LogIndex>;

} // namespace

TEST(LogStorageTest, writesAndSnapshots)
{
    ScratchFolder folder;
    ReopenableStorage store(folder.path());
    section("term, vote and entries survive a restart, and truncated entries do not", [&] {
        ASSERT_FALSE(store.reopen());
        ASSERT_FALSE(store.storage->write({ HardState { 3, 2 }, 0, makeEntries(1, 10, 2) }));
        ASSERT_FALSE(store.storage->write({ std::nullopt, 9, makeEntries(9, 12, 3) }));
        ASSERT_FALSE(store.storage->sync());
        ASSERT_FALSE(store.reopen());
        EXPECT_EQ(store.state.hardState, (HardState { 3, 2 }));
        EXPECT_EQ(store.entryRange(), IndexRange(1, 12));
        EXPECT_EQ(store.state.entries[8].term(), 3u);
    });
    section("whether this member led its term survives a restart and a compaction, until the term changes", [&] {
        HardState led { 4, 1, true };
        ASSERT_FALSE(store.storage->write({ led, 0, {} }));
        ASSERT_FALSE(store.storage->storeSnapshot({ 1, 2, {} }, "state at 1"));
        ASSERT_FALSE(store.reopen());
        EXPECT_EQ(store.state.hardState, led);
        ASSERT_FALSE(store.storage->write({ HardState { 3, 2 }, 0, {} }));
        ASSERT_FALSE(store.reopen());
        EXPECT_EQ(store.state.hardState, (HardState { 3, 2 }));
    });
    section("a snapshot removes the entries that it covers and keeps later ones", [&] {
        uint64_t before = store.storage->journalBytes();
        ASSERT_FALSE(store.storage->storeSnapshot({ 8, 2, {} }, "state at 8"));
        EXPECT_LT(store.storage->journalBytes(), before);
        ASSERT_FALSE(store.storage->write({ std::nullopt, 0, makeEntries(13, 13, 3) }));
        ASSERT_FALSE(store.reopen());
        EXPECT_EQ(store.snapshot, "state at 8");
        EXPECT_EQ(store.state.snapshot.lastIndex, 8u);
        EXPECT_EQ(store.entryRange(), IndexRange(9, 13));
        EXPECT_EQ(store.state.hardState, (HardState { 3, 2 }));
    });
    section("an older snapshot is ignored", [&] {
        ASSERT_FALSE(store.storage->storeSnapshot({ 5, 2, {} }, "state at 5"));
        std::string data;
        ASSERT_FALSE(store.storage->readSnapshot(data));
        EXPECT_EQ(data, "state at 8");
    });
    section("a snapshot that conflicts with the uncommitted entries replaces them", [&] {
        ASSERT_FALSE(store.storage->storeSnapshot({ 11, 9, {} }, "state at 11"));
        ASSERT_FALSE(store.reopen());
        EXPECT_EQ(store.entryRange(), IndexRange());
    });
}

TEST(LogStorageTest, crashWhileStoringASnapshot)
{
    // storeSnapshot() calls write and sync for the snapshot file, sync for the folder, and then the same for the journal.
    ScratchFolder folder;
    ReopenableStorage store(folder.path());
    for (int lastCall = 0; lastCall <= 6; ++lastCall) {
        SCOPED_TRACE(lastCall);
        store.storage.reset();
        std::filesystem::remove(folder.path() + "/journal");
        std::filesystem::remove(folder.path() + "/snapshot");
        int calls = -1;
        FileHooks hooks;
        hooks.sync = [&](int) { return calls >= 0 && calls++ >= lastCall ? EIO : 0; };
        hooks.write = [&](int descriptor, std::string_view data) {
            return calls >= 0 && calls++ >= lastCall ? EIO : systemFileHooks().write(descriptor, data);
        };
        ASSERT_FALSE(store.reopen(hooks));
        ASSERT_FALSE(store.storage->write({ HardState { 3, 2 }, 0, makeEntries(1, 10, 2) }));
        calls = 0;
        EXPECT_EQ(!store.storage->storeSnapshot({ 6, 2, {} }, "state at 6"), lastCall == 6);
        calls = -1;
        ASSERT_FALSE(store.reopen(hooks));
        EXPECT_EQ(store.state.hardState, (HardState { 3, 2 }));
        bool isStored = store.state.snapshot.lastIndex == 6;
        EXPECT_EQ(isStored, lastCall >= 2);
        EXPECT_EQ(store.snapshot, isStored ? "state at 6" : "");
        EXPECT_EQ(store.entryRange(), IndexRange(isStored ? 7 : 1, 10));
    }
}

/** Guards against synced entries that are lost because a killed process had renamed the file that holds them without a sync of the folder. */
TEST(LogStorageTest, killWhileStoringASnapshotAndLossOfPowerAfterIt)
{
    for (uint64_t lastCall = 0; lastCall <= 6; ++lastCall) {
        for (uint64_t seed = 1; seed <= 10; ++seed) {
            SCOPED_TRACE("seed " + std::to_string(seed) + ", last call " + std::to_string(lastCall));
            ScratchFolder folder;
            RandomSource random(seed);
            LossyDisk disk(folder.path(), random, true);
            ReopenableStorage store(folder.path());
            ASSERT_FALSE(store.reopen(disk.hooks()));
            ASSERT_FALSE(store.storage->write({ HardState { 3, 2 }, 0, makeEntries(1, 10, 2) }));
            ASSERT_FALSE(store.storage->sync());
            disk.failAfter(lastCall);
            EXPECT_EQ(!store.storage->storeSnapshot({ 6, 2, {} }, "state at 6"), lastCall == 6);
            disk.failAfter(LossyDisk::noFailure);
            ASSERT_FALSE(store.reopen(disk.hooks()));
            ASSERT_FALSE(store.storage->write({ HardState { 4, 1 }, 0, makeEntries(11, 12, 4) }));
            ASSERT_FALSE(store.storage->sync());
            store.storage.reset();
            disk.losePower();
            ASSERT_FALSE(store.reopen(disk.hooks()));
            EXPECT_EQ(store.state.hardState, (HardState { 4, 1 }));
            EXPECT_EQ(store.entryRange().second, 12u);
        }
    }
}

TEST(LogStorageTest, snapshotNewerThanTheJournal)
{
    ScratchFolder folder;
    ReopenableStorage store(folder.path());
    int allowedWrites = 100;
    int writeError = EIO;
    FileHooks hooks = systemFileHooks();
    hooks.write = [&](int descriptor, std::string_view data) { return allowedWrites-- > 0 ? systemFileHooks().write(descriptor, data) : writeError; };
    ASSERT_FALSE(store.reopen(hooks));
    ASSERT_FALSE(store.storage->write({ HardState { 3, 2 }, 0, makeEntries(1, 10, 2) }));
    section("after a crash between a snapshot from the leader and the compaction, the following entries can be stored and read", [&] {
        allowedWrites = 1;
        EXPECT_EQ(store.storage->storeSnapshot({ 50, 3, {} }, "state at 50"), ResultCode::FileError);
        allowedWrites = 100;
        ASSERT_FALSE(store.reopen(hooks));
        EXPECT_EQ(store.entryRange(), IndexRange());
        ASSERT_FALSE(store.storage->write({ std::nullopt, 0, makeEntries(51, 52, 3) }));
        ASSERT_FALSE(store.reopen(hooks));
        EXPECT_EQ(store.entryRange(), IndexRange(51, 52));
    });
    section("without disk space for the compaction, writes are refused until it succeeds", [&] {
        allowedWrites = 1;
        writeError = ENOSPC;
        ASSERT_FALSE(store.storage->storeSnapshot({ 90, 3, {} }, "state at 90"));
        LogWrite write { std::nullopt, 0, makeEntries(91, 91, 3) };
        EXPECT_EQ(store.storage->write(write), ResultCode::DiskFull);
        allowedWrites = 100;
        ASSERT_FALSE(store.storage->write(write));
        ASSERT_FALSE(store.reopen(hooks));
        EXPECT_EQ(store.entryRange(), IndexRange(91, 91));
        EXPECT_EQ(store.state.hardState, (HardState { 3, 2 }));
    });
}

TEST(LogStorageTest, fullDisk)
{
    ScratchFolder folder;
    ReopenableStorage store(folder.path());
    bool isDiskFull = false;
    FileHooks hooks = systemFileHooks();
    hooks.write = [&](int descriptor, std::string_view data) { return isDiskFull ? ENOSPC : systemFileHooks().write(descriptor, data); };
    ASSERT_FALSE(store.reopen(hooks));
    section("a write that was refused for lack of space can be retried", [&] {
        LogWrite write { HardState { 1, 0 }, 0, makeEntries(1, 3, 1) };
        isDiskFull = true;
        EXPECT_EQ(store.storage->write(write), ResultCode::DiskFull);
        EXPECT_EQ(store.storage->storeSnapshot({ 2, 1, {} }, "state at 2"), ResultCode::DiskFull);
        isDiskFull = false;
        ASSERT_FALSE(store.storage->write(write));
        ASSERT_FALSE(store.reopen());
        EXPECT_EQ(store.entryRange(), IndexRange(1, 3));
        EXPECT_EQ(store.state.snapshot.lastIndex, 0u);
    });
}

// Guards against a member that can neither vote nor acknowledge anything because the disk has no room to compact the journal, although it has room for what the member writes.
TEST(LogStorageTest, fullDiskAtTheCompactionOfTheJournal)
{
    ScratchFolder folder;
    ReopenableStorage store(folder.path());
    size_t largestWrite = 1000000;
    FileHooks hooks = systemFileHooks();
    hooks.write = [&](int descriptor, std::string_view data) { return data.size() > largestWrite ? ENOSPC : systemFileHooks().write(descriptor, data); };
    ASSERT_FALSE(store.reopen(hooks));
    ASSERT_FALSE(store.storage->write({ HardState { 3, 2 }, 0, makeEntries(1, 100, 2) }));
    section("entries and votes are written after an own snapshot without its compaction, and after a restart", [&] {
        largestWrite = 500;
        ASSERT_FALSE(store.storage->storeSnapshot({ 10, 2, {} }, "state at 10"));
        for (LogIndex index = 101; index <= 104; index++) {
            ASSERT_FALSE(store.storage->write({ HardState { index, 1 }, 0, makeEntries(index, index, 3) }));
            ASSERT_FALSE(store.storage->sync());
            ASSERT_FALSE(store.reopen(hooks));
        }
        EXPECT_EQ(store.state.snapshot.lastIndex, 10u);
        EXPECT_EQ(store.state.hardState, (HardState { 104, 1 }));
        EXPECT_EQ(store.entryRange(), IndexRange(11, 104));
    });
    section("a snapshot of the leader that follows no entry of the journal still needs its compaction", [&] {
        largestWrite = 50; // The snapshot has 37 bytes, the compacted journal 56.
        ASSERT_FALSE(store.storage->storeSnapshot({ 200, 5, {} }, "state at 200"));
        EXPECT_EQ(store.storage->write({ std::nullopt, 0, makeEntries(201, 201, 5) }), ResultCode::DiskFull);
        largestWrite = 1000000;
        ASSERT_FALSE(store.storage->write({ std::nullopt, 0, makeEntries(201, 201, 5) }));
        ASSERT_FALSE(store.reopen(hooks));
        EXPECT_EQ(store.entryRange(), IndexRange(201, 201));
    });
    section("the next snapshot compacts the journal once there is room", [&] {
        ASSERT_FALSE(store.storage->write({ std::nullopt, 0, makeEntries(202, 400, 5) }));
        uint64_t before = store.storage->journalBytes();
        largestWrite = 500;
        ASSERT_FALSE(store.storage->storeSnapshot({ 300, 5, {} }, "state at 300"));
        EXPECT_EQ(store.storage->journalBytes(), before);
        largestWrite = 1000000;
        ASSERT_FALSE(store.storage->storeSnapshot({ 390, 5, {} }, "state at 390"));
        EXPECT_LT(store.storage->journalBytes(), before / 5);
        ASSERT_FALSE(store.reopen(hooks));
        EXPECT_EQ(store.entryRange(), IndexRange(391, 400));
    });
}
