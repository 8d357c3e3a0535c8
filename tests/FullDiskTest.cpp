/** @file FullDiskTest.cpp Guards against control VMs that end, or a group that refuses changes for good, because disks were full, in real processes. */
#include "TestDeployment.h"

#include "testing/FullDisk.h"

#include <csignal>
#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr char allOperations[] = "write sync rename truncate reserve";
constexpr Milliseconds startLimit { 8000 };
constexpr Milliseconds stopLimit { 2000 };
constexpr Milliseconds acknowledgementLimit { 4000 }; ///< For a change while the disk of one VM is full.

/** Returns how many lines of the log of a VM have this event. */
size_t countEvents(const Vm& vm, const std::string& event)
{
    std::string log = readFile(vm.folder + "/log.jsonl");
    std::string text = "\"" + event + "\"";
    size_t count = 0;
    for (size_t found = log.find(text); found != std::string::npos; found = log.find(text, found + 1))
        count++;
    return count;
}

bool hasLogged(const Vm& vm, const std::string& event)
{
    return countEvents(vm, event) > 0;
}

/** Applies a manifest through an entry VM, again until it is accepted. Returns whether it was within a limit. */
bool isAccepted(Deployment& deployment, uint64_t number, Milliseconds limit)
{
    nlohmann::json manifest = makeManifest(number, deployment.plan().services);
    return waitUntil(limit, [&] { return deployment.applyManifest(deployment.entryVms()[0], manifest).code() == 0; });
}

} // namespace

TEST(FullDisk, startsWaitForRoom)
{
    FullDisks disks;
    Deployment deployment(testOptions(121, 1));
    Vm& vm = deployment.controlVms()[2];
    FullDisks::fill(vm, allOperations);
    section("a process whose disk has no room for its first files waits, and ends at once when it is told to", [&] {
        ASSERT_TRUE(deployment.startControl());
        ASSERT_TRUE(waitUntil(startLimit, [&] { return hasLogged(vm, "start_delayed"); })) << deployment.logs();
        std::this_thread::sleep_for(Milliseconds(500));
        ASSERT_TRUE(vm.process->running());
        vm.process->signal(SIGTERM);
        EXPECT_EQ(vm.process->wait(stopLimit), 0);
        ASSERT_TRUE(deployment.restart(vm));
    });
    pid_t pid = vm.process->pid();
    section("it goes on once there is room, without a restart", [&] {
        FullDisks::empty(vm);
        ASSERT_TRUE(waitUntil(startLimit, [&] { return hasLogged(vm, "started"); })) << deployment.logs();
    });
    section("without room to record that it belongs to the group, it tries again from time to time, not at each tick", [&] {
        FullDisks::fill(vm, "rename");
        std::thread bootstrap([&] { EXPECT_TRUE(deployment.bootstrap(startLimit * 2)) << deployment.logs(); });
        bool hasFailed = waitUntil(startLimit, [&] { return hasLogged(vm, "mark_failed"); });
        std::this_thread::sleep_for(Milliseconds(1000));
        EXPECT_TRUE(hasFailed && countEvents(vm, "mark_failed") <= 4) << countEvents(vm, "mark_failed");
        FullDisks::empty(vm);
        bootstrap.join();
        EXPECT_TRUE(waitUntil(startLimit, [&] { return hasLogged(vm, "joined_group"); })) << deployment.logs();
        EXPECT_TRUE(vm.process->running());
        EXPECT_EQ(vm.process->pid(), pid);
    });
}

TEST(FullDisk, changesAreAcceptedOnceDisksHaveRoom)
{
    FullDisks disks;
    Deployment deployment(testOptions(122, 1));
    ASSERT_EQ(startAll(deployment), "");
    uint64_t number = 1;
    section("while the disk of the leader is full, a change is accepted by another VM", [&] {
        Vm* leader = deployment.waitLeader(startLimit);
        ASSERT_TRUE(leader);
        FullDisks::fill(*leader, allOperations);
        EXPECT_TRUE(isAccepted(deployment, ++number, acknowledgementLimit)) << deployment.logs();
        FullDisks::empty(*leader);
    });
    section("after disks that refuse one operation each, one after the other, a change is accepted", [&] {
        for (const char* operation : { "write", "sync", "rename", "write truncate" }) {
            Vm* leader = deployment.waitLeader(startLimit);
            ASSERT_TRUE(leader);
            FullDisks::fill(*leader, operation);
            deployment.applyManifest(deployment.entryVms()[0], makeManifest(++number, deployment.plan().services));
            FullDisks::empty(*leader);
        }
        EXPECT_TRUE(isAccepted(deployment, ++number, acknowledgementLimit)) << deployment.logs();
    });
    section("a process that starts again on a full disk is a member again once there is room", [&] {
        Vm& vm = deployment.controlVms()[0];
        FullDisks::fill(vm, allOperations);
        vm.process->kill();
        ASSERT_TRUE(deployment.restart(vm));
        EXPECT_TRUE(isAccepted(deployment, ++number, acknowledgementLimit * 2)) << deployment.logs();
        FullDisks::empty(vm);
        uint64_t index = deployment.ownStatus(*deployment.waitLeader(startLimit)).value("commitIndex", 0);
        EXPECT_TRUE(waitUntil(startLimit, [&] { return deployment.ownStatus(vm).value("commitIndex", 0u) >= index; })) << deployment.logs();
    });
    for (Vm& vm : deployment.controlVms())
        EXPECT_TRUE(vm.process->running()) << vm.name;
}

TEST(FullDisk, groupServesWhileAllDisksAreShortOfSpace)
{
    FullDisks disks;
    Deployment deployment(testOptions(123, 1));
    ASSERT_EQ(startAll(deployment), "");
    const Vm& entry = deployment.entryVms()[0];
    for (Vm& vm : deployment.controlVms())
        FullDisks::fill(vm, "reserve");
    ASSERT_TRUE(waitUntil(startLimit, [&] { return std::all_of(deployment.controlVms().begin(), deployment.controlVms().end(), [](const Vm& vm) { return hasLogged(vm, "disk_space_short"); }); }));
    section("a change is refused with a clear reason", [&] {
        EXPECT_TRUE(waitUntil(acknowledgementLimit, [&] { return deployment.applyManifest(entry, makeManifest(2, deployment.plan().services)).code() == numberOf(ResultCode::DiskFull); }));
    });
    section("when the leader ends, another one renews the leases of the entry VMs", [&] {
        Vm* leader = deployment.waitLeader(startLimit);
        ASSERT_TRUE(leader);
        leader->process->kill();
        ASSERT_TRUE(waitUntil(startLimit, [&] { return deployment.leader() != nullptr; })) << deployment.logs();
        EXPECT_TRUE(waitUntil(startLimit, [&] { return deployment.ready(entry); })) << deployment.logs();
        std::this_thread::sleep_for(Milliseconds(3000));
        EXPECT_TRUE(deployment.ready(entry)) << deployment.logs();
        EXPECT_EQ(deployment.manifestInForce(entry), 1u);
        EXPECT_TRUE(deployment.restart(*leader));
    });
    section("changes are accepted once there is room", [&] {
        for (Vm& vm : deployment.controlVms())
            FullDisks::empty(vm);
        EXPECT_TRUE(isAccepted(deployment, 2, acknowledgementLimit)) << deployment.logs();
    });
}
