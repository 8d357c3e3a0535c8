/** @file RouteParser.h Reads and writes the routes of a manifest and its limits for callers. */
#pragma once

#include "JsonReader.h"

namespace kingcup {

/** Reads one route. The first error is stored in `error`. */
Route readRoute(const nlohmann::json& value, const std::string& pointer, const DocumentCodes& codes, DocumentError& error);

/** Writes the canonical document of a route. */
std::string writeRoute(const Route& route);

/** Reads the limits for callers. The first error is stored in `error`. */
CallerLimits readCallerLimits(const nlohmann::json& value, const std::string& pointer, const DocumentCodes& codes, DocumentError& error);

/** Writes the canonical document of the limits for callers. */
std::string writeCallerLimits(const CallerLimits& limits);

} // namespace kingcup
