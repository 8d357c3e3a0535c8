/** @file RouterTest.cpp Checks that the router spreads load, avoids failing and slow targets, counts attempts and uses only eligible targets. */
#include "kingcup/Router.h"

#include "testing/Story.h"

#include <atomic>
#include <gtest/gtest.h>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

using namespace kingcup;
using kingcup::testing::section;
using kingcup::testing::testSeed;

namespace {

constexpr RoutingPolicy allPolicies[] = { RoutingPolicy::Random, RoutingPolicy::RoundRobin, RoutingPolicy::LeastOutstanding,
    RoutingPolicy::PowerOfTwo, RoutingPolicy::PeakEwma, RoutingPolicy::HotCold, RoutingPolicy::Adaptive };

std::string addressOf(uint32_t target)
{
    return "127.0.0.1:" + std::to_string(9000 + target);
}

/** Makes records of serving targets with four slots each, spread over three zones. */
std::vector<wire::TargetRecord> makeTargets(uint32_t count)
{
    std::vector<wire::TargetRecord> records(count);
    for (uint32_t i = 0; i < count; ++i) {
        records[i].set_address(addressOf(i));
        records[i].set_availability_zone("zone-" + std::to_string(i % 3));
        records[i].set_slots(4);
        records[i].set_incarnation(1);
        records[i].set_state(wire::TARGET_SERVING);
    }
    return records;
}

/** Returns the targets in the dump of a router. */
nlohmann::json dumpedTargets(const Router& router, double nowMs)
{
    return nlohmann::json::parse(router.dump(timeAt(nowMs)))["targets"];
}

/** Router with its targets and a simulated clock. */
struct RouterFixture {
    explicit RouterFixture(uint32_t targets, RoutingPolicy policy = RoutingPolicy::Adaptive)
        : router(policy, "entry-1", "zone-0", RandomSource(testSeed(1)))
        , records(makeTargets(targets))
    {
        this->router.update(this->service, this->records, timeAt(0));
    }

    /** Runs attempts of 1 ms one after the other. Returns the number of attempts per address. @param outcome Returns the outcome and latency for an address. */
    template <typename Outcome>
    std::map<std::string, int> runAttempts(int attempts, Outcome outcome)
    {
        std::map<std::string, int> chosen;
        for (int i = 0; i < attempts; ++i) {
            std::optional<Pick> pick = this->router.pick({}, timeAt(this->nowMs));
            ++chosen[pick->address];
            auto [result, latencyMs] = outcome(pick->address);
            this->nowMs += 1;
            this->router.finish(*pick, result, Milliseconds(latencyMs), timeAt(this->nowMs));
        }
        return chosen;
    }

    Router router;
    Service service;
    std::vector<wire::TargetRecord> records;
    double nowMs = 1;
};

std::pair<AttemptOutcome, double> answerIn5Ms(const std::string&)
{
    return { AttemptOutcome::Answered, 5 };
}

} // namespace

TEST(RouterTest, everyPolicyUsesOnlyEligibleTargets)
{
    for (RoutingPolicy policy : allPolicies) {
        section("policy " + std::to_string(static_cast<int>(policy)), [&] {
            RouterFixture fixture(6, policy);
            fixture.records[0].set_state(wire::TARGET_DRAINING);
            fixture.records[1].set_state(wire::TARGET_STARTING);
            fixture.router.update(fixture.service, fixture.records, timeAt(0));
            std::vector<std::string> excluded { addressOf(2), addressOf(3) };
            std::set<std::string> chosen;
            for (int i = 0; i < 100; ++i)
                chosen.insert(fixture.router.pick(excluded, timeAt(i))->address);
            EXPECT_EQ(chosen, (std::set<std::string> { addressOf(4), addressOf(5) }));
            for (const char* more : { "127.0.0.1:9004", "127.0.0.1:9005" })
                excluded.emplace_back(more);
            EXPECT_FALSE(fixture.router.pick(excluded, timeAt(100)));
            EXPECT_EQ(fixture.router.outstanding(), 100u);
            EXPECT_EQ(fixture.router.usableSlots(timeAt(100)), 16u);
            fixture.router.update(fixture.service, {}, timeAt(100));
            EXPECT_FALSE(fixture.router.pick({}, timeAt(100)));
        });
    }
}

TEST(RouterTest, countsAttemptsOfChangingTargets)
{
    RouterFixture fixture(1);
    std::optional<Pick> old = fixture.router.pick({}, timeAt(0));
    section("the end of an attempt on an old incarnation does not change the counts of the new one", [&] {
        fixture.records[0].set_incarnation(2);
        fixture.router.update(fixture.service, fixture.records, timeAt(1));
        std::optional<Pick> current = fixture.router.pick({}, timeAt(1));
        EXPECT_EQ(current->incarnation, 2u);
        fixture.router.finish(*old, AttemptOutcome::ConnectionLost, Milliseconds(1), timeAt(2));
        EXPECT_EQ(fixture.router.outstanding(), 1u);
        EXPECT_EQ(dumpedTargets(fixture.router, 2)[0]["outstanding"], 1);
        fixture.router.finish(*current, AttemptOutcome::Answered, Milliseconds(1), timeAt(2));
    });
    section("the end of an attempt on a draining target is counted", [&] {
        std::optional<Pick> pick = fixture.router.pick({}, timeAt(3));
        fixture.records[0].set_state(wire::TARGET_DRAINING);
        fixture.router.update(fixture.service, fixture.records, timeAt(3));
        EXPECT_EQ(dumpedTargets(fixture.router, 3)[0]["outstanding"], 1);
        fixture.router.finish(*pick, AttemptOutcome::Answered, Milliseconds(1), timeAt(4));
        EXPECT_EQ(dumpedTargets(fixture.router, 4)[0]["outstanding"], 0);
        EXPECT_EQ(fixture.router.outstanding(), 0u);
    });
}

TEST(RouterTest, ejectsWithinBounds)
{
    section("a target that fails fast does not attract requests, and is tried again later", [] {
        RouterFixture fixture(6);
        fixture.runAttempts(600, answerIn5Ms);
        bool isHealthy = false;
        auto failFirstTarget = [&](const std::string& address) {
            bool isFailing = address == addressOf(0) && !isHealthy;
            return std::pair(isFailing ? AttemptOutcome::ServerError : AttemptOutcome::Answered, isFailing ? 0.1 : 5);
        };
        EXPECT_LE(fixture.runAttempts(900, failFirstTarget)[addressOf(0)], 15);
        isHealthy = true;
        fixture.runAttempts(30000, failFirstTarget);
        EXPECT_GE(fixture.runAttempts(1000, failFirstTarget)[addressOf(0)], 50);
    });
    section("a failed connection ejects a target at once, but never more than the configured share", [] {
        RouterFixture fixture(6);
        auto failToConnect = [](const std::string&) { return std::pair(AttemptOutcome::ConnectFailed, 0.1); };
        fixture.runAttempts(1, failToConnect);
        EXPECT_EQ(fixture.router.usableSlots(timeAt(fixture.nowMs)), 20u);
        fixture.runAttempts(50, failToConnect);
        EXPECT_EQ(fixture.router.usableSlots(timeAt(fixture.nowMs)), 12u);
        EXPECT_TRUE(fixture.router.pick({}, timeAt(fixture.nowMs)));
    });
    section("an address at which another instance answers is not used, even if all other targets are excluded", [] {
        RouterFixture fixture(3);
        std::vector<std::string> excluded;
        std::optional<Pick> replaced = fixture.router.pick({}, timeAt(1000));
        ASSERT_TRUE(replaced);
        fixture.router.markInstanceGone(*replaced);
        for (int i = 0; i < 2; ++i) {
            std::optional<Pick> pick = fixture.router.pick(excluded, timeAt(1001));
            ASSERT_TRUE(pick);
            EXPECT_NE(pick->address, replaced->address);
            excluded.push_back(pick->address);
        }
        EXPECT_FALSE(fixture.router.pick(excluded, timeAt(1001)));
    });
    section("the effect of a single failure decays", [] {
        RouterFixture fixture(6);
        int remainingFailures = 1;
        auto failOnce = [&](const std::string&) {
            return std::pair(remainingFailures-- > 0 ? AttemptOutcome::ServerError : AttemptOutcome::Answered, 5.0);
        };
        fixture.runAttempts(10000, failOnce);
        for (const auto& target : dumpedTargets(fixture.router, fixture.nowMs))
            EXPECT_LT(target["recentFailures"], 0.05);
    });
}

TEST(RouterTest, avoidsSlowAndColdTargets)
{
    auto slowFirstTarget = [](const std::string& address) { return std::pair(AttemptOutcome::Answered, address == addressOf(0) ? 60.0 : 5.0); };
    section("a slow target gets few requests", [&] {
        RouterFixture fixture(6);
        EXPECT_LE(fixture.runAttempts(2000, slowFirstTarget)[addressOf(0)], 100);
    });
    section("a slow target gets few requests even if it reports a low latency", [&] {
        RouterFixture fixture(6);
        std::map<std::string, int> chosen;
        for (int i = 0; i < 2000; ++i) {
            fixture.router.recordReport(addressOf(0), LoadReport { 0, 4, 0.5 }, Milliseconds(0), timeAt(fixture.nowMs));
            chosen[addressOf(0)] += fixture.runAttempts(1, slowFirstTarget)[addressOf(0)];
        }
        EXPECT_LE(chosen[addressOf(0)], 150);
    });
    section("a target with an unanswered call gets no requests even before the call times out", [] {
        RouterFixture fixture(3);
        fixture.runAttempts(300, answerIn5Ms);
        std::vector<std::string> others { addressOf(1), addressOf(2) };
        fixture.router.pick(others, timeAt(fixture.nowMs));
        fixture.nowMs += 100;
        EXPECT_EQ(fixture.runAttempts(200, answerIn5Ms)[addressOf(0)], 0);
    });
    section("a target that joins gets less than its share at first", [&] {
        RouterFixture fixture(6);
        fixture.runAttempts(300, answerIn5Ms);
        fixture.records[0].set_incarnation(2);
        fixture.router.update(fixture.service, fixture.records, timeAt(fixture.nowMs));
        int cold = fixture.runAttempts(100, answerIn5Ms)[addressOf(0)];
        fixture.runAttempts(5000, answerIn5Ms);
        EXPECT_LT(cold, fixture.runAttempts(100, answerIn5Ms)[addressOf(0)]);
    });
}

TEST(RouterTest, usesReportsAndZones)
{
    section("a report of high load diverts requests, and an older report that arrives later is ignored", [] {
        RouterFixture fixture(3);
        fixture.runAttempts(300, answerIn5Ms);
        fixture.router.recordReport(addressOf(0), LoadReport { 40, 4, 50 }, Milliseconds(0), timeAt(fixture.nowMs));
        fixture.router.recordReport(addressOf(0), LoadReport { 0, 4, 1 }, Milliseconds(100), timeAt(fixture.nowMs));
        EXPECT_LE(fixture.runAttempts(10, answerIn5Ms)[addressOf(0)], 1);
    });
    section("targets of the own zone are preferred until they are busier than others", [] {
        RouterFixture fixture(9);
        std::map<std::string, int> idle = fixture.runAttempts(900, answerIn5Ms);
        EXPECT_GE(idle[addressOf(0)] + idle[addressOf(3)] + idle[addressOf(6)], 800);
        int local = 0;
        for (int i = 0; i < 36; ++i)
            local += (std::stoi(fixture.router.pick({}, timeAt(fixture.nowMs))->address.substr(10)) - 9000) % 3 == 0;
        EXPECT_LE(local, 24);
    });
    section("targets with the oldest load report are probed first", [] {
        RouterFixture fixture(3);
        for (uint32_t target : { 1u, 0u })
            fixture.router.recordReport(addressOf(target), LoadReport { 1, 4, 1 }, Milliseconds(0), timeAt(++fixture.nowMs));
        EXPECT_EQ(fixture.router.leastRecentlyReported(2, timeAt(10)), (std::vector<std::string> { addressOf(2), addressOf(1) }));
    });
    section("a subset keeps its size, and replaces only the target that drains", [] {
        RouterFixture fixture(300);
        auto usedAddresses = [&] {
            auto addresses = fixture.router.leastRecentlyReported(1000, timeAt(0));
            return std::set<std::string>(addresses.begin(), addresses.end());
        };
        std::set<std::string> before = usedAddresses();
        EXPECT_EQ(before.size(), 20u);
        fixture.records[std::stoul(before.begin()->substr(10)) - 9000].set_state(wire::TARGET_DRAINING);
        fixture.router.update(fixture.service, fixture.records, timeAt(1));
        std::set<std::string> after = usedAddresses();
        EXPECT_EQ(after.size(), 20u);
        std::erase_if(after, [&](const std::string& address) { return before.contains(address); });
        EXPECT_EQ(after.size(), 1u);
    });
    section("observations are sorted by deviation, and old ones are dropped", [] {
        RouterFixture fixture(6);
        fixture.runAttempts(600, [](const std::string& address) { return std::pair(AttemptOutcome::Answered, address == addressOf(3) ? 20.0 : 5.0); });
        std::vector<wire::TargetLoad> observations = fixture.router.observations(timeAt(fixture.nowMs));
        ASSERT_FALSE(observations.empty());
        EXPECT_EQ(observations[0].target().address(), addressOf(3));
        EXPECT_TRUE(fixture.router.observations(timeAt(fixture.nowMs + 60000)).empty());
    });
}

TEST(RouterTest, isThreadSafe)
{
    RouterFixture fixture(12);
    std::atomic<bool> isStopping { false };
    auto runWorker = [&] {
        for (int i = 0; i < 20000; ++i) {
            std::optional<Pick> pick = fixture.router.pick({}, timeAt(i * 0.1));
            fixture.router.recordReport(pick->address, LoadReport { 1, 4, 5 }, Milliseconds(1), timeAt(i * 0.1));
            fixture.router.finish(*pick, i % 100 ? AttemptOutcome::Answered : AttemptOutcome::ServerError, Milliseconds(5), timeAt(i * 0.1));
        }
    };
    std::thread updater([&] {
        for (uint64_t incarnation = 2; !isStopping; ++incarnation) {
            fixture.records[incarnation % 12].set_incarnation(incarnation);
            fixture.router.update(fixture.service, fixture.records, timeAt(1));
        }
    });
    std::vector<std::thread> threads(4);
    for (std::thread& thread : threads)
        thread = std::thread(runWorker);
    for (std::thread& thread : threads)
        thread.join();
    isStopping = true;
    updater.join();
    section("no attempt is lost or counted twice while the table changes", [&] {
        EXPECT_EQ(fixture.router.outstanding(), 0u);
        for (const auto& target : dumpedTargets(fixture.router, 2000))
            EXPECT_EQ(target["outstanding"], 0);
    });
}

TEST(RouterTest, parsesLoadReports)
{
    std::optional<LoadReport> report = parseLoadReport("inflight=3, slots=6, latency-ms=4.5, later=x");
    ASSERT_TRUE(report);
    EXPECT_EQ(report->inFlight, 3u);
    EXPECT_EQ(report->slots, 6u);
    EXPECT_EQ(report->latencyMs, 4.5);
    EXPECT_TRUE(parseLoadReport(" inflight = 0 "));
    for (const char* malformed : { "", "slots=6", "inflight=-1", "inflight=x", "inflight=99999999999", "inflight=1,latency-ms=nan", "inflight=1,latency-ms=-2", "inflight" })
        EXPECT_FALSE(parseLoadReport(malformed)) << malformed;
    EXPECT_FALSE(parseLoadReport("inflight=1," + std::string(1000, 'x')));
}

// A target that leaves says so in its answers, and one that turns requests away may ask for a pause. Control may know neither.
TEST(RouterTest, heedsWhatTargetsStateInAnswers)
{
    section("a leaving target gets no further attempt while another is left", [] {
        RouterFixture fixture(3);
        EXPECT_TRUE(fixture.router.recordLeaving(addressOf(0), 1, timeAt(1)));
        EXPECT_FALSE(fixture.router.recordLeaving(addressOf(0), 1, timeAt(2))) << "not the first statement";
        EXPECT_EQ(fixture.runAttempts(300, answerIn5Ms).count(addressOf(0)), 0u);
    });
    section("an ejected target is used rather than a leaving one, and a leaving one for a second when none else is left", [] {
        RouterFixture fixture(2);
        fixture.router.recordLeaving(addressOf(0), 1, timeAt(1));
        std::optional<Pick> failing = fixture.router.pick({}, timeAt(1));
        fixture.router.finish(*failing, AttemptOutcome::ConnectFailed, Milliseconds(1), timeAt(2));
        EXPECT_EQ(fixture.router.pick({}, timeAt(3))->address, addressOf(1));
        std::vector<std::string> excluded { addressOf(1) };
        EXPECT_EQ(fixture.router.pick(excluded, timeAt(900))->address, addressOf(0));
        EXPECT_EQ(fixture.router.pick(excluded, timeAt(1002)), std::nullopt);
    });
    section("a service whose targets all leave is refused after that second", [] {
        RouterFixture fixture(3);
        for (uint32_t target = 0; target < 3; ++target)
            fixture.router.recordLeaving(addressOf(target), 1, timeAt(1));
        EXPECT_TRUE(fixture.router.pick({}, timeAt(500)));
        EXPECT_FALSE(fixture.router.pick({}, timeAt(1500)));
        EXPECT_EQ(fixture.router.timeUntilAccepted(timeAt(1500)), std::nullopt);
    });
    section("the statement holds when the target returns to the table, and ends with the incarnation", [] {
        RouterFixture fixture(2);
        fixture.router.recordLeaving(addressOf(0), 1, timeAt(1));
        std::vector<wire::TargetRecord> others { fixture.records[1] };
        for (double nowMs : { 2.0, 3.0 })
            fixture.router.update(fixture.service, others, timeAt(nowMs));
        fixture.router.update(fixture.service, fixture.records, timeAt(4));
        fixture.nowMs = 2000;
        EXPECT_EQ(fixture.runAttempts(100, answerIn5Ms).count(addressOf(0)), 0u);
        EXPECT_FALSE(fixture.router.recordLeaving(addressOf(0), 2, timeAt(2100))) << "of an incarnation that is not in use";
        fixture.records[0].set_incarnation(2);
        fixture.router.update(fixture.service, fixture.records, timeAt(2200));
        fixture.nowMs = 6000;
        EXPECT_GT(fixture.runAttempts(100, answerIn5Ms).count(addressOf(0)), 0u);
    });
    section("a target that asks for a pause gets nothing before its end, also when none else is left", [] {
        RouterFixture fixture(2);
        fixture.router.recordRetryAfter(addressOf(0), 1, Milliseconds(1500), timeAt(0));
        fixture.router.recordRetryAfter(addressOf(0), 1, Milliseconds(100), timeAt(1));
        std::vector<std::string> excluded { addressOf(1) };
        EXPECT_FALSE(fixture.router.pick(excluded, timeAt(1499))) << "a shorter pause does not end the longer one";
        EXPECT_EQ(fixture.router.timeUntilAccepted(timeAt(1000)), Milliseconds(500));
        EXPECT_EQ(fixture.router.leastRecentlyReported(2, timeAt(1000)), std::vector<std::string> { addressOf(1) });
        EXPECT_TRUE(fixture.router.pick(excluded, timeAt(1501)));
    });
    section("an absurd pause ends after a minute", [] {
        RouterFixture fixture(1);
        fixture.router.recordRetryAfter(addressOf(0), 1, Milliseconds(1e12), timeAt(0));
        EXPECT_FALSE(fixture.router.pick({}, timeAt(59000)));
        EXPECT_TRUE(fixture.router.pick({}, timeAt(60001)));
    });
}

// A target in need names the requests a second that it accepts from all VMs together.
TEST(RouterTest, keepsToTheLimitThatATargetNames)
{
    constexpr double vms = 10;
    section("a target at its limit is not chosen, also when none else is left, and the time until its next permit is known", [] {
        RouterFixture fixture(2);
        fixture.router.setVmsPerTarget(vms);
        fixture.router.recordLimit(addressOf(0), 1, 1, timeAt(0));
        std::vector<std::string> excluded { addressOf(1) };
        double next = fixture.router.timeUntilAccepted(timeAt(0)).value_or(Milliseconds(0)).count();
        EXPECT_FALSE(fixture.router.pick(excluded, timeAt(next - 1)));
        EXPECT_EQ(fixture.router.leastRecentlyReported(2, timeAt(next - 1)), std::vector<std::string> { addressOf(1) });
        EXPECT_TRUE(fixture.router.pick(excluded, timeAt(next + 1)));
        EXPECT_FALSE(fixture.router.pick(excluded, timeAt(next + 1000))) << "the permit is taken";
    });
    section("an attempt that was abandoned does not count", [] {
        RouterFixture fixture(1);
        fixture.router.setVmsPerTarget(vms);
        fixture.router.recordLimit(addressOf(0), 1, 1, timeAt(0));
        std::optional<Pick> pick = fixture.router.pick({}, timeAt(20000));
        ASSERT_TRUE(pick);
        EXPECT_TRUE(pick->hasPermit);
        fixture.router.abandon(*pick, timeAt(20001));
        EXPECT_TRUE(fixture.router.pick({}, timeAt(20002)));
        EXPECT_EQ(fixture.router.outstanding(), 1u);
    });
    section("an attempt that began before the limit was named gives no permit back", [] {
        RouterFixture fixture(1);
        fixture.router.setVmsPerTarget(vms);
        std::optional<Pick> pick = fixture.router.pick({}, timeAt(0));
        fixture.router.recordLimit(addressOf(0), 1, 1, timeAt(1));
        std::optional<Milliseconds> before = fixture.router.timeUntilAccepted(timeAt(2));
        fixture.router.abandon(*pick, timeAt(2));
        EXPECT_EQ(fixture.router.timeUntilAccepted(timeAt(2)), before);
    });
    section("the limit of another incarnation changes nothing, and a cleared one ends at once", [] {
        RouterFixture fixture(1);
        fixture.router.recordLimit(addressOf(0), 2, 0, timeAt(0));
        EXPECT_TRUE(fixture.router.pick({}, timeAt(1)));
        fixture.router.recordLimit(addressOf(0), 1, 0, timeAt(2));
        EXPECT_FALSE(fixture.router.pick({}, timeAt(2)));
        fixture.router.clearLimit(addressOf(0), 1);
        EXPECT_TRUE(fixture.router.pick({}, timeAt(3)));
    });
    section("an unknown number of VMs leaves the earlier one in effect", [] {
        RouterFixture fixture(1);
        fixture.router.setVmsPerTarget(vms);
        fixture.router.setVmsPerTarget(0);
        fixture.router.recordLimit(addressOf(0), 1, 1, timeAt(0));
        EXPECT_TRUE(fixture.router.pick({}, timeAt(20000)));
        EXPECT_FALSE(fixture.router.pick({}, timeAt(25000)));
    });
}
