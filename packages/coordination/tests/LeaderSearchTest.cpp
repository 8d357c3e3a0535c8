/** @file LeaderSearchTest.cpp Tests that clients find the leader with any number of concurrent requests. */
#include "kingcup/LeaderSearch.h"

#include "testing/Story.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace kingcup;
using kingcup::testing::section;

namespace {

const std::vector<VmId> controlVms { 1, 2, 3, 4, 5 };
constexpr VmId leaderVm = 4;

/** Which refusals change the search that all requests of a process share. */
enum class RefusalRule {
    PreferredVmOnly, ///< A refusal counts only while its VM is the preferred one.
    EveryVm, ///< Former rule: every refusal, and every retry after it, moves on to the next VM and discards the known leader.
};

/** Simulates requests that are retried until the leader accepts them. All other VMs refuse them without naming the leader. */
struct RequestSimulation {
    explicit RequestSimulation(RefusalRule rule)
        : rule(rule)
    {
    }

    /** Handles the refusal of a request by a VM; the request is retried. */
    void handleRefusal(VmId vm)
    {
        this->search.recordFailure(this->rule == RefusalRule::EveryVm ? this->search.preferredVm() : vm);
        if (this->rule == RefusalRule::EveryVm)
            this->search.recordFailure(this->search.preferredVm());
    }

    /**
     * Sends requests in rounds. In each round every request goes to the preferred VM, all answers arrive together, and then
     * a session reports the leader. Returns the number of rounds until every request was accepted, or `limit`.
     */
    int runRounds(int requests, int limit)
    {
        std::vector<bool> accepted(static_cast<size_t>(requests), false);
        for (int round = 1; round < limit; ++round) {
            std::vector<VmId> receivers;
            for (size_t i = 0; i < accepted.size(); ++i) {
                receivers.push_back(this->search.preferredVm());
                if (!accepted[i] && receivers[i] != leaderVm)
                    this->handleRefusal(receivers[i]);
                else
                    accepted[i] = true;
            }
            if (std::find(accepted.begin(), accepted.end(), false) == accepted.end())
                return round;
            // Requests that were sent earlier still fail at a VM that is no longer preferred.
            this->search.recordLeader(leaderVm);
            this->handleRefusal(receivers[0]);
        }
        return limit;
    }

    RefusalRule rule;
    LeaderSearch search { controlVms }; ///< Search that all requests share.
};

} // namespace

// Requests of a whole fleet that were sent before the election time out one after the other once there is a leader.
TEST(LeaderSearchTest, ignoresTimeoutsFromBeforeTheElection)
{
    LeaderSearch search(controlVms);
    section("a request that was sent before a VM was known as the leader does not end the search's knowledge of it", [&] {
        search.recordLeader(leaderVm, timeAt(500));
        for (double sentMs : { 100.0, 300.0, 500.0 })
            EXPECT_FALSE(search.recordTimeout(leaderVm, timeAt(sentMs))) << sentMs;
        EXPECT_EQ(search.leader(), leaderVm);
    });
    section("a request that was sent later does", [&] {
        EXPECT_TRUE(search.recordTimeout(leaderVm, timeAt(501)));
        EXPECT_EQ(search.leader(), 0u);
        EXPECT_NE(search.preferredVm(), leaderVm);
    });
    section("without a known leader every timeout of the preferred VM moves on to the next one", [&] {
        VmId first = search.preferredVm();
        EXPECT_TRUE(search.recordTimeout(first, timeAt(1)));
        EXPECT_NE(search.preferredVm(), first);
    });
}

TEST(LeaderSearchTest, findsTheLeader)
{
    section("control VMs are tried in turn until the leader is known", [] {
        LeaderSearch search(controlVms);
        EXPECT_EQ(search.preferredVm(), 1u);
        EXPECT_TRUE(search.recordFailure(1));
        EXPECT_EQ(search.preferredVm(), 2u);
        EXPECT_TRUE(search.recordLeader(leaderVm));
        EXPECT_EQ(search.preferredVm(), leaderVm);
        EXPECT_FALSE(search.recordLeader(leaderVm)) << "the leader was already known";
    });
    section("a refusal by a VM that is no longer preferred is ignored", [] {
        LeaderSearch search(controlVms);
        search.recordLeader(leaderVm);
        EXPECT_FALSE(search.recordFailure(1));
        EXPECT_EQ(search.leader(), leaderVm);
    });
    section("after the leader failed, the next request goes to another VM", [] {
        LeaderSearch search({ 1, 2 });
        search.recordLeader(2);
        EXPECT_TRUE(search.recordFailure(2));
        EXPECT_EQ(search.preferredVm(), 1u);
        EXPECT_EQ(search.leader(), 0u);
    });
    section("a new list of control VMs replaces the old one, and an empty list is ignored", [] {
        LeaderSearch search(controlVms);
        EXPECT_FALSE(search.setVms({}));
        EXPECT_FALSE(search.setVms(controlVms));
        EXPECT_TRUE(search.setVms({ 7 }));
        EXPECT_EQ(search.preferredVm(), 7u);
    });
}

TEST(LeaderSearchTest, concurrentRequestsReachTheLeader)
{
    // Guards against a late refusal that discards a leader which another request has found: requests that are in flight
    // together could then send each other away from the leader again and again. Load pattern: many targets announce
    // themselves at all control VMs during the election after a network partition.
    constexpr int limit = 400;
    for (int requests : { 1, 2, 5, 12 }) {
        section(std::to_string(requests) + " concurrent requests", [&] {
            EXPECT_LE(RequestSimulation(RefusalRule::PreferredVmOnly).runRounds(requests, limit), 6);
        });
    }
    section("under the former rule some requests never reach the leader", [&] {
        int maxRounds = 0;
        for (int requests : { 1, 2, 5, 12 })
            maxRounds = std::max(maxRounds, RequestSimulation(RefusalRule::EveryVm).runRounds(requests, limit));
        EXPECT_EQ(maxRounds, limit);
    });
}
