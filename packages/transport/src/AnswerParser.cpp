/** @file AnswerParser.cpp Parser for the header of a target's answer. */
#include "AnswerParser.h"

#include "HttpFraming.h"
#include "HttpText.h"

namespace kingcup {

namespace {

constexpr size_t statusOffset = 9; ///< Length of "HTTP/1.1 ".
constexpr size_t statusDigits = 3;
constexpr int switchingProtocols = 101;

} // namespace

AnswerParser::AnswerParser(std::string_view requestMethod, uint64_t headerLimit, bool allowsUnframed)
    : isHeadRequest(requestMethod == "HEAD")
    , allowsUnframedBody(allowsUnframed)
    , maxHeaderBytes(headerLimit)
{
}

AnswerParser::Progress AnswerParser::parseLine(std::string_view line)
{
    this->headerBytes += line.size();
    if (this->headerBytes > this->maxHeaderBytes || !line.ends_with('\n'))
        return Progress::Invalid;
    line.remove_suffix(line.ends_with("\r\n") ? 2 : 1);
    if (this->answerHead.status == 0)
        return this->parseStatusLine(line);
    return line.empty() ? this->finishHeader() : this->parseField(line);
}

AnswerParser::Progress AnswerParser::parseStatusLine(std::string_view line)
{
    bool isKnownVersion = line.starts_with("HTTP/1.1 ") || line.starts_with("HTTP/1.0 ");
    bool hasStatusEnd = line.size() == statusOffset + statusDigits || (line.size() > statusOffset + statusDigits && line[statusOffset + statusDigits] == ' ');
    if (!isKnownVersion || !hasStatusEnd)
        return Progress::Invalid;
    uint64_t status = parseDigits(line.substr(statusOffset, statusDigits)).value_or(0);
    if (status < 100 || status > 599 || status == switchingProtocols)
        return Progress::Invalid;
    this->isHttp10 = line.starts_with("HTTP/1.0");
    this->answerHead.status = static_cast<int>(status);
    return Progress::More;
}

AnswerParser::Progress AnswerParser::parseField(std::string_view line)
{
    size_t colon = line.find(':');
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon)) || !isFieldValue(line.substr(colon + 1)))
        return Progress::Invalid;
    this->answerHead.headers.add(line.substr(0, colon), trimBlanks(line.substr(colon + 1)));
    return Progress::More;
}

AnswerParser::Progress AnswerParser::finishHeader()
{
    int status = this->answerHead.status;
    if (status < 200) {
        this->answerHead = {};
        return Progress::More;
    }
    std::optional<BodyFraming> framing = bodyFraming(this->answerHead.headers);
    if (!framing || (framing->chunked && this->isHttp10))
        return Progress::Invalid;
    bool isBodyless = this->isHeadRequest || isBodylessStatus(status);
    // If only the end of the connection delimits the body, a target that stops halfway without a reset goes undetected.
    if (!this->allowsUnframedBody && !isBodyless && !framing->chunked && !framing->contentLength)
        return Progress::Invalid;
    this->answerHead.contentLength = framing->contentLength;
    this->isComplete = true;
    return Progress::Complete;
}

} // namespace kingcup
