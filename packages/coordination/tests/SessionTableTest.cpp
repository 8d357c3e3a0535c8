/** @file SessionTableTest.cpp Guards against leases that are counted wrongly and manifests that are reported in force too early. */
#include "kingcup/SessionTable.h"

#include "kingcup/EntryVmCount.h"
#include "testing/Story.h"

#include <gtest/gtest.h>

using namespace kingcup;
using kingcup::testing::section;

namespace {

/** Returns a session request that confirms a manifest. */
wire::SessionRequest request(const std::string& vm, uint64_t incarnation, uint64_t manifestNumber)
{
    wire::SessionRequest request;
    request.set_entry_vm(vm);
    request.set_incarnation(incarnation);
    request.set_held_index(manifestNumber * 10);
    request.set_held_manifest_number(manifestNumber);
    return request;
}

/** Returns a heartbeat of a target with four slots. */
wire::TargetLoad load(const std::string& address, uint64_t incarnation, uint32_t inFlight, wire::TargetState state = wire::TARGET_SERVING)
{
    wire::TargetLoad load;
    load.mutable_target()->set_service("ledger");
    load.mutable_target()->set_address(address);
    load.mutable_target()->set_incarnation(incarnation);
    load.mutable_target()->set_slots(4);
    load.mutable_target()->set_state(state);
    load.set_in_flight(inFlight);
    return load;
}

} // namespace

TEST(SessionTableTest, tracksLeasesOfEntryVms)
{
    SessionTable table(Milliseconds(1000), Milliseconds(4000));
    table.becomeLeader(timeAt(5000), {});
    table.renewLease(request("vm1", 1, 7), timeAt(5100));
    table.renewLease(request("vm2", 1, 6), timeAt(5200));
    section("for one lease term after becoming the leader, unknown entry VMs may hold leases", [&] {
        EXPECT_EQ(table.liveEntryVms(timeAt(5999)), 0u);
        EXPECT_FALSE(table.inForceStatus(6, timeAt(5999)).isComplete);
        EXPECT_EQ(table.liveEntryVms(timeAt(6000)), 2u);
        EXPECT_TRUE(table.inForceStatus(6, timeAt(6000)).isComplete);
    });
    section("until then the number is estimated from the sessions and from what their requests state", [&] {
        // A new leader that assumes a fixed number lends too large shares in deployments with more entry VMs.
        SessionTable estimating(Milliseconds(1000), Milliseconds(4000));
        estimating.becomeLeader(timeAt(5000), {});
        EXPECT_EQ(estimating.estimatedEntryVms(timeAt(5000)), 0u);
        estimating.renewLease(request("vm1", 1, 7), timeAt(5100));
        EXPECT_EQ(estimating.estimatedEntryVms(timeAt(5100)), 1u);
        wire::SessionRequest stating = request("vm2", 1, 7);
        stating.set_known_entry_vms(300);
        estimating.renewLease(stating, timeAt(5200));
        stating.set_entry_vm("vm3");
        stating.set_known_entry_vms(200);
        estimating.renewLease(stating, timeAt(5300));
        EXPECT_EQ(estimating.liveEntryVms(timeAt(5300)), 0u);
        EXPECT_EQ(estimating.estimatedEntryVms(timeAt(5300)), 300u);
        estimating.becomeLeader(timeAt(9000), {});
        EXPECT_EQ(estimating.estimatedEntryVms(timeAt(9000)), 0u);
    });
    section("a manifest is in force when every VM that holds a lease has confirmed it", [&] {
        InForceStatus partial = table.inForceStatus(7, timeAt(6050));
        EXPECT_EQ(partial.confirmed, 1u);
        EXPECT_EQ(partial.total, 2u);
        EXPECT_FALSE(partial.isComplete);
        table.renewLease(request("vm1", 1, 7), timeAt(6060));
        EXPECT_TRUE(table.inForceStatus(7, timeAt(6200)).isComplete);
    });
    section("a delayed request does not revoke a confirmation", [&] {
        table.renewLease(request("vm1", 1, 5), timeAt(6300));
        EXPECT_EQ(table.sessions().at("vm1").heldManifestNumber, 7u);
    });
    section("a replaced incarnation counts until its lease ends, because it may be isolated and still serve", [&] {
        table.renewLease(request("vm1", 2, 8), timeAt(6400));
        table.renewLease(request("vm1", 1, 9), timeAt(6500));
        EXPECT_EQ(table.sessions().at("vm1").incarnation, 2u);
        // vm2 has no lease any more, but may be isolated and serve.
        EXPECT_EQ(table.liveEntryVms(timeAt(7299)), 3u);
        EXPECT_EQ(table.liveEntryVms(timeAt(7300)), 2u);
        EXPECT_FALSE(table.inForceStatus(8, timeAt(7299)).isComplete);
        EXPECT_TRUE(table.inForceStatus(8, timeAt(7300)).isComplete);
    });
    section("expired sessions are returned once", [&] {
        std::vector<EntrySession> expired = table.takeExpiredSessions(timeAt(7300));
        ASSERT_EQ(expired.size(), 1u);
        EXPECT_EQ(expired[0].entryVm, "vm2");
        EXPECT_TRUE(table.takeExpiredSessions(timeAt(7300)).empty());
    });
    section("a VM without contact counts until the isolation term has passed since its lease", [&] {
        // Shared limits would be divided among the others while it goes on using its part.
        double vm2End = 6200 + isolationTerm.count();
        table.renewLease(request("vm1", 2, 8), timeAt(vm2End - 500));
        EXPECT_EQ(table.liveEntryVms(timeAt(vm2End - 1)), 2u);
        EXPECT_EQ(table.liveEntryVms(timeAt(vm2End)), 1u);
        table.takeExpiredSessions(timeAt(vm2End + isolationTerm.count() + 1000));
        EXPECT_EQ(table.liveEntryVms(timeAt(vm2End + isolationTerm.count() + 1000)), 0u);
    });
}

TEST(SessionTableTest, newLeadersCountVmsThatOnlyTheFormerOneHasHeardOf)
{
    SessionTable table(Milliseconds(1000), Milliseconds(4000));
    table.becomeLeader(timeAt(0), {});
    wire::SessionRequest stating = request("vm1", 1, 7);
    stating.set_known_entry_vms(14);
    table.renewLease(stating, timeAt(100));
    section("isolated VMs that never reach the new leader count for the isolation term", [&] {
        EXPECT_EQ(table.liveEntryVms(timeAt(1000)), 14u);
        table.renewLease(stating, timeAt(900 + isolationTerm.count()));
        EXPECT_EQ(table.liveEntryVms(timeAt(999 + isolationTerm.count())), 14u);
        EXPECT_EQ(table.liveEntryVms(timeAt(1000 + isolationTerm.count())), 1u);
    });
    section("what a VM has from this leader does not raise the number", [&] {
        stating.set_known_entry_vms(20);
        table.becomeLeader(timeAt(100000), {});
        table.renewLease(request("vm1", 1, 7), timeAt(100100));
        table.renewLease(stating, timeAt(100500));
        EXPECT_EQ(table.liveEntryVms(timeAt(101000)), 1u);
    });
}

TEST(SessionTableTest, tracksHeartbeatsOfTargets)
{
    SessionTable table(Milliseconds(1000), Milliseconds(4000));
    table.becomeLeader(timeAt(0), { load("known:80", 1, 0).target() });
    section("a new leader starts a full lease for known targets, and reports a silent one once per lease", [&] {
        EXPECT_TRUE(table.takeTimedOutTargets(timeAt(3999)).empty());
        EXPECT_EQ(table.takeTimedOutTargets(timeAt(4000)).size(), 1u);
        EXPECT_TRUE(table.takeTimedOutTargets(timeAt(4001)).empty());
        EXPECT_EQ(table.takeTimedOutTargets(timeAt(8000)).size(), 1u);
    });
    section("older incarnations do not extend the lease of a target, and targets that are gone are removed", [&] {
        table.recordHeartbeat(load("known:80", 2, 0), timeAt(9000));
        table.recordHeartbeat(load("known:80", 1, 0), timeAt(12000));
        EXPECT_EQ(table.takeTimedOutTargets(timeAt(13000)).size(), 1u);
        table.recordHeartbeat(load("known:80", 2, 0, wire::TARGET_GONE), timeAt(13001));
        EXPECT_TRUE(table.takeTimedOutTargets(timeAt(99999)).empty());
    });
    section("the digest stays within its size limit and starts with recent observations far from the mean", [&] {
        for (int i = 0; i < 50; i++)
            table.recordHeartbeat(load("ordinary" + std::to_string(i) + ":80", 1, 1), timeAt(100000));
        table.recordHeartbeat(load("old:80", 1, 4), timeAt(95000));
        table.recordHeartbeat(load("busy:80", 1, 4), timeAt(100000));
        std::vector<wire::TargetLoad> digest = table.loadDigest(400, timeAt(100250));
        ASSERT_GT(digest.size(), 5u);
        EXPECT_EQ(digest[0].target().address(), "busy:80");
        EXPECT_EQ(digest[0].age_ms(), 250u);
        wire::HeartbeatAnswer answer;
        for (const wire::TargetLoad& row : digest)
            *answer.add_digest() = row;
        EXPECT_LE(answer.ByteSizeLong(), 400u);
    });
}
