/** @file FaultSeriesTest.cpp Guards that a seed can be played again and that its faults overlap and end. */
#include "FaultSeries.h"

#include "testing/Story.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>

using namespace kingcup;
using namespace kingcup::testing;

TEST(FaultSeriesTest, drawsFromItsSeedAlone)
{
    const Milliseconds duration(10000);
    std::vector<Fault> series = drawFaults(7, duration, 2);
    section("one seed gives one series, another seed another", [&] {
        EXPECT_EQ(series, drawFaults(7, duration, 2));
        EXPECT_NE(series, drawFaults(8, duration, 2));
        EXPECT_EQ(series.size(), 20u);
    });
    section("faults begin in order, and end with the series at the latest", [&] {
        for (size_t i = 0; i < series.size(); ++i) {
            EXPECT_LE(series[i].start + series[i].length, duration) << describeFault(series[i]);
            EXPECT_TRUE(i == 0 || series[i - 1].start <= series[i].start);
        }
    });
    section("full disks follow the same seed, and half of them are of the leader", [&] {
        std::vector<Fault> disks = drawFullDisks(7, duration, 0.6);
        EXPECT_EQ(disks, drawFullDisks(7, duration, 0.6));
        EXPECT_NE(disks, drawFullDisks(8, duration, 0.6));
        EXPECT_EQ(disks.size(), 6u);
        EXPECT_EQ(std::count_if(disks.begin(), disks.end(), [](const Fault& fault) { return fault.subject == FaultSubject::Leader; }), 3);
    });
    section("partitions follow the same seed and leave the series as it is", [&] {
        EXPECT_EQ(drawPartitions(7, duration, 0.5), drawPartitions(7, duration, 0.5));
        EXPECT_EQ(drawPartitions(7, duration, 0.5).size(), 5u);
        EXPECT_EQ(series, drawFaults(7, duration, 2));
    });
    section("they overlap", [&] {
        size_t overlaps = 0;
        for (size_t i = 1; i < series.size(); ++i)
            overlaps += series[i].start < series[i - 1].start + series[i - 1].length;
        EXPECT_GE(overlaps, 5u);
    });
    section("fifty seeds hold every kind and every subject", [&] {
        std::set<FaultKind> kinds;
        std::set<FaultSubject> subjects;
        for (uint64_t seed = 1; seed <= 50; ++seed) {
            for (const Fault& fault : drawFaults(seed, duration, 2)) {
                kinds.insert(fault.kind);
                subjects.insert(fault.subject);
            }
            for (const Fault& fault : drawPartitions(seed, duration, 0.5))
                kinds.insert(fault.kind);
            for (const Fault& fault : drawFullDisks(seed, duration, 0.5))
                kinds.insert(fault.kind);
        }
        EXPECT_EQ(kinds.size(), std::size(faultKindNames));
        EXPECT_EQ(subjects.size(), std::size(faultSubjectNames));
    });
}
