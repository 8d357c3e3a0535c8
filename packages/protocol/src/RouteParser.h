/** @file RouteParser.h Reads and writes the routes and the callers' limits of a manifest. */
#pragma once

#include "JsonReader.h"

namespace kingcup {

/** Reads one route. The first error is noted in `error`. */
Route readRoute(const nlohmann::json& value, const std::string& pointer, const DocumentCodes& codes, DocumentError& error);

/** Writes the canonical document of a route. */
std::string writeRoute(const Route& route);

/** Reads the callers' limits. The first error is noted in `error`. */
CallerLimits readCallerLimits(const nlohmann::json& value, const std::string& pointer, const DocumentCodes& codes, DocumentError& error);

/** Writes the canonical document of the callers' limits. */
std::string writeCallerLimits(const CallerLimits& limits);

} // namespace kingcup
