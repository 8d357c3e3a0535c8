/** @file Edge.h Replaceable parts of the external interface to callers, targets and operators. */
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

/** Names of HTTP header fields. A field with an empty name is neither read nor sent. */
struct HeaderNames {
    std::string deadline { headerDeadline }; ///< From callers and to targets: time left for the request, in ms.
    std::string depth { headerDepth }; ///< From callers and to targets: call depth, 0 at the first caller.
    std::string load { headerLoad }; ///< From targets: load report.
    std::string result { headerResult }; ///< To callers: result code.
    std::string run { headerRun }; ///< To callers: whether a target ran the request.
    std::string forwardedFor { "X-Forwarded-For" }; ///< From callers and to targets: addresses of the caller and the proxies on the way.
    std::string requestId; ///< From callers and to targets: id of the request, which the target repeats in its response.
    std::string expectedInstance; ///< To targets: instance that the request is addressed to; any other instance rejects it with 421.
    std::string leaving { headerLeaving }; ///< From targets: "1" if the target leaves and must get no further request.
    std::string limit { headerLimit }; ///< From targets: requests a second that the target accepts from all entry VMs together.
    std::string organisation { headerOrganisation }; ///< To targets: organisation that holds the API key of the request.
    std::string coldLeft { headerColdLeft }; ///< From targets, in answers to health requests: time in ms for which the target stays cold.
    std::string notRun; ///< From targets: present if the target did not run the request.
};

/** Header names, parsers and formatters of the external interface. The defaults are the product's own interface; a platform can replace them. */
struct Edge {
    using Announcement = std::variant<wire::TargetLoad, std::string>; ///< Parsed announcement of a target, or an error message.

    HeaderNames headers; ///< Header fields of calls.
    std::function<std::optional<LoadReport>(std::string_view)> parseLoad = parseLoadReport; ///< Parses the load header; empty if it is malformed.
    std::function<Announcement(std::string_view body, std::string_view id)> parseAnnouncement = [](std::string_view body, std::string_view) { return kingcup::parseAnnouncement(body); }; ///< Parses the announcement of a target. `id` is the query parameter of that name.
    std::function<std::optional<std::string>(const nlohmann::json& manifest)> formatManifest = [](const nlohmann::json& manifest) { return std::optional(manifest.dump() + "\n"); }; ///< Formats the current manifest for operators; empty if there is none yet.
    bool sendsFractionalRetryAfter = false; ///< Whether Retry-After is sent with fractions of a second; otherwise in whole seconds, at least 1.
    bool acceptsCloseDelimitedAnswers = false; ///< Whether a response of a target without a stated length is accepted and ends when the target closes the connection. A reset connection makes it incomplete.
};

} // namespace kingcup
