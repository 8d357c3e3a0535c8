/** @file RefusalAnswer.h Error answers that the listener writes to the socket itself. */
#pragma once

#include "kingcup/Refusal.h"

#include <string>

namespace kingcup {

/** Serializes a complete answer with Content-Length and `Connection: close`. */
std::string serializeClosingAnswer(const HttpAnswerHead& head, std::string_view body);

/** Writes an answer directly to the socket, bypassing libmicrohttpd, without blocking. Returns whether all of it was accepted. */
bool sendDirectly(int socket, const std::string& text);

/** Writes an error answer directly to the socket, for callers whose request is incomplete. */
void sendRefusal(int socket, ResultCode code);

} // namespace kingcup
