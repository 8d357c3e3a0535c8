/** @file RangeResume.cpp Implementation of the rules for resumed downloads. */
#include "RangeResume.h"

namespace kingcup {

namespace {

constexpr int statusOk = 200;
constexpr int statusPartialContent = 206;

} // namespace

std::optional<ResumePoint> findResumePoint(const HttpRequestHead& request, const HttpAnswerHead& answer)
{
    if (request.method != "GET" || request.headers.find("Range") || answer.status != statusOk || !answer.contentLength)
        return std::nullopt;
    std::optional<std::string_view> etag = answer.headers.find("ETag");
    bool isStrong = etag && etag->starts_with('"');
    if (!isStrong)
        return std::nullopt;
    return ResumePoint { std::string(*etag), *answer.contentLength };
}

void addRangeHeaders(HttpHeaders& headers, const ResumePoint& point, uint64_t offset)
{
    headers.add("Range", "bytes=" + std::to_string(offset) + "-");
    headers.add("If-Range", point.etag);
}

bool isContinuation(const HttpAnswerHead& answer, const ResumePoint& point, uint64_t offset)
{
    std::string expected = "bytes " + std::to_string(offset) + "-" + std::to_string(point.length - 1) + "/" + std::to_string(point.length);
    bool isWhole = offset == 0 && answer.status == statusOk && answer.contentLength == point.length;
    bool hasSameRange = answer.headers.find("Content-Range").value_or("") == expected;
    bool hasSameTag = answer.headers.find("ETag").value_or("") == point.etag;
    return hasSameTag && (isWhole || (answer.status == statusPartialContent && hasSameRange));
}

} // namespace kingcup
