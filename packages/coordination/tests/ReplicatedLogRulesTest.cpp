/** @file ReplicatedLogRulesTest.cpp Tests of single rules of the replicated log that random faults reach too rarely. The tests send messages to a single member. */
#include "kingcup/ReplicatedLog.h"

#include "testing/Story.h"

#include <gtest/gtest.h>

using namespace kingcup;
using kingcup::testing::section;

namespace {

/** Returns the incarnation of a VM in these tests. */
uint64_t incarnationOf(VmId vm)
{
    return 100 + vm;
}

/** VM 1 of a group with voters 1 to 3 and learner 4 by default, restarted at 1000 ms in term 5 with the first membership in its log. */
struct TestMember {
    explicit TestMember(VmId voters = 3, HardState hardState = { 5, 0, false })
    {
        wire::Membership membership;
        for (VmId vm = 1; vm <= voters + 1; ++vm) {
            wire::Member& member = *membership.add_members();
            member.set_vm_id(vm);
            member.set_incarnation(incarnationOf(vm));
            member.set_voter(vm <= voters);
        }
        DurableLogState durable;
        durable.hardState = hardState;
        wire::LogEntry& entry = durable.entries.emplace_back();
        entry.set_index(1);
        entry.set_term(1);
        entry.set_type(wire::ENTRY_MEMBERSHIP);
        entry.set_payload(membership.SerializeAsString());
        ReplicatedLogOptions options;
        options.self = 1;
        options.incarnation = incarnationOf(1);
        this->log = std::make_unique<ReplicatedLog>(
            options, durable, RandomSource(1), [] { return std::string(); }, timeAt(1000));
    }

    ReplicatedLogOutput receive(VmId from, const wire::LogMessage& message, double ms)
    {
        return this->log->receive(from, incarnationOf(from), message, timeAt(ms));
    }

    ReplicatedLogOutput receiveVoteAnswer(VmId from, bool isPreVote, double ms)
    {
        wire::LogMessage message;
        message.mutable_vote_answer()->set_pre_vote(isPreVote);
        message.mutable_vote_answer()->set_term(6);
        message.mutable_vote_answer()->set_granted(true);
        return this->receive(from, message, ms);
    }

    ReplicatedLogOutput receiveAppendAnswer(VmId from, LogIndex matchIndex, uint64_t round, double ms)
    {
        wire::LogMessage message;
        message.mutable_append_answer()->set_term(6);
        message.mutable_append_answer()->set_accepted(true);
        message.mutable_append_answer()->set_match_index(matchIndex);
        message.mutable_append_answer()->set_round(round);
        return this->receive(from, message, ms);
    }

    /** Receives a vote request of VM 2, whose log ends at index 1 with this term. */
    ReplicatedLogOutput receiveVoteRequest(Term lastTerm, double ms, Term term = 6, Term endedTerm = 0)
    {
        wire::LogMessage message;
        message.mutable_vote_request()->set_ended_term(endedTerm);
        message.mutable_vote_request()->set_term(term);
        message.mutable_vote_request()->set_last_index(1);
        message.mutable_vote_request()->set_last_term(lastTerm);
        return this->receive(2, message, ms);
    }

    /** Wins the election of term 6. The first heartbeat round, with entry 2, is sent at the same time. */
    void winElection(double ms)
    {
        this->log->tick(timeAt(ms));
        this->receiveVoteAnswer(2, true, ms);
        this->receiveVoteAnswer(2, false, ms);
    }

    std::unique_ptr<ReplicatedLog> log;
};

} // namespace

TEST(ReplicatedLogRulesTest, commitAndLease)
{
    TestMember member;
    ReplicatedLog& log = *member.log;
    member.winElection(3000);
    ASSERT_EQ(log.role(), LogRole::Leader);
    section("learners do not count for a quorum", [&] {
        log.recordSync(2, 6, timeAt(3010));
        member.receiveAppendAnswer(4, 2, 1, 3010);
        EXPECT_EQ(log.commitIndex(), 0u);
    });
    section("an entry of an earlier term is not committed by counting copies, and no lease is granted before an entry of the current term is committed", [&] {
        member.receiveAppendAnswer(2, 1, 1, 3010);
        EXPECT_EQ(log.commitIndex(), 0u);
        EXPECT_FALSE(log.hasQuorum(timeAt(3010)));
        member.receiveAppendAnswer(2, 2, 1, 3010);
        EXPECT_EQ(log.commitIndex(), 2u);
        EXPECT_TRUE(log.hasQuorum(timeAt(3010)));
    });
    section("the leader's own copy counts only after it is synced", [&] {
        ReplicatedLog::Proposal proposal;
        ReplicatedLogOutput output = log.propose({ "payload" }, timeAt(3020), proposal);
        EXPECT_FALSE(output.messagesBeforeSync.empty());
        member.receiveAppendAnswer(2, 3, 1, 3030);
        EXPECT_EQ(log.commitIndex(), 2u);
        log.recordSync(3, 6, timeAt(3040));
        EXPECT_EQ(log.commitIndex(), 3u);
    });
    section("the quorum is valid for an election timeout from the sending of the answered round, however late the answer arrives", [&] {
        log.tick(timeAt(3100));
        member.receiveAppendAnswer(3, 3, 1, 3500);
        EXPECT_TRUE(log.hasQuorum(timeAt(3599)));
        EXPECT_FALSE(log.hasQuorum(timeAt(3600)));
        member.receiveAppendAnswer(3, 3, 2, 3599);
        EXPECT_TRUE(log.hasQuorum(timeAt(3699)));
        EXPECT_FALSE(log.hasQuorum(timeAt(3700)));
        member.receiveVoteRequest(9, 3699, 7);
        EXPECT_EQ(log.role(), LogRole::Leader) << "a leader with a quorum is not deposed by a candidate";
        log.tick(timeAt(3700));
        EXPECT_EQ(log.role(), LogRole::Follower);
    });
}

TEST(ReplicatedLogRulesTest, votes)
{
    section("a restarted member votes only after the election timeout, because its answers before the restart may support a lease", [] {
        TestMember member;
        EXPECT_TRUE(member.receiveVoteRequest(1, 1599).messagesAfterSync.empty());
        ReplicatedLogOutput output = member.receiveVoteRequest(1, 1600);
        ASSERT_EQ(output.messagesAfterSync.size(), 1u);
        EXPECT_TRUE(output.messagesAfterSync[0].message.vote_answer().granted());
        EXPECT_EQ(output.write.hardState, (HardState { 6, 2 }));
        EXPECT_TRUE(output.messagesBeforeSync.empty());
    });
    section("a candidate with an older log gets no vote", [] {
        TestMember member;
        ReplicatedLogOutput output = member.receiveVoteRequest(0, 1600);
        EXPECT_FALSE(output.messagesAfterSync.at(0).message.vote_answer().granted());
    });
    section("votes of other incarnations and of learners do not count", [] {
        TestMember member;
        member.log->tick(timeAt(3000));
        wire::LogMessage message;
        message.mutable_vote_answer()->set_pre_vote(true);
        message.mutable_vote_answer()->set_term(6);
        message.mutable_vote_answer()->set_granted(true);
        member.log->receive(2, 999, message, timeAt(3000));
        member.receiveVoteAnswer(4, true, 3000);
        EXPECT_EQ(member.log->role(), LogRole::PreCandidate);
    });
    section("a group of one sends nothing to its learner before its new term is synced", [] {
        TestMember member(1);
        ReplicatedLogOutput output = member.log->tick(timeAt(3000));
        EXPECT_EQ(member.log->role(), LogRole::Leader);
        EXPECT_TRUE(output.messagesBeforeSync.empty());
        EXPECT_FALSE(output.messagesAfterSync.empty());
    });
}

TEST(ReplicatedLogRulesTest, restartedLeader)
{
    section("a member that led its term requests pre-votes at its first tick and reports that the leader of the term has ended", [] {
        TestMember member(3, { 5, 1, true });
        ReplicatedLogOutput output = member.log->tick(timeAt(1000));
        ASSERT_EQ(output.messagesAfterSync.size(), 2u);
        EXPECT_EQ(output.messagesAfterSync[0].message.vote_request().ended_term(), 5u);
        EXPECT_TRUE(output.messagesAfterSync[0].message.vote_request().pre_vote());
    });
    section("a member that only voted for itself waits, because another member may have won the election", [] {
        TestMember member(3, { 5, 1, false });
        EXPECT_TRUE(member.log->tick(timeAt(1000)).messagesAfterSync.empty());
    });
    section("a restarted voter of the ended term grants its vote at once", [] {
        TestMember member;
        ReplicatedLogOutput output = member.receiveVoteRequest(1, 1001, 6, 5);
        ASSERT_EQ(output.messagesAfterSync.size(), 1u);
        EXPECT_TRUE(output.messagesAfterSync[0].message.vote_answer().granted());
    });
    section("the end of an earlier term does not void the lease of the current leader", [] {
        TestMember member;
        EXPECT_TRUE(member.receiveVoteRequest(1, 1001, 6, 4).messagesAfterSync.empty());
    });
    section("the end of a term does not void the lease of a later leader", [] {
        TestMember member;
        wire::LogMessage append;
        append.mutable_append_request()->set_term(6);
        append.mutable_append_request()->set_previous_index(1);
        append.mutable_append_request()->set_previous_term(1);
        member.receive(3, append, 1001);
        EXPECT_TRUE(member.receiveVoteRequest(1, 1002, 7, 5).messagesAfterSync.empty());
    });
    section("a new leader writes to its hard state that it leads the term", [] {
        TestMember member;
        member.log->tick(timeAt(3000));
        member.receiveVoteAnswer(2, true, 3000);
        EXPECT_EQ(member.receiveVoteAnswer(2, false, 3000).write.hardState, (HardState { 6, 1, true }));
    });
}

/** Guards against answers for writes that a loss of power may still undo. */
TEST(ReplicatedLogRulesTest, answersAwaitSync)
{
    section("before the sync of its entries, a member answers the heartbeat round only", [] {
        TestMember member;
        wire::LogMessage append;
        append.mutable_append_request()->set_term(5);
        append.mutable_append_request()->set_previous_index(1);
        append.mutable_append_request()->set_previous_term(1);
        append.mutable_append_request()->add_entries()->set_index(2);
        append.mutable_append_request()->mutable_entries(0)->set_term(5);
        ReplicatedLogOutput output = member.receive(3, append, 1001);
        ASSERT_EQ(output.messagesBeforeSync.size(), 1u);
        EXPECT_TRUE(output.messagesBeforeSync[0].message.append_answer().round_only());
        EXPECT_EQ(output.messagesBeforeSync[0].message.append_answer().match_index(), 0u);
        ASSERT_EQ(output.messagesAfterSync.size(), 1u);
        EXPECT_EQ(output.messagesAfterSync[0].message.append_answer().match_index(), 2u);
    });
    section("a snapshot is reported as installed only after it is stored", [] {
        TestMember member;
        wire::LogMessage message;
        wire::SnapshotRequest& request = *message.mutable_snapshot_request();
        request.set_term(5);
        request.set_last_index(9);
        request.set_last_term(5);
        request.set_chunk("state at 9");
        request.set_last_chunk(true);
        ReplicatedLogOutput output = member.receive(3, message, 1001);
        ASSERT_TRUE(output.receivedSnapshot);
        EXPECT_TRUE(output.messagesBeforeSync.empty());
        ASSERT_EQ(output.messagesAfterSync.size(), 1u);
        EXPECT_TRUE(output.messagesAfterSync[0].message.snapshot_answer().installed());
    });
}

/** Guards against two memberships without a common majority: a change by an earlier leader may still be undecided when the next leader makes its own. */
TEST(ReplicatedLogRulesTest, membershipChangeAfterElection)
{
    TestMember member;
    wire::LogMessage append;
    append.mutable_append_request()->set_term(5);
    append.mutable_append_request()->set_previous_index(1);
    append.mutable_append_request()->set_previous_term(1);
    append.mutable_append_request()->set_commit_index(1);
    member.receive(3, append, 1001);
    member.winElection(3000);
    ASSERT_EQ(member.log->role(), LogRole::Leader);
    ASSERT_TRUE(member.log->isMembershipCommitted());
    wire::Membership next = member.log->membership();
    next.mutable_members()->RemoveLast();
    ReplicatedLog::Proposal proposal;
    section("a new leader changes no membership before an entry of its term is committed", [&] {
        member.log->proposeMembership(next, timeAt(3010), proposal);
        EXPECT_EQ(proposal.code, ResultCode::MembershipChangePending);
    });
    section("after it, the change is accepted", [&] {
        member.log->recordSync(2, 6, timeAt(3020));
        member.receiveAppendAnswer(2, 2, 1, 3020);
        member.log->proposeMembership(next, timeAt(3020), proposal);
        EXPECT_EQ(proposal.code, ResultCode::Ok);
    });
}
