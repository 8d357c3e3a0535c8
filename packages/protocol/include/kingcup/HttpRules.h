/** @file HttpRules.h Header field names and limits of the HTTP interface for callers and targets. */
#pragma once

#include <string_view>

namespace kingcup {

constexpr std::string_view headerIdempotencyKey = "Idempotency-Key"; ///< From callers: key of a request that must run at most once.
constexpr std::string_view headerResult = "Kingcup-Result"; ///< To callers: number and name of the result code.
constexpr std::string_view headerRun = "Kingcup-Run"; ///< To callers: not-run, unknown or ran.
constexpr std::string_view headerDeadline = "Kingcup-Deadline-Ms"; ///< Both ways: remaining time in milliseconds.
constexpr std::string_view headerDepth = "Kingcup-Depth"; ///< Both ways: call depth, 0 at the first caller.
constexpr std::string_view headerLoad = "Kingcup-Load"; ///< From targets: load report.
constexpr std::string_view headerLeaving = "Kingcup-Leaving"; ///< From targets: 1 in every answer of a target that leaves.
constexpr std::string_view headerLimit = "Kingcup-Limit"; ///< From targets: requests a second that the target accepts from all entry VMs together, as a decimal number.
constexpr std::string_view headerOrganisation = "Kingcup-Organisation"; ///< To targets: organisation that holds the API key of the request.
constexpr std::string_view headerColdLeft = "Kingcup-Cold-Ms"; ///< From targets, in answers to health requests: time in milliseconds for which the target stays cold.
constexpr std::string_view headerRetryAfter = "Retry-After"; ///< To callers: delay in whole seconds. From targets, with status 503: time in seconds, with fractions, for which the target accepts no requests from this VM.

constexpr int maxCallDepth = 8; ///< Calls above this depth are refused with depth_exceeded.
constexpr size_t maxIdempotencyKeyBytes = 255; ///< Longer keys are refused.

} // namespace kingcup
