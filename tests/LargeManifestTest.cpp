/**
 * @file LargeManifestTest.cpp Guards against manifests that are within the stated size and cannot be put in force, because some later limit is smaller,
 * and against calls that fail meanwhile.
 */
#include "TestDeployment.h"

#include "testing/MachineTime.h"

#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr double millisecondsPerRoute = 3; ///< Additional time that operators allow for each route.
constexpr size_t maxManifestBytes = 8388608; ///< As stated in docs/MANIFEST.md.
constexpr double baseLimitMs = 4000; ///< Time that operators allow for a small manifest.

std::string hostOf(size_t route)
{
    return "host-" + std::to_string(route * 7919 % 10007) + ".example";
}

/** Returns a manifest with this many routes to the first service. */
nlohmann::json manifestWithRoutes(uint64_t number, const std::vector<ServiceLayout>& services, size_t routes)
{
    nlohmann::json manifest = makeManifest(number, services);
    manifest["routes"] = nlohmann::json::array();
    for (size_t i = 0; i < routes; ++i) {
        manifest["routes"].push_back({ { "name", "route-" + std::to_string(i) }, { "host", hostOf(i) }, { "pathPrefix", "/path-" + std::to_string(i) + "/" }, { "kind", "safe" }, { "deadlineMs", 3000 },
            { "objectiveMs", 1200 }, { "priority", 2 }, { "maxAttempts", 2 }, { "service", services[0].name } });
    }
    return manifest;
}

/** Returns the status of a call on a route; 0: no answer. */
int callRoute(const Vm& vm, size_t route)
{
    HttpMessage request = makeRequest("GET", "/path-" + std::to_string(route) + "/balance");
    std::erase_if(request.fields, [](const HttpField& field) { return field.name == "Host"; });
    request.add("Host", hostOf(route));
    std::optional<HttpMessage> answer = exchangeOnce(vm.callerAddress, request, Milliseconds(3000));
    return answer ? answer->status() : 0;
}

} // namespace

TEST(LargeManifest, isPutInForceWhileCallsAreServed)
{
    Deployment deployment(testOptions(91, 3, { { "matters", 3, 6 } }));
    ASSERT_EQ(startAll(deployment), "");
    const std::vector<ServiceLayout>& services = deployment.plan().services;
    uint64_t number = 10;
    for (size_t routes : { 1400, 3000, 10000 }) {
        section(std::to_string(routes) + " routes are accepted and in force on all entry VMs, and no call fails", [&] {
            LoadGenerator load(loadOn(deployment, 50, Milliseconds(3000), 0));
            load.start();
            ++number;
            double sent = machineTimeMs();
            OperatorAnswer answer = deployment.applyManifest(deployment.controlVms()[number % 3], manifestWithRoutes(number, services, routes));
            EXPECT_EQ(answer.status, 200) << answer.body.dump().substr(0, 300);
            EXPECT_LT(machineTimeMs() - sent, baseLimitMs + millisecondsPerRoute * static_cast<double>(routes));
            for (const Vm& vm : deployment.entryVms()) {
                EXPECT_TRUE(waitUntil(Milliseconds(5000), [&] { return deployment.manifestInForce(vm) == number; })) << vm.name;
                EXPECT_EQ(callRoute(vm, routes - 1), 200) << vm.name;
            }
            load.join();
            LoadSummary summary = summarise(load.records());
            EXPECT_EQ(summary.answered, summary.calls) << describeResults(load);
        });
    }
    section("an entry VM that restarts gets all routes", [&] {
        Vm& vm = deployment.entryVms()[0];
        vm.process->kill();
        ASSERT_TRUE(deployment.restart(vm));
        EXPECT_TRUE(waitUntil(Milliseconds(5000), [&] { return deployment.manifestInForce(vm) == number; }));
        EXPECT_EQ(callRoute(vm, 9999), 200);
    });
    section("one bad route refuses the whole manifest, with its place, and nothing in force changes", [&] {
        nlohmann::json manifest = manifestWithRoutes(number + 1, services, 1400);
        manifest["routes"][1234]["service"] = "unknown";
        OperatorAnswer answer = deployment.applyManifest(deployment.controlVms()[0], manifest);
        EXPECT_GE(answer.status, 400);
        EXPECT_LT(answer.status, 500);
        EXPECT_NE(answer.body.dump().find("1234"), std::string::npos) << answer.body.dump();
        EXPECT_EQ(deployment.manifestInForce(deployment.entryVms()[0]), number);
    });
    section("a manifest above the stated size is refused with 413, and nothing in force changes", [&] {
        nlohmann::json manifest = manifestWithRoutes(number + 1, services, 60000);
        ASSERT_GT(manifest.dump().size(), maxManifestBytes);
        OperatorAnswer answer = deployment.applyManifest(deployment.controlVms()[0], manifest);
        EXPECT_EQ(answer.status, 413);
        EXPECT_NE(answer.body.dump().find(std::to_string(maxManifestBytes)), std::string::npos) << answer.body.dump();
        EXPECT_EQ(deployment.manifestInForce(deployment.entryVms()[0]), number);
    });
}
