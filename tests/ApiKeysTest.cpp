/**
 * @file ApiKeysTest.cpp Guards against requests that run without a valid API key. A key must end within the stated bound also on an
 * entry VM that is partitioned from control, paused or restarted, and for a request that waits while its key is withdrawn.
 */
#include "TestDeployment.h"

#include "testing/MachineTime.h"

#include <future>
#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;
using nlohmann::json;

namespace {

constexpr Milliseconds limit { 20000 };
constexpr double boundMs = 5000; ///< Setting keyRevocationMs.
constexpr double checkMarginMs = 1500; ///< Time for which requests are still sent after the bound.
constexpr const char* withdrawnKey = "north-s3cret-1"; ///< Key that the second manifest withdraws.
constexpr const char* newKey = "north-s3cret-2"; ///< Key that the second manifest adds.
constexpr const char* otherKey = "east-s3cret"; ///< Key of another organisation, in all manifests.

DeploymentOptions keyOptions(uint64_t seed)
{
    DeploymentOptions options = testOptions(seed, 3);
    options.proxyLinks = true;
    options.settings = { { "keyRevocationMs", boundMs }, { "leaseTermMs", 1000 }, { "sessionIntervalMs", 450 } };
    return options;
}

json route(const std::string& name, bool isPublic)
{
    return { { "name", name }, { "host", name + ".example" }, { "pathPrefix", "/" }, { "kind", "safe" }, { "deadlineMs", 8000 }, { "service", "matters" }, { "public", isPublic } };
}

/** Returns a manifest with a public route, one that needs a key, and two organisations. */
json manifestWith(uint64_t number, const std::string& northKey)
{
    json manifest = makeManifest(number, { { "matters" } });
    manifest["services"][0]["limits"] = { { "maxInFlight", 1 } };
    manifest["routes"] = { route("open", true), route("closed", false) };
    manifest["organisations"] = { { { "name", "north" }, { "apiKeys", { northKey } } }, { { "name", "east" }, { "apiKeys", { otherKey } }, { "priority", 1 } } };
    return manifest;
}

/** Returns a request to a route. @param key API key; empty: none. @param callId Appears in the log of executions. */
HttpMessage requestTo(const std::string& route, const std::string& key, const std::string& callId = "c")
{
    HttpMessage request = makeRequest("GET", "/matters/balance", "", key);
    request.fields[0].value = route + ".example";
    request.add("X-Call-Id", callId);
    request.add("X-Echo-Fields", "1");
    return request;
}

HttpMessage answerOf(const Vm& vm, const HttpMessage& request)
{
    return exchangeOnce(vm.callerAddress, request, limit).value_or(HttpMessage {});
}

/** Returns the answer's result, or the status if it has none. */
std::string resultOf(const HttpMessage& answer)
{
    std::string result = answer.find("Kingcup-Result");
    return result.empty() ? std::to_string(answer.status()) : result;
}

std::string callResult(const Vm& vm, const std::string& route, const std::string& key, const std::string& callId = "c")
{
    return resultOf(answerOf(vm, requestTo(route, key, callId)));
}

/** Returns the values that the target saw of a field, joined by commas. */
std::string seenField(const HttpMessage& answer, const std::string& name)
{
    std::string values;
    for (const json& field : json::parse(answer.body, nullptr, false)) {
        if (field[0] == name)
            values += (values.empty() ? "" : ",") + field[1].get<std::string>();
    }
    return values;
}

/** Returns the ids of the calls that started on a target after a time. */
std::string startedAfter(const Deployment& deployment, double timeMs, const std::string& callId)
{
    std::string late;
    for (const Execution& execution : deployment.executions()) {
        if (execution.callId == callId && execution.startMs > timeMs)
            late += std::to_string(execution.startMs - timeMs) + " ms late; ";
    }
    return late;
}

bool isInForce(const Deployment& deployment, const Vm& vm, uint64_t number)
{
    return waitUntil(limit, [&] { return deployment.manifestInForce(vm) == number; });
}

} // namespace

TEST(ApiKeys, areNeededExceptOnPublicRoutes)
{
    Deployment deployment(keyOptions(131));
    ASSERT_EQ(startAll(deployment), "");
    Vm& vm = deployment.entryVms()[0];
    section("without organisations, Authorization is forwarded", [&] {
        json manifest = manifestWith(2, withdrawnKey);
        manifest.erase("organisations");
        ASSERT_EQ(deployment.applyManifest(deployment.controlVms()[0], manifest).code(), 0);
        ASSERT_TRUE(isInForce(deployment, vm, 2));
        HttpMessage request = requestTo("closed", "x");
        request.add("Kingcup-Organisation", "forged");
        HttpMessage answer = answerOf(vm, request);
        EXPECT_EQ(seenField(answer, "Authorization"), "Bearer x") << answer.body;
        EXPECT_EQ(seenField(answer, "Kingcup-Organisation"), "");
    });
    ASSERT_EQ(deployment.applyManifest(deployment.controlVms()[0], manifestWith(3, withdrawnKey)).code(), 0);
    ASSERT_TRUE(isInForce(deployment, vm, 3));
    section("missing and unknown keys are answered 401 as not run", [&] {
        for (const char* key : { "", "unknown", "east-s3cre", "east-s3crets" }) {
            HttpMessage answer = answerOf(vm, requestTo("closed", key));
            EXPECT_EQ(answer.status(), 401) << key;
            EXPECT_EQ(answer.find("Kingcup-Result"), "1021 api_key_unknown");
            EXPECT_EQ(answer.find("Kingcup-Run"), "not-run");
        }
        EXPECT_EQ(callResult(vm, "nowhere", ""), "1021 api_key_unknown") << "the path of the service itself needs a key";
        HttpMessage unmatched = requestTo("nowhere", "");
        unmatched.startLine = "GET /elsewhere HTTP/1.1";
        EXPECT_EQ(answerOf(vm, unmatched).status(), 404);
    });
    section("the target learns the holder of the key, not the key", [&] {
        for (const char* name : { "open", "closed" }) {
            HttpMessage answer = answerOf(vm, requestTo(name, otherKey));
            EXPECT_EQ(answer.status(), 200) << answer.body;
            EXPECT_EQ(seenField(answer, "Kingcup-Organisation"), "east");
            EXPECT_EQ(answer.body.find("s3cret"), std::string::npos);
        }
    });
    section("a public route serves all; what callers say of themselves is removed", [&] {
        for (const char* key : { "", "unknown" }) {
            HttpMessage request = requestTo("open", key);
            request.add("kingcup-organisation", "forged");
            request.add("Kingcup_Organisation", "forged");
            HttpMessage answer = answerOf(vm, request);
            EXPECT_EQ(answer.status(), 200);
            EXPECT_EQ(answer.body.find("forged"), std::string::npos) << answer.body;
            EXPECT_EQ(answer.body.find("unknown"), std::string::npos) << answer.body;
        }
        HttpMessage twice = requestTo("closed", otherKey);
        twice.add("Authorization", std::string("Bearer ") + otherKey);
        EXPECT_EQ(answerOf(vm, twice).status(), 401);
    });
    section("no key and no hash is in the answers to operators, metrics and logs", [&] {
        deployment.ask(deployment.controlVms()[0].operatorAddress, "POST", "/v1/manifest", R"({"organisations":[{"apiKeys":["bad-s3cret" "x"]}]})");
        std::string text = deployment.query(deployment.controlVms()[0], "/v1/manifest").dump();
        EXPECT_NE(text.find("\"north\""), std::string::npos) << text;
        for (auto* group : { &deployment.controlVms(), &deployment.entryVms() }) {
            for (const Vm& each : *group) {
                text += deployment.query(each, "/v1/dump").dump() + deployment.query(each, "/v1/status").dump() + readFile(each.folder + "/log.jsonl") + each.process->output();
                text += exchangeOnce(each.operatorAddress, makeRequest("GET", "/metrics"), limit).value_or(HttpMessage {}).body;
            }
        }
        EXPECT_NE(text.find("kingcup_key_refusals_total{of=\"unknown\"}"), std::string::npos);
        EXPECT_EQ(text.find("s3cret"), std::string::npos);
        EXPECT_EQ(text.find("keyHashes"), std::string::npos);
    });
}

TEST(ApiKeys, withdrawnKeysEndWithinTheBoundOnEveryVm)
{
    Deployment deployment(keyOptions(132));
    ASSERT_EQ(startAll(deployment), "");
    ASSERT_EQ(deployment.applyManifest(deployment.controlVms()[0], manifestWith(2, withdrawnKey)).code(), 0);
    Vm& partitioned = deployment.entryVms()[0];
    Vm& paused = deployment.entryVms()[1];
    Vm& restarted = deployment.entryVms()[2];
    for (const Vm& vm : deployment.entryVms()) {
        ASSERT_TRUE(isInForce(deployment, vm, 2));
        ASSERT_TRUE(waitUntil(limit, [&] { return callResult(vm, "closed", withdrawnKey) == "0 ok"; }));
    }
    deployment.partition(partitioned, ProxyMode::DropBoth);
    deployment.partition(restarted, ProxyMode::DropBoth);
    paused.process->freeze();
    ASSERT_EQ(deployment.applyManifest(deployment.controlVms()[0], manifestWith(3, newKey)).code(), 0);
    double acknowledged = machineTimeMs();
    section("a partitioned VM refuses the key before the bound, as isolated, and serves public routes", [&] {
        EXPECT_EQ(callResult(partitioned, "closed", withdrawnKey), "0 ok");
        EXPECT_TRUE(waitUntil(limit, [&] { return callResult(partitioned, "closed", withdrawnKey, "late") == "1007 isolated"; }));
        EXPECT_LT(machineTimeMs(), acknowledged + boundMs);
        EXPECT_EQ(callResult(partitioned, "closed", "unknown"), "1007 isolated") << "its table may lack a new key";
        EXPECT_EQ(callResult(partitioned, "closed", ""), "1021 api_key_unknown");
        HttpMessage open = answerOf(partitioned, requestTo("open", withdrawnKey));
        EXPECT_EQ(resultOf(open), "0 ok");
        EXPECT_EQ(seenField(open, "Kingcup-Organisation"), "");
    });
    section("a VM that restarts without control answers neither 200 nor 401", [&] {
        restarted.process->kill();
        ASSERT_TRUE(deployment.restart(restarted));
        HttpMessage answer;
        EXPECT_TRUE(waitUntil(limit, [&] { return (answer = answerOf(restarted, requestTo("closed", withdrawnKey, "late"))).status() == 503; })) << answer.startLine;
        EXPECT_EQ(resultOf(answer), "1007 isolated");
    });
    section("a paused VM goes on with the new keys only", [&] {
        waitUntil(Milliseconds(acknowledged + boundMs + 500 - machineTimeMs()), [] { return false; });
        std::future<std::string> waiting = std::async(std::launch::async, [&] { return callResult(paused, "closed", withdrawnKey, "late"); });
        waitUntil(Milliseconds(200), [] { return false; });
        paused.process->thaw();
        std::string result = waiting.get();
        EXPECT_TRUE(result == "1007 isolated" || result == "1021 api_key_unknown") << result;
    });
    section("later, nothing runs with the key; with control again, the new key does", [&] {
        while (machineTimeMs() < acknowledged + boundMs + checkMarginMs) {
            for (const Vm& vm : deployment.entryVms())
                EXPECT_NE(callResult(vm, "closed", withdrawnKey, "late"), "0 ok");
        }
        deployment.partition(partitioned, ProxyMode::Pass);
        deployment.partition(restarted, ProxyMode::Pass);
        for (const Vm& vm : deployment.entryVms()) {
            EXPECT_TRUE(waitUntil(limit, [&] { return callResult(vm, "closed", newKey) == "0 ok"; })) << vm.name << deployment.logs();
            EXPECT_EQ(callResult(vm, "closed", withdrawnKey, "late"), "1021 api_key_unknown");
        }
        EXPECT_EQ(startedAfter(deployment, acknowledged + boundMs, "late"), "");
    });
}

TEST(ApiKeys, areCheckedAgainForRequestsThatWaited)
{
    Deployment deployment(keyOptions(133));
    ASSERT_EQ(startAll(deployment), "");
    ASSERT_EQ(deployment.applyManifest(deployment.controlVms()[0], manifestWith(2, withdrawnKey)).code(), 0);
    Vm& vm = deployment.entryVms()[0];
    ASSERT_TRUE(isInForce(deployment, vm, 2));
    for (size_t target = 0; target < deployment.targets().size(); ++target)
        deployment.changeFaults(target, { { "stall", true } });
    auto call = [&](const char* key, const char* callId) {
        return std::async(std::launch::async, [&vm, key, callId] { return answerOf(vm, requestTo("closed", key, callId)); });
    };
    auto running = [&] { return deployment.targetStats(0).executions + deployment.targetStats(1).executions; };
    uint64_t before = running();
    std::future<HttpMessage> first = call(withdrawnKey, "first");
    ASSERT_TRUE(waitUntil(limit, [&] { return running() == before + 1; }));
    std::future<HttpMessage> second = call(withdrawnKey, "second");
    std::future<HttpMessage> third = call(otherKey, "third");
    waitUntil(Milliseconds(300), [] { return false; });
    ASSERT_EQ(deployment.applyManifest(deployment.controlVms()[0], manifestWith(3, newKey)).code(), 0);
    double acknowledged = machineTimeMs();
    ASSERT_TRUE(isInForce(deployment, vm, 3));
    for (size_t target = 0; target < deployment.targets().size(); ++target)
        deployment.changeFaults(target, { { "stall", false } });
    section("what was sent before is answered; what waited is refused if its key was withdrawn", [&] {
        EXPECT_EQ(resultOf(first.get()), "0 ok");
        HttpMessage refused = second.get();
        EXPECT_EQ(resultOf(refused), "1021 api_key_unknown") << refused.startLine;
        EXPECT_EQ(refused.find("Kingcup-Run"), "not-run");
        EXPECT_EQ(resultOf(third.get()), "0 ok");
        EXPECT_EQ(startedAfter(deployment, acknowledged, "second"), "");
        std::string metrics = exchangeOnce(vm.operatorAddress, makeRequest("GET", "/metrics"), limit).value_or(HttpMessage {}).body;
        EXPECT_NE(metrics.find("kingcup_key_refusals_total{of=\"withdrawn\"} 1"), std::string::npos) << metrics;
    });
}
