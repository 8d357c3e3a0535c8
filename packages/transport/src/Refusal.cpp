/** @file Refusal.cpp Error answers that a VM generates itself. */
#include "kingcup/Refusal.h"

#include "kingcup/HttpRules.h"

#include <nlohmann/json.hpp>

namespace kingcup {

HttpAnswerHead refusalHead(ResultCode code)
{
    const ResultCodeRow& row = resultCodeRow(code);
    HttpAnswerHead head { row.httpStatus, {}, std::nullopt };
    head.headers.add("Content-Type", jsonContentType);
    head.headers.add(headerResult, resultHeaderValue(code));
    head.headers.add(headerRun, runStateName(row.runState));
    return head;
}

std::string refusalBody(ResultCode code)
{
    const ResultCodeRow& row = resultCodeRow(code);
    nlohmann::ordered_json body { { "code", static_cast<int>(code) }, { "name", row.name }, { "run", runStateName(row.runState) }, { "detail", row.text } };
    return body.dump() + "\n";
}

std::string resultHeaderValue(ResultCode code)
{
    return std::to_string(static_cast<int>(code)) + " " + std::string(resultCodeRow(code).name);
}

} // namespace kingcup
