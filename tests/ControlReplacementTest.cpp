/** @file ControlReplacementTest.cpp Guards against the loss of accepted state when a control VM is wiped and replaced and a second one is lost right after. */
#include "TestDeployment.h"

#include <filesystem>
#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr Milliseconds limit { 20000 };

/** Returns whether a control VM is a voter under another incarnation than before, and no other incarnation of it is listed. */
bool replaced(const nlohmann::json& status, uint32_t id, uint64_t oldIncarnation)
{
    size_t found = 0;
    bool fresh = false;
    for (const nlohmann::json& member : status.is_object() ? status.value("members", nlohmann::json::array()) : nlohmann::json::array()) {
        if (member.at("id") != id)
            continue;
        ++found;
        fresh = member.at("voter").get<bool>() && member.at("incarnation").get<uint64_t>() != oldIncarnation;
    }
    return found == 1 && fresh;
}

/** Returns the listed incarnation of a control VM; 0 when it is not listed. */
uint64_t incarnationOf(const nlohmann::json& status, uint32_t id)
{
    for (const nlohmann::json& member : status.at("members")) {
        if (member.at("id") == id)
            return member.at("incarnation").get<uint64_t>();
    }
    return 0;
}

/** Sends a keyed post. */
std::optional<HttpMessage> post(const std::string& address, const std::string& callId)
{
    HttpMessage request = makeRequest("POST", "/matters/invoice", "an invoice");
    request.add("Idempotency-Key", "key-kept");
    request.add("X-Call-Id", callId);
    return exchangeOnce(address, request, Milliseconds(8000));
}

} // namespace

TEST(ControlReplacement, nothingAcceptedIsLost)
{
    Deployment deployment(testOptions(31));
    ASSERT_EQ(startAll(deployment), "");
    std::vector<Vm>& controls = deployment.controlVms();
    ASSERT_EQ(deployment.applyManifest(controls[0], makeManifest(5, deployment.plan().services)).code(), 0);
    std::optional<HttpMessage> first = post(deployment.callerAddresses()[0], "first");
    ASSERT_TRUE(first);
    ASSERT_EQ(first->status(), 200);
    Vm* leader = deployment.waitLeader(limit);
    ASSERT_TRUE(leader);
    Vm& wiped = *leader; // The leader is the member whose loss is hardest.
    uint64_t oldIncarnation = incarnationOf(deployment.query(wiped, "/v1/status"), wiped.controlId);

    section("a wiped VM does not vote before it is replaced", [&] {
        wiped.process->kill();
        std::filesystem::remove_all(wiped.dataFolder());
        ASSERT_TRUE(deployment.restart(wiped));
        ASSERT_TRUE(deployment.waitLeader(limit)) << deployment.logs();
        EXPECT_NE(deployment.leader()->name, wiped.name);
    });
    section("replace-control makes its new incarnation a voter", [&] {
        std::string body = nlohmann::json { { "id", wiped.controlId } }.dump();
        bool accepted = waitUntil(limit, [&] {
            Vm* current = deployment.waitLeader(limit);
            return current && deployment.ask(current->operatorAddress, "POST", "/v1/replace-control", body).code() == 0;
        });
        ASSERT_TRUE(accepted) << deployment.logs();
        bool done = waitUntil(limit, [&] {
            Vm* current = deployment.waitLeader(limit);
            return current && replaced(deployment.query(*current, "/v1/status"), wiped.controlId, oldIncarnation);
        });
        ASSERT_TRUE(done) << deployment.query(*deployment.leader(), "/v1/status").dump(1) << deployment.logs();
    });
    section("after the loss of a second VM, everything accepted is there", [&] {
        Vm& second = controls[wiped.controlId % controls.size()];
        second.process->kill();
        ASSERT_TRUE(deployment.waitLeader(limit)) << deployment.logs();
        EXPECT_EQ(deployment.query(wiped, "/v1/manifest").value("number", 0), 5);
        std::optional<HttpMessage> resend = post(deployment.callerAddresses()[1], "resend");
        ASSERT_TRUE(resend);
        EXPECT_EQ(resend->body, first->body);
        ASSERT_TRUE(waitUntil(limit, [&] { return deployment.applyManifest(wiped, makeManifest(6, deployment.plan().services)).code() == 0; }));
    });
    size_t runs = 0;
    for (const Execution& execution : deployment.executions())
        runs += execution.key == "key-kept";
    EXPECT_EQ(runs, 1u);
}
