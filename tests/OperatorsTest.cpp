/** @file OperatorsTest.cpp Guards against two manifests under one number, and against a resend that is taken for a new change. */
#include "TestDeployment.h"

#include <gtest/gtest.h>
#include <mutex>
#include <set>
#include <thread>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr size_t operators = 4;
constexpr uint64_t rounds = 10;
constexpr int maxSends = 20; ///< Of one operator in one round.

/** Returns a manifest whose content depends on its operator. */
nlohmann::json manifestOf(uint64_t number, size_t operatorNumber, const std::vector<ServiceLayout>& services)
{
    nlohmann::json manifest = makeManifest(number, services);
    manifest["services"][0]["kinds"][0]["deadlineMs"] = 2000 + operatorNumber;
    return manifest;
}

/** Sends a manifest until there is an answer with a decision. */
OperatorAnswer sendUntilDecided(const Deployment& deployment, const std::string& address, const nlohmann::json& manifest)
{
    OperatorAnswer answer;
    std::set<int> decided = { 0, numberOf(ResultCode::ManifestConflict), numberOf(ResultCode::ManifestSuperseded), numberOf(ResultCode::ManifestOutdated) };
    for (int sends = 0; sends < maxSends && !decided.contains(answer.code()); ++sends)
        answer = deployment.ask(address, "POST", "/v1/manifest", manifest.dump());
    return answer;
}

} // namespace

TEST(Operators, equalNumbersHaveOneWinnerAlsoWhenAnswersAreLost)
{
    Deployment deployment(testOptions(51));
    ASSERT_EQ(startAll(deployment), "");
    const std::vector<ServiceLayout>& services = deployment.plan().services;
    AddressPool addresses;
    std::vector<std::unique_ptr<FaultProxy>> proxies;
    for (size_t number = 0; number < operators; ++number) {
        const Vm& vm = number < 3 ? deployment.controlVms()[number] : deployment.entryVms()[0];
        proxies.push_back(std::make_unique<FaultProxy>(addresses.next(), vm.operatorAddress));
        ASSERT_TRUE(proxies.back()->start());
    }

    for (uint64_t number = 2; number < 2 + rounds; ++number) {
        std::vector<OperatorAnswer> answers(operators);
        std::vector<std::thread> threads;
        for (size_t each = 0; each < operators; ++each) {
            proxies[each]->cutAfter(each % 2 ? 20 : -1); // The first answer of every other operator is lost.
            threads.emplace_back([&, each] { answers[each] = sendUntilDecided(deployment, proxies[each]->address(), manifestOf(number, each, services)); });
        }
        for (std::thread& thread : threads)
            thread.join();
        size_t winners = 0;
        std::set<std::string> digests;
        for (const OperatorAnswer& answer : answers) {
            winners += answer.code() == 0;
            bool decided = answer.code() == 0 || answer.code() == numberOf(ResultCode::ManifestConflict);
            EXPECT_TRUE(decided) << answer.body.dump();
            digests.insert(answer.body.value("digest", ""));
        }
        EXPECT_EQ(winners, 1u) << "number " << number;
        EXPECT_EQ(digests.size(), 1u) << "all must name the winning digest";
        EXPECT_EQ(deployment.query(deployment.controlVms()[0], "/v1/manifest").value("digest", ""), *digests.begin());
    }
    section("a resend of an old accepted manifest changes nothing", [&] {
        uint64_t last = 1 + rounds;
        OperatorAnswer old = deployment.applyManifest(deployment.entryVms()[0], makeManifest(1, services));
        EXPECT_EQ(old.code(), numberOf(ResultCode::ManifestSuperseded)) << old.body.dump();
        EXPECT_EQ(deployment.query(deployment.controlVms()[0], "/v1/manifest").value("number", uint64_t { 0 }), last);
    });
    section("a lower number that was never accepted is refused", [&] {
        ASSERT_EQ(deployment.applyManifest(deployment.controlVms()[0], makeManifest(100, services)).code(), 0);
        EXPECT_EQ(deployment.applyManifest(deployment.controlVms()[1], makeManifest(50, services)).code(), numberOf(ResultCode::ManifestOutdated));
    });
}
