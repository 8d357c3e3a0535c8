/** @file RestartTest.cpp Guards against state that is lost or slow to load when control VMs restart after many changes. */
#include "TestDeployment.h"

#include "testing/MachineTime.h"

#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr uint64_t changes = 1000;
constexpr Milliseconds limit { 20000 };

} // namespace

TEST(Restart, afterAThousandChangesNothingIsLost)
{
    DeploymentOptions options = testOptions(121, 1);
    options.settings = { { "snapshotEntries", 300 } };
    Deployment deployment(options);
    ASSERT_EQ(startAll(deployment), "");
    Vm* leader = deployment.waitLeader(limit);
    ASSERT_TRUE(leader);
    double started = machineTimeMs();
    for (uint64_t number = 2; number < 2 + changes; ++number) {
        nlohmann::json manifest = makeManifest(number, options.services);
        manifest["services"][0]["kinds"][0]["deadlineMs"] = 1000 + number;
        ASSERT_EQ(deployment.applyManifest(*leader, manifest).code(), 0) << "number " << number << deployment.logs();
    }
    std::cout << changes << " changes in " << machineTimeMs() - started << " ms\n";
    std::string digest = deployment.query(*leader, "/v1/manifest").value("digest", "");

    for (Vm& vm : deployment.controlVms())
        vm.process->kill();
    started = machineTimeMs();
    for (Vm& vm : deployment.controlVms())
        ASSERT_TRUE(deployment.restart(vm));
    auto restored = [&] {
        nlohmann::json manifest = deployment.query(deployment.controlVms()[0], "/v1/manifest");
        return manifest.is_object() && manifest.value("digest", "") == digest && manifest.value("number", uint64_t { 0 }) == 1 + changes;
    };
    EXPECT_TRUE(waitUntil(limit, restored)) << deployment.logs();
    std::cout << "restarted in " << machineTimeMs() - started << " ms\n";
    EXPECT_TRUE(waitUntil(limit, [&] { return deployment.manifestInForce(deployment.entryVms()[0]) == 1 + changes && deployment.ready(deployment.entryVms()[0]); })) << deployment.logs();
    EXPECT_EQ(deployment.applyManifest(deployment.controlVms()[0], makeManifest(1, options.services)).code(), numberOf(ResultCode::ManifestSuperseded));
}
