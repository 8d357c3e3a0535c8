/** @file JsonLog.h Structured log in JSON lines, based on Boost.Log. */
#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace kingcup {

/** Severity of a log line. */
enum class LogLevel {
    Debug, ///< Details for developers.
    Info, ///< Changes of state.
    Warning, ///< Something failed and was handled.
    Error, ///< Something failed and needs an operator.
};

/** Opens the log. @param file Path; empty for standard output. @param vm Name of this VM, added to each line. */
void openLog(const std::string& file, const std::string& vm);

/** Writes one line with time, level, VM, event name and fields. Never blocks. Lines above the rate limit of the event or the process are dropped and counted. @param event Short snake_case name. */
void logLine(LogLevel level, std::string_view event, const nlohmann::json& fields = nlohmann::json::object());

/** Closes the log. Queued lines that cannot be written at once are lost. */
void closeLog();

} // namespace kingcup
