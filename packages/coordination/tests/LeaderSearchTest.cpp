/** @file LeaderSearchTest.cpp Guards that clients come to the leader, however many requests search at once. */
#include "kingcup/LeaderSearch.h"

#include "testing/Story.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace kingcup;
using kingcup::testing::section;

namespace {

const std::vector<VmId> five { 1, 2, 3, 4, 5 };
constexpr VmId leading = 4;

/** How requests of one process share what they learn. */
enum class Sharing {
    WordOfAskedVm, ///< A refusal counts while its VM is the one to ask.
    EveryRefusal, ///< Until December 2026: every refusal, and every repetition after it, moves on and forgets the leader.
};

/** Requests that are repeated until the leader has them. Only the leader takes one; others refuse and name nobody. */
struct Replay {
    explicit Replay(Sharing sharing)
        : sharing(sharing)
    {
    }

    /** A VM refused a request that is now repeated. */
    void refused(VmId vm)
    {
        this->search.failed(this->sharing == Sharing::EveryRefusal ? this->search.preferred() : vm);
        if (this->sharing == Sharing::EveryRefusal)
            this->search.failed(this->search.preferred());
    }

    /**
     * Sends requests in rounds: each request asks the preferred VM, all answers come together, and a session learns of the
     * leader in between. Returns the number of rounds until every request was taken; `limit` when some were not.
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
            // Others that are on their way keep failing at a VM that was asked before.
            this->search.learned(leading);
            this->refused(asked[0]);
        }
        return limit;
    }

    Sharing sharing; ///< Rule in force.
    LeaderSearch search { five }; ///< Of the process.
};

} // namespace

TEST(LeaderSearchTest, findsTheLeader)
{
    section("control VMs are asked in turn until one is known to lead", [] {
        LeaderSearch search(five);
        EXPECT_EQ(search.preferred(), 1u);
        EXPECT_TRUE(search.failed(1));
        EXPECT_EQ(search.preferred(), 2u);
        EXPECT_TRUE(search.learned(leading));
        EXPECT_EQ(search.preferred(), leading);
        EXPECT_FALSE(search.learned(leading)) << "no news";
    });
    section("a refusal of a VM that is not asked any more changes nothing", [] {
        LeaderSearch search(five);
        search.learned(leading);
        EXPECT_FALSE(search.failed(1));
        EXPECT_EQ(search.leader(), leading);
    });
    section("a leader that fails is not the next to be asked", [] {
        LeaderSearch search({ 1, 2 });
        search.learned(2);
        EXPECT_TRUE(search.failed(2));
        EXPECT_EQ(search.preferred(), 1u);
        EXPECT_EQ(search.leader(), 0u);
    });
    section("other control VMs replace the ones in turn, and an empty list does not", [] {
        LeaderSearch search(five);
        EXPECT_FALSE(search.setVms({}));
        EXPECT_FALSE(search.setVms(five));
        EXPECT_TRUE(search.setVms({ 7 }));
        EXPECT_EQ(search.preferred(), 7u);
    });
}

TEST(LeaderSearchTest, manyRequestsDoNotLeadEachOtherAstray)
{
    // Load pattern: targets announce themselves at all control VMs while control elects a leader after a cut.
    constexpr int limit = 400;
    for (int requests : { 1, 2, 5, 12 }) {
        section(std::to_string(requests) + " requests", [&] {
            EXPECT_LE(Replay(Sharing::WordOfAskedVm).rounds(requests, limit), 6);
        });
    }
    section("the rule before could go on for ever", [&] {
        int worst = 0;
        for (int requests : { 1, 2, 5, 12 })
            worst = std::max(worst, Replay(Sharing::EveryRefusal).rounds(requests, limit));
        EXPECT_EQ(worst, limit);
    });
}
