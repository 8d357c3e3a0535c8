/** @file ZoneTransferTest.cpp Guards against entry VMs that ignore the settings object zoneTransfer, or do not count the bytes of requests that their cost of leaving the zone rests on. */
#include "TestDeployment.h"

#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

/** Returns the state of the decision of the only service on an entry VM; null without any. */
nlohmann::json zoneTransferOf(Deployment& deployment, const Vm& vm)
{
    nlohmann::json dump = deployment.query(vm, "/v1/dump").flatten();
    nlohmann::json found;
    for (const auto& [pointer, value] : dump.items()) {
        if (pointer.find("/zoneTransfer/") != std::string::npos)
            found[pointer.substr(pointer.rfind('/') + 1)] = value;
    }
    return found;
}

} // namespace

TEST(ZoneTransferOfEntryVms, keepsRequestsInTheirZoneAndCountsTheirBytes)
{
    DeploymentOptions options = testOptions(80, 1, { { "matters", 6, 4 } });
    options.settings["zoneTransfer"] = { { "roundTripMs", 1.8 }, { "costPerGigabyte", 0.02 }, { "valuePerSecond", 0.0001 } };
    Deployment deployment(options);
    ASSERT_EQ(startAll(deployment), "");
    LoadGenerator load(loadOn(deployment, 40, Milliseconds(3000), 0));
    load.start();
    load.join();
    LoadSummary summary = summarise(load.records());
    EXPECT_EQ(summary.answered, summary.calls) << describeResults(load);
    const Vm& vm = deployment.entryVms()[0];
    nlohmann::json state = zoneTransferOf(deployment, vm);
    ASSERT_FALSE(state.is_null());
    EXPECT_GT(state["bytesPerRequest"], 1000);
    EXPECT_GT(state["costMs"], 1.8);
    uint64_t local = 0;
    uint64_t all = 0;
    for (size_t target = 0; target < deployment.targets().size(); ++target) {
        uint64_t executions = deployment.targetStats(target).executions;
        all += executions;
        local += deployment.targets()[target].availabilityZone == vm.settings["availabilityZone"] ? executions : 0;
    }
    EXPECT_GT(static_cast<double>(local), 0.9 * static_cast<double>(all));
}
