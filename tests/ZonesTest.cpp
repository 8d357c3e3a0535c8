/**
 * @file ZonesTest.cpp Guards against requests that reach an availability zone after the operator was told that it is out of use: because a leader
 * failed, because control VMs restarted, or by calls that were waiting. Also guards against callers who suffer from the change.
 */
#include "TestDeployment.h"

#include "testing/MachineTime.h"

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <iostream>
#include <map>
#include <sstream>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr double outOfUseBoundMs = 5000; ///< Bound of the design, from the answer to the operator.
constexpr double immediateRefusalMs = 100; ///< Far below the time limit of a call.
constexpr Milliseconds limit { 20000 };

/** Returns the positions of the targets in a zone. */
std::vector<size_t> targetsIn(Deployment& deployment, const std::string& zone)
{
    std::vector<size_t> positions;
    for (size_t i = 0; i < deployment.targets().size(); ++i) {
        if (deployment.targets()[i].availabilityZone == zone)
            positions.push_back(i);
    }
    return positions;
}

/** Returns the time of the last execution or probe in a zone. */
double lastRequestIn(Deployment& deployment, const std::string& zone)
{
    double last = 0;
    for (size_t target : targetsIn(deployment, zone)) {
        last = std::max(last, deployment.targetStats(target).lastProbeMs);
        for (const Execution& execution : readExecutionLog(deployment.targets()[target].executionLog))
            last = std::max(last, execution.startMs);
    }
    return last;
}

/** Returns the zones out of use in the configuration in force on an entry VM. */
nlohmann::json zonesInForce(Deployment& deployment, const Vm& vm)
{
    nlohmann::json dump = deployment.query(vm, "/v1/dump");
    return dump.is_object() && dump.contains("entry") ? dump["entry"].value("zonesOutOfUse", nlohmann::json()) : nlohmann::json();
}

/** Waits until the given zones, and no others, are out of use on all entry VMs. */
bool waitInForce(Deployment& deployment, const nlohmann::json& zones)
{
    std::vector<Vm>& vms = deployment.entryVms();
    return waitUntil(limit, [&] { return std::all_of(vms.begin(), vms.end(), [&](const Vm& vm) { return zonesInForce(deployment, vm) == zones; }); });
}

/** Repeats a command for a zone until it is answered 200, as operators do. Returns the time of that answer, or 0. */
double changeZone(Deployment& deployment, const Vm& vm, const std::string& action, const std::string& zone)
{
    auto isDone = [&] {
        OperatorAnswer answer = deployment.ask(vm.operatorAddress, "POST", "/v1/zones/" + action + "?zone=" + zone);
        EXPECT_TRUE(answer.status == 200 || answer.status == 503) << answer.status;
        return answer.status == 200;
    };
    return waitUntil(limit, isDone) ? machineTimeMs() : 0;
}

/** Returns the sum of a counter over all entry VMs and labels. */
double counterOf(Deployment& deployment, const std::string& name)
{
    double sum = 0;
    for (const Vm& vm : deployment.entryVms()) {
        std::istringstream lines(runCommand({ "/usr/bin/curl", "--silent", "--noproxy", "*", "http://" + vm.operatorAddress + "/metrics" }, deployment.folder(), limit).output);
        for (std::string line; std::getline(lines, line);)
            sum += line.starts_with(name) ? std::stod(line.substr(line.rfind(' '))) : 0;
    }
    return sum;
}

/**
 * Checks that calls were answered, or refused with wait_too_long for what was seen since a change: after they had waited as long as their kind may,
 * or after the first call at their VM had ended.
 */
void expectNoRefusalByEarlierLatency(const std::vector<CallRecord>& records)
{
    constexpr double mayWaitMs = 1000; ///< Of kind read in the manifest.
    constexpr double answerDelayMs = 100; ///< Time from the end of a call at the VM until the caller has read the answer, on a busy machine.
    std::map<std::string, double> firstEndMs;
    for (const CallRecord& record : records) {
        bool isRefused = record.view.resultCode == numberOf(ResultCode::WaitTooLong);
        double& endMs = firstEndMs.try_emplace(record.address, INFINITY).first->second;
        endMs = isRefused ? endMs : std::min(endMs, record.view.endMs);
    }
    for (const CallRecord& record : records) {
        if (record.view.status == 200)
            continue;
        EXPECT_EQ(record.view.resultCode, numberOf(ResultCode::WaitTooLong)) << record.result;
        bool hasWaited = record.view.endMs - record.view.startMs >= mayWaitMs;
        EXPECT_TRUE(hasWaited || record.view.startMs > firstEndMs[record.address] - answerDelayMs) << record.result << " before the first answer at " << record.address;
    }
}

} // namespace

TEST(Zones, outOfUseZoneGetsNoRequestAlsoWhenControlVmsFail)
{
    Deployment deployment(testOptions(171, 3, { { "matters", 6, 6 } }));
    ASSERT_EQ(startAll(deployment), "");
    const Vm& vm = deployment.entryVms()[0];
    const std::string zone = vm.settings["availabilityZone"]; // Callers of this VM are served by targets of the other zones.
    double answered = 0;
    section("all calls are served while a leader fails and the zone goes out of use", [&] {
        LoadGenerator load(loadOn(deployment, 150, Milliseconds(9500), 0.3));
        load.start();
        ASSERT_TRUE(waitUntil(limit, [&] { return deployment.targetStats(targetsIn(deployment, zone)[0]).executions > 5; }));
        deployment.waitLeader(limit)->process->kill();
        answered = changeZone(deployment, vm, "evacuate", zone);
        ASSERT_GT(answered, 0) << deployment.logs();
        EXPECT_EQ(violationsAfter(deployment, load), "");
        LoadSummary summary = summarise(load.records());
        EXPECT_EQ(summary.answered, summary.calls) << describeResults(load) << deployment.logs();
    });
    std::cout << "last request in the zone " << lastRequestIn(deployment, zone) - answered << " ms after the answer\n";
    section("no request and no probe reaches the zone after the bound", [&] {
        ASSERT_GT(machineTimeMs(), answered + outOfUseBoundMs);
        EXPECT_LT(lastRequestIn(deployment, zone), answered + outOfUseBoundMs);
    });
    section("the order holds after a restart of all control VMs and of an entry VM", [&] {
        for (Vm& control : deployment.controlVms())
            control.process->kill();
        for (Vm& control : deployment.controlVms())
            ASSERT_TRUE(deployment.restart(control));
        deployment.entryVms()[0].process->kill();
        ASSERT_TRUE(deployment.restart(deployment.entryVms()[0]));
        ASSERT_TRUE(waitInForce(deployment, { zone })) << deployment.logs();
        ASSERT_TRUE(waitUntil(limit, [&] { return deployment.waitReady(limit) && deployment.waitLeader(limit); }));
        LoadGenerator load(loadOn(deployment, 100, Milliseconds(2000), 0));
        load.start();
        load.join();
        EXPECT_GT(summarise(load.records()).answered, 100u) << describeResults(load);
        EXPECT_LT(lastRequestIn(deployment, zone), answered + outOfUseBoundMs);
    });
    section("operators see it by path, status and tool", [&] {
        nlohmann::json zones = deployment.query(vm, "/v1/zones");
        ASSERT_EQ(zones["zones"].size(), 1u) << zones.dump();
        EXPECT_EQ(zones["zones"][0]["zone"], zone);
        EXPECT_GT(zones["zones"][0]["ageMs"], outOfUseBoundMs);
        EXPECT_EQ(deployment.query(vm, "/v1/status")["zonesOutOfUse"][0]["zone"], zone);
        EXPECT_NE(deployment.control(vm, { "zones" }).output.find("\n" + zone + " "), std::string::npos);
    });
    section("restored, its targets are used again at once", [&] {
        EXPECT_EQ(deployment.control(vm, { "zones", "restore", zone }).status, 0);
        double restored = machineTimeMs();
        LoadGenerator load(loadOn(deployment, 100, Milliseconds(3000), 0));
        load.start();
        load.join();
        EXPECT_GT(lastRequestIn(deployment, zone), restored);
        LoadSummary summary = summarise(load.records());
        EXPECT_EQ(summary.answered, summary.calls) << describeResults(load);
    });
}

TEST(Zones, withoutAnyZoneCallsAreRefusedAtOnce)
{
    constexpr double workMs = 1500; ///< Long enough for calls to be in flight, and for others to wait, when the last zone goes out of use.
    Deployment deployment(testOptions(172, 3, { { "matters", 3, 2 } }));
    ASSERT_EQ(startAll(deployment), "");
    const Vm& vm = deployment.entryVms()[0];
    for (size_t target = 0; target < deployment.targets().size(); ++target)
        deployment.changeFaults(target, { { "latencyMedianMs", workMs }, { "latencySigma", 0 } });
    section("a malformed command is refused, a repeated one is accepted", [&] {
        EXPECT_EQ(deployment.ask(vm.operatorAddress, "POST", "/v1/zones/evacuate").code(), numberOf(ResultCode::CommandMalformed));
        EXPECT_EQ(deployment.ask(vm.operatorAddress, "POST", "/v1/zones/evacuate?zone=%0A").code(), numberOf(ResultCode::CommandMalformed));
        EXPECT_EQ(deployment.ask(vm.operatorAddress, "POST", "/v1/zones/evacuate?zone=" + std::string(65, 'z')).code(), numberOf(ResultCode::CommandMalformed));
        EXPECT_EQ(deployment.ask(vm.operatorAddress, "POST", "/v1/zones/restore?zone=no%20such%20zone").status, 200);
    });
    LoadGenerator load(loadOn(deployment, 20, Milliseconds(4000), 0));
    load.start();
    waitUntil(Milliseconds(1000), [] { return false; });
    double ordered = machineTimeMs();
    for (const std::string& zone : deployment.plan().zones)
        ASSERT_GT(changeZone(deployment, vm, "evacuate", zone), 0);
    ASSERT_TRUE(waitInForce(deployment, deployment.plan().zones));
    double inForce = machineTimeMs();
    load.join();
    size_t refused = 0;
    size_t undisturbed = 0;
    for (const CallRecord& record : load.records()) {
        if (record.view.startMs > inForce) {
            ++refused;
            EXPECT_EQ(record.view.resultCode, numberOf(ResultCode::NoTarget)) << record.result;
            EXPECT_EQ(record.view.told, ToldRun::NotRun);
            EXPECT_LT(record.view.endMs - record.view.startMs, immediateRefusalMs);
        } else if (record.view.status == 200)
            undisturbed += record.view.startMs < ordered && record.view.endMs > inForce ? 1 : 0;
        else if (record.view.told == ToldRun::NotRun)
            EXPECT_LT(record.view.endMs, inForce + immediateRefusalMs) << record.result;
        else // In flight at a target whose work took longer than the time limit.
            EXPECT_EQ(record.view.resultCode, numberOf(ResultCode::DeadlineAfterSend)) << record.result;
    }
    EXPECT_GT(refused, 10u) << describeResults(load);
    EXPECT_GT(undisturbed, 3u) << describeResults(load);
    section("they are served again when a zone is restored", [&] {
        for (size_t target = 0; target < deployment.targets().size(); ++target)
            deployment.changeFaults(target, { { "latencyMedianMs", 2 } });
        ASSERT_GT(changeZone(deployment, vm, "restore", "b"), 0);
        ASSERT_TRUE(waitInForce(deployment, { "a", "c" }));
        // Targets go on with calls whose callers gave up, and then answer nothing else for up to a second.
        LoadGenerator early(loadOn(deployment, 50, Milliseconds(1000), 0));
        early.start();
        early.join();
        expectNoRefusalByEarlierLatency(early.records());
        for (size_t target = 0; target < deployment.targets().size(); ++target)
            ASSERT_TRUE(waitUntil(limit, [&] { return deployment.targetStats(target).inFlight == 0; }));
        LoadGenerator after(loadOn(deployment, 50, Milliseconds(1000), 0));
        after.start();
        after.join();
        LoadSummary summary = summarise(after.records());
        EXPECT_EQ(summary.answered, summary.calls) << describeResults(after);
    });
}

TEST(Zones, searchUnderWayDoesNotSendToTheZone)
{
    DeploymentOptions options = testOptions(173, 2, { { "matters", 6, 6 } });
    options.proxyTargets = true;
    options.settings["routeMeasuringBudget"] = { { "probesPerSecondPerTarget", 1000 }, { "bytesPerSecondPerVm", 1e9 }, { "burstSeconds", 10 } };
    Deployment deployment(options);
    nlohmann::json route = { { "name", "search" }, { "host", "search" }, { "pathPrefix", "/" }, { "kind", "unsafe" }, { "deadlineMs", 4000 }, { "service", "matters" } };
    nlohmann::json service = { { "name", "matters" }, { "healthPath", "/load" } };
    ASSERT_EQ(deployment.start({ { "number", 1 }, { "services", { service } }, { "routes", { route } } }), "");
    ASSERT_TRUE(waitUntil(limit, [&] { return deployment.allTargetsKnown(); }));
    constexpr Milliseconds oneWayDelay { 30 }; ///< A probe then takes 60 ms or more, so that several searches are under way at any time.
    for (TargetPlace& target : deployment.targets())
        target.proxy->setDelay(oneWayDelay);
    LoadOptions loadOptions = loadOn(deployment, 150, Milliseconds(3000), 0);
    loadOptions.mix[0].host = "search";
    loadOptions.mix[0].repeatable = false;
    LoadGenerator load(loadOptions);
    load.start();
    waitUntil(Milliseconds(1000), [] { return false; });
    const Vm& vm = deployment.entryVms()[0];
    for (const char* zone : { "a", "b" })
        ASSERT_GT(changeZone(deployment, vm, "evacuate", zone), 0);
    EXPECT_EQ(violationsAfter(deployment, load), "");
    LoadSummary summary = summarise(load.records());
    EXPECT_EQ(summary.answered, summary.calls) << describeResults(load) << deployment.logs();
    double replaced = counterOf(deployment, "kingcup_picks_replaced_total");
    std::cout << replaced << " picks replaced of " << summary.calls << " calls\n";
    EXPECT_GT(replaced, 0);
}
