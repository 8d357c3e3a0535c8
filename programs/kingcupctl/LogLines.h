/** @file LogLines.h Finds in log files what happened to one request. */
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace kingcup {

/** Lines of one request and of the targets that it was sent to. */
struct RequestLines {
    nlohmann::json lines = nlohmann::json::array(); ///< Whole lines, by time.
    size_t unreadable = 0; ///< Lines of the files that are no JSON object, as a crash leaves them.
    size_t leftOut = 0; ///< Lines that the processes say they left out.
};

/**
 * Gathers the lines of one request.
 * @param id Request id that callers know, or VM/CALL for a call on an entry VM.
 * @param files Contents of log files, in any order.
 */
RequestLines requestLines(const std::string& id, const std::vector<std::string>& files);

/** Returns a line as text: time, VM, event, and the other fields as name=value. */
std::string describeLine(const nlohmann::json& line);

} // namespace kingcup
