/** @file LoadReport.cpp Parses load reports of targets. */
#include "kingcup/Router.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <cmath>

namespace kingcup {

namespace {

// This file uses absl::string_view: Debian builds Abseil with a type of its own, which does not convert to std::string_view.
constexpr size_t maxReportBytes = 256;
constexpr uint32_t maxReportedCount = 1'000'000;
constexpr double maxReportedLatencyMs = 3'600'000;
constexpr double maxSlowdown = 1000;

/** Parses a count; false if it is malformed or too large to be plausible. */
bool parseCount(absl::string_view text, uint32_t& value)
{
    return absl::SimpleAtoi(text, &value) && value <= maxReportedCount;
}

/** Parses a number in [0, bound]; false if it is malformed or out of range. */
bool parseNumber(absl::string_view text, double bound, double& value)
{
    return absl::SimpleAtod(text, &value) && std::isfinite(value) && value >= 0 && value <= bound;
}

} // namespace

std::optional<LoadReport> parseLoadReport(std::string_view value)
{
    if (value.size() > maxReportBytes)
        return std::nullopt;
    LoadReport report;
    bool hasInFlight = false;
    for (absl::string_view item : absl::StrSplit(absl::string_view(value.data(), value.size()), ',')) {
        std::pair<absl::string_view, absl::string_view> parts = absl::StrSplit(item, absl::MaxSplits('=', 1));
        absl::string_view name = absl::StripAsciiWhitespace(parts.first);
        absl::string_view text = absl::StripAsciiWhitespace(parts.second);
        bool isValid = true; // Unknown names are ignored: later versions may add some.
        if (name == "inflight")
            isValid = hasInFlight = parseCount(text, report.inFlight);
        else if (name == "slots")
            isValid = parseCount(text, report.slots);
        else if (name == "latency-ms")
            isValid = parseNumber(text, maxReportedLatencyMs, report.latencyMs);
        else if (name == "waiting")
            isValid = parseCount(text, report.waiting);
        else if (name == "slowdown")
            isValid = parseNumber(text, maxSlowdown, report.slowdown);
        if (!isValid)
            return std::nullopt;
    }
    return hasInFlight ? std::optional(report) : std::nullopt;
}

} // namespace kingcup
