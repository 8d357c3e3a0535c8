/**
 * @file StartupTest.cpp Guards against calls that are lost because an entry VM is up before the control group, as after a loss of power of all VMs,
 * and against calls that are held in vain while control stays away.
 */
#include "TestDeployment.h"

#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr Milliseconds maxStartupWait { 3000 }; ///< After it a VM without a configuration refuses calls at once.

/** Kills all VMs and starts the entry VMs again. Returns whether they listen. */
bool restartEntriesAlone(Deployment& deployment)
{
    for (Vm& vm : deployment.controlVms())
        vm.process->kill();
    for (Vm& vm : deployment.entryVms())
        vm.process->kill();
    bool isStarted = true;
    for (Vm& vm : deployment.entryVms())
        isStarted = deployment.restart(vm) && isStarted;
    return isStarted && waitUntil(Milliseconds(2000), [&] {
        return std::all_of(deployment.entryVms().begin(), deployment.entryVms().end(), [&](const Vm& vm) { return deployment.ask(vm.operatorAddress, "GET", "/healthz").status == 200; });
    });
}

} // namespace

TEST(Startup, callsWaitForTheFirstConfiguration)
{
    Deployment deployment(testOptions(97, 2, { { "matters", 3, 6 } }));
    ASSERT_EQ(startAll(deployment), "");
    section("calls that arrive before the control group is back are answered", [&] {
        ASSERT_TRUE(restartEntriesAlone(deployment));
        LoadGenerator load(loadOn(deployment, 50, Milliseconds(800), 0));
        load.start();
        std::this_thread::sleep_for(Milliseconds(300));
        for (Vm& vm : deployment.controlVms())
            ASSERT_TRUE(deployment.restart(vm));
        load.join();
        LoadSummary summary = summarise(load.records());
        EXPECT_EQ(summary.answered, summary.calls) << describeResults(load);
        EXPECT_EQ(violationsAfter(deployment, load), "");
    });
    section("while control stays away, calls are refused as not run after a bounded wait, then at once", [&] {
        ASSERT_TRUE(restartEntriesAlone(deployment));
        LoadGenerator early(loadOn(deployment, 30, Milliseconds(500), 0));
        early.start();
        early.join();
        for (const CallRecord& record : early.records())
            EXPECT_LT(record.latency, maxStartupWait + Milliseconds(500)) << record.result;
        std::this_thread::sleep_for(maxStartupWait);
        LoadGenerator late(loadOn(deployment, 30, Milliseconds(500), 0));
        late.start();
        late.join();
        LoadSummary summary = summarise(late.records());
        EXPECT_EQ(summary.refused, summary.calls) << describeResults(late);
        for (const CallRecord& record : late.records())
            EXPECT_LT(record.latency, Milliseconds(200)) << record.result;
    });
}

// Guards against an entry VM that has a lease but no manifest yet and answers as if there were no such service, which callers do not retry.
TEST(Startup, callsAreRefusedAsNotRunWhileThereIsNoManifest)
{
    Deployment deployment(testOptions(98, 1, {}));
    ASSERT_TRUE(deployment.startControl());
    ASSERT_TRUE(deployment.bootstrap(Milliseconds(8000)));
    ASSERT_TRUE(deployment.startEntries());
    auto status = [&] {
        std::optional<HttpMessage> answer = exchangeOnce(deployment.callerAddresses()[0], makeRequest("GET", "/matters/x"), Milliseconds(9000));
        return answer ? answer->status() : 0;
    };
    ASSERT_TRUE(waitUntil(Milliseconds(8000), [&] { return status() != 0; })) << deployment.logs();
    TimePoint end = MillisecondClock::now() + maxStartupWait + Milliseconds(2000);
    while (MillisecondClock::now() < end)
        ASSERT_EQ(status(), 503);
    std::optional<HttpMessage> metrics = exchangeOnce(deployment.entryVms()[0].operatorAddress, makeRequest("GET", "/metrics"), Milliseconds(1000));
    ASSERT_TRUE(metrics);
    EXPECT_NE(metrics->body.find("kingcup_lease_valid 1"), std::string::npos) << "without a lease every call is refused";
}
