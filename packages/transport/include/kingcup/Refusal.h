/** @file Refusal.h The answer by which a VM itself refuses a request, in listener and gateway alike. */
#pragma once

#include "kingcup/HttpTypes.h"
#include "kingcup/ResultCode.h"

#include <string>

namespace kingcup {

/** Returns the header of a refusal, with the numbered result and what it says about the execution. */
HttpAnswerHead refusalHead(ResultCode code);

/** Returns the JSON body of a refusal: code, name, run and detail. */
std::string refusalBody(ResultCode code);

/** Returns the value of the header Kingcup-Result: number and name. */
std::string resultHeaderValue(ResultCode code);

} // namespace kingcup
