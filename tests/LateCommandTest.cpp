/**
 * @file LateCommandTest.cpp Guards against a command of an operator that undoes a later one: it waits at a control VM that is frozen, the operator gives up and has it and others accepted
 * by another VM, and the frozen one carries it out when it wakes.
 */
#include "TestDeployment.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <iterator>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

/** Returns whether all threads of a process are stopped. A signal takes effect only when each of them handles it. */
bool isFrozen(pid_t process)
{
    auto isStopped = [](const std::filesystem::directory_entry& thread) {
        std::ifstream stat(thread.path() / "stat");
        std::string text { std::istreambuf_iterator<char>(stat), {} };
        return text.find(") T ") != std::string::npos;
    };
    std::filesystem::directory_iterator threads("/proc/" + std::to_string(process) + "/task");
    return std::all_of(begin(threads), end(threads), isStopped);
}

} // namespace

TEST(LateCommand, isNotCarriedOutAfterItsOperatorHasLeft)
{
    constexpr Milliseconds giveUpAfter { 300 };
    constexpr Milliseconds freezeTime { 3000 }; // Another VM leads by then.
    constexpr Milliseconds settleTime { 1500 };
    constexpr int rounds = 6; // The threads of the woken process race each other.
    const std::string zone = "a";
    Deployment deployment(testOptions(99, 1, { { "matters", 2, 4 } }));
    ASSERT_EQ(startAll(deployment), "");
    auto path = [&](const std::string& action) { return "/v1/zones/" + action + "?zone=" + zone; };
    auto isOutOfUse = [&](const Vm& vm) { return deployment.query(vm, "/v1/zones").dump().find("\"" + zone + "\"") != std::string::npos; };
    for (int round = 0; round < rounds; round++) {
        Vm* frozen = deployment.waitLeader(Milliseconds(8000));
        ASSERT_TRUE(frozen);
        Vm& other = &deployment.controlVms()[0] == frozen ? deployment.controlVms()[1] : deployment.controlVms()[0];
        auto order = [&](const std::string& action) { return waitUntil(Milliseconds(8000), [&] { return deployment.ask(other.operatorAddress, "POST", path(action)).code() == 0; }); };
        ASSERT_TRUE(order("evacuate"));
        frozen->process->freeze();
        ASSERT_TRUE(waitUntil(Milliseconds(1000), [&] { return isFrozen(frozen->process->pid()); }));
        TimePoint frozenAt = MillisecondClock::now();
        EXPECT_FALSE(exchangeOnce(frozen->operatorAddress, makeRequest("POST", path("restore"), "", deployment.operatorToken()), giveUpAfter));
        ASSERT_TRUE(order("restore"));
        ASSERT_TRUE(order("evacuate"));
        waitUntil(frozenAt + freezeTime - MillisecondClock::now(), [] { return false; });
        frozen->process->thaw();
        waitUntil(settleTime, [&] { return !isOutOfUse(other); });
        ASSERT_TRUE(isOutOfUse(other)) << "round " << round << "\n"
                                       << deployment.query(other, "/v1/zones").dump();
    }
}
