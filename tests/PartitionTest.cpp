/** @file PartitionTest.cpp Guards against a control VM behind a silent partition that accepts changes, disturbs the group or stops callers. */
#include "TestDeployment.h"

#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr Milliseconds limit { 20000 };

/** Returns options with proxies on all links. */
DeploymentOptions proxiedOptions(uint64_t seed)
{
    DeploymentOptions options = testOptions(seed);
    options.proxyLinks = true;
    return options;
}

/** Returns the term of the group in the leader's view. */
uint64_t termOf(Deployment& deployment)
{
    Vm* leader = deployment.waitLeader(limit);
    return leader ? deployment.query(*leader, "/v1/status").value("term", uint64_t { 0 }) : 0;
}

} // namespace

TEST(Partition, aLeaderCutOffAcceptsNothingAndCallersGoOn)
{
    Deployment deployment(proxiedOptions(41));
    ASSERT_EQ(startAll(deployment), "");
    Vm* cutOff = deployment.waitLeader(limit);
    ASSERT_TRUE(cutOff);
    ConfigurationObserver observer(deployment, deployment.entryVms());
    LoadOptions loadOptions = loadOn(deployment, 100, Milliseconds(8000), 1);
    loadOptions.resends = 3;
    LoadGenerator load(loadOptions);
    load.start();
    waitUntil(limit, [&] { return load.ended() > 50; });
    deployment.partition(*cutOff, ProxyMode::DropBoth);

    section("it steps down and accepts no manifest", [&] {
        EXPECT_TRUE(waitUntil(limit, [&] { return deployment.ownStatus(*cutOff).value("role", "") != "leader"; }));
        EXPECT_NE(deployment.applyManifest(*cutOff, makeManifest(7, deployment.plan().services)).code(), 0);
    });
    section("the others elect a leader that accepts changes", [&] {
        Vm& other = deployment.controlVms()[cutOff->controlId % 3];
        EXPECT_TRUE(waitUntil(limit, [&] { return deployment.applyManifest(other, makeManifest(8, deployment.plan().services)).code() == 0; })) << deployment.logs();
    });
    section("after the partition it follows", [&] {
        uint64_t term = termOf(deployment);
        deployment.partition(*cutOff, ProxyMode::Pass);
        auto caughtUp = [&] { return deployment.ownStatus(*cutOff).value("manifest", nlohmann::json::object()).value("number", 0) == 8; };
        EXPECT_TRUE(waitUntil(limit, caughtUp)) << deployment.logs();
        EXPECT_EQ(termOf(deployment), term) << "the return of a VM caused an election";
    });
    EXPECT_EQ(violationsAfter(deployment, load, &observer), "");
    LoadSummary summary = summarise(load.records());
    EXPECT_EQ(summary.unknown, 0u) << describeResults(load);
    EXPECT_GT(summary.answered, summary.calls * 9 / 10) << describeResults(load);
}

TEST(Partition, theReturnOfAFollowerCausesNoElection)
{
    Deployment deployment(proxiedOptions(42));
    ASSERT_EQ(startAll(deployment), "");
    Vm* leader = deployment.waitLeader(limit);
    ASSERT_TRUE(leader);
    Vm& follower = deployment.controlVms()[leader->controlId % 3];
    uint64_t term = termOf(deployment);
    deployment.partition(follower, ProxyMode::DropBoth);
    EXPECT_TRUE(waitUntil(limit, [&] { return deployment.ownStatus(follower).value("role", "") == "pre-candidate"; }));
    ASSERT_TRUE(waitUntil(limit, [&] { return deployment.applyManifest(*leader, makeManifest(9, deployment.plan().services)).code() == 0; }));
    deployment.partition(follower, ProxyMode::Pass);
    auto caughtUp = [&] { return deployment.ownStatus(follower).value("manifest", nlohmann::json::object()).value("number", 0) == 9; };
    EXPECT_TRUE(waitUntil(limit, caughtUp)) << deployment.logs();
    EXPECT_EQ(termOf(deployment), term);
}
