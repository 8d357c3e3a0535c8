/**
 * @file UsageCapTest.cpp Guards against usage caps that are exceeded in a sliding window, and against requests that are refused
 * below the cap. Both come from usage that the leader learns late: jumps of the demand, VMs without contact, a new leader.
 */
#include "UsageFleet.h"

#include "testing/Story.h"

#include <gtest/gtest.h>

using namespace kingcup;
using kingcup::testing::section;
using kingcup::testing::testSeed;

namespace {

constexpr size_t fleetSize = 140;

/** Returns the first VMs. */
std::vector<size_t> firstVms(size_t count)
{
    std::vector<size_t> vms;
    for (size_t vm = 0; vm < count; vm++)
        vms.push_back(vm);
    return vms;
}

/** Returns an organisation whose cap is 1.6 times its usual demand, with a burst of one second. */
SimulatedOrganisation organisationOf(const std::string& name, double usual, std::vector<size_t> vms, std::function<double(double)> factor)
{
    return { name, { usual * 1.6, usual * 1.6 }, std::move(vms), [usual, factor = std::move(factor)](double nowMs) { return usual * factor(nowMs); } };
}

/** Returns the factor of a demand that jumps for a time. */
std::function<double(double)> jump(double factor, double fromMs, double toMs)
{
    return [=](double nowMs) { return nowMs >= fromMs && nowMs < toMs ? factor : 1.0; };
}

/** Prints and returns the errors of an organisation. */
UsageError report(const UsageFleet& fleet, const std::string& title, size_t position, double fromMs, double toMs)
{
    const SimulatedOrganisation& organisation = fleet.organisations.at(position);
    UsageError error = fleet.error(organisation, fromMs, toMs);
    printf("%-52s cap %6.1f/s  highest/bound %.3f  lowest/rate %.3f  lost %.4f of %.0f shortage %.4f\n", title.c_str(), organisation.cap.requestsPerSecond, error.highest, error.lowest, error.lost, organisation.askedBelowCap, error.shortage);
    return error;
}

} // namespace

TEST(UsageCapTest, jumpsOfTheDemand)
{
    for (double usual : { 1.0, 3.0, 10.0, 30.0, 100.0, 200.0 }) {
        for (size_t vms : { size_t(1), size_t(2), size_t(10), size_t(70), fleetSize }) {
            UsageFleet fleet(fleetSize, testSeed(7));
            fleet.add(organisationOf("o", usual, firstVms(vms), jump(7.5, 10000, 25000)));
            fleet.runUntil(fleet.startMs + 40000);
            std::string title = "jump, usual " + std::to_string(static_cast<int>(usual)) + "/s on " + std::to_string(vms) + " VMs";
            UsageError error = report(fleet, title, 0, 0, 40000);
            EXPECT_LE(error.highest, 1.0) << title;
            EXPECT_LE(error.shortage, usual > 10 ? 0.05 : 0.15) << title;
        }
    }
}

TEST(UsageCapTest, usualDemand)
{
    UsageFleet fleet(fleetSize, testSeed(7));
    RandomSource random(3);
    for (int i = 0; i < 80; i++) {
        std::vector<size_t> vms { random.below(fleetSize) };
        if (i % 2)
            vms.push_back(random.below(fleetSize));
        fleet.add(organisationOf("small " + std::to_string(i), 1, vms, jump(1, 0, 0)));
    }
    for (int i = 0; i < 6; i++)
        fleet.add(organisationOf("large " + std::to_string(i), 50 + 30 * i, firstVms(fleetSize), jump(1, 0, 0)));
    fleet.runUntil(fleet.startMs + 60000);
    double asked = 0;
    double refused = 0;
    for (size_t i = 0; i < fleet.organisations.size(); i++) {
        const SimulatedOrganisation& organisation = fleet.organisations[i];
        EXPECT_LE(fleet.error(organisation, 0, 60000).highest, 1.0) << organisation.name;
        asked += organisation.askedBelowCap;
        refused += organisation.lostBelowCap;
        if (i == 79 || i == 85) {
            printf("%s refused below the cap: %.0f of %.0f (%.4f)\n", i == 79 ? "80 organisations of 1/s" : "6 organisations of 50/s to 200/s", refused, asked, refused / asked);
            EXPECT_LT(refused, asked * 0.01);
            asked = refused = 0;
        }
    }
}

TEST(UsageCapTest, aVmThatGetsTheFirstRequestsOfAnOrganisation)
{
    for (double usual : { 1.0, 10.0, 200.0 }) {
        UsageFleet fleet(fleetSize, testSeed(7));
        fleet.add(organisationOf("o", usual, firstVms(usual > 10 ? 100 : 2), [](double nowMs) { return nowMs < 8000 ? 0.0 : 1.0; }));
        fleet.runUntil(fleet.startMs + 10000);
        for (size_t& vm : fleet.organisations[0].vms)
            vm += 40 - (usual > 10 ? 0 : 10);
        fleet.runUntil(fleet.startMs + 14000);
        UsageError error = report(fleet, "first requests, moved after 2 s, " + std::to_string(static_cast<int>(usual)) + "/s", 0, 0, 14000);
        EXPECT_LE(error.lost, 0.005);
    }
}

TEST(UsageCapTest, loweredCap)
{
    for (double usual : { 10.0, 200.0 }) {
        UsageFleet fleet(fleetSize, testSeed(7));
        fleet.add(organisationOf("o", usual, firstVms(fleetSize), jump(1, 0, 0)));
        fleet.runUntil(fleet.startMs + 10000);
        fleet.organisations[0].cap = { usual / 4, usual / 4 };
        fleet.updateCaps();
        fleet.runUntil(fleet.startMs + 30000);
        UsageError error = report(fleet, "cap lowered to a quarter of the usual demand", 0, 15000, 30000);
        EXPECT_LE(error.highest, 1.0);
        // Of a cap of 2.5/s on 140 VMs, each VM gets a permit a minute.
        EXPECT_LE(error.shortage, usual > 10 ? 0.05 : 0.2);
    }
}

TEST(UsageCapTest, vmsWithoutContact)
{
    for (double factor : { 1.0, 7.5 }) {
        UsageFleet fleet(fleetSize, testSeed(7));
        fleet.add(organisationOf("o", 200, firstVms(fleetSize), jump(factor, 5000, 60000)));
        fleet.runUntil(fleet.startMs + 15000);
        for (size_t vm = 0; vm < fleetSize / 3; vm++)
            fleet.setConnected(vm, false);
        fleet.runUntil(fleet.startMs + 30000);
        for (size_t vm = 0; vm < fleetSize / 3; vm++)
            fleet.setConnected(vm, true);
        fleet.runUntil(fleet.startMs + 40000);
        UsageError error = report(fleet, "a third partitioned for 15 s, demand x " + std::to_string(factor), 0, 0, 40000);
        EXPECT_LE(error.highest, 1.0);
        EXPECT_LE(error.shortage, 0.1);
    }
}

TEST(UsageCapTest, killedAndRestartedVms)
{
    for (double factor : { 1.0, 7.5 }) {
        UsageFleet fleet(fleetSize, testSeed(7));
        fleet.add(organisationOf("o", 200, firstVms(fleetSize), jump(factor, 5000, 60000)));
        fleet.runUntil(fleet.startMs + 15000);
        for (size_t vm = 0; vm < fleetSize / 3; vm++)
            fleet.kill(vm);
        fleet.runUntil(fleet.startMs + 16500);
        for (size_t vm = 0; vm < fleetSize / 3; vm++)
            fleet.restart(vm);
        fleet.runUntil(fleet.startMs + 30000);
        UsageError error = report(fleet, "a third killed for 1.5 s, demand x " + std::to_string(factor), 0, 0, 30000);
        EXPECT_LE(error.highest, 1.0);
        EXPECT_LE(error.shortage, 0.05);
    }
}

TEST(UsageCapTest, changeOfLeader)
{
    for (double usual : { 10.0, 200.0 }) {
        for (double factor : { 1.0, 7.5 }) {
            for (double gapMs : { 0.0, 800.0 }) {
                UsageFleet fleet(fleetSize, testSeed(7));
                fleet.add(organisationOf("o", usual, firstVms(fleetSize), jump(factor, 5000, 60000)));
                fleet.runUntil(fleet.startMs + 15000);
                fleet.changeLeader(gapMs);
                fleet.runUntil(fleet.startMs + 30000);
                UsageError error = report(fleet, "new leader after " + std::to_string(static_cast<int>(gapMs)) + " ms, demand x " + std::to_string(factor), 0, 0, 30000);
                EXPECT_LE(error.highest, 1.0);
                EXPECT_LE(error.shortage, 0.05);
            }
        }
    }
}
