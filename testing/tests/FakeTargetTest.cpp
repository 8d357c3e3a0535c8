/** @file FakeTargetTest.cpp Guards against fakes, callers and proxies that hide faults of the product from the integration tests. */
#include "testing/FakeTarget.h"
#include "testing/FaultProxy.h"
#include "testing/LoadGenerator.h"
#include "testing/ProcessHarness.h"
#include "testing/Story.h"

#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

/** Returns options of a target that announces itself to nobody. */
FakeTargetOptions targetOptions(AddressPool& addresses)
{
    FakeTargetOptions options;
    options.service = "matters";
    options.listen = addresses.next();
    options.availabilityZone = "a";
    options.faults = { { "latencyMedianMs", 1 } };
    return options;
}

/** Returns options of a short load on one address. */
LoadOptions loadOptions(const std::string& address)
{
    LoadOptions options;
    options.addresses = { address };
    options.mix.resize(2);
    options.mix[1].method = "POST";
    options.mix[1].repeatable = false;
    options.mix[1].keyed = true;
    options.mix[1].requestBytes = 2000;
    options.callsPerSecond = 400;
    options.duration = Milliseconds(500);
    options.threads = 8;
    return options;
}

/** Runs a load and returns its calls. */
std::vector<CallRecord> runLoad(const LoadOptions& options)
{
    LoadGenerator load(options);
    load.start();
    load.join();
    return load.records();
}

/** Returns the history of calls on one target. */
History historyOf(const std::vector<CallRecord>& records, const FakeTarget& target)
{
    History history;
    for (const CallRecord& record : records)
        history.calls.push_back(record.view);
    history.executions = target.executions();
    return history;
}

} // namespace

TEST(FakeTarget, answersEachCallOnceAndWhole)
{
    uint64_t seed = testSeed(7);
    ScratchFolder folder;
    AddressPool addresses;
    FakeTargetOptions options = targetOptions(addresses);
    options.executionLog = folder.path() + "/executions.jsonl";
    FakeTarget target(options);
    ASSERT_TRUE(target.start());
    LoadOptions load = loadOptions(options.listen);
    load.seed = seed;

    std::vector<CallRecord> records = runLoad(load);
    LoadSummary summary = summarise(records);
    EXPECT_GT(summary.calls, 50u);
    EXPECT_EQ(summary.answered, summary.calls);
    EXPECT_EQ(describeViolations(checkHistory(historyOf(records, target))), "");
    EXPECT_EQ(target.executions().size(), records.size());
    EXPECT_EQ(readExecutionLog(options.executionLog).size(), records.size());
}

TEST(FakeTarget, faultsAreSeenByCallers)
{
    AddressPool addresses;
    FakeTarget target(targetOptions(addresses));
    ASSERT_TRUE(target.start());
    LoadOptions load = loadOptions(target.address());

    section("shedding answers 503 and runs nothing", [&] {
        target.changeFaults({ { "shedShare", 1 } });
        LoadSummary summary = summarise(runLoad(load));
        EXPECT_EQ(summary.results["status 503"], summary.calls);
        EXPECT_EQ(target.stats().executions, 0u);
    });
    section("truncated answers are noticed", [&] {
        target.changeFaults({ { "shedShare", 0 }, { "truncateShare", 1 } });
        LoadSummary summary = summarise(runLoad(load));
        EXPECT_EQ(summary.unknown, summary.calls);
    });
    section("a closed connection after the run leaves the outcome unknown", [&] {
        target.changeFaults({ { "truncateShare", 0 }, { "closeShare", 1 } });
        uint64_t before = target.stats().executions;
        LoadSummary summary = summarise(runLoad(load));
        EXPECT_EQ(summary.unknown, summary.calls);
        EXPECT_EQ(target.stats().executions - before, summary.calls);
    });
    section("probes are counted apart from executions", [&] {
        uint64_t before = target.stats().executions;
        std::optional<HttpMessage> answer = exchangeOnce(target.address(), makeRequest("GET", "/load"), Milliseconds(1000));
        ASSERT_TRUE(answer);
        EXPECT_NE(answer->find("Kingcup-Load").find("slots=6"), std::string::npos);
        EXPECT_EQ(target.stats().probes, 1u);
        EXPECT_EQ(target.stats().executions, before);
    });
}

TEST(FaultProxy, holdsDelaysCutsAndCounts)
{
    AddressPool addresses;
    FakeTarget target(targetOptions(addresses));
    ASSERT_TRUE(target.start());
    FaultProxy proxy(addresses.next(), target.address());
    ASSERT_TRUE(proxy.start());
    auto ask = [&](double limit) { return exchangeOnce(proxy.address(), makeRequest("GET", "/x"), Milliseconds(limit)); };

    section("passes and counts", [&] {
        ASSERT_TRUE(ask(2000));
        // The proxy counts bytes after it has sent them, so the answer can be here before its count.
        EXPECT_TRUE(waitUntil(Milliseconds(2000), [&] { return proxy.bytesToClient() > 300u; }));
        EXPECT_TRUE(waitUntil(Milliseconds(2000), [&] { return proxy.bytesToServer() > 50u; }));
    });
    section("a one-way partition lets the request run but loses the answer", [&] {
        uint64_t before = target.stats().executions;
        proxy.setMode(ProxyMode::DropToClient);
        EXPECT_FALSE(ask(200));
        EXPECT_TRUE(waitUntil(Milliseconds(2000), [&] { return target.stats().executions == before + 1; }));
    });
    section("a full partition lets nothing through", [&] {
        uint64_t before = target.stats().executions;
        proxy.setMode(ProxyMode::DropBoth);
        EXPECT_FALSE(ask(200));
        EXPECT_EQ(target.stats().executions, before);
        proxy.closeConnections();
        proxy.setMode(ProxyMode::Pass);
        EXPECT_TRUE(ask(2000));
    });
    section("a cut ends one answer in its middle", [&] {
        proxy.cutAfter(100);
        EXPECT_FALSE(ask(2000));
        EXPECT_EQ(proxy.cuts(), 1u);
        EXPECT_TRUE(ask(2000));
    });
    section("a delay lengthens the answer", [&] {
        proxy.setDelay(Milliseconds(30));
        TimePoint start = MillisecondClock::now();
        EXPECT_TRUE(ask(5000));
        EXPECT_GE(MillisecondClock::now() - start, Milliseconds(60));
    });
}

TEST(ProcessHarness, startsSignalsAndAwaits)
{
    ScratchFolder folder;

    section("exit status and output", [&] {
        CommandResult result = runCommand({ "/bin/sh", "-c", "echo text; exit 3" }, folder.path(), Milliseconds(10000));
        EXPECT_EQ(result.status, 3);
        EXPECT_EQ(result.output, "text\n");
    });
    section("a killed process is reported with its signal and can start again", [&] {
        Process process({ "/bin/sh", "-c", "exec sleep 100" }, folder.path() + "/output");
        ASSERT_TRUE(process.start());
        EXPECT_TRUE(process.running());
        process.kill();
        EXPECT_EQ(process.wait(Milliseconds(0)), 128 + 9);
        EXPECT_TRUE(process.start());
        EXPECT_TRUE(process.running());
    });
}
