/** @file TargetNotice.h Statements of a target about itself in the header of an answer. */
#pragma once

#include "kingcup/HttpTypes.h"
#include "kingcup/MillisecondClock.h"

#include <optional>
#include <string_view>

namespace kingcup {

/** Statements of a target about itself. */
struct TargetNotice {
    bool isLeaving = false; ///< It leaves and must get no further request.
    std::optional<double> requestsPerSecond; ///< It accepts this many requests a second from all entry VMs together; empty if it stated no valid number.
    bool isWithoutLimit = false; ///< The answer comes from the target and names no limit, not even an invalid one.
    std::optional<Milliseconds> coldLeft; ///< It stays cold for this time, 0: it is not cold; empty if it stated no valid time.
    std::optional<Milliseconds> retryAfter; ///< It turned the request away and accepts none for this time; empty if it stated no valid time above 0.

    /** Returns whether the target must not get a request now. */
    bool isUnavailable() const { return this->isLeaving || this->retryAfter; }
};

/** Names of the header fields with statements of a target. A field with an empty name is not read. */
struct TargetNoticeFields {
    std::string_view leaving; ///< 1: the target leaves.
    std::string_view limit; ///< Requests a second that the target accepts from all entry VMs together, as a decimal number.
    std::string_view coldLeft; ///< Time in milliseconds for which the target stays cold, as a decimal number; 0: it is not cold.
};

/**
 * Parses the statements in an answer: departure, limit, cold time, and Retry-After in seconds, with fractions, of a 503. Other
 * values are ignored. An answer with status 421 states nothing, since another instance than the expected one sends it.
 */
TargetNotice parseTargetNotice(const HttpAnswerHead& head, const TargetNoticeFields& fields);

} // namespace kingcup
