/** @file Refusal.h Error answers that a VM generates itself, used by the listener and the gateway. */
#pragma once

#include "kingcup/HttpTypes.h"
#include "kingcup/ResultCode.h"

#include <string>

namespace kingcup {

/** Returns the header of an error answer, with the result code and whether the target has executed the request. */
HttpAnswerHead refusalHead(ResultCode code);

/** Returns the JSON body of an error answer, with the keys code, name, run and detail. */
std::string refusalBody(ResultCode code);

/** Returns the value of the Kingcup-Result field: code and name. */
std::string resultHeaderValue(ResultCode code);

} // namespace kingcup
