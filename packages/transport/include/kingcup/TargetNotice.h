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
    std::optional<Milliseconds> retryAfter; ///< It turned the request away and accepts none for this time; empty if it stated no valid time above 0.

    /** Returns whether the target must not get a request now. */
    bool isUnavailable() const { return this->isLeaving || this->retryAfter; }
};

/**
 * Parses the statements in an answer: `leavingField` with the value 1, and Retry-After in seconds, with fractions, of a 503. Other
 * values are ignored. An answer with status 421 states nothing, since another instance than the expected one sends it.
 */
TargetNotice parseTargetNotice(const HttpAnswerHead& head, std::string_view leavingField);

} // namespace kingcup
