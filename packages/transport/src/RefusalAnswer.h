/** @file RefusalAnswer.h Answers by which the listener itself refuses requests. */
#pragma once

#include "kingcup/Refusal.h"

#include <string>

namespace kingcup {

/** Returns a whole answer as it is sent, with Content-Length and `Connection: close`. */
std::string closingAnswerText(const HttpAnswerHead& head, std::string_view body);

/** Sends a whole answer past libmicrohttpd without waiting. Returns whether the socket took all of it. */
bool sendPastDaemon(int socket, const std::string& text);

/** Sends a refusal past libmicrohttpd, for senders that did not complete a request. */
void sendRefusal(int socket, ResultCode code);

} // namespace kingcup
