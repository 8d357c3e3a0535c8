/** @file AtMostOnceTest.cpp Guards against a posting that runs twice, or that runs although it was refused, when processes die and answers are lost. */
#include "TestDeployment.h"

#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr Milliseconds loadDuration { 12000 };
constexpr Milliseconds restartPause { 400 };
constexpr Milliseconds freezeTime { 3000 }; ///< Longer than the lease of an entry VM.
constexpr Milliseconds leaderLimit { 5000 };

/** Kills or freezes a random entry VM, kills the leader or a random target, or cuts or holds the answers of a target, and repairs it. */
void strike(Deployment& deployment, RandomSource& random)
{
    size_t target = random.below(deployment.targets().size());
    Vm& entry = deployment.entryVms()[random.below(deployment.entryVms().size())];
    uint64_t fault = random.below(6);
    auto pause = [&] { waitUntil(restartPause, [] { return false; }); };
    if (fault == 0) {
        entry.process->kill();
        pause();
        deployment.restart(entry);
    } else if (fault == 1) {
        Vm* leader = deployment.waitLeader(leaderLimit);
        if (!leader)
            return;
        leader->process->kill();
        pause();
        deployment.restart(*leader);
    } else if (fault == 2) {
        deployment.targetProcess(target).kill();
        pause();
        deployment.targetProcess(target).start();
    } else if (fault == 3) {
        entry.process->freeze();
        waitUntil(freezeTime, [] { return false; });
        entry.process->thaw();
    } else if (fault == 4) {
        deployment.targets()[target].proxy->cutAfter(static_cast<int64_t>(random.below(1000)));
        pause();
    } else {
        deployment.targets()[target].proxy->setMode(ProxyMode::DropToClient);
        pause();
        deployment.targets()[target].proxy->closeConnections();
        deployment.targets()[target].proxy->setMode(ProxyMode::Pass);
    }
}

} // namespace

TEST(AtMostOnce, nothingRunsTwiceWhileProcessesDie)
{
    DeploymentOptions options = testOptions(21, 3, { { "ledger", 4, 6 } });
    options.proxyTargets = true;
    Deployment deployment(options);
    ASSERT_EQ(startAll(deployment), "");
    RandomSource random(options.seed);
    ConfigurationObserver observer(deployment, deployment.entryVms());

    LoadOptions loadOptions = loadOn(deployment, 150, loadDuration, 3);
    loadOptions.resends = 6;
    loadOptions.resendDelay = Milliseconds(200);
    LoadGenerator load(loadOptions);
    load.start();
    TimePoint end = MillisecondClock::now() + loadDuration - Milliseconds(2000);
    while (MillisecondClock::now() < end)
        strike(deployment, random);

    load.join();
    observer.stop();
    EXPECT_EQ(violationsAfter(deployment, load, &observer), "") << deployment.folder();
    LoadSummary summary = summarise(load.records());
    EXPECT_GT(summary.calls, 500u);
    EXPECT_GT(summary.answered, summary.calls / 4) << describeResults(load);
}

TEST(AtMostOnce, targetsThatCloseKeptConnectionsSeeEachPostOnce)
{
    DeploymentOptions options = testOptions(22);
    options.targetFaults = { { "closeShare", 0.3 }, { "closeOnlyReused", true } };
    Deployment deployment(options);
    ASSERT_EQ(startAll(deployment), "");

    LoadGenerator load(loadOn(deployment, 200, Milliseconds(3000), 3));
    load.start();
    EXPECT_EQ(violationsAfter(deployment, load), "");
    EXPECT_GT(load.ended(), 300u) << describeResults(load);
}

// Guards against a keyed call that times out as if control were away, because control cannot read the message with its claim.
TEST(AtMostOnce, keysThatMessagesCannotHoldAreMalformed)
{
    Deployment deployment(testOptions(23, 1, { { "ledger", 1, 6 } }));
    ASSERT_EQ(startAll(deployment), "");
    HttpMessage request = makeRequest("POST", "/ledger/post", "{}");
    request.add("Idempotency-Key", "k\xff");
    std::optional<HttpMessage> answer = exchangeOnce(deployment.callerAddresses()[0], request, Milliseconds(9000));
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status(), 400) << answer->startLine << "\n"
                                     << answer->body;
}
