/** @file UsageShareTest.cpp Guards against refused callers that all return at once, permits that are lost with a request that was not sent, and usage that is reported twice. */
#include "kingcup/UsageShare.h"

#include "testing/Story.h"

#include <gtest/gtest.h>

using namespace kingcup;
using kingcup::testing::section;

TEST(UsageShareTest, permitsAndReports)
{
    UsageShare usage(UsageCapLimits(), Milliseconds(1000), 10, 1);
    const UsageCap cap { 10, 0 };
    wire::SessionRequest request;
    wire::SessionAnswer answer;
    usage.addUsage(1, timeAt(0), request);
    usage.receiveShares(1, answer, timeAt(10));
    section("a request that was not sent returns its permit", [&] {
        int granted = 0;
        for (; granted < 100 && usage.takePermit("o", cap, timeAt(10)).isGranted; granted++) { }
        EXPECT_EQ(granted, 8);
        usage.returnPermit("o", timeAt(10));
        EXPECT_TRUE(usage.takePermit("o", cap, timeAt(10)).isGranted);
    });
    section("the delay of a refused caller is spread, and one refusal in a second is logged", [&] {
        UsagePermit one = usage.takePermit("o", cap, timeAt(20));
        UsagePermit other = usage.takePermit("o", cap, timeAt(20));
        EXPECT_NE(one.retryAfter, other.retryAfter);
        EXPECT_GE(std::min(one.retryAfter, other.retryAfter), Milliseconds(20));
        EXPECT_LE(std::max(one.retryAfter, other.retryAfter), Milliseconds(2000));
        EXPECT_FALSE(other.isFirstRefusal);
    });
    section("an estimate of a new leader lowers the share of an organisation that appears, until the number of VMs is known", [&] {
        // With the number that a VM assumes at its start, the VMs of a larger deployment exceed the window of the cap together.
        UsageShare starting(UsageCapLimits(), Milliseconds(1000), 10, 1);
        auto permitsOf = [&, id = uint64_t(0)](uint32_t live, uint32_t estimated, const std::string& organisation) mutable {
            wire::SessionRequest sent;
            wire::SessionAnswer received;
            received.set_live_entry_vms(live);
            received.set_estimated_entry_vms(estimated);
            starting.addUsage(++id, timeAt(0), sent);
            starting.receiveShares(id, received, timeAt(10));
            int granted = 0;
            while (granted < 10000 && starting.takePermit(organisation, UsageCap { 1000, 0 }, timeAt(10)).isGranted)
                ++granted;
            return granted;
        };
        double assumed = permitsOf(0, 2, "a");
        EXPECT_NEAR(permitsOf(0, 100, "b"), assumed / 10, 1);
        EXPECT_NEAR(permitsOf(0, 50, "c"), assumed / 10, 1);
        EXPECT_NEAR(permitsOf(20, 0, "d"), assumed / 2, 1);
    });
    section("the number of VMs that is assumed is the last known one or a larger estimate, and is stated to the leader once there is one", [&] {
        UsageShare starting(UsageCapLimits(), Milliseconds(1000), 128, 1);
        auto exchange = [&, id = uint64_t(0)](uint32_t live, uint32_t estimated) mutable {
            wire::SessionRequest sent;
            wire::SessionAnswer received;
            received.set_live_entry_vms(live);
            received.set_estimated_entry_vms(estimated);
            starting.addUsage(++id, timeAt(0), sent);
            starting.receiveShares(id, received, timeAt(10));
            return sent.known_entry_vms();
        };
        EXPECT_EQ(starting.assumedVms(), 128u);
        EXPECT_EQ(exchange(0, 7), 0u);
        EXPECT_EQ(starting.assumedVms(), 128u);
        EXPECT_EQ(exchange(0, 130), 7u);
        EXPECT_EQ(starting.assumedVms(), 130u);
        EXPECT_EQ(exchange(16, 0), 130u);
        EXPECT_EQ(starting.assumedVms(), 16u);
        EXPECT_EQ(exchange(0, 3), 16u);
        EXPECT_EQ(starting.assumedVms(), 16u);
        EXPECT_EQ(exchange(0, 20), 16u);
        EXPECT_EQ(starting.assumedVms(), 20u);
    });
    section("usage is reported until a report is answered, and a closed organisation is refused", [&] {
        for (uint64_t id : { 2, 3 }) {
            request.Clear();
            usage.addUsage(id, timeAt(30), request);
            ASSERT_EQ(request.usage_size(), 1);
            EXPECT_EQ(request.usage(0).admitted(), 8u);
        }
        wire::OrganisationShare& share = *answer.add_shares();
        share.set_organisation("o");
        share.set_closed(true);
        usage.receiveShares(3, answer, timeAt(40));
        usage.receiveShares(2, {}, timeAt(40));
        EXPECT_FALSE(usage.takePermit("o", cap, timeAt(900)).isGranted);
        EXPECT_EQ(usage.closedOrganisations(timeAt(900)), 1u);
        request.Clear();
        usage.addUsage(4, timeAt(900), request);
        EXPECT_EQ(request.usage(0).admitted(), 0u);
    });
}
