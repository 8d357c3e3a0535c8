/** @file LeaderSearchTest.cpp Tests that clients find the leader with any number of concurrent requests. */
#include "kingcup/LeaderSearch.h"

#include "testing/Story.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace kingcup;
using kingcup::testing::section;

namespace {

const std::vector<VmId> five { 1, 2, 3, 4, 5 };
constexpr VmId leading = 4;

/** Which refusals change the search that all requests of a process share. */
enum class Sharing {
    WordOfAskedVm, ///< A refusal counts only while its VM is the preferred one.
    EveryRefusal, ///< Former rule: every refusal, and every retry after it, moves on to the next VM and discards the known leader.
};

/** Simulates requests that are retried until the leader accepts them. All other VMs refuse them without naming the leader. */
struct Replay {
    explicit Replay(Sharing sharing)
        : sharing(sharing)
    {
    }

    /** Handles the refusal of a request by a VM; the request is retried. */
    void refused(VmId vm)
    {
        this->search.failed(this->sharing == Sharing::EveryRefusal ? this->search.preferred() : vm);
        if (this->sharing == Sharing::EveryRefusal)
            this->search.failed(this->search.preferred());
    }

    /**
     * Sends requests in rounds. In each round every request goes to the preferred VM, all answers arrive together, and then
     * a session reports the leader. Returns the number of rounds until every request was accepted, or `limit`.
     */
    int rounds(int requests, int limit)
    {
        std::vector<bool> taken(static_cast<size_t>(requests), false);
        for (int round = 1; round < limit; ++round) {
            std::vector<VmId> asked;
            for (size_t i = 0; i < taken.size(); ++i) {
                asked.push_back(this->search.preferred());
                if (!taken[i] && asked[i] != leading)
                    this->refused(asked[i]);
                else
                    taken[i] = true;
            }
            if (std::find(taken.begin(), taken.end(), false) == taken.end())
                return round;
            // Requests that were sent earlier still fail at a VM that is no longer preferred.
            this->search.learned(leading);
            this->refused(asked[0]);
        }
        return limit;
    }

    Sharing sharing;
    LeaderSearch search { five }; ///< Search that all requests share.
};

} // namespace

TEST(LeaderSearchTest, findsTheLeader)
{
    section("control VMs are tried in turn until the leader is known", [] {
        LeaderSearch search(five);
        EXPECT_EQ(search.preferred(), 1u);
        EXPECT_TRUE(search.failed(1));
        EXPECT_EQ(search.preferred(), 2u);
        EXPECT_TRUE(search.learned(leading));
        EXPECT_EQ(search.preferred(), leading);
        EXPECT_FALSE(search.learned(leading)) << "the leader was already known";
    });
    section("a refusal by a VM that is no longer preferred is ignored", [] {
        LeaderSearch search(five);
        search.learned(leading);
        EXPECT_FALSE(search.failed(1));
        EXPECT_EQ(search.leader(), leading);
    });
    section("after the leader failed, the next request goes to another VM", [] {
        LeaderSearch search({ 1, 2 });
        search.learned(2);
        EXPECT_TRUE(search.failed(2));
        EXPECT_EQ(search.preferred(), 1u);
        EXPECT_EQ(search.leader(), 0u);
    });
    section("a new list of control VMs replaces the old one, and an empty list is ignored", [] {
        LeaderSearch search(five);
        EXPECT_FALSE(search.setVms({}));
        EXPECT_FALSE(search.setVms(five));
        EXPECT_TRUE(search.setVms({ 7 }));
        EXPECT_EQ(search.preferred(), 7u);
    });
}

TEST(LeaderSearchTest, manyRequestsDoNotLeadEachOtherAstray)
{
    // Guards against a late refusal that discards a leader which another request has found: requests that are in flight
    // together could then send each other away from the leader again and again. Load pattern: many targets announce
    // themselves at all control VMs during the election after a network partition.
    constexpr int limit = 400;
    for (int requests : { 1, 2, 5, 12 }) {
        section(std::to_string(requests) + " concurrent requests", [&] {
            EXPECT_LE(Replay(Sharing::WordOfAskedVm).rounds(requests, limit), 6);
        });
    }
    section("under the former rule some requests never reach the leader", [&] {
        int worst = 0;
        for (int requests : { 1, 2, 5, 12 })
            worst = std::max(worst, Replay(Sharing::EveryRefusal).rounds(requests, limit));
        EXPECT_EQ(worst, limit);
    });
}
