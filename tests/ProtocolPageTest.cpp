/** @file ProtocolPageTest.cpp Guards against examples of docs/PROTOCOL.md that a deployment answers differently. */
#include "DocumentPage.h"
#include "TestDeployment.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr Milliseconds limit { 20000 };
constexpr Milliseconds statedRetryAfter { 1000 }; ///< Retry-After of key_running.
constexpr const char* keyRunningLine = "Kingcup-Result: 1012 key_running";
constexpr const char* keyFinishedLine = "Kingcup-Result: 2005 key_finished";
constexpr const char* exampleKey = "7f3a"; ///< Idempotency key of the examples.

/** Values of the variables in the examples. */
using Variables = std::map<std::string, std::string>;

/** Replaces the variable at a position. Returns its length with the dollar sign. */
size_t expand(const std::string& line, size_t position, const Variables& variables, std::string& word)
{
    for (const auto& [name, value] : variables) {
        if (line.compare(position + 1, name.size(), name) != 0)
            continue;
        word += value;
        return name.size() + 1;
    }
    ADD_FAILURE() << "unknown variable in " << line;
    return 1;
}

/** Splits a command as a shell does, as far as the examples need it. */
std::vector<std::string> splitCommand(const std::string& line, const Variables& variables)
{
    std::vector<std::string> words(1);
    char quote = 0;
    for (size_t i = 0; i < line.size(); ++i) {
        char letter = line[i];
        if (letter == quote)
            quote = 0;
        else if (!quote && (letter == '\'' || letter == '"'))
            quote = letter;
        else if (!quote && letter == ' ')
            words.emplace_back();
        else if (quote != '\'' && letter == '$')
            i += expand(line, i, variables, words.back()) - 1;
        else
            words.back() += letter;
    }
    return words;
}

/** Runs the command of an example. */
CommandResult runExample(const std::string& command, const Variables& variables, const std::string& folder)
{
    std::vector<std::string> words = splitCommand(command, variables);
    EXPECT_EQ(words[0], "curl");
    std::vector<std::string> arguments = { "/usr/bin/curl", "--silent", "--show-error", "--noproxy", "*", "--max-time", "20" };
    arguments.insert(arguments.end(), words.begin() + 1, words.end());
    return runCommand(arguments, folder, limit * 2);
}

/**
 * Checks the only other answer that the page allows to a repetition with an idempotency key, right after the first answer, and repeats the command
 * once after the stated time.
 */
CommandResult repeatAfterKeyRunning(const CommandResult& answer, const std::string& command, const Variables& variables, const std::string& folder)
{
    for (const char* line : { "HTTP/1.1 409", "Kingcup-Run: unknown", "Retry-After: 1\r" })
        EXPECT_NE(answer.output.find(line), std::string::npos) << "expected: " << line << "\nreceived: " << answer.output;
    waitUntil(statedRetryAfter, [] { return false; });
    return runExample(command, variables, folder);
}

/** Returns the part of an answer after its headers. */
std::string bodyOf(const std::string& answer)
{
    size_t end = answer.find("\r\n\r\n");
    return end == std::string::npos ? "" : answer.substr(end + 4);
}

/** Runs the command of an example and compares its output with the lines below it. Returns the output. */
std::string checkExample(const std::string& command, const std::vector<std::string>& expected, const Variables& variables, const std::string& folder)
{
    std::string output;
    section(command, [&] {
        CommandResult result = runExample(command, variables, folder);
        bool expectsRecordedAnswer = std::find(expected.begin(), expected.end(), keyFinishedLine) != expected.end();
        if (expectsRecordedAnswer && result.output.find(keyRunningLine) != std::string::npos)
            result = repeatAfterKeyRunning(result, command, variables, folder);
        output = result.output;
        EXPECT_EQ(result.status, 0) << result.output;
        EXPECT_FALSE(expected.empty());
        for (const std::string& line : expected)
            EXPECT_NE(result.output.find(line), std::string::npos) << "expected: " << line << "\nreceived: " << result.output;
    });
    return output;
}

/** Runs the examples of one block. A repetition that gets the recorded answer must get the body of the first answer. */
void checkBlock(const std::string& block, const Variables& variables, const std::string& folder)
{
    std::vector<std::string> lines = linesOf(block);
    std::string previousCommand;
    std::string previousOutput;
    for (size_t i = 0; i < lines.size();) {
        ASSERT_TRUE(lines[i].starts_with("$ ")) << lines[i];
        std::string command = lines[i++].substr(2);
        std::vector<std::string> expected;
        while (i < lines.size() && !lines[i].starts_with("$ "))
            expected.push_back(lines[i++]);
        std::string output = checkExample(command, expected, variables, folder);
        if (command == previousCommand && output.find(keyFinishedLine) != std::string::npos) {
            EXPECT_EQ(bodyOf(output), bodyOf(previousOutput)) << command;
        }
        previousCommand = command;
        previousOutput = output;
    }
}

} // namespace

TEST(ProtocolPage, everyExampleIsAnsweredAsItSays)
{
    Deployment deployment(testOptions(171, 1));
    nlohmann::json manifest = nlohmann::json::parse(codeBlocks(sourceText("docs/MANIFEST.md"), "json").at(0));
    ASSERT_EQ(deployment.start(manifest), "");
    const Vm& vm = deployment.entryVms()[0];
    auto isServed = [&] {
        std::optional<HttpMessage> answer = exchangeOnce(vm.callerAddress, makeRequest("GET", "/matters/balance"), limit);
        return answer && answer->status() == 200;
    };
    ASSERT_TRUE(waitUntil(limit, isServed)) << deployment.logs();
    auto isInForce = [&] { return deployment.query(vm, "/v1/manifest?number=1").dump().find("\"complete\":true") != std::string::npos; };
    ASSERT_TRUE(waitUntil(limit, isInForce)) << deployment.logs();
    Variables variables = { { "CALLERS", vm.callerAddress }, { "OPERATORS", vm.operatorAddress },
        { "OPERATOR_TOKEN", deployment.operatorToken() }, { "TARGET_TOKEN", deployment.targetToken() } };
    std::vector<std::string> blocks = codeBlocks(sourceText("docs/PROTOCOL.md"), "console");
    ASSERT_FALSE(blocks.empty());
    for (const std::string& block : blocks)
        checkBlock(block, variables, deployment.folder());
    section("the request with an idempotency key ran once, however often it was repeated", [&] {
        std::vector<Execution> executions = deployment.executions();
        EXPECT_EQ(std::count_if(executions.begin(), executions.end(), [](const Execution& execution) { return execution.key == exampleKey; }), 1);
    });
}
