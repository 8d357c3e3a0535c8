/** @file HttpFraming.cpp Strict validation of HTTP/1.1 message framing. */
#include "HttpFraming.h"

#include "HttpText.h"

#include "absl/strings/ascii.h"

#include <algorithm>

namespace kingcup {

namespace {

/** Returns whether the character is allowed in a token. */
bool isTokenCharacter(char character)
{
    constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    return absl::ascii_isalnum(static_cast<unsigned char>(character)) || punctuation.find(character) != std::string_view::npos;
}

/** Returns whether the character is allowed in a field value. */
bool isValueCharacter(char character)
{
    return character == '\t' || !absl::ascii_iscntrl(static_cast<unsigned char>(character));
}

/** Returns whether the character is allowed in a request target. */
bool isTargetCharacter(char character)
{
    return absl::ascii_isgraph(static_cast<unsigned char>(character)) && character != '#';
}

/** Adds a field. Connection fields are merged into one, so that all names listed in them are treated as hop-by-hop. */
void addRequestField(HttpHeaders& headers, std::string_view name, std::string_view value)
{
    for (HttpHeader& field : headers.fields) {
        if (equalsIgnoreCase(name, "Connection") && equalsIgnoreCase(field.name, name)) {
            field.value.append(", ").append(value);
            return;
        }
    }
    headers.add(name, value);
}

/** Validates and copies the fields. Returns false at the first malformed one. */
bool copyFields(const RawHead& raw, HttpHeaders& headers)
{
    for (const auto& [name, value] : raw.fields) {
        if (!isToken(name) || !isFieldValue(value))
            return false;
        addRequestField(headers, name, trimBlanks(value));
    }
    return true;
}

/** Returns whether the number of Host fields is valid: exactly one in HTTP/1.1, at most one in HTTP/1.0. */
bool hasValidHost(const HttpHeaders& headers, std::string_view version)
{
    auto isHost = [](const HttpHeader& field) { return equalsIgnoreCase(field.name, "Host"); };
    auto hosts = std::count_if(headers.fields.begin(), headers.fields.end(), isHost);
    return hosts == 1 || (hosts == 0 && version == "HTTP/1.0");
}

/** Returns whether the request line is well-formed. */
bool hasValidRequestLine(const RawHead& raw)
{
    bool isKnownVersion = raw.version == "HTTP/1.1" || raw.version == "HTTP/1.0";
    return isKnownVersion && isToken(raw.method) && isOriginForm(raw.target);
}

} // namespace

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isFieldValue(std::string_view value)
{
    return std::all_of(value.begin(), value.end(), isValueCharacter);
}

bool isOriginForm(std::string_view target)
{
    return target.starts_with('/') && std::all_of(target.begin(), target.end(), isTargetCharacter);
}

std::optional<BodyFraming> bodyFraming(const HttpHeaders& headers)
{
    BodyFraming framing;
    for (const HttpHeader& field : headers.fields) {
        if (equalsIgnoreCase(field.name, "Transfer-Encoding")) {
            if (framing.chunked || !equalsIgnoreCase(field.value, "chunked"))
                return std::nullopt;
            framing.chunked = true;
        } else if (equalsIgnoreCase(field.name, "Content-Length")) {
            std::optional<uint64_t> length = parseDigits(field.value);
            if (framing.contentLength || !length)
                return std::nullopt;
            framing.contentLength = length;
        }
    }
    if (framing.chunked && framing.contentLength)
        return std::nullopt;
    return framing;
}

bool hasStrictLayout(const RawHead& raw)
{
    const char* start = raw.method.data();
    const char* cursor = start + raw.method.size() + 1;
    if (raw.targetStart != cursor)
        return false;
    cursor += raw.target.size() + 1;
    if (raw.version.data() != cursor)
        return false;
    cursor += raw.version.size() + 2;
    for (const auto& [name, value] : raw.fields) {
        if (name.data() != cursor)
            return false;
        cursor += name.size() + 1;
        while (cursor < value.data() && (*cursor == ' ' || *cursor == '\t'))
            ++cursor;
        if (value.data() != cursor)
            return false;
        cursor += value.size() + 2;
    }
    return cursor + 2 == start + raw.size;
}

ResultCode checkRequestHead(const RawHead& raw, uint64_t maxBodyBytes, HttpRequestHead& head, BodyFraming& framing)
{
    if (!hasStrictLayout(raw) || !hasValidRequestLine(raw) || !copyFields(raw, head.headers))
        return ResultCode::BadRequest;
    std::optional<BodyFraming> parsedFraming = bodyFraming(head.headers);
    if (!parsedFraming || !hasValidHost(head.headers, raw.version) || (parsedFraming->chunked && raw.version == "HTTP/1.0"))
        return ResultCode::BadRequest;
    framing = *parsedFraming;
    head.method = raw.method;
    head.target = raw.target;
    head.path = head.target.substr(0, head.target.find('?'));
    head.contentLength = framing.contentLength;
    return framing.contentLength.value_or(0) > maxBodyBytes ? ResultCode::BodyTooLarge : ResultCode::Ok;
}

} // namespace kingcup
