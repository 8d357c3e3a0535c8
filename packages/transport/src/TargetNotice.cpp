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

} // namespace

TargetNotice parseTargetNotice(const HttpAnswerHead& head, std::string_view leavingField)
{
    TargetNotice notice;
    if (head.status == statusMisdirected)
        return notice;
    notice.isLeaving = !leavingField.empty() && head.headers.find(leavingField) == "1";
    std::optional<std::string_view> delay = head.headers.find(headerRetryAfter);
    double seconds = 0;
    bool isNumber = head.status == statusUnavailable && delay && absl::SimpleAtod(absl::string_view(delay->data(), delay->size()), &seconds);
    if (isNumber && std::isfinite(seconds) && seconds > 0)
        notice.retryAfter = Milliseconds(seconds * msPerSecond);
    return notice;
}

} // namespace kingcup
