/** @file AnswerParser.h Checks the header lines of a target's answer. */
#pragma once

#include "kingcup/HttpTypes.h"

#include <string_view>

namespace kingcup {

/** Collects the header of the final answer and refuses what is malformed or not clearly delimited. */
class AnswerParser {
public:
    /** What a line meant. */
    enum class Progress {
        More, ///< The header goes on.
        Complete, ///< The header of the final answer is complete.
        Invalid, ///< Not valid HTTP, or its end cannot be told from a loss of the connection.
    };

    /** @param requestMethod HEAD answers have no body. @param headerLimit Largest header in bytes. */
    AnswerParser(std::string_view requestMethod, uint64_t headerLimit, bool takesUnframed);

    /** Takes one line with its line end. */
    Progress takeLine(std::string_view line);

    bool sawBytes() const { return this->headerBytes > 0; } ///< Whether any line arrived.
    bool complete() const { return this->isComplete; } ///< Whether Complete was returned.
    HttpAnswerHead& head() { return this->answerHead; } ///< Valid once complete.

private:
    /** Takes a status line. */
    Progress takeStatus(std::string_view line);

    /** Takes a field line. */
    Progress takeField(std::string_view line);

    /** Checks the whole header. */
    Progress endHeader();

    bool headRequest = false; ///< The request's method is HEAD.
    bool takesUnframedBody = false; ///< Whether a body may end with its connection.
    uint64_t maxHeaderBytes = 0; ///< Limit.
    uint64_t headerBytes = 0; ///< Received.
    bool oldVersion = false; ///< HTTP/1.0, which has no chunked coding.
    bool isComplete = false; ///< The final header ended.
    HttpAnswerHead answerHead; ///< Being built.
};

} // namespace kingcup
