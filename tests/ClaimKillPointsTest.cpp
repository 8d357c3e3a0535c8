/** @file ClaimKillPointsTest.cpp Guards against a posting that runs twice when a process dies at a given step of the claim protocol. */
#include "TestDeployment.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <gtest/gtest.h>
#include <map>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr Milliseconds fireLimit { 10000 };
constexpr Milliseconds recoveryLimit { 15000 };
constexpr Milliseconds resendPause { 150 };
constexpr double callsPerSecond = 60;

/** Every step of the protocol at which a process is killed once. */
constexpr std::string_view killPoints[] = {
    "claim.before_send",
    "claim.granted",
    "attempt.started",
    "answer.arrived",
    "answer.given",
    "finish.sent",
    "leader.claim_received",
    "leader.batch_proposed",
    "log.batch_synced",
    "leader.claim_applied",
    "leader.finish_applied",
};

/** Starts every daemon that has died. */
void restartDead(Deployment& deployment)
{
    for (std::vector<Vm>* vms : { &deployment.controlVms(), &deployment.entryVms() }) {
        for (Vm& vm : *vms) {
            if (!vm.process->running())
                deployment.restart(vm);
        }
    }
}

/** Returns a load of keyed posts that are sent again until they have a final answer. */
LoadOptions postLoad(const Deployment& deployment, Milliseconds duration)
{
    LoadOptions options = loadOn(deployment, callsPerSecond, duration, 50);
    // Long enough for the lease of a lost entry VM to end, after which its claims have an unknown outcome.
    options.resends = 40;
    options.resendDelay = resendPause;
    return options;
}

/** Returns the share of keys whose callers were in the end told an outcome: an answer, or that it is unknown for good. */
double settledShare(const LoadGenerator& load)
{
    std::map<std::string, bool> settled;
    for (const CallerView& view : load.views()) {
        bool final = view.told == ToldRun::Ran || view.resultCode == numberOf(ResultCode::KeyOutcomeUnknown);
        settled[view.key] = settled[view.key] || final;
    }
    double count = static_cast<double>(std::count_if(settled.begin(), settled.end(), [](const auto& entry) { return entry.second; }));
    return settled.empty() ? 0 : count / static_cast<double>(settled.size());
}

/** Kills one process at each point while posts are sent. Returns the violations. */
std::string killAtEachPoint(Deployment& deployment, const std::string& armFile)
{
    LoadGenerator load(postLoad(deployment, Milliseconds(120000)));
    load.start();
    for (std::string_view point : killPoints) {
        section(std::string(point), [&] {
            writeFile(armFile, std::string(point));
            bool fired = waitUntil(fireLimit, [&] { return !std::filesystem::exists(armFile); });
            EXPECT_TRUE(fired) << "no process passed the point";
            waitUntil(resendPause, [] { return false; });
            restartDead(deployment);
            EXPECT_TRUE(deployment.waitReady(recoveryLimit)) << deployment.logs();
        });
    }
    load.finish();
    std::string violations = violationsAfter(deployment, load);
    EXPECT_GT(settledShare(load), 0.9) << describeResults(load);
    return violations;
}

} // namespace

TEST(ClaimKillPoints, nothingRunsTwiceWhateverStepAProcessDiesAt)
{
    ScratchFolder folder;
    std::string armFile = folder.path() + "/armed";
    ScopedEnvironment environment("KINGCUP_FAIL_POINT_FILE", armFile);
    Deployment deployment(testOptions(31, 2, { { "ledger", 3, 6 } }));
    ASSERT_EQ(startAll(deployment), "");
    EXPECT_EQ(killAtEachPoint(deployment, armFile), "");
}

TEST(ClaimKillPoints, checkerFindsDoubledRunsWithoutTheRules)
{
    ScratchFolder folder;
    std::string armFile = folder.path() + "/armed";
    ScopedEnvironment environment("KINGCUP_FAIL_POINT_FILE", armFile);
    for (std::string rule : { "claimsAreExclusive", "unknownIsFinal" }) {
        section("without " + rule, [&] {
            ScopedEnvironment rules("KINGCUP_TEST_DISABLED_RULES", rule);
            Deployment deployment(testOptions(32, 2, { { "ledger", 3, 6 } }));
            ASSERT_EQ(startAll(deployment), "");
            LoadGenerator load(postLoad(deployment, Milliseconds(60000)));
            load.start();
            for (int round = 0; round < 4; ++round) {
                writeFile(armFile, "answer.arrived");
                EXPECT_TRUE(waitUntil(fireLimit, [&] { return !std::filesystem::exists(armFile); }));
                // The lost VM's lease has to end before control counts its claims as unknown.
                waitUntil(Milliseconds(3500), [] { return false; });
                restartDead(deployment);
                deployment.waitReady(recoveryLimit);
            }
            load.finish();
            EXPECT_NE(violationsAfter(deployment, load), "") << "the rule is not needed, or the checker does not see that it is missing\n"
                                                             << describeResults(load) << deployment.logs();
        });
    }
}
