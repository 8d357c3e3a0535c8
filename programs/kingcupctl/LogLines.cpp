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

constexpr uint64_t targetEventWindowMs = 5000; ///< Events of a target up to this long before an attempt on it are included. Longer than a target's lease.

/** Returns the call that a line belongs to as VM/CALL; empty if the line names none. */
std::string callId(const json& line)
{
    return line.contains("call") ? absl::StrCat(textField(line, "vm"), "/", numberField(line, "call")) : std::string();
}

/** Parses the lines of all files. Counts unreadable and unwritten lines in the result. */
std::vector<json> parseLines(const std::vector<std::string>& fileContents, RequestLines& result)
{
    std::vector<json> lines;
    for (const std::string& content : fileContents) {
        for (absl::string_view text : absl::StrSplit(content, '\n', absl::SkipEmpty())) {
            json line = json::parse(text.begin(), text.end(), nullptr, false);
            if (!line.is_object() || !line.contains("event")) {
                result.unreadableCount++;
                continue;
            }
            std::string event = textField(line, "event");
            if (event == "log_lines_suppressed" || event == "log_lines_lost")
                result.unwrittenCount += numberField(line, "count");
            lines.push_back(std::move(line));
        }
    }
    return lines;
}

/** Returns the calls of a request as VM/CALL. A request may reach several entry VMs, and some lines name only the call. */
std::set<std::string> findCallIds(const std::string& id, const std::vector<json>& lines)
{
    std::set<std::string> callIds { id };
    for (const json& line : lines) {
        if (textField(line, "request") == id && !callId(line).empty())
            callIds.insert(callId(line));
    }
    return callIds;
}

} // namespace

RequestLines findRequestLines(const std::string& id, const std::vector<std::string>& fileContents)
{
    RequestLines result;
    std::vector<json> lines = parseLines(fileContents, result);
    std::set<std::string> callIds = findCallIds(id, lines);
    std::vector<std::pair<std::string, uint64_t>> attempts; // Target address and log time in milliseconds.
    auto isOfRequest = [&](const json& line) { return textField(line, "request") == id || callIds.contains(callId(line)); };
    for (const json& line : lines) {
        if (isOfRequest(line) && line.contains("target"))
            attempts.emplace_back(textField(line, "target"), numberField(line, "timeMs"));
    }
    auto isRelatedTargetEvent = [&](const json& line) {
        bool isTargetEvent = textField(line, "event").starts_with("target_") && !line.contains("call");
        return isTargetEvent && std::any_of(attempts.begin(), attempts.end(), [&](const auto& attempt) {
            uint64_t time = numberField(line, "timeMs");
            return attempt.first == textField(line, "target") && time <= attempt.second && time + targetEventWindowMs >= attempt.second;
        });
    };
    for (json& line : lines) {
        if (isOfRequest(line) || isRelatedTargetEvent(line))
            result.lines.push_back(std::move(line));
    }
    std::stable_sort(result.lines.begin(), result.lines.end(), [](const json& a, const json& b) { return numberField(a, "timeMs") < numberField(b, "timeMs"); });
    return result;
}

std::string formatLogLine(const json& line)
{
    std::string text = absl::StrCat(numberField(line, "timeMs"), " ", textField(line, "vm"), " ", textField(line, "event"));
    for (const auto& [name, value] : line.items()) {
        bool isShownBefore = name == "timeMs" || name == "vm" || name == "event" || name == "level";
        if (!isShownBefore)
            absl::StrAppend(&text, " ", name, "=", value.is_string() ? value.get<std::string>() : value.dump());
    }
    return text;
}

} // namespace kingcup
