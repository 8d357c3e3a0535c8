/** @file LogLines.cpp Parses, selects and formats log lines. */
#include "LogLines.h"

#include "kingcup/JsonFields.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <set>
#include <utility>

namespace kingcup {

using nlohmann::json;

namespace {

constexpr uint64_t beliefWindowMs = 5000; ///< Events of a target up to this long before an attempt on it are included. Longer than a target's lease.

/** Returns the call that a line belongs to as VM/CALL; empty if the line names none. */
std::string callOf(const json& line)
{
    return line.contains("call") ? absl::StrCat(textField(line, "vm"), "/", numberField(line, "call")) : std::string();
}

/** Parses the lines of all files. Counts unreadable and unwritten lines in the result. */
std::vector<json> readLines(const std::vector<std::string>& files, RequestLines& result)
{
    std::vector<json> lines;
    for (const std::string& file : files) {
        for (absl::string_view text : absl::StrSplit(file, '\n', absl::SkipEmpty())) {
            json line = json::parse(text.begin(), text.end(), nullptr, false);
            if (!line.is_object() || !line.contains("event")) {
                result.unreadable++;
                continue;
            }
            std::string event = textField(line, "event");
            if (event == "log_lines_suppressed" || event == "log_lines_lost")
                result.leftOut += numberField(line, "count");
            lines.push_back(std::move(line));
        }
    }
    return lines;
}

/** Returns the calls of a request as VM/CALL. A request may reach several entry VMs, and some lines name only the call. */
std::set<std::string> callsOf(const std::string& id, const std::vector<json>& lines)
{
    std::set<std::string> calls { id };
    for (const json& line : lines) {
        if (textField(line, "request") == id && !callOf(line).empty())
            calls.insert(callOf(line));
    }
    return calls;
}

} // namespace

RequestLines requestLines(const std::string& id, const std::vector<std::string>& files)
{
    RequestLines result;
    std::vector<json> lines = readLines(files, result);
    std::set<std::string> calls = callsOf(id, lines);
    std::vector<std::pair<std::string, uint64_t>> attempts; // Target address and log time in milliseconds.
    auto isOwn = [&](const json& line) { return textField(line, "request") == id || calls.contains(callOf(line)); };
    for (const json& line : lines) {
        if (isOwn(line) && line.contains("target"))
            attempts.emplace_back(textField(line, "target"), numberField(line, "timeMs"));
    }
    auto explains = [&](const json& line) {
        bool isBelief = textField(line, "event").starts_with("target_") && !line.contains("call");
        return isBelief && std::any_of(attempts.begin(), attempts.end(), [&](const auto& attempt) {
            uint64_t time = numberField(line, "timeMs");
            return attempt.first == textField(line, "target") && time <= attempt.second && time + beliefWindowMs >= attempt.second;
        });
    };
    for (json& line : lines) {
        if (isOwn(line) || explains(line))
            result.lines.push_back(std::move(line));
    }
    std::stable_sort(result.lines.begin(), result.lines.end(), [](const json& a, const json& b) { return numberField(a, "timeMs") < numberField(b, "timeMs"); });
    return result;
}

std::string describeLine(const json& line)
{
    std::string text = absl::StrCat(numberField(line, "timeMs"), " ", textField(line, "vm"), " ", textField(line, "event"));
    for (const auto& [name, value] : line.items()) {
        bool isShown = name == "timeMs" || name == "vm" || name == "event" || name == "level";
        if (!isShown)
            absl::StrAppend(&text, " ", name, "=", value.is_string() ? value.get<std::string>() : value.dump());
    }
    return text;
}

} // namespace kingcup
