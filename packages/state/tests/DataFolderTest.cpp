/** @file DataFolderTest.cpp Tests that a data folder of another VM, a folder in use and a partially written file are refused. */
#include "kingcup/DataFolder.h"

#include "testing/ScratchFolder.h"
#include "testing/Story.h"

#include <cerrno>
#include <fstream>
#include <gtest/gtest.h>

using namespace kingcup;
using kingcup::testing::ScratchFolder;
using kingcup::testing::section;

TEST(DataFolderTest, identityAndLock)
{
    ScratchFolder parent;
    std::string path = parent.path() + "/data";
    std::unique_ptr<DataFolder> folder;
    std::unique_ptr<DataFolder> second;
    section("the identity of a new folder is kept when the folder is opened again", [&] {
        ASSERT_FALSE(DataFolder::open(path, "deployment", 1, 77, folder));
        EXPECT_EQ(folder->identity().incarnation, 77u);
        EXPECT_FALSE(folder->identity().isBootstrapped);
        ASSERT_FALSE(folder->markBootstrapped());
        folder.reset();
        ASSERT_FALSE(DataFolder::open(path, "deployment", 1, 88, folder));
        EXPECT_EQ(folder->identity().incarnation, 77u);
        EXPECT_TRUE(folder->identity().isBootstrapped);
    });
    section("a folder that is already open is refused", [&] {
        EXPECT_EQ(DataFolder::open(path, "deployment", 1, 88, second), ResultCode::DataFolderLocked);
        folder.reset();
    });
    section("a folder of another deployment or VM is refused", [&] {
        EXPECT_EQ(DataFolder::open(path, "other", 1, 88, second), ResultCode::ForeignDataFolder);
        EXPECT_EQ(DataFolder::open(path, "deployment", 2, 88, second), ResultCode::ForeignDataFolder);
    });
    section("a folder with files but without identity is refused", [&] {
        std::filesystem::remove(path + "/identity");
        std::ofstream(path + "/journal") << "something";
        EXPECT_EQ(DataFolder::open(path, "deployment", 1, 88, second), ResultCode::ForeignDataFolder);
    });
    section("a folder whose initialisation was interrupted is initialised again", [&] {
        std::filesystem::remove(path + "/journal");
        std::ofstream(path + "/identity.tmp") << "half";
        ASSERT_FALSE(DataFolder::open(path, "deployment", 1, 99, folder));
        EXPECT_EQ(folder->identity().incarnation, 99u);
    });
}

TEST(DataFolderTest, storedFiles)
{
    ScratchFolder parent;
    std::unique_ptr<DataFolder> folder;
    ASSERT_FALSE(DataFolder::open(parent.path(), "deployment", 1, 77, folder));
    std::string content;
    section("a failed write or sync leaves the old file unchanged", [&] {
        EXPECT_EQ(folder->loadFile("state", content), ResultCode::NotFound);
        ASSERT_FALSE(folder->storeFile("state", "old", systemFileHooks()));
        FileHooks diskFullHooks = systemFileHooks();
        diskFullHooks.write = [](int, std::string_view) { return ENOSPC; };
        EXPECT_EQ(folder->storeFile("state", "new", diskFullHooks), ResultCode::DiskFull);
        FileHooks syncFailedHooks = systemFileHooks();
        syncFailedHooks.sync = [](int) { return EIO; };
        EXPECT_EQ(folder->storeFile("state", "new", syncFailedHooks), ResultCode::SyncFailed);
        ASSERT_FALSE(folder->loadFile("state", content));
        EXPECT_EQ(content, "old");
    });
    section("a changed byte is detected by the checksum", [&] {
        std::fstream file(parent.path() + "/state", std::ios::in | std::ios::out | std::ios::binary);
        file.seekp(-1, std::ios::end);
        file.put('x');
        file.close();
        EXPECT_EQ(folder->loadFile("state", content), ResultCode::JournalDamaged);
    });
}
