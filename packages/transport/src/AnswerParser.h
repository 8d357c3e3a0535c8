/** @file AnswerParser.h Parser for the header of a target's answer. */
#pragma once

#include "kingcup/HttpTypes.h"

#include <string_view>

namespace kingcup {

/** Parses the header of the final answer and rejects malformed headers and ambiguous body framing. */
class AnswerParser {
public:
    /** State of the parser after a line. */
    enum class Progress {
        More, ///< The header is incomplete.
        Complete, ///< The header of the final answer is complete.
        Invalid, ///< The answer is not valid HTTP, or its end cannot be distinguished from a lost connection.
    };

    /** @param requestMethod Answers to HEAD have no body. @param headerLimit Largest header in bytes. @param allowsUnframed Whether a body may end with the connection. */
    AnswerParser(std::string_view requestMethod, uint64_t headerLimit, bool allowsUnframed);

    /** Parses one line including its line end. */
    Progress parseLine(std::string_view line);

    bool hasReceivedBytes() const { return this->headerBytes > 0; } ///< Whether any line was received.
    bool complete() const { return this->isComplete; } ///< Whether Complete was returned.
    HttpAnswerHead& head() { return this->answerHead; } ///< Valid once complete.

private:
    Progress parseStatusLine(std::string_view line);

    Progress parseField(std::string_view line);

    /** Handles the empty line: skips an interim answer, or checks the framing of the final one. */
    Progress finishHeader();

    bool isHeadRequest = false; ///< Whether the request method is HEAD.
    bool allowsUnframedBody = false; ///< Whether a body may be delimited by the end of the connection.
    uint64_t maxHeaderBytes = 0; ///< Limit for headerBytes.
    uint64_t headerBytes = 0; ///< Bytes received, interim answers included.
    bool isHttp10 = false; ///< Whether the version is HTTP/1.0, which has no chunked coding.
    bool isComplete = false; ///< Whether the header of the final answer has ended.
    HttpAnswerHead answerHead; ///< Header fields parsed so far.
};

} // namespace kingcup
