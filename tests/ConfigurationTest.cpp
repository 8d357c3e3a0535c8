/** @file ConfigurationTest.cpp Guards against a configuration that comes into force late on some entry VM or reverts to an older one. */
#include "TestDeployment.h"

#include "testing/MachineTime.h"

#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr Milliseconds forceLimit { 5000 }; ///< Bound of the design.
constexpr Milliseconds limit { 20000 };

} // namespace

TEST(Configuration, isInForceEverywhereSoonAndNeverGoesBack)
{
    DeploymentOptions options = testOptions(61, 4);
    Deployment deployment(options);
    ASSERT_EQ(startAll(deployment), "");
    ConfigurationObserver observer(deployment, deployment.entryVms());
    RandomSource random(options.seed);
    auto inForceEverywhere = [&](uint64_t number) {
        for (const Vm& vm : deployment.entryVms()) {
            if (deployment.manifestInForce(vm) < number)
                return false;
        }
        return true;
    };

    for (uint64_t number = 2; number <= 9; ++number) {
        section("number " + std::to_string(number), [&] {
            Vm& restarted = deployment.entryVms()[random.below(options.entryVms)];
            if (number % 3 == 0)
                restarted.process->kill();
            if (number == 7) {
                Vm* leader = deployment.waitLeader(limit);
                ASSERT_TRUE(leader);
                leader->process->kill();
                deployment.restart(*leader);
            }
            Vm& asked = deployment.controlVms()[random.below(options.controlVms)];
            ASSERT_TRUE(waitUntil(limit, [&] { return deployment.applyManifest(asked, makeManifest(number, options.services)).code() == 0; })) << deployment.logs();
            if (number % 3 == 0)
                deployment.restart(restarted);
            EXPECT_TRUE(waitUntil(forceLimit, [&] { return inForceEverywhere(number); })) << deployment.logs();
        });
    }
    section("the leader reports it in force on all entry VMs", [&] {
        auto complete = [&] {
            nlohmann::json answer = deployment.query(deployment.controlVms()[0], "/v1/manifest?number=9");
            return answer.is_object() && answer.contains("inForce") && answer["inForce"].value("complete", false) && answer["inForce"].value("confirmed", 0u) == options.entryVms;
        };
        EXPECT_TRUE(waitUntil(limit, complete)) << deployment.query(deployment.controlVms()[0], "/v1/manifest?number=9").dump();
    });
    observer.stop();
    History history;
    history.configurations = observer.views();
    EXPECT_GT(history.configurations.size(), 20u);
    EXPECT_EQ(describeViolations(checkHistory(history)), "");
}
