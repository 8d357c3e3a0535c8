/** @file ProtocolPageTest.cpp Guards against examples of docs/PROTOCOL.md that a deployment answers differently. */
#include "DocumentPage.h"
#include "TestDeployment.h"

#include <gtest/gtest.h>
#include <map>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr Milliseconds limit { 20000 };

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

/** Runs the command of an example and compares its output with the lines below it. */
void checkExample(const std::string& command, const std::vector<std::string>& expected, const Variables& variables, const std::string& folder)
{
    section(command, [&] {
        std::vector<std::string> words = splitCommand(command, variables);
        ASSERT_EQ(words[0], "curl");
        std::vector<std::string> arguments = { "/usr/bin/curl", "--silent", "--show-error", "--noproxy", "*", "--max-time", "20" };
        arguments.insert(arguments.end(), words.begin() + 1, words.end());
        CommandResult result = runCommand(arguments, folder, limit * 2);
        EXPECT_EQ(result.status, 0) << result.output;
        EXPECT_FALSE(expected.empty());
        for (const std::string& line : expected)
            EXPECT_NE(result.output.find(line), std::string::npos) << "expected: " << line << "\nreceived: " << result.output;
    });
}

/** Runs the examples of one block. */
void checkBlock(const std::string& block, const Variables& variables, const std::string& folder)
{
    std::vector<std::string> lines = linesOf(block);
    for (size_t i = 0; i < lines.size();) {
        ASSERT_TRUE(lines[i].starts_with("$ ")) << lines[i];
        std::string command = lines[i++].substr(2);
        std::vector<std::string> expected;
        while (i < lines.size() && !lines[i].starts_with("$ "))
            expected.push_back(lines[i++]);
        checkExample(command, expected, variables, folder);
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
}
