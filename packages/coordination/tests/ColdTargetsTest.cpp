/** @file ColdTargetsTest.cpp Guards against requests to a cold target without a permit, against a cold state that is missed or does not end, and against an effect on services without a limit. */
#include "../src/placement/ColdPermits.h"
#include "kingcup/ColdAnnouncement.h"
#include "kingcup/Router.h"
#include "kingcup/TargetSearch.h"

#include "testing/Story.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace kingcup;
using kingcup::testing::section;
using kingcup::testing::testSeed;

namespace {

const std::string coldAddress = "127.0.0.1:9000";
const std::vector<std::string> otherAddress { "127.0.0.1:9001" };

/** Router with two targets of two slots. */
struct ColdFixture {
    explicit ColdFixture(double coldRequestsPerSecond = 1, uint64_t recordedColdUntilMs = 0)
        : router(RoutingPolicy::Adaptive, "entry-1", "zone-0", RandomSource(testSeed(1)))
        , records(2)
    {
        this->service.coldRequestsPerSecond = coldRequestsPerSecond;
        for (size_t i = 0; i < 2; i++) {
            this->records[i].set_address(i ? otherAddress[0] : coldAddress);
            this->records[i].set_slots(2);
            this->records[i].set_incarnation(1);
            this->records[i].set_state(wire::TARGET_SERVING);
        }
        this->router.setVmsPerTarget(2);
        this->updateAt(0, recordedColdUntilMs);
    }

    /** Updates the table. @param coldUntilMs Cold time of the record, by the clock of the test. */
    void updateAt(double nowMs, uint64_t coldUntilMs)
    {
        constexpr uint64_t logOffsetMs = 5000;
        this->records[0].set_cold_until_log_ms(coldUntilMs ? coldUntilMs + logOffsetMs : 0);
        this->router.update(this->service, this->records, timeAt(nowMs), static_cast<uint64_t>(nowMs) + logOffsetMs);
    }

    bool isCold(double nowMs) const { return this->router.coldTargets(timeAt(nowMs)) == 1; }
    std::optional<Pick> pickCold(double nowMs) { return this->router.pick(otherAddress, timeAt(nowMs)); }

    Router router;
    Service service;
    std::vector<wire::TargetRecord> records;
};

} // namespace

TEST(ColdTargetsTest, permitsAreSpacedAndLapse)
{
    ColdPermits permits;
    permits.start(0.75, 0);
    EXPECT_NEAR(permits.nextPermitAt(2000, 400), 500, 0.001);
    EXPECT_FALSE(permits.takePermit(2000, 499));
    EXPECT_TRUE(permits.takePermit(2000, 749));
    permits.returnPermit();
    EXPECT_FALSE(permits.takePermit(2000, 751)) << "a returned permit lapses as if it had not been taken";
    EXPECT_TRUE(permits.takePermit(2000, 2501));
    EXPECT_FALSE(permits.takePermit(2000, 2502));
    int saved = 0;
    while (permits.takePermit(50, 100000))
        saved++;
    EXPECT_EQ(saved, 5) << "of a second without requests, the permits of 250 ms are left";
}

TEST(ColdTargetsTest, requestsNeedPermits)
{
    section("a target that a probe finds cold is used only with a permit, also as the last one, and as usual when the cold time is over", [] {
        ColdFixture fixture;
        std::optional<Pick> probed = fixture.pickCold(0);
        fixture.router.recordCold(coldAddress, 1, Milliseconds(3000), timeAt(0));
        EXPECT_FALSE(fixture.router.takeColdPermit(*probed, timeAt(0)));
        double next = fixture.router.timeUntilAccepted(timeAt(0)).value_or(Milliseconds(0)).count();
        ASSERT_GT(next, 0);
        ASSERT_LE(next, 2000) << "at most one interval";
        EXPECT_FALSE(fixture.pickCold(next - 1));
        std::optional<Pick> pick = fixture.pickCold(next + 1);
        ASSERT_TRUE(pick);
        EXPECT_TRUE(fixture.router.takeColdPermit(*pick, timeAt(next + 1))) << "the pick holds a permit";
        EXPECT_FALSE(fixture.pickCold(next + 2));
        fixture.router.abandon(*pick, timeAt(next + 3));
        EXPECT_TRUE(fixture.pickCold(next + 4)) << "the attempt was not sent";
        for (int i = 0; i < 20; i++)
            EXPECT_TRUE(fixture.pickCold(3001));
    });
    section("a probe that states 0 ends the cold state; a statement of another incarnation changes nothing; long times are cut", [] {
        ColdFixture fixture;
        fixture.router.recordCold(coldAddress, 2, Milliseconds(3000), timeAt(0));
        EXPECT_FALSE(fixture.isCold(1));
        fixture.router.recordCold(coldAddress, 1, Milliseconds(1e12), timeAt(0));
        EXPECT_TRUE(fixture.isCold(59000));
        EXPECT_FALSE(fixture.isCold(60001));
        fixture.router.recordCold(coldAddress, 1, Milliseconds(0), timeAt(10));
        EXPECT_FALSE(fixture.isCold(11));
    });
    section("both limits apply at once, and a permit of one is not lost for want of the other", [] {
        ColdFixture fixture;
        fixture.router.recordLimit(coldAddress, 1, 0, timeAt(0));
        double named = fixture.router.timeUntilAccepted(timeAt(0)).value_or(Milliseconds(0)).count() + 1;
        EXPECT_TRUE(fixture.pickCold(named));
        fixture.router.recordCold(coldAddress, 1, Milliseconds(60000), timeAt(named));
        for (double later = 0; later < 10000; later += 100)
            EXPECT_FALSE(fixture.pickCold(named + later)) << "the named limit allows one request in 14 s";
        fixture.router.clearLimit(coldAddress, 1);
        double next = named + 10000 + fixture.router.timeUntilAccepted(timeAt(named + 10000)).value_or(Milliseconds(0)).count();
        EXPECT_TRUE(fixture.pickCold(next + 0.001));
    });
    section("the concurrency limit counts the slots that the permitted requests occupy", [] {
        ColdFixture fixture(10);
        fixture.router.finish(*fixture.pickCold(0), AttemptOutcome::Answered, Milliseconds(50), timeAt(50));
        fixture.router.abandon(*fixture.pickCold(100), timeAt(100));
        EXPECT_EQ(fixture.router.usableSlots(timeAt(100)), 4u);
        fixture.router.recordCold(coldAddress, 1, Milliseconds(3000), timeAt(100));
        EXPECT_EQ(fixture.router.usableSlots(timeAt(101)), 3u);
    });
}

TEST(ColdTargetsTest, recordsTellColdTimes)
{
    section("a VM that starts with an empty table, and one that knows the target, learn the cold time of a record", [] {
        EXPECT_TRUE(ColdFixture(1, 3000).isCold(2999));
        ColdFixture fixture;
        fixture.updateAt(100, 3000);
        EXPECT_TRUE(fixture.isCold(2999));
        EXPECT_FALSE(fixture.isCold(3001));
    });
    section("a record that was applied does not undo a later statement of the target, also while the target is out of the table", [] {
        ColdFixture fixture(1, 3000);
        fixture.router.recordCold(coldAddress, 1, Milliseconds(0), timeAt(100));
        fixture.updateAt(200, 3000);
        EXPECT_FALSE(fixture.isCold(201));
        fixture.router.recordCold(coldAddress, 1, Milliseconds(2000), timeAt(300));
        fixture.router.update(fixture.service, { fixture.records[1] }, timeAt(400), 5400);
        fixture.updateAt(500, 0);
        EXPECT_TRUE(fixture.isCold(501));
    });
    section("without a limit, a cold target is used as before", [] {
        ColdFixture fixture(0, 3000);
        fixture.router.recordCold(otherAddress[0], 1, Milliseconds(3000), timeAt(0));
        for (int i = 0; i < 20; i++)
            EXPECT_FALSE(fixture.pickCold(i)->hasColdPermit);
        EXPECT_EQ(fixture.router.coldTargets(timeAt(1)), 0u);
        EXPECT_EQ(fixture.router.usableSlots(timeAt(1)), 4u);
        EXPECT_EQ(fixture.router.timeUntilAccepted(timeAt(1)), std::nullopt);
        EXPECT_EQ(fixture.router.pick(std::vector { coldAddress }, timeAt(1))->reason.coldFactor, 1);
    });
    section("control records a target that is cold again, but not each announcement while it stays cold", [] {
        EXPECT_TRUE(isColdAgain(3000, 0, 10000));
        EXPECT_TRUE(isColdAgain(3000, 11000, 10000));
        EXPECT_FALSE(isColdAgain(1500, 11400, 10000)) << "the announcement took 100 ms longer than the recorded one";
        EXPECT_FALSE(isColdAgain(300, 0, 10000));
    });
}

// In a zone that has become cold, the first targets of a round may all be cold. The request must still find one of another zone.
TEST(ColdTargetsTest, coldTargetsDoNotUseUpTheSearch)
{
    TargetSearchLimits limits;
    limits.latestStart = timeAt(10);
    TargetSearch search(limits);
    for (int i = 0; i < 9; i++)
        EXPECT_EQ(search.recordColdTarget(search.addTarget(timeAt(2.0 * i)), timeAt(2.0 * i + 1)), SearchStep::Probe) << i;
    EXPECT_EQ(search.recordAnswer(search.addTarget(timeAt(20)), { 1, 2 }, 1, timeAt(21)), SearchStep::Send);
    EXPECT_EQ(search.best(), 9u);
}
