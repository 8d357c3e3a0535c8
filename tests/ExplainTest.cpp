/** @file ExplainTest.cpp Guards the way from a failed request to its cause that docs/OPERATIONS.md describes, for three kinds of failure. */
#include "TestDeployment.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <sstream>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

/** Returns the lines of a log file that are whole. */
std::vector<nlohmann::json> linesOf(const std::string& file)
{
    std::vector<nlohmann::json> lines;
    std::istringstream stream(readFile(file));
    for (std::string text; std::getline(stream, text);) {
        nlohmann::json line = nlohmann::json::parse(text, nullptr, false);
        if (line.is_object())
            lines.push_back(std::move(line));
    }
    return lines;
}

/** A deployment with one entry VM, and the way back from a failure. */
struct ExplainStory {
    explicit ExplainStory(uint64_t seed)
        : deployment(options(seed))
    {
    }

    static DeploymentOptions options(uint64_t seed)
    {
        DeploymentOptions options = testOptions(seed, 1);
        options.controlVms = 1;
        return options;
    }

    std::string logFile() { return this->deployment.entryVms()[0].folder + "/log.jsonl"; }

    /** Returns VM/CALL of the first call that ended with one of the results, waiting for its line. */
    std::string findCall(const std::vector<std::string>& results)
    {
        std::string found;
        waitUntil(Milliseconds(5000), [&] {
            for (const nlohmann::json& line : linesOf(this->logFile())) {
                bool wanted = line.value("event", "") == "call_ended" && std::count(results.begin(), results.end(), line.value("result", ""));
                if (wanted && found.empty())
                    found = "entry-1/" + std::to_string(line.value("call", 0));
            }
            return !found.empty();
        });
        return found;
    }

    /** Runs `kingcupctl explain`. */
    CommandResult explain(const std::string& id)
    {
        std::string logs = this->logFile() + "," + this->deployment.controlVms()[0].folder + "/log.jsonl";
        return runCommand({ KINGCUPCTL, "--logs=" + logs, "explain", id }, this->deployment.folder(), Milliseconds(5000));
    }

    /** Sends calls of one kind and waits for their end. */
    void load(double callsPerSecond, double postWeight)
    {
        LoadOptions options = loadOn(this->deployment, callsPerSecond, Milliseconds(1500), postWeight);
        LoadGenerator generator(options);
        generator.start();
        generator.join();
    }

    Deployment deployment;
};

/** Returns whether the text holds a line with all words. */
bool hasLine(const std::string& text, const std::vector<std::string>& words)
{
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        if (std::all_of(words.begin(), words.end(), [&](const std::string& word) { return line.find(word) != std::string::npos; }))
            return true;
    }
    return false;
}

} // namespace

TEST(Explain, leadsFromAFailedRequestToItsCause)
{
    ExplainStory story(51);
    ASSERT_EQ(startAll(story.deployment), "");
    auto setAll = [&](const nlohmann::json& faults) {
        for (size_t target = 0; target < story.deployment.targets().size(); ++target)
            story.deployment.changeFaults(target, faults);
    };
    section("outcome unknown after a lost connection: the attempt names the target, and the suspicion follows", [&] {
        setAll({ { "closeShare", 1.0 } });
        story.load(20, 1000);
        setAll({ { "closeShare", 0.0 } });
        std::string call = story.findCall({ "connection_lost" });
        ASSERT_NE(call, "");
        CommandResult result = story.explain(call);
        EXPECT_EQ(result.status, 0) << result.output;
        EXPECT_TRUE(hasLine(result.output, { "attempt_ended", "outcome=connection_lost", "sent=true", "target=" })) << result.output;
        EXPECT_TRUE(hasLine(result.output, { "request_suspected", "target=" })) << result.output;
        EXPECT_TRUE(hasLine(result.output, { "call_ended", "result=connection_lost", "run=unknown" })) << result.output;
    });
    section("late because of a slow target: the attempt was sent and no byte came in time", [&] {
        setAll({ { "stall", true } });
        story.load(5, 0);
        setAll({ { "stall", false } });
        std::string call = story.findCall({ "deadline_after_send" });
        ASSERT_NE(call, "");
        CommandResult result = story.explain(call);
        EXPECT_TRUE(hasLine(result.output, { "attempt_ended", "outcome=timed_out", "sent=true", "firstByteMs=0" })) << result.output;
        EXPECT_TRUE(hasLine(result.output, { "call_ended", "result=deadline_after_send", "limitMs=" })) << result.output;
    });
    section("refused at worst load: the call ended without an attempt and was not run", [&] {
        setAll({ { "latencyMedianMs", 1500 } });
        story.load(400, 0);
        setAll({ { "latencyMedianMs", 2 } });
        std::string call = story.findCall({ "queue_full", "wait_too_long" });
        ASSERT_NE(call, "");
        CommandResult result = story.explain(call);
        EXPECT_TRUE(hasLine(result.output, { "call_ended", "attempts=0", "run=not-run" })) << result.output;
        EXPECT_FALSE(hasLine(result.output, { "attempt_ended" })) << result.output;
    });
    section("an id that no log names is said to be unknown", [&] {
        CommandResult result = story.explain("entry-1/999999");
        EXPECT_EQ(result.status, 7) << result.output;
        EXPECT_NE(result.output.find("no line of"), std::string::npos);
    });
}
