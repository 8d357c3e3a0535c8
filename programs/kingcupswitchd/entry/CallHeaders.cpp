/** @file CallHeaders.cpp Implementation of the rules for forwarded, added and removed header fields. */
#include "CallHeaders.h"

#include "kingcup/HttpRules.h"
#include "kingcup/JsonFields.h"
#include "kingcup/Refusal.h"

#include <algorithm>
#include <cmath>

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>

namespace kingcup {

namespace {

constexpr std::string_view authorizationField = "Authorization";
constexpr std::string_view bearerScheme = "Bearer";

/** Returns whether a list of field names contains a name, ignoring case. */
bool containsName(std::initializer_list<std::string_view> names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(), [name](std::string_view field) { return equalsIgnoreCase(field, name); });
}

/** Copies the end-to-end fields, except those that this VM sets or removes itself. */
void copyEndToEnd(const HttpHeaders& from, std::initializer_list<std::string_view> excludedNames, HttpHeaders& to)
{
    std::string connection(from.find("Connection").value_or(""));
    for (const HttpHeader& field : from.fields) {
        if (!isHopByHop(field.name, connection) && !containsName(excludedNames, field.name))
            to.fields.push_back(field);
    }
}

/** Returns whether some targets take two field names for the same: in their environment variables, `-` and `_` do not differ. */
bool isTakenForField(std::string_view name, std::string_view field)
{
    std::string plainName(name);
    std::string plainField(field);
    std::replace(plainName.begin(), plainName.end(), '_', '-');
    std::replace(plainField.begin(), plainField.end(), '_', '-');
    return equalsIgnoreCase(plainName, plainField);
}

/** Removes the fields by which a caller could pass for an organisation, and the API key. */
void removeIdentity(HttpHeaders& headers, const HeaderNames& names, const CallerIdentity& caller)
{
    std::erase_if(headers.fields, [&](const HttpHeader& field) {
        bool isForged = !names.organisation.empty() && isTakenForField(field.name, names.organisation);
        return isForged || (caller.hidesAuthorization && isTakenForField(field.name, authorizationField));
    });
}

/** Returns the value of a field. @param name Empty when this edge does not use the field. */
std::optional<std::string_view> findIfNamed(const HttpHeaders& headers, const std::string& name)
{
    return name.empty() ? std::nullopt : headers.find(name);
}

/** Adds a field. @param name Empty when this edge does not use the field; nothing is added then. */
void addIfNamed(HttpHeaders& headers, const std::string& name, std::string_view value)
{
    if (!name.empty())
        headers.add(name, value);
}

} // namespace

CallParameters parseCallParameters(const HttpHeaders& headers, const HeaderNames& names)
{
    CallParameters parameters;
    if (std::optional<std::string_view> value = findIfNamed(headers, names.deadline)) {
        double milliseconds = 0;
        if (!absl::SimpleAtod(std::string(*value), &milliseconds) || !std::isfinite(milliseconds) || milliseconds < 0)
            parameters.code = ResultCode::BadRequest;
        parameters.deadline = Milliseconds(milliseconds);
    }
    if (std::optional<std::string_view> value = findIfNamed(headers, names.depth)) {
        if (!absl::SimpleAtoi(std::string(*value), &parameters.depth))
            parameters.code = ResultCode::BadRequest;
        else if (parameters.depth > static_cast<uint32_t>(maxCallDepth))
            parameters.code = ResultCode::DepthExceeded;
    }
    if (std::optional<std::string_view> value = headers.find(headerIdempotencyKey)) {
        parameters.idempotencyKey = std::string(*value);
        if (value->empty() || value->size() > maxIdempotencyKeyBytes || !isUtf8(parameters.idempotencyKey))
            parameters.code = ResultCode::BadRequest;
    }
    parameters.requestId = findIfNamed(headers, names.requestId).value_or("");
    return parameters;
}

std::string recordedContentType(const HttpHeaders& headers)
{
    std::string type(headers.find("Content-Type").value_or(""));
    return isUtf8(type) ? type : std::string();
}

std::optional<ApiKeyHash> parseApiKey(const HttpHeaders& headers)
{
    auto isAuthorization = [](const HttpHeader& field) { return equalsIgnoreCase(field.name, authorizationField); };
    if (std::count_if(headers.fields.begin(), headers.fields.end(), isAuthorization) != 1)
        return std::nullopt;
    std::string_view value = *headers.find(authorizationField);
    size_t space = value.find(' ');
    size_t start = value.find_first_not_of(' ', std::min(space, value.size()));
    if (start == std::string_view::npos || !equalsIgnoreCase(value.substr(0, space), bearerScheme))
        return std::nullopt;
    return hashApiKey(value.substr(start));
}

HttpHeaders probeHeaders(const HeaderNames& names, const std::string& address, const std::string& instance)
{
    HttpHeaders headers;
    headers.add("Host", address);
    if (!instance.empty())
        addIfNamed(headers, names.expectedInstance, instance);
    return headers;
}

bool isProbeAnswer(const HttpAnswerHead& head, const HeaderNames& names)
{
    return names.requestId.empty() || !head.headers.find(names.requestId);
}

bool mayKeepConnection(const HttpAnswerHead& answer, const HeaderNames& names, bool isNotRun)
{
    if (names.requestId.empty())
        return !isNotRun;
    // A success that does not name its request is not accepted as the answer to a request.
    return answer.status < firstRedirectStatus || answer.headers.find(names.requestId);
}

HttpHeaders targetHeaders(const HttpRequestHead& head, const HeaderNames& names, Milliseconds remaining, uint32_t depth, const std::string& instance, const CallerIdentity& caller)
{
    HttpHeaders headers;
    copyEndToEnd(head.headers, { names.deadline, names.depth, names.expectedInstance, names.forwardedFor, "Content-Length", "Expect" }, headers);
    removeIdentity(headers, names, caller);
    if (!caller.organisation.empty())
        addIfNamed(headers, names.organisation, caller.organisation);
    addIfNamed(headers, names.deadline, std::to_string(static_cast<int64_t>(std::max(0.0, remaining.count()))));
    addIfNamed(headers, names.depth, std::to_string(depth + 1));
    if (!instance.empty())
        addIfNamed(headers, names.expectedInstance, instance);
    std::string forwarded(findIfNamed(head.headers, names.forwardedFor).value_or(""));
    addIfNamed(headers, names.forwardedFor, forwarded.empty() ? head.peer : forwarded + ", " + head.peer);
    return headers;
}

HttpAnswerHead callerHead(const HttpAnswerHead& targetHead, const HeaderNames& names, ResultCode result, RunState run)
{
    HttpAnswerHead head;
    head.status = targetHead.status;
    head.contentLength = targetHead.contentLength;
    copyEndToEnd(targetHead.headers, { names.load, names.leaving, names.limit, names.result, names.run, "Content-Length" }, head.headers);
    addIfNamed(head.headers, names.result, resultHeaderValue(result));
    addIfNamed(head.headers, names.run, runStateName(run));
    return head;
}

std::pair<HttpAnswerHead, std::string> createRefusalAnswer(ResultCode code, Milliseconds retryAfter, const Edge& edge)
{
    constexpr double msPerSecond = 1000;
    const ResultCodeRow& row = resultCodeRow(code);
    HttpAnswerHead head = refusalHead(code);
    if (row.hasRetryAfter) {
        double seconds = std::max(retryAfter.count(), 0.0) / msPerSecond;
        std::string wholeSeconds = std::to_string(static_cast<int64_t>(std::max(1.0, std::ceil(seconds))));
        head.headers.add(headerRetryAfter, edge.sendsFractionalRetryAfter ? absl::StrFormat("%.3f", seconds) : wholeSeconds);
    }
    return { head, refusalBody(code) };
}

} // namespace kingcup
