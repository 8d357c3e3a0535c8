/** @file ProbeBudgetTest.cpp Guards against exceeding the probe budget while entry VMs join, restart or are partitioned. */
#include "kingcup/ProbeBudget.h"

#include "kingcup/RandomSource.h"
#include "testing/Story.h"

#include <deque>
#include <gtest/gtest.h>
#include <memory>

using namespace kingcup;
using kingcup::testing::section;
using kingcup::testing::testSeed;

namespace {

constexpr double leaseMs = 3000;
constexpr double stepMs = 10;
constexpr double renewMs = 1000;

/** An entry VM with its lease, as recorded by the VM and by the leader. */
struct ProbingVm {
    std::unique_ptr<ProbeBudget> budget; ///< Object under test.
    bool isPartitioned = false; ///< Whether the VM is partitioned from the leader.
    double ownLeaseEndMs = -1; ///< End of the lease on the VM.
    double leaderLeaseEndMs = -1; ///< End of the lease on the leader; later than on the VM because of message delays.
    double nextRenewalMs = 0; ///< Time of the next session request.
};

/** Simulates VMs that probe one target as often as they may. */
class ProbingSimulation {
public:
    /** @param hasLeaseTerm Whether the budget gets the lease term; otherwise a new number of VMs takes effect at once. */
    ProbingSimulation(uint64_t seed, double probesPerSecond, bool hasLeaseTerm)
        : random(seed)
        , vms(4 + this->random.below(14))
        , hasLeaseTerm(hasLeaseTerm)
    {
        this->measuringBudget.probesPerSecondPerTarget = probesPerSecond;
        this->measuringBudget.bytesPerSecondPerVm = 1e9;
        for (ProbingVm& vm : this->vms)
            this->restartVm(vm);
    }

    /** Runs the simulation. Returns the largest excess within any lease term over the budget plus one probe per VM. */
    double runForMaxExcess(double durationMs)
    {
        double maxExcess = -1e9;
        for (this->nowMs = 0; this->nowMs < durationMs; this->nowMs += stepMs) {
            this->injectFaults();
            for (ProbingVm& vm : this->vms)
                this->probe(vm);
            while (!this->grantedTimes.empty() && this->grantedTimes.front() <= this->nowMs - leaseMs)
                this->grantedTimes.pop_front();
            double allowed = this->measuringBudget.probesPerSecondPerTarget * leaseMs / 1000 + static_cast<double>(this->vms.size());
            maxExcess = std::max(maxExcess, static_cast<double>(this->grantedTimes.size()) - allowed);
        }
        return maxExcess;
    }

    uint64_t grantedCount = 0; ///< Number of granted probes.

private:
    void injectFaults()
    {
        if (this->random.below(100) == 0)
            this->restartVm(this->vms[this->random.below(this->vms.size())]);
        if (this->random.below(100) == 0)
            this->vms[this->random.below(this->vms.size())].isPartitioned ^= true;
    }

    void restartVm(ProbingVm& vm)
    {
        vm.budget = std::make_unique<ProbeBudget>(this->measuringBudget, 16);
        vm.ownLeaseEndMs = -1;
        vm.nextRenewalMs = this->nowMs + static_cast<double>(this->random.below(100)) * stepMs;
    }

    void probe(ProbingVm& vm)
    {
        Milliseconds term(this->hasLeaseTerm ? leaseMs : 0);
        if (!vm.isPartitioned && this->nowMs >= vm.nextRenewalMs) {
            vm.ownLeaseEndMs = this->nowMs + leaseMs;
            vm.leaderLeaseEndMs = vm.ownLeaseEndMs + stepMs;
            vm.nextRenewalMs = this->nowMs + renewMs;
            vm.budget->setLiveVms(this->leasedVmCount(), term, timeAt(this->nowMs));
        } else if (vm.ownLeaseEndMs <= this->nowMs)
            vm.budget->setLiveVms(0, term, timeAt(this->nowMs));
        if (!vm.budget->takeProbe("target", 100, timeAt(this->nowMs)))
            return;
        this->grantedTimes.push_back(this->nowMs);
        ++this->grantedCount;
    }

    uint32_t leasedVmCount() const
    {
        uint32_t count = 0;
        for (const ProbingVm& vm : this->vms)
            count += vm.leaderLeaseEndMs > this->nowMs;
        return count;
    }

    RandomSource random;
    MeasuringBudget measuringBudget;
    std::vector<ProbingVm> vms;
    bool hasLeaseTerm;
    double nowMs = 0;
    std::deque<double> grantedTimes; ///< Times of the probes granted within the last lease term.
};

} // namespace

TEST(ProbeBudgetTest, staysWithinItsBudget)
{
    uint64_t firstSeed = testSeed(1);
    section("all VMs together exceed the budget by at most one probe per VM and lease term during joins, partitions and restarts", [&] {
        for (uint64_t seed = firstSeed; seed < firstSeed + 60; ++seed) {
            uint64_t total = 0;
            for (double rate : { 1.0, 10.0, 60.0 }) {
                ProbingSimulation simulation(seed, rate, true);
                EXPECT_LE(simulation.runForMaxExcess(60000), 0) << "seed " << seed << ", " << rate << " probes/s";
                total += simulation.grantedCount;
            }
            EXPECT_GT(total, 100u) << "seed " << seed;
        }
    });
    section("the simulation detects the excess if a new number of VMs takes effect at once", [&] {
        int excessCount = 0;
        for (uint64_t seed = firstSeed; seed < firstSeed + 20; ++seed)
            excessCount += ProbingSimulation(seed, 60, false).runForMaxExcess(60000) > 0;
        EXPECT_GT(excessCount, 0);
    });
    section("a VM uses most of its budget while the number of VMs is stable", [] {
        ProbeBudget budget(MeasuringBudget { 10, 1e9 }, 5);
        budget.setLiveVms(10, Milliseconds(leaseMs), timeAt(0));
        for (double ms = 0; ms < 100000; ms += stepMs)
            budget.takeProbe("target", 100, timeAt(ms));
        EXPECT_GE(budget.granted(), 90u);
    });
}

TEST(ProbeBudgetTest, limitsProbesUnderUncertainty)
{
    section("the budget is divided by the assumed number of VMs while the live number is unknown", [] {
        ProbeBudget budget(MeasuringBudget { 10, 1e9 }, 20);
        for (double ms = 0; ms < 60000; ms += stepMs)
            budget.takeProbe("target", 100, timeAt(ms));
        EXPECT_GE(budget.granted(), 29u);
        EXPECT_LE(budget.granted(), 30u);
    });
    section("a new process has no saved probes, and a target that was not probed for long has one", [] {
        ProbeBudget budget(MeasuringBudget { 1, 1e9 }, 1);
        EXPECT_FALSE(budget.takeProbe("target", 100, timeAt(500)));
        EXPECT_TRUE(budget.takeProbe("target", 100, timeAt(60000)));
        EXPECT_FALSE(budget.takeProbe("target", 100, timeAt(60001)));
    });
    section("the byte rate is bounded over all targets", [] {
        ProbeBudget budget(MeasuringBudget { 1000, 4096 }, 1);
        uint64_t bytes = 0;
        for (double ms = 0; ms < 10000; ms += stepMs) {
            for (const char* target : { "a", "b", "c" })
                bytes += budget.takeProbe(target, 512, timeAt(ms)) ? 512 : 0;
        }
        EXPECT_LE(bytes, 4096u * 10);
        EXPECT_GE(bytes, 4096u * 9);
    });
    section("a number of VMs that was not renewed within a lease term counts as unknown in between", [] {
        ProbeBudget budget(MeasuringBudget { 100, 1e9 }, 10);
        for (double ms = 0; ms < 10000; ms += 1000)
            budget.setLiveVms(10, Milliseconds(leaseMs), timeAt(ms));
        budget.setLiveVms(10, Milliseconds(leaseMs), timeAt(20000));
        for (double ms = 20000; ms < 20000 + leaseMs; ms += stepMs)
            budget.takeProbe("target", 100, timeAt(ms));
        EXPECT_LE(budget.granted(), 1u);
    });
    section("while the number is unknown again, the last known one divides the budget if it exceeds the assumed one", [] {
        // With a new leader, each of 500 VMs took a hundred times its share of a budget that was divided by 5.
        ProbeBudget budget(MeasuringBudget { 1000, 1e9, 10 }, 5);
        for (double ms = 0; ms < 10000; ms += 100)
            budget.setLiveVms(500, Milliseconds(leaseMs), timeAt(ms));
        budget.setLiveVms(0, Milliseconds(leaseMs), timeAt(10000));
        for (double ms = 10000; ms < 20000; ms += stepMs)
            budget.takeProbe("target", 100, timeAt(ms));
        EXPECT_LE(budget.granted(), 40u); // The burst of 20 and 2 a second.
        EXPECT_GE(budget.granted(), 20u);
    });
    section("an estimate counts while the number was never known, and one below the assumed number doesn't", [] {
        for (auto [estimate, most] : { std::pair(100u, 10u), std::pair(2u, 50u) }) {
            ProbeBudget budget(MeasuringBudget { 10, 1e9 }, 20);
            budget.setAssumedVms(estimate);
            for (double ms = 0; ms < 100000; ms += stepMs)
                budget.takeProbe("target", 100, timeAt(ms));
            EXPECT_GE(budget.granted(), most - 1) << estimate;
            EXPECT_LE(budget.granted(), most) << estimate;
        }
    });
    section("a lower number of VMs takes effect only after a lease term", [] {
        ProbeBudget budget(MeasuringBudget { 10, 1e9 }, 20);
        for (double ms = 0; ms < 20000; ms += stepMs) {
            budget.setLiveVms(ms < 10000 ? 10 : 1, Milliseconds(leaseMs), timeAt(ms));
            if (ms >= 10000 && ms < 10000 + leaseMs)
                budget.takeProbe("target", 100, timeAt(ms));
        }
        EXPECT_LE(budget.granted(), 4u);
    });
}
