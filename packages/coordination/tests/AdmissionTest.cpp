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
class AdmissionSimulation {
public:
    AdmissionSimulation(uint64_t seed, uint32_t slots)
        : random(seed)
        , admission(ServiceLimits {})
    {
        ServiceLimits limits;
        limits.maxInFlight = slots;
        this->admission.setLimits(limits, slots, timeAt(0));
    }

    void submit(AdmissionRequest request)
    {
        request.id = ++this->lastId;
        this->submitted[request.id] = { request, this->nowMs };
        this->recordDecisions(this->admission.submitRequest(request, timeAt(this->nowMs)));
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
                double callMs = this->ends.begin()->second;
                this->ends.erase(this->ends.begin());
                this->recordDecisions(this->admission.finishCall(Milliseconds(callMs), false, timeAt(this->nowMs)));
            } else
                this->recordDecisions(this->admission.tick(timeAt(this->nowMs)));
        }
        this->nowMs = toMs;
    }

    /** Changes the number of usable slots without a bound by the manifest. */
    void setUsableSlots(uint32_t slots)
    {
        this->admission.setLimits(ServiceLimits {}, slots, timeAt(this->nowMs));
        this->recordDecisions(this->admission.tick(timeAt(this->nowMs)));
    }

    /** Returns how many of the submitted requests have been refused. */
    size_t refusedCount() const
    {
        return static_cast<size_t>(std::count_if(this->decided.begin(), this->decided.end(), [](const auto& entry) { return entry.second.code != ResultCode::Ok; }));
    }

    double randomCallMs() { return 2 + 6 * this->random.fraction(); }

    /** A request and its time of submission. */
    struct SubmittedRequest {
        AdmissionRequest request;
        double submittedMs = 0;
    };

    RandomSource random;
    Admission admission;
    double nowMs = 0;
    uint64_t lastId = 0;
    std::map<uint64_t, SubmittedRequest> submitted; ///< All submitted requests by identifier.
    std::map<uint64_t, AdmissionDecision> decided; ///< All decisions by request.
    std::map<int, uint64_t> startCounts; ///< Number of admitted requests by priority.
    std::vector<uint64_t> startOrder; ///< Admitted requests in the order of their start.
    double fixedCallMs = 0; ///< Duration of the calls that start from now on; 0: random.

private:
    void recordDecisions(const std::vector<AdmissionDecision>& decisions)
    {
        for (const AdmissionDecision& decision : decisions) {
            EXPECT_TRUE(this->decided.emplace(decision.id, decision).second) << "request was decided twice";
            const SubmittedRequest& submission = this->submitted.at(decision.id);
            double waitedMs = this->nowMs - submission.submittedMs;
            EXPECT_LE(waitedMs, submission.request.maxWait.count() + 1e-6) << "decided after the longest wait";
            EXPECT_LE(this->nowMs, submission.request.deadline.time_since_epoch().count() + 1e-6) << "decided after the deadline of the request";
            if (decision.code != ResultCode::Ok) {
                EXPECT_GT(decision.retryAfter.count(), 0);
                continue;
            }
            ++this->startCounts[submission.request.priority];
            this->startOrder.push_back(decision.id);
            double callMs = this->fixedCallMs > 0 ? this->fixedCallMs : this->randomCallMs();
            this->ends.emplace(this->nowMs + callMs, callMs);
        }
    }

    std::multimap<double, double> ends; ///< Durations of the running calls by end time.
};

AdmissionRequest makeRequest(int priority, double deadlineMs, double maxWaitMs, bool mayBeRefused)
{
    return { 0, priority, timeAt(deadlineMs), Milliseconds(maxWaitMs), mayBeRefused };
}

} // namespace

TEST(AdmissionTest, ordersByPriorityAndAge)
{
    section("requests start in the order of priority, then deadline, then arrival", [] {
        AdmissionSimulation simulation(1, 1);
        for (auto [priority, deadline] : { std::pair { 5, 900.0 }, { 5, 900.0 }, { 5, 800.0 }, { 2, 950.0 }, { 9, 100.0 } })
            simulation.submit(makeRequest(priority, deadline, 99, false));
        simulation.advance(90);
        EXPECT_EQ(simulation.startOrder, (std::vector<uint64_t> { 1, 4, 3, 2, 5 }));
    });
    section("deferrable requests of the lowest priority complete under lasting overload by the highest priority", [] {
        uint64_t firstSeed = testSeed(1);
        for (uint64_t seed = firstSeed; seed < firstSeed + 5; ++seed) {
            AdmissionSimulation simulation(seed, 4);
            uint64_t deferrableCount = 0;
            for (double ms = 0; ms < 40000; ms += 1) {
                simulation.advance(ms);
                simulation.submit(makeRequest(0, ms + 1000, 100, true));
                if (std::fmod(ms, 500) != 0 || ms > 25000)
                    continue;
                ++deferrableCount;
                simulation.submit(makeRequest(9, ms + 60000, 14000, false));
            }
            EXPECT_EQ(simulation.startCounts[9], deferrableCount) << "seed " << seed;
        }
    });
}

TEST(AdmissionTest, refusesEarlyWithUsableRetryTimes)
{
    uint64_t firstSeed = testSeed(1);
    section("every request of a random mix is decided exactly once and in time", [&] {
        for (uint64_t seed = firstSeed; seed < firstSeed + 30; ++seed) {
            AdmissionSimulation simulation(seed, 1 + static_cast<uint32_t>(seed % 8));
            for (double ms = 0; ms < 3000; ms += simulation.random.fraction() * 3) {
                simulation.advance(ms);
                auto priority = static_cast<int>(simulation.random.below(10));
                double waitMs = 200 * simulation.random.fraction();
                simulation.submit(makeRequest(priority, ms + 300 * simulation.random.fraction(), waitMs, simulation.random.below(2) == 0));
                if (simulation.random.below(10) == 0 && simulation.admission.cancel(simulation.lastId))
                    simulation.submitted.erase(simulation.lastId);
            }
            simulation.advance(10000);
            EXPECT_EQ(simulation.decided.size(), simulation.submitted.size()) << "seed " << seed;
            EXPECT_EQ(simulation.admission.queueLength(), 0u);
            EXPECT_EQ(simulation.admission.inFlight(), 0u);
        }
    });
    section("at least 80% of the retries at the given time are admitted, and at most 2% of them are refused after the overload", [&] {
        AdmissionSimulation simulation(firstSeed, 4);
        std::multimap<double, int> retries;
        uint64_t retryCount = 0;
        uint64_t refusedRetries = 0;
        uint64_t refusedRetriesAfterBurst = 0;
        auto submitOnce = [&](bool isRetry) {
            simulation.submit(makeRequest(5, simulation.nowMs + 500, 30, true));
            auto found = simulation.decided.find(simulation.lastId);
            bool wasRefused = found != simulation.decided.end() && found->second.code != ResultCode::Ok;
            retryCount += isRetry;
            refusedRetries += isRetry && wasRefused;
            refusedRetriesAfterBurst += isRetry && wasRefused && simulation.nowMs > 250;
            if (wasRefused && !isRetry)
                retries.emplace(simulation.nowMs + found->second.retryAfter.count(), 0);
        };
        // A burst at three times the capacity is followed by a load of half the capacity.
        for (double ms = 0; ms < 3000; ms += 0.4) {
            simulation.advance(ms);
            while (!retries.empty() && retries.begin()->first <= ms) {
                retries.erase(retries.begin());
                submitOnce(true);
            }
            if (ms < 200 || std::fmod(ms, 2.4) < 0.4)
                submitOnce(false);
        }
        EXPECT_GT(retryCount, 100u);
        EXPECT_LE(refusedRetries * 5, retryCount) << refusedRetries << " of " << retryCount << " retries were refused";
        EXPECT_LE(refusedRetriesAfterBurst * 50, retryCount) << refusedRetriesAfterBurst << " retries were refused after the burst";
    });
    section("a full queue evicts the last refusable request for one of higher priority", [] {
        ServiceLimits limits;
        limits.queueLength = 2;
        limits.maxInFlight = 1;
        Admission admission(limits);
        admission.setLimits(limits, 1, timeAt(0));
        auto submit = [&](uint64_t id, int priority, bool mayBeRefused) {
            return admission.submitRequest({ id, priority, timeAt(1000), Milliseconds(500), mayBeRefused }, timeAt(0));
        };
        EXPECT_EQ(submit(1, 5, true).size(), 1u);
        EXPECT_TRUE(submit(2, 5, true).empty());
        EXPECT_TRUE(submit(3, 9, false).empty());
        std::vector<AdmissionDecision> decisions = submit(4, 0, true);
        ASSERT_EQ(decisions.size(), 1u);
        EXPECT_EQ(decisions[0].id, 2u);
        EXPECT_EQ(decisions[0].code, ResultCode::QueueFull);
        EXPECT_EQ(submit(5, 9, true).at(0).id, 5u);
    });
}

TEST(AdmissionTest, adaptsLimitToLatencyAndOverload)
{
    ServiceLimits limits;
    Admission admission(limits);
    admission.setLimits(limits, 40, timeAt(0));
    auto runCalls = [&](double latencyMs, bool isOverloaded, double fromMs) {
        for (int i = 0; i < 400; ++i) {
            TimePoint now = timeAt(fromMs + i * 5);
            for (uint64_t id = 0; admission.inFlight() < admission.limit(); ++id)
                admission.submitRequest({ id, 5, now + Milliseconds(1000), Milliseconds(0), true }, now);
            admission.finishCall(Milliseconds(latencyMs), isOverloaded, now);
        }
    };
    section("the limit starts at the usable slots and grows while latency is near its baseline", [&] {
        EXPECT_EQ(admission.limit(), 40u);
        runCalls(5, false, 0);
        EXPECT_GT(admission.limit(), 44u);
        EXPECT_LE(admission.limit(), 80u);
    });
    section("the limit falls when latency triples and when targets shed load, down to its lower bound", [&] {
        uint32_t previousLimit = admission.limit();
        runCalls(15, false, 3000);
        EXPECT_LT(admission.limit(), previousLimit);
        runCalls(5, true, 6000);
        EXPECT_EQ(admission.limit(), 5u);
    });
    section("the limit recovers and respects the bound of the manifest", [&] {
        runCalls(5, false, 9000);
        EXPECT_GT(admission.limit(), 20u);
        limits.maxInFlight = 7;
        admission.setLimits(limits, 40, timeAt(11000));
        EXPECT_EQ(admission.limit(), 7u);
    });
}

// Guards against an admission that judges by the latency before an outage: it refused up to half of the calls with wait_too_long after a zone was restored.
TEST(AdmissionTest, servesCallersAsSoonAsSlotsReturnAfterNone)
{
    constexpr double slowCallMs = 2000;
    constexpr double fastCallMs = 2;
    constexpr double waitMs = 1000;
    constexpr double deadlineMs = 3000;
    // Counts the callers refused after the return of the slots, for groups of four callers at once, and returns the time of the last one.
    auto refusedTimeMs = [&](double outageMs, double firstCallMs, size_t& refused) {
        AdmissionSimulation simulation(1, 6);
        simulation.setUsableSlots(6);
        simulation.fixedCallMs = slowCallMs;
        for (double ms = 0; ms < 20000; ms += 400) {
            simulation.advance(ms);
            simulation.submit(makeRequest(5, ms + 2 * deadlineMs, waitMs, true));
        }
        simulation.setUsableSlots(0);
        simulation.advance(20000 + outageMs);
        simulation.setUsableSlots(2);
        double returnedMs = simulation.nowMs;
        size_t refusedBefore = simulation.refusedCount();
        double lastRefusalMs = 0;
        for (double ms = returnedMs; ms < returnedMs + 60000; ms += 250) {
            simulation.advance(ms);
            simulation.fixedCallMs = ms == returnedMs ? firstCallMs : fastCallMs;
            size_t refusedSoFar = simulation.refusedCount();
            for (int caller = 0; caller < 4; ++caller)
                simulation.submit(makeRequest(5, ms + deadlineMs, waitMs, true));
            if (simulation.refusedCount() > refusedSoFar)
                lastRefusalMs = ms - returnedMs;
        }
        refused = simulation.refusedCount() - refusedBefore;
        return lastRefusalMs;
    };
    section("the latency of calls before the outage refuses nobody after it", [&] {
        size_t refused = 0;
        double timeMs = refusedTimeMs(5000, fastCallMs, refused);
        EXPECT_EQ(refused, 0u) << "the last one " << timeMs << " ms after the slots returned";
    });
    section("nor does the latency of calls that began before the outage and end after it", [&] {
        size_t refused = 0;
        double timeMs = refusedTimeMs(1100, fastCallMs, refused);
        EXPECT_EQ(refused, 0u) << "the last one " << timeMs << " ms after the slots returned";
    });
    section("nor does the wait of the first calls after the outage, while targets end the work of earlier ones", [&] {
        size_t refused = 0;
        double timeMs = refusedTimeMs(5000, 700, refused);
        EXPECT_EQ(refused, 0u) << "the last one " << timeMs << " ms after the slots returned";
    });
}

// Guards against a limit that starts at the slots of the first target that returns and takes seconds to grow to those of all.
TEST(AdmissionTest, limitFollowsSlotsThatReturnOneByOne)
{
    constexpr uint32_t targets = 100;
    constexpr uint32_t slotsPerTarget = 4;
    constexpr double returnIntervalMs = 20;
    constexpr double callMs = 50;
    AdmissionSimulation simulation(1, 1);
    simulation.setUsableSlots(0);
    simulation.fixedCallMs = callMs;
    double allReturnedMs = targets * returnIntervalMs;
    size_t refusedAtReturn = 0;
    double lastRefusalMs = 0;
    for (double ms = 0; ms < 10000; ms += 0.25) { // 200 calls in flight are half of the slots.
        simulation.advance(ms);
        uint32_t slots = slotsPerTarget * std::min(targets, static_cast<uint32_t>(ms / returnIntervalMs));
        simulation.setUsableSlots(slots);
        if (ms == allReturnedMs)
            refusedAtReturn = simulation.refusedCount();
        uint32_t inFlight = simulation.admission.inFlight();
        simulation.submit(makeRequest(5, ms + 500, 30, true));
        bool wasAdmitted = simulation.admission.inFlight() > inFlight;
        if (!wasAdmitted && ms > allReturnedMs)
            lastRefusalMs = ms - allReturnedMs;
        ASSERT_LE(simulation.admission.limit(), std::max(1u, 2 * slots)) << "targets that just returned are flooded";
    }
    EXPECT_EQ(simulation.refusedCount(), refusedAtReturn) << "callers waited or were refused until " << lastRefusalMs << " ms after the last target returned";
}
