/** @file ZoneTransferTest.cpp Guards against requests that leave the zone without need or stay in a zone without targets, and against other choices while the settings do not ask for a decision. */
#include "kingcup/ZoneTransfer.h"
#include "kingcup/Router.h"

#include "testing/Story.h"

#include <deque>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace kingcup;
using kingcup::testing::section;

namespace {

/** Returns equal reports of targets with two slots. */
ZoneReports reports(size_t count, double calls)
{
    return { std::vector<ReportedTarget>(count, { calls, 2, 1 }), count, count };
}

/** Applies the same reports for a time. */
void updateFor(ZoneTransfer& transfer, const ZoneReports& local, const ZoneReports& remote, double fromMs, double toMs)
{
    for (double ms = fromMs; ms < toMs; ms += 50)
        transfer.update({ local, remote, 100 }, ms);
}

std::vector<wire::TargetRecord> makeTargets()
{
    std::vector<wire::TargetRecord> records(6);
    for (size_t i = 0; i < records.size(); ++i) {
        records[i].set_address("127.0.0.1:" + std::to_string(i + 1));
        records[i].set_availability_zone(i < 3 ? "home" : "other");
        records[i].set_slots(2);
        records[i].set_incarnation(1);
        records[i].set_state(wire::TARGET_SERVING);
    }
    return records;
}

} // namespace

TEST(ZoneTransferTest, costIsTheRoundTripAndThePriceOfTheBytes)
{
    ZoneTransfer transfer({ 1.8, 0.02, 0.0001 });
    EXPECT_DOUBLE_EQ(transfer.costMs(), 1.8);
    transfer.recordBytes(20000);
    EXPECT_DOUBLE_EQ(transfer.costMs(), 5.8);
}

TEST(ZoneTransferTest, shareFollowsTheReports)
{
    ZoneTransfer transfer({ 1.8, 0, 1 });
    section("a single report moves it by a small step only", [&] {
        updateFor(transfer, reports(14, 4), reports(6, 0), 0, 100);
        EXPECT_GT(transfer.state().share, 0);
        EXPECT_LT(transfer.state().share, 0.1);
    });
    section("it rises to the share that fits into the free slots of the others", [&] {
        updateFor(transfer, reports(14, 4), reports(6, 0), 100, 5000);
        EXPECT_NEAR(transfer.state().share, 12.0 / 56, 1e-6);
        EXPECT_EQ(transfer.state().share, transfer.state().maxShare);
    });
    section("it falls to 0 when both are equal", [&] {
        updateFor(transfer, reports(14, 1), reports(6, 1), 5000, 30000);
        EXPECT_EQ(transfer.state().share, 0);
    });
    section("full targets elsewhere get nothing", [&] {
        updateFor(transfer, reports(14, 6), reports(6, 2), 30000, 40000);
        EXPECT_LT(transfer.state().share, 1e-6);
    });
    section("a zone without usable targets sends everything at once", [&] {
        transfer.update({ {}, reports(6, 2), 100 }, 40050);
        EXPECT_EQ(transfer.state().share, 1);
    });
}

TEST(ZoneTransferTest, laterChoicesOfARequestLeaveMoreReadily)
{
    ZoneTransfer transfer({ 1.8, 0, 1 });
    ZoneReports local = reports(14, 0);
    local.targets[0].calls = 2;
    updateFor(transfer, local, reports(6, 0), 0, 2000);
    EXPECT_FALSE(transfer.considersRemote(0, 0));
    EXPECT_TRUE(transfer.considersRemote(0, 2));
}

TEST(ZoneTransferTest, routerAppliesTheShare)
{
    Service service;
    Router fixed(RoutingPolicy::Adaptive, "entry-1", "home", RandomSource(7));
    Router decided(RoutingPolicy::Adaptive, "entry-1", "home", RandomSource(7));
    decided.setZoneTransfer({ 1.8, 0, 1 });
    for (Router* router : { &fixed, &decided })
        router->update(service, makeTargets(), timeAt(0));
    // Eight attempts are in flight at a time, so that the loads of the targets differ.
    auto pickMany = [](Router& router, double atMs) {
        std::string chosen;
        std::deque<Pick> inFlight;
        for (int i = 0; i < 64; ++i) {
            inFlight.push_back(*router.pick({}, timeAt(atMs + i)));
            chosen += inFlight.back().address.back();
            if (inFlight.size() < 8)
                continue;
            router.finish(inFlight.front(), AttemptOutcome::Answered, Milliseconds(100), timeAt(atMs + i));
            inFlight.pop_front();
        }
        return chosen;
    };
    section("without the settings, the same seed gives the choices of the earlier version", [&] {
        EXPECT_EQ(pickMany(fixed, 1), "3215646644213516243135262413315224165331242615312436251123456312");
        EXPECT_FALSE(fixed.zoneTransfer());
        EXPECT_FALSE(nlohmann::json::parse(fixed.dump(timeAt(100))).contains("zoneTransfer"));
    });
    section("with them, requests stay in a zone that is not busy", [&] {
        EXPECT_EQ(pickMany(decided, 1).find_first_of("456"), std::string::npos);
        EXPECT_EQ(nlohmann::json::parse(decided.dump(timeAt(100)))["zoneTransfer"]["share"], 0);
    });
    section("they leave a zone whose targets all leave", [&] {
        for (const char* address : { "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3" })
            decided.recordLeaving(address, 1, timeAt(200));
        std::optional<Pick> pick = decided.pick({}, timeAt(300));
        EXPECT_EQ(pick->reason.zone, ZoneReason::NoLocal);
        EXPECT_GE(pick->address, "127.0.0.1:4");
        EXPECT_EQ(decided.zoneTransfer()->share, 1);
    });
}
