/** @file RetryBudgetTest.cpp Guards against all entry VMs together sending more extra attempts within a window than the shared retry budget allows. */
#include "kingcup/RetryBudget.h"

#include "kingcup/EntryVmCount.h"
#include "kingcup/RandomSource.h"
#include "kingcup/SessionTable.h"
#include "testing/Story.h"

#include <deque>
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <optional>

using namespace kingcup;
using kingcup::testing::section;
using kingcup::testing::testSeed;

namespace {

constexpr double windowMs = 10000;
constexpr double stepMs = 20;
constexpr double sessionIntervalMs = 450;
constexpr double processStartMs = 300;
constexpr Milliseconds leaseTerm { 1000 };
const RetryBudgetLimits limits { 0.2, 62, Milliseconds(windowMs) };

/** Entry VMs that send as many extra attempts as they may, and the leader that tells them how many they are. */
class Fleet {
public:
    Fleet(uint64_t seed, uint32_t vmCount)
        : random(seed)
        , vms(vmCount)
    {
        this->changeLeader();
        for (Vm& vm : this->vms)
            this->start(vm);
    }

    /** Runs until a time. The function is called before each step, and may change the fleet. */
    void run(double untilMs, const std::function<void(Fleet&)>& change)
    {
        for (; this->nowMs < untilMs; this->nowMs += stepMs) {
            change(*this);
            for (size_t number = 0; number < this->vms.size(); number++)
                this->step(number);
            this->recordExcess();
        }
    }

    /** Isolates VMs from the leader, or ends their isolation. */
    void setIsolated(size_t first, size_t end, bool isIsolated)
    {
        for (size_t number = first; number < end; number++)
            this->vms[number].isIsolated = isIsolated;
    }

    void changeLeader() { this->sessions.becomeLeader(timeAt(this->nowMs), {}); }

    /** Ends the process of a VM and starts the next one, unless it is stopped for good. */
    void restart(size_t number) { this->start(this->vms[number]); }
    void stop(size_t number) { this->vms[number].budget.reset(); }

    double now() const { return this->nowMs; } ///< Current time in milliseconds.
    size_t size() const { return this->vms.size(); } ///< Number of VMs.
    bool isIsolated(size_t number) const { return this->vms[number].isIsolated; }
    double maxExcess() const { return this->largestExcess; } ///< Largest excess over the budget of a window.
    double extraAttemptsInWindow() const { return static_cast<double>(this->extraAttempts.size()); }
    double requestsInWindow() const { return static_cast<double>(this->requests.size()); }

    RandomSource random; ///< Source of all random numbers.
    bool isVmCountTold = true; ///< Whether the leader tells the VMs how many they are.

private:
    struct Vm {
        std::optional<RetryBudget> budget; ///< Empty while the VM is stopped.
        EntryVmCount count { 1 }; ///< Number that the VM states to a new leader.
        uint64_t incarnation = 0; ///< Number of its process.
        bool isIsolated = false; ///< Whether its requests do not reach the leader.
        double servesFromMs = 0; ///< Time from which its process serves.
        double nextSessionMs = 0; ///< Time of its next session request.
    };

    void start(Vm& vm)
    {
        vm.budget.emplace(limits, timeAt(this->nowMs));
        vm.count = EntryVmCount(1);
        vm.incarnation++;
        vm.servesFromMs = this->nowMs + processStartMs * this->random.fraction();
        vm.nextSessionMs = vm.servesFromMs;
    }

    void step(size_t number)
    {
        Vm& vm = this->vms[number];
        TimePoint now = timeAt(this->nowMs);
        if (!vm.budget || this->nowMs < vm.servesFromMs)
            return;
        if (this->nowMs >= vm.nextSessionMs && !vm.isIsolated && this->isVmCountTold)
            this->exchangeSession(vm, "vm" + std::to_string(number));
        bool isBurst = static_cast<int>(this->nowMs / 7000) % 2 == 0;
        if (this->random.below(isBurst ? 3 : 12) == 0) {
            vm.budget->countRequest(now);
            this->requests.push_back(this->nowMs);
        }
        for (int attempt = 0; attempt < 3; attempt++) {
            if (vm.budget->takeAttempt(now))
                this->extraAttempts.push_back(this->nowMs);
        }
    }

    void exchangeSession(Vm& vm, const std::string& name)
    {
        TimePoint now = timeAt(this->nowMs);
        vm.nextSessionMs = this->nowMs + sessionIntervalMs;
        wire::SessionRequest request;
        request.set_entry_vm(name);
        request.set_incarnation(vm.incarnation);
        request.set_known_entry_vms(vm.count.statedVms());
        this->sessions.renewLease(request, now);
        this->sessions.takeExpiredSessions(now);
        wire::SessionAnswer answer;
        answer.set_live_entry_vms(this->sessions.liveEntryVms(now));
        if (!answer.live_entry_vms())
            answer.set_estimated_entry_vms(this->sessions.estimatedEntryVms(now));
        vm.count.record(answer);
        vm.budget->setLiveVms(answer.live_entry_vms(), leaseTerm, now);
    }

    void recordExcess()
    {
        while (!this->requests.empty() && this->requests.front() <= this->nowMs - windowMs)
            this->requests.pop_front();
        while (!this->extraAttempts.empty() && this->extraAttempts.front() <= this->nowMs - windowMs)
            this->extraAttempts.pop_front();
        double allowed = limits.share * this->requestsInWindow() + limits.slack;
        this->largestExcess = std::max(this->largestExcess, this->extraAttemptsInWindow() - allowed);
    }

    SessionTable sessions { leaseTerm, Milliseconds(4000) };
    std::vector<Vm> vms;
    std::deque<double> requests; ///< Times of the requests in the window.
    std::deque<double> extraAttempts; ///< Times of the extra attempts in the window.
    double largestExcess = -1e9;
    double nowMs = 0;
};

/** Restarts each VM every 40 s on average. */
void restartAtRandom(Fleet& fleet)
{
    for (size_t number = 0; number < fleet.size(); number++) {
        if (fleet.random.below(2000) == 0)
            fleet.restart(number);
    }
}

/** Restarts all VMs at the end of the third window. */
void restartAllAtOnce(Fleet& fleet)
{
    if (fleet.now() != 3 * windowMs)
        return;
    for (size_t number = 0; number < fleet.size(); number++)
        fleet.restart(number);
}

/** Isolates one half of the VMs and then the other, for most of the time. */
void isolateInTurn(Fleet& fleet)
{
    constexpr double periodMs = 12400;
    constexpr double isolatedMs = 6000;
    double phaseMs = fleet.now() - periodMs * static_cast<int>(fleet.now() / periodMs);
    bool isWarmedUp = fleet.now() >= 2 * windowMs;
    size_t half = fleet.size() / 2;
    fleet.setIsolated(0, half, isWarmedUp && phaseMs < isolatedMs);
    fleet.setIsolated(half, fleet.size(), isWarmedUp && phaseMs >= periodMs / 2 && phaseMs < periodMs / 2 + isolatedMs);
}

/** Isolates VMs for some seconds, restarts them and changes the leader, all at random. */
void disruptAtRandom(Fleet& fleet)
{
    restartAtRandom(fleet);
    if (fleet.now() < 2 * windowMs)
        return;
    if (fleet.random.below(400) == 0)
        fleet.changeLeader();
    for (size_t number = 0; number < fleet.size(); number++) {
        if (fleet.random.below(fleet.isIsolated(number) ? 300 : 500) == 0)
            fleet.setIsolated(number, number + 1, !fleet.isIsolated(number));
    }
}

/** Returns the largest excess over the budget of any window in a minute. */
double maxExcess(uint64_t seed, uint32_t vmCount, const std::function<void(Fleet&)>& change)
{
    Fleet fleet(seed, vmCount);
    fleet.run(60000, change);
    return fleet.maxExcess();
}

} // namespace

TEST(RetryBudgetTest, boundsExtraAttemptsOverAllEntryVms)
{
    uint64_t firstSeed = testSeed(1);
    section("17 VMs with bursts and restarts stay within the budget of every window", [&] {
        for (uint64_t seed = firstSeed; seed < firstSeed + 10; seed++)
            EXPECT_LE(maxExcess(seed, 17, restartAtRandom), 0) << "seed " << seed;
    });
    section("121 VMs with bursts and restarts stay within the budget of every window", [&] {
        for (uint64_t seed = firstSeed; seed < firstSeed + 3; seed++)
            EXPECT_LE(maxExcess(seed, 121, restartAtRandom), 0) << "seed " << seed;
    });
    section("processes that all start again at once do not use the slack a second time", [&] {
        for (uint32_t vmCount : { 2u, 14u })
            EXPECT_LE(maxExcess(firstSeed, vmCount, restartAllAtOnce), 0) << vmCount << " VMs";
    });
    section("VMs use no slack while the number of VMs is unknown", [&] {
        auto tellNoCount = [](Fleet& fleet) {
            fleet.isVmCountTold = false;
            restartAtRandom(fleet);
        };
        for (uint64_t seed = firstSeed; seed < firstSeed + 3; seed++)
            EXPECT_LE(maxExcess(seed, 17, tellNoCount), -0.9 * limits.slack) << "seed " << seed;
    });
}

// Guards against isolated VMs that use their part of the slack while the leader, which no longer counts them, divides all of it among the others.
TEST(RetryBudgetTest, isolatedEntryVmsKeepNoMoreThanTheirPart)
{
    uint64_t firstSeed = testSeed(1);
    section("halves of the VMs that are isolated in turn stay within the budget of every window", [&] {
        for (uint32_t vmCount : { 2u, 14u, 102u })
            EXPECT_LE(maxExcess(firstSeed, vmCount, isolateInTurn), 0) << vmCount << " VMs";
    });
    section("so do VMs with random isolations, restarts and changes of the leader", [&] {
        for (uint64_t seed = firstSeed; seed < firstSeed + 10; seed++)
            EXPECT_LE(maxExcess(seed, 14, disruptAtRandom), 0) << "seed " << seed;
    });
    section("a VM that is isolated for longer than the isolation term uses no slack, and the others its part", [&] {
        Fleet fleet(firstSeed, 2);
        fleet.run(2 * windowMs, [](Fleet&) {});
        fleet.setIsolated(0, 1, true);
        fleet.run(2 * windowMs + isolationTerm.count() + leaseTerm.count() + 3 * windowMs, [](Fleet&) {});
        EXPECT_LE(fleet.maxExcess(), 0);
        EXPECT_GE(fleet.extraAttemptsInWindow(), 0.8 * (limits.share * fleet.requestsInWindow() + limits.slack));
    });
}

TEST(RetryBudgetTest, grantsMostOfTheBudget)
{
    section("a VM can use most of its share and of its part of the slack", [] {
        RetryBudget budget(limits, timeAt(0));
        budget.setLiveVms(10, leaseTerm, timeAt(0));
        double slackFromMs = windowMs + leaseTerm.count();
        int taken = 0;
        for (int request = 0; request < 100; request++)
            budget.countRequest(timeAt(slackFromMs + request));
        while (budget.takeAttempt(timeAt(slackFromMs + 100)))
            taken++;
        EXPECT_GE(taken, 22); // 0.9 of the sum of 20 (share) and 6.2 (part of the slack)
        EXPECT_LE(taken, 26);
    });
    section("a taken attempt is available again one window later", [] {
        RetryBudget budget(limits, timeAt(0));
        for (int request = 0; request < 50; request++)
            budget.countRequest(timeAt(request));
        while (budget.takeAttempt(timeAt(100))) { }
        EXPECT_FALSE(budget.takeAttempt(timeAt(9000)));
        for (int request = 0; request < 50; request++)
            budget.countRequest(timeAt(12000));
        EXPECT_TRUE(budget.takeAttempt(timeAt(12001)));
    });
    section("when most VMs have left for good, the others use most of the budget", [] {
        Fleet fleet(testSeed(1), 14);
        fleet.run(2 * windowMs, [](Fleet&) {});
        for (size_t number = 2; number < fleet.size(); number++)
            fleet.stop(number);
        fleet.run(2 * windowMs + isolationTerm.count() + leaseTerm.count() + 2 * windowMs, [](Fleet&) {});
        EXPECT_LE(fleet.maxExcess(), 0);
        EXPECT_GE(fleet.extraAttemptsInWindow(), 0.8 * (limits.share * fleet.requestsInWindow() + limits.slack));
    });
}
