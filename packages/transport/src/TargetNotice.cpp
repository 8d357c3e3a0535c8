/** @file TargetNotice.cpp Parses statements of a target about itself. */
#include "kingcup/TargetNotice.h"

#include "kingcup/HttpRules.h"

#include <absl/strings/numbers.h>
#include <cmath>

namespace kingcup {

namespace {

constexpr int statusMisdirected = 421;
constexpr int statusUnavailable = 503;
constexpr double msPerSecond = 1000;

/** Returns a finite number that is not negative; empty for other values. */
std::optional<double> parseNumber(std::string_view value)
{
    double number = 0;
    bool isNumber = absl::SimpleAtod(absl::string_view(value.data(), value.size()), &number);
    return isNumber && std::isfinite(number) && number >= 0 ? std::optional(number) : std::nullopt;
}

} // namespace

TargetNotice parseTargetNotice(const HttpAnswerHead& head, const TargetNoticeFields& fields)
{
    TargetNotice notice;
    if (head.status == statusMisdirected)
        return notice;
    notice.isLeaving = !fields.leaving.empty() && head.headers.find(fields.leaving) == "1";
    std::optional<std::string_view> limit = fields.limit.empty() ? std::nullopt : head.headers.find(fields.limit);
    notice.isWithoutLimit = !limit;
    if (limit)
        notice.requestsPerSecond = parseNumber(*limit);
    std::optional<std::string_view> coldLeft = fields.coldLeft.empty() ? std::nullopt : head.headers.find(fields.coldLeft);
    if (std::optional<double> coldLeftMs = coldLeft ? parseNumber(*coldLeft) : std::nullopt)
        notice.coldLeft = Milliseconds(*coldLeftMs);
    std::optional<std::string_view> delay = head.headers.find(headerRetryAfter);
    std::optional<double> seconds = head.status == statusUnavailable && delay ? parseNumber(*delay) : std::nullopt;
    if (seconds && *seconds > 0)
        notice.retryAfter = Milliseconds(*seconds * msPerSecond);
    return notice;
}

} // namespace kingcup
