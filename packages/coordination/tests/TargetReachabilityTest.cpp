/**
 * @file TargetReachabilityTest.cpp Guards against a VM that does not notice that it is partitioned from all targets, and against one that takes
 * the failure of single targets for a partition.
 */
#include "kingcup/TargetReachability.h"

#include "testing/Story.h"

#include <functional>
#include <gtest/gtest.h>

using namespace kingcup;
using kingcup::testing::section;
using kingcup::testing::testSeed;

namespace {

const std::vector<std::string> fleet = { "a", "b", "c", "d", "e", "f" };

/** Runs one round of checks, if one is due. Returns the number of checks. */
size_t runRound(TargetReachability& path, double nowMs, const std::function<bool(const std::string&)>& isReachable)
{
    std::vector<std::string> checks = path.takeChecks(fleet, timeAt(nowMs));
    for (const std::string& address : checks)
        path.recordCheck(isReachable(address), timeAt(nowMs));
    return checks.size();
}

bool reachesNone(const std::string&)
{
    return false;
}

bool reachesAll(const std::string&)
{
    return true;
}

} // namespace

TEST(TargetReachabilityTest, tellsAPartitionFromFailedTargets)
{
    section("one failed target causes no check, however often it fails", [] {
        TargetReachability path(RandomSource(testSeed(1)));
        for (int failure = 0; failure < 10; ++failure)
            path.recordExchange("a", PathEvidence::NotConnected);
        EXPECT_EQ(runRound(path, 0, reachesNone), 0u);
    });
    section("two failed targets cause a check of others, which finds the path intact", [] {
        TargetReachability path(RandomSource(testSeed(1)));
        path.recordExchange("a", PathEvidence::NotConnected);
        path.recordExchange("b", PathEvidence::Silent);
        EXPECT_EQ(runRound(path, 0, [](const std::string& address) { return address > "b"; }), 2u);
        EXPECT_EQ(path.state(), PathState::Intact);
        EXPECT_EQ(runRound(path, 1000, reachesNone), 0u) << "the successful round refutes the earlier failures";
    });
    section("the path is cut when the others cannot be reached either", [] {
        TargetReachability path(RandomSource(testSeed(1)));
        path.recordExchange("a", PathEvidence::Silent);
        path.recordExchange("b", PathEvidence::Silent);
        EXPECT_EQ(runRound(path, 0, reachesNone), 2u);
        EXPECT_EQ(path.state(), PathState::Cut);
    });
    section("answers on kept connections do not hide that new connections are refused", [] {
        TargetReachability path(RandomSource(testSeed(1)));
        path.recordExchange("a", PathEvidence::NotConnected);
        path.recordExchange("c", PathEvidence::Answered);
        path.recordExchange("b", PathEvidence::NotConnected);
        path.recordExchange("d", PathEvidence::Answered);
        EXPECT_EQ(runRound(path, 0, reachesNone), 2u);
        EXPECT_EQ(path.state(), PathState::Cut);
    });
    section("an answer refutes silence", [] {
        TargetReachability path(RandomSource(testSeed(1)));
        path.recordExchange("a", PathEvidence::Silent);
        path.recordExchange("c", PathEvidence::Answered);
        path.recordExchange("b", PathEvidence::Silent);
        EXPECT_EQ(runRound(path, 0, reachesNone), 0u);
    });
}

TEST(TargetReachabilityTest, noticesTheEndOfAPartition)
{
    TargetReachability path(RandomSource(testSeed(2)));
    path.recordExchange("a", PathEvidence::Silent);
    path.recordExchange("b", PathEvidence::Silent);
    runRound(path, 0, reachesNone);
    ASSERT_EQ(path.state(), PathState::Cut);
    section("checks go on at a bounded rate", [&] {
        size_t checks = 0;
        for (double nowMs = 1; nowMs <= 1000; ++nowMs)
            checks += runRound(path, nowMs, reachesNone);
        EXPECT_EQ(checks, 8u);
    });
    section("exchanges that ended late change nothing", [&] {
        path.recordExchange("c", PathEvidence::Connected);
        EXPECT_EQ(path.state(), PathState::Cut);
    });
    section("the first round in which all are reached ends it", [&] {
        EXPECT_EQ(runRound(path, 2000, reachesAll), 2u);
        EXPECT_EQ(path.state(), PathState::Intact);
    });
    section("and a second partition is noticed as the first", [&] {
        path.recordExchange("e", PathEvidence::NotConnected);
        path.recordExchange("f", PathEvidence::NotConnected);
        EXPECT_EQ(runRound(path, 3000, reachesNone), 2u);
        EXPECT_EQ(path.state(), PathState::Cut);
    });
}
