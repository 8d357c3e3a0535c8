/** @file Edge.h The parts of the interface towards callers, targets and operators that a platform may vary. */
#pragma once

#include "TargetAnnouncements.h"

#include "kingcup/HttpRules.h"
#include "kingcup/Router.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include <nlohmann/json.hpp>

namespace kingcup {

/** Names of header fields. A field with an empty name is neither read nor sent. */
struct HeaderNames {
    std::string deadline { headerDeadline }; ///< From callers and to targets: milliseconds that remain.
    std::string depth { headerDepth }; ///< From callers and to targets: call depth.
    std::string load { headerLoad }; ///< From targets: load report.
    std::string result { headerResult }; ///< To callers: result code.
    std::string run { headerRun }; ///< To callers: whether the request ran.
    std::string forwardedFor { "X-Forwarded-For" }; ///< From callers and to targets: addresses of the callers.
    std::string requestId; ///< From callers and to targets; targets repeat it in their answer.
    std::string expectedInstance; ///< To targets: instance that the request is meant for; another one refuses it with 421.
    std::string notRun; ///< From targets: present when the target did not run the request.
};

/** Functions and names with which the product's own interface can be replaced. */
struct Edge {
    using Announcement = std::variant<wire::TargetLoad, std::string>; ///< Of a target, or what is wrong with it.

    HeaderNames headers; ///< Of calls.
    std::function<std::optional<LoadReport>(std::string_view)> parseLoad = parseLoadReport; ///< Reads the load header.
    std::function<Announcement(std::string_view body, std::string_view id)> parseAnnouncement = [](std::string_view body, std::string_view) { return kingcup::parseAnnouncement(body); }; ///< Reads a target's announcement. `id` comes from the query.
    std::function<std::optional<std::string>(const nlohmann::json& manifest)> formatManifest = [](const nlohmann::json& manifest) { return std::optional(manifest.dump() + "\n"); }; ///< Writes the manifest in force for operators; empty: there is none to show.
    bool fractionalRetryAfter = false; ///< Whether Retry-After has fractions of seconds; otherwise whole seconds, at least 1.
    bool takesUnframedAnswers = false; ///< Whether an answer of a target without length ends with its connection, unless that is reset.
};

} // namespace kingcup
