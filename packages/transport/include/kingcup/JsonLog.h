/** @file JsonLog.h Logs as JSON lines on top of Boost.Log. */
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

/** Opens the log. @param file Path; empty: standard output. @param vm Name of this VM, a field of each line. */
void openLog(const std::string& file, const std::string& vm);

/** Writes one line with time, level, VM, event name and fields. Never blocks; rates are bounded by event and process. @param event Short snake_case name. */
void logLine(LogLevel level, std::string_view event, const nlohmann::json& fields = nlohmann::json::object());

/** Closes the log. What its reader does not take at once is lost. */
void closeLog();

} // namespace kingcup
