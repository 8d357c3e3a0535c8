/** @file LogLines.h Search in log files for the events of one request. */
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace kingcup {

/** Log lines of one request and of state changes of the targets that it was sent to. */
struct RequestLines {
    nlohmann::json lines = nlohmann::json::array(); ///< Log lines as JSON objects, ordered by time.
    size_t unreadableCount = 0; ///< Number of lines that are not a JSON object with an event, such as lines cut off by a crash.
    size_t unwrittenCount = 0; ///< Number of lines that the processes did not write, as reported by log_lines_suppressed and log_lines_lost events.
};

/**
 * Collects the log lines of one request.
 * @param id Id of the request as its caller sent it, or VM/CALL for a call on an entry VM.
 * @param files Contents of the log files, in any order.
 */
RequestLines findRequestLines(const std::string& id, const std::vector<std::string>& fileContents);

/** Formats a log line as text: time, VM, event, and the other fields except the level as name=value. */
std::string formatLogLine(const nlohmann::json& line);

} // namespace kingcup
