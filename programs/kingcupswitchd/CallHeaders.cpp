/** @file CallHeaders.cpp Implementation of the header rules. */
#include "CallHeaders.h"

#include "kingcup/HttpRules.h"
#include "kingcup/Refusal.h"

#include <algorithm>
#include <cmath>

#include <absl/strings/numbers.h>

namespace kingcup {

namespace {

/** Fields that this VM writes itself or that end here. */
constexpr std::string_view ownRequestFields[] = { headerDeadline, headerDepth, "Content-Length", "Expect", "X-Forwarded-For" };
constexpr std::string_view ownAnswerFields[] = { headerLoad, headerResult, headerRun, "Content-Length" };

template <size_t size>
bool contains(const std::string_view (&fields)[size], std::string_view name)
{
    return std::any_of(std::begin(fields), std::end(fields), [name](std::string_view field) { return equalsIgnoreCase(field, name); });
}

/** Copies the end-to-end fields that are not in a list. */
template <size_t size>
void copyEndToEnd(const HttpHeaders& from, const std::string_view (&ownFields)[size], HttpHeaders& to)
{
    std::string connection(from.find("Connection").value_or(""));
    for (const HttpHeader& field : from.fields) {
        if (!isHopByHop(field.name, connection) && !contains(ownFields, field.name))
            to.fields.push_back(field);
    }
}

} // namespace

CallParameters parseCallParameters(const HttpHeaders& headers)
{
    CallParameters parameters;
    if (std::optional<std::string_view> value = headers.find(headerDeadline)) {
        double milliseconds = 0;
        if (!absl::SimpleAtod(std::string(*value), &milliseconds) || !std::isfinite(milliseconds) || milliseconds < 0)
            parameters.code = ResultCode::BadRequest;
        parameters.deadline = Milliseconds(milliseconds);
    }
    if (std::optional<std::string_view> value = headers.find(headerDepth)) {
        if (!absl::SimpleAtoi(std::string(*value), &parameters.depth))
            parameters.code = ResultCode::BadRequest;
        else if (parameters.depth > static_cast<uint32_t>(maxCallDepth))
            parameters.code = ResultCode::DepthExceeded;
    }
    if (std::optional<std::string_view> value = headers.find(headerIdempotencyKey)) {
        if (value->empty() || value->size() > maxIdempotencyKeyBytes)
            parameters.code = ResultCode::BadRequest;
        parameters.idempotencyKey = std::string(*value);
    }
    return parameters;
}

HttpHeaders targetHeaders(const HttpRequestHead& head, Milliseconds remaining, uint32_t depth)
{
    HttpHeaders headers;
    copyEndToEnd(head.headers, ownRequestFields, headers);
    headers.add(headerDeadline, std::to_string(static_cast<int64_t>(std::max(0.0, remaining.count()))));
    headers.add(headerDepth, std::to_string(depth + 1));
    std::string forwarded(head.headers.find("X-Forwarded-For").value_or(""));
    headers.add("X-Forwarded-For", forwarded.empty() ? head.peer : forwarded + ", " + head.peer);
    return headers;
}

HttpAnswerHead callerHead(const HttpAnswerHead& targetHead, ResultCode result, RunState run)
{
    HttpAnswerHead head;
    head.status = targetHead.status;
    head.contentLength = targetHead.contentLength;
    copyEndToEnd(targetHead.headers, ownAnswerFields, head.headers);
    head.headers.add(headerResult, resultHeaderValue(result));
    head.headers.add(headerRun, runStateName(run));
    return head;
}

std::pair<HttpAnswerHead, std::string> ownAnswer(ResultCode code, Milliseconds retryAfter)
{
    constexpr double msPerSecond = 1000;
    const ResultCodeRow& row = resultCodeRow(code);
    HttpAnswerHead head = refusalHead(code);
    if (row.retryAfter) {
        double seconds = std::max(1.0, std::ceil(retryAfter.count() / msPerSecond));
        head.headers.add(headerRetryAfter, std::to_string(static_cast<int64_t>(seconds)));
    }
    return { head, refusalBody(code) };
}

} // namespace kingcup
