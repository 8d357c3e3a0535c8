/** @file AccessTest.cpp Guards against operators, targets and VMs without the right token or key that get in. */
#include "TestDeployment.h"

#include <gtest/gtest.h>
#include <zmq.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr Milliseconds limit { 20000 };

/** Returns the status of a request with a token. */
int statusOf(const std::string& address, const std::string& method, const std::string& path, const std::string& body, const std::string& token)
{
    std::optional<HttpMessage> answer = exchangeOnce(address, makeRequest(method, path, body, token), Milliseconds(10000));
    return answer ? answer->status() : 0;
}

} // namespace

TEST(Access, wrongTokensGetInNowhere)
{
    Deployment deployment(testOptions(111));
    ASSERT_EQ(startAll(deployment), "");
    std::string manifest = makeManifest(9, deployment.plan().services).dump();
    nlohmann::json target = { { "service", "matters" }, { "address", "127.0.0.9:9" }, { "availabilityZone", "a" }, { "slots", 1 }, { "incarnation", 1 }, { "state", "serving" } };
    std::string almost = deployment.operatorToken();
    almost.back() = almost.back() == 'a' ? 'b' : 'a';
    struct Attempt {
        const char* method;
        const char* path;
        std::string body;
        std::string otherToken; ///< Valid for other paths only.
    };
    const Attempt attempts[] = {
        { "GET", "/v1/dump", "", deployment.targetToken() },
        { "GET", "/v1/status", "", deployment.targetToken() },
        { "GET", "/v1/targets", "", deployment.targetToken() },
        { "GET", "/v1/manifest", "", deployment.targetToken() },
        { "POST", "/v1/manifest", manifest, deployment.targetToken() },
        { "POST", "/v1/bootstrap", "{}", deployment.targetToken() },
        { "POST", "/v1/replace-control", "{\"id\":1}", deployment.targetToken() },
        { "POST", "/v1/targets/announce", target.dump(), deployment.operatorToken() },
    };
    for (const Vm* vm : { &deployment.controlVms()[0], &deployment.entryVms()[0] }) {
        for (const Attempt& attempt : attempts) {
            section(std::string(attempt.method) + " " + attempt.path + " on " + vm->name, [&] {
                for (const std::string& token : { std::string(), std::string("x"), almost, deployment.operatorToken() + "x", attempt.otherToken })
                    EXPECT_EQ(statusOf(vm->operatorAddress, attempt.method, attempt.path, attempt.body, token), 401);
            });
        }
    }
    EXPECT_EQ(deployment.query(deployment.controlVms()[0], "/v1/manifest").value("number", 0), 1);
    EXPECT_EQ(deployment.query(deployment.controlVms()[0], "/v1/targets").dump().find("127.0.0.9:9"), std::string::npos);
}

TEST(Access, aForeignKeyGetsNoConfiguration)
{
    Deployment deployment(testOptions(112));
    ASSERT_EQ(startAll(deployment), "");
    Vm& vm = deployment.entryVms()[0];
    std::string publicKey = vm.publicKey;
    std::string secretKey = readFile(vm.secretKeyFile);
    char otherPublic[41] = {};
    char otherSecret[41] = {};
    ::zmq_curve_keypair(otherPublic, otherSecret);

    vm.process->kill();
    writeFile(vm.secretKeyFile, otherSecret);
    vm.settings["curvePublicKey"] = otherPublic;
    ASSERT_TRUE(deployment.restart(vm));
    ASSERT_TRUE(waitUntil(limit, [&] { return deployment.ask(vm.operatorAddress, "GET", "/healthz").status == 200; })) << vm.process->output();
    EXPECT_FALSE(waitUntil(Milliseconds(3000), [&] { return deployment.ready(vm) || deployment.manifestInForce(vm) > 0; }));

    vm.process->kill();
    writeFile(vm.secretKeyFile, secretKey);
    vm.settings["curvePublicKey"] = publicKey;
    ASSERT_TRUE(deployment.restart(vm));
    EXPECT_TRUE(waitUntil(limit, [&] { return deployment.ready(vm); })) << "the same VM must get in with its own key\n"
                                                                        << deployment.logs();
}
