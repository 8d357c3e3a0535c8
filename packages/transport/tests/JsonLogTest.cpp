/** @file JsonLogTest.cpp Tests that a stalled reader does not block the log and that log rates are limited. */
#include "kingcup/JsonLog.h"
#include "kingcup/LogLimiter.h"

#include "testing/ScratchFolder.h"
#include "testing/Story.h"

#include <fcntl.h>
#include <fstream>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

using namespace kingcup;
using kingcup::testing::ScratchFolder;
using kingcup::testing::section;

namespace {

/** Returns the lines of a file. */
std::vector<nlohmann::json> linesOf(const std::string& path)
{
    std::vector<nlohmann::json> lines;
    std::ifstream stream(path);
    for (std::string line; std::getline(stream, line);)
        lines.push_back(nlohmann::json::parse(line, nullptr, false));
    return lines;
}

/** Runs a function and returns its duration in milliseconds. */
template <typename Function>
double timeOf(Function function)
{
    TimePoint start = MillisecondClock::now();
    function();
    return (MillisecondClock::now() - start).count();
}

/** Reads the bytes that a pipe holds, without waiting. */
std::string drain(int descriptor)
{
    std::string text;
    char buffer[65536];
    for (ssize_t count = 0; (count = read(descriptor, buffer, sizeof(buffer))) > 0;)
        text.append(buffer, static_cast<size_t>(count));
    return text;
}

} // namespace

TEST(JsonLogTest, doesNotBlockOnStalledReader)
{
    ScratchFolder folder;
    std::string path = folder.path() + "/log.fifo";
    ASSERT_EQ(mkfifo(path.c_str(), 0600), 0);
    int reader = open(path.c_str(), O_RDONLY | O_NONBLOCK);
    openLog(path, "vm");
    section("a stalled reader does not block logging threads", [] {
        std::string filling(500, 'x');
        double tookMs = timeOf([&] {
            for (int event = 0; event < 40; event++) {
                for (int line = 0; line < 100; line++)
                    logLine(LogLevel::Info, "event_" + std::to_string(event), { { "filling", filling } });
            }
        });
        EXPECT_LT(tookMs, 2000);
    });
    section("the number of lost lines is written once the reader reads again", [&] {
        poll(nullptr, 0, 600); // The log waits up to 200 ms for its reader.
        std::string text;
        for (int round = 0; round < 100 && text.find("log_lines_lost") == std::string::npos; round++) {
            text += drain(reader);
            logLine(LogLevel::Info, "later");
            poll(nullptr, 0, 20);
        }
        EXPECT_NE(text.find("log_lines_lost"), std::string::npos);
    });
    section("a full pipe does not delay closing the log", [] {
        std::string filling(1000, 'x');
        for (int line = 0; line < 300; line++)
            logLine(LogLevel::Info, "last_" + std::to_string(line), { { "filling", filling } });
        EXPECT_LT(timeOf([] { closeLog(); }), 1500);
    });
    close(reader);
}

TEST(JsonLogTest, limitsRatePerEvent)
{
    ScratchFolder folder;
    std::string path = folder.path() + "/log.jsonl";
    openLog(path, "vm");
    section("a flood of one event does not suppress other events", [&] {
        for (int line = 0; line < 20000; line++)
            logLine(LogLevel::Warning, "attempt_failed", { { "number", line } });
        logLine(LogLevel::Info, "rare");
        poll(nullptr, 0, 1100);
        logLine(LogLevel::Info, "afterwards");
        closeLog();
        size_t flood = 0;
        uint64_t suppressed = 0;
        bool rare = false;
        for (const nlohmann::json& line : linesOf(path)) {
            ASSERT_TRUE(line.is_object());
            flood += line["event"] == "attempt_failed";
            rare = rare || line["event"] == "rare";
            if (line["event"] == "log_lines_suppressed")
                suppressed += line["count"].get<uint64_t>();
        }
        EXPECT_LE(flood, 1000u);
        EXPECT_TRUE(rare);
        EXPECT_EQ(flood + suppressed, 20000u);
    });
}

TEST(LogLimiterTest, limitsRates)
{
    LogLimiter limiter;
    int written = 0;
    for (double ms = 0; ms < 10000; ms += 1)
        written += limiter.tryAcquire("event", timeAt(1e6 + ms));
    EXPECT_NEAR(written, 400 + 1000, 5);
    int all = 0;
    LogLimiter process;
    for (double ms = 0; ms < 10000; ms += 1)
        all += process.tryAcquire("event_" + std::to_string(static_cast<int>(ms) % 50), timeAt(1e6 + ms));
    EXPECT_NEAR(all, 1200 + 3000, 5);
}
