/** @file CrashContainmentTest.cpp Guards against a request that crashes more than two targets, also when its caller resends it everywhere. */
#include "TestDeployment.h"

#include <gtest/gtest.h>

#include <fstream>
#include <string>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

/** Sends a request that crashes its target to each entry VM in turn. */
void sendCrashing(Deployment& deployment, const std::string& method, int sends)
{
    for (int number = 0; number < sends; ++number) {
        HttpMessage request = makeRequest(method, "/matters/poison-" + method, method == "POST" ? "poison" : "");
        request.add("X-Crash", "yes");
        request.add("X-Call-Id", "crash-" + method + std::to_string(number));
        if (method == "POST")
            request.add("Idempotency-Key", "crash-key-" + std::to_string(number));
        const std::vector<std::string> addresses = deployment.callerAddresses();
        exchangeOnce(addresses[static_cast<size_t>(number) % addresses.size()], request, Milliseconds(8000));
    }
}

/** Restarts the targets that have crashed and returns how many there were. */
size_t repairCrashed(Deployment& deployment)
{
    size_t crashed = 0;
    for (size_t target = 0; target < deployment.targets().size(); ++target) {
        if (deployment.targetProcess(target).running())
            continue;
        ++crashed;
        deployment.targetProcess(target).start();
    }
    return crashed;
}

/** Returns how many lines of an event all entry VMs have logged. */
size_t countEvents(Deployment& deployment, const std::string& event)
{
    size_t count = 0;
    std::string field = "\"event\":\"" + event + "\"";
    for (const Vm& vm : deployment.entryVms()) {
        std::ifstream log(vm.folder + "/log.jsonl");
        for (std::string line; std::getline(log, line);)
            count += line.find(field) != std::string::npos ? 1 : 0;
    }
    return count;
}

} // namespace

TEST(CrashContainment, oneRequestCrashesAtMostTwoTargets)
{
    Deployment deployment(testOptions(91, 3, { { "matters", 6, 6 } }));
    ASSERT_EQ(startAll(deployment), "");
    LoadOptions loadOptions = loadOn(deployment, 100, Milliseconds(10000), 0);
    LoadGenerator load(loadOptions);
    load.start();

    section("a repeatable request", [&] {
        sendCrashing(deployment, "GET", 8);
        EXPECT_LE(repairCrashed(deployment), 2u) << deployment.logs();
    });
    section("a post that its caller sends again under new keys", [&] {
        sendCrashing(deployment, "POST", 8);
        EXPECT_LE(repairCrashed(deployment), 2u) << deployment.logs();
    });
    section("the log names both requests as suspects, with what control answered", [&] {
        EXPECT_GE(countEvents(deployment, "request_suspected"), 2u) << deployment.logs();
        EXPECT_GE(countEvents(deployment, "suspicion_answered"), 2u) << deployment.logs();
    });
    section("unrelated reads are answered", [&] {
        EXPECT_EQ(violationsAfter(deployment, load), "");
        LoadSummary summary = summarise(load.records());
        EXPECT_GE(summary.answered, summary.calls * 98 / 100) << describeResults(load);
        EXPECT_EQ(summary.results.count("1013 quarantined"), 0u) << describeResults(load);
    });
}
