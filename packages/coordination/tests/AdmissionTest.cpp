/** @file AdmissionTest.cpp Guards admission against starvation, late starts, lost requests and wrong retry times. */
#include "kingcup/Admission.h"

#include "kingcup/RandomSource.h"
#include "testing/Story.h"

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <map>

using namespace kingcup;
using kingcup::testing::section;
using kingcup::testing::testSeed;

namespace {

/** Simulates a service with a fixed number of slots and random call durations behind an Admission. */
class AdmissionStory {
public:
    AdmissionStory(uint64_t seed, uint32_t slots)
        : random(seed)
        , admission(ServiceLimits {})
    {
        ServiceLimits limits;
        limits.maxInFlight = slots;
        this->admission.setLimits(limits, slots);
    }

    void ask(AdmissionRequest request)
    {
        request.id = ++this->lastId;
        this->asked[request.id] = { request, this->nowMs };
        this->decide(this->admission.request(request, timeAt(this->nowMs)));
    }

    /** Advances the clock, ends the calls that are due and calls tick() when it is due. */
    void advance(double toMs)
    {
        while (true) {
            double tickMs = this->admission.nextEvent().time_since_epoch().count();
            double endMs = this->ends.empty() ? INFINITY : this->ends.begin()->first;
            double nextMs = std::min(tickMs, endMs);
            if (nextMs > toMs)
                break;
            this->nowMs = std::max(this->nowMs, nextMs);
            if (endMs <= tickMs) {
                double duration = this->ends.begin()->second;
                this->ends.erase(this->ends.begin());
                this->decide(this->admission.finish(Milliseconds(duration), false, timeAt(this->nowMs)));
            } else
                this->decide(this->admission.tick(timeAt(this->nowMs)));
        }
        this->nowMs = toMs;
    }

    double durationMs() { return 2 + 6 * this->random.fraction(); }

    /** A request and its time of submission. */
    struct Asked {
        AdmissionRequest request;
        double atMs = 0;
    };

    RandomSource random;
    Admission admission;
    double nowMs = 0;
    uint64_t lastId = 0;
    std::map<uint64_t, Asked> asked; ///< All submitted requests by identifier.
    std::map<uint64_t, AdmissionDecision> decided; ///< All decisions by request.
    std::map<int, uint64_t> started; ///< Number of admitted requests by priority.
    std::vector<uint64_t> order; ///< Admitted requests in the order of their start.

private:
    void decide(const std::vector<AdmissionDecision>& decisions)
    {
        for (const AdmissionDecision& decision : decisions) {
            EXPECT_TRUE(this->decided.emplace(decision.id, decision).second) << "request was decided twice";
            const Asked& asked = this->asked.at(decision.id);
            double waitedMs = this->nowMs - asked.atMs;
            EXPECT_LE(waitedMs, asked.request.mayWait.count() + 1e-6) << "decided after the longest wait";
            EXPECT_LE(this->nowMs, asked.request.deadline.time_since_epoch().count() + 1e-6) << "decided after the deadline of the request";
            if (decision.code != ResultCode::Ok) {
                EXPECT_GT(decision.retryAfter.count(), 0);
                continue;
            }
            ++this->started[asked.request.priority];
            this->order.push_back(decision.id);
            double duration = this->durationMs();
            this->ends.emplace(this->nowMs + duration, duration);
        }
    }

    std::multimap<double, double> ends; ///< Durations of the running calls by end time.
};

AdmissionRequest requestOf(int priority, double deadlineMs, double mayWaitMs, bool mayRefuse)
{
    return { 0, priority, timeAt(deadlineMs), Milliseconds(mayWaitMs), mayRefuse };
}

} // namespace

TEST(AdmissionTest, ordersAndAges)
{
    section("requests start in the order of priority, then deadline, then arrival", [] {
        AdmissionStory story(1, 1);
        for (auto [priority, deadline] : { std::pair { 5, 900.0 }, { 5, 900.0 }, { 5, 800.0 }, { 2, 950.0 }, { 9, 100.0 } })
            story.ask(requestOf(priority, deadline, 99, false));
        story.advance(90);
        EXPECT_EQ(story.order, (std::vector<uint64_t> { 1, 4, 3, 2, 5 }));
    });
    section("deferrable requests of the lowest priority complete under lasting overload by the highest priority", [] {
        uint64_t first = testSeed(1);
        for (uint64_t seed = first; seed < first + 5; ++seed) {
            AdmissionStory story(seed, 4);
            uint64_t deferrable = 0;
            for (double ms = 0; ms < 40000; ms += 1) {
                story.advance(ms);
                story.ask(requestOf(0, ms + 1000, 100, true));
                if (std::fmod(ms, 500) != 0 || ms > 25000)
                    continue;
                ++deferrable;
                story.ask(requestOf(9, ms + 60000, 14000, false));
            }
            EXPECT_EQ(story.started[9], deferrable) << "seed " << seed;
        }
    });
}

TEST(AdmissionTest, refusesEarlyAndTruthfully)
{
    uint64_t first = testSeed(1);
    section("every request of a random mix is decided exactly once and in time", [&] {
        for (uint64_t seed = first; seed < first + 30; ++seed) {
            AdmissionStory story(seed, 1 + static_cast<uint32_t>(seed % 8));
            for (double ms = 0; ms < 3000; ms += story.random.fraction() * 3) {
                story.advance(ms);
                auto priority = static_cast<int>(story.random.below(10));
                double wait = 200 * story.random.fraction();
                story.ask(requestOf(priority, ms + 300 * story.random.fraction(), wait, story.random.below(2) == 0));
                if (story.random.below(10) == 0 && story.admission.cancel(story.lastId))
                    story.asked.erase(story.lastId);
            }
            story.advance(10000);
            EXPECT_EQ(story.decided.size(), story.asked.size()) << "seed " << seed;
            EXPECT_EQ(story.admission.waiting(), 0u);
            EXPECT_EQ(story.admission.inFlight(), 0u);
        }
    });
    section("at least 80% of the retries at the given time are admitted, and at most 2% of them are refused after the overload", [&] {
        AdmissionStory story(first, 4);
        std::multimap<double, int> returns;
        uint64_t returned = 0;
        uint64_t refusedAgain = 0;
        uint64_t refusedAfterBurst = 0;
        auto askOnce = [&](bool again) {
            story.ask(requestOf(5, story.nowMs + 500, 30, true));
            auto found = story.decided.find(story.lastId);
            bool refused = found != story.decided.end() && found->second.code != ResultCode::Ok;
            returned += again;
            refusedAgain += again && refused;
            refusedAfterBurst += again && refused && story.nowMs > 250;
            if (refused && !again)
                returns.emplace(story.nowMs + found->second.retryAfter.count(), 0);
        };
        // A burst at three times the capacity is followed by a load of half the capacity.
        for (double ms = 0; ms < 3000; ms += 0.4) {
            story.advance(ms);
            while (!returns.empty() && returns.begin()->first <= ms) {
                returns.erase(returns.begin());
                askOnce(true);
            }
            if (ms < 200 || std::fmod(ms, 2.4) < 0.4)
                askOnce(false);
        }
        EXPECT_GT(returned, 100u);
        EXPECT_LE(refusedAgain * 5, returned) << refusedAgain << " of " << returned << " retries were refused";
        EXPECT_LE(refusedAfterBurst * 50, returned) << refusedAfterBurst << " retries were refused after the burst";
    });
    section("a full queue evicts the last refusable request for one of higher priority", [] {
        ServiceLimits limits;
        limits.queueLength = 2;
        limits.maxInFlight = 1;
        Admission admission(limits);
        admission.setLimits(limits, 1);
        auto ask = [&](uint64_t id, int priority, bool mayRefuse) {
            return admission.request({ id, priority, timeAt(1000), Milliseconds(500), mayRefuse }, timeAt(0));
        };
        EXPECT_EQ(ask(1, 5, true).size(), 1u);
        EXPECT_TRUE(ask(2, 5, true).empty());
        EXPECT_TRUE(ask(3, 9, false).empty());
        std::vector<AdmissionDecision> decisions = ask(4, 0, true);
        ASSERT_EQ(decisions.size(), 1u);
        EXPECT_EQ(decisions[0].id, 2u);
        EXPECT_EQ(decisions[0].code, ResultCode::QueueFull);
        EXPECT_EQ(ask(5, 9, true).at(0).id, 5u);
    });
}

TEST(AdmissionTest, limitFollowsLatencyAndOverload)
{
    ServiceLimits limits;
    Admission admission(limits);
    admission.setLimits(limits, 40);
    auto run = [&](double latencyMs, bool overloaded, double fromMs) {
        for (int i = 0; i < 400; ++i) {
            TimePoint now = timeAt(fromMs + i * 5);
            for (uint64_t id = 0; admission.inFlight() < admission.limit(); ++id)
                admission.request({ id, 5, now + Milliseconds(1000), Milliseconds(0), true }, now);
            admission.finish(Milliseconds(latencyMs), overloaded, now);
        }
    };
    section("the limit starts at the usable slots and grows while latency is near its baseline", [&] {
        EXPECT_EQ(admission.limit(), 40u);
        run(5, false, 0);
        EXPECT_GT(admission.limit(), 44u);
        EXPECT_LE(admission.limit(), 80u);
    });
    section("the limit falls when latency triples and when targets shed load, down to its lower bound", [&] {
        uint32_t before = admission.limit();
        run(15, false, 3000);
        EXPECT_LT(admission.limit(), before);
        run(5, true, 6000);
        EXPECT_EQ(admission.limit(), 5u);
    });
    section("the limit recovers and respects the bound of the manifest", [&] {
        run(5, false, 9000);
        EXPECT_GT(admission.limit(), 20u);
        limits.maxInFlight = 7;
        admission.setLimits(limits, 40);
        EXPECT_EQ(admission.limit(), 7u);
    });
}
