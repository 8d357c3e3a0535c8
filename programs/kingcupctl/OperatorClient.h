/** @file OperatorClient.h Requests to the operator listeners of the VMs. */
#pragma once

#include "kingcup/MillisecondClock.h"
#include "kingcup/ResultCode.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace kingcup {

/** When a request goes to another VM. */
enum class ResendRule {
    UntilDecided, ///< After no answer or an answer that asks to retry, until the time is over.
    OnlyUnsent, ///< Only when no connection could be opened.
};

/** Answer of an operator listener. */
struct OperatorAnswer {
    ResultCode code = ResultCode::Unreachable; ///< Result.
    std::string vm; ///< host:port that answered last.
    nlohmann::json body; ///< JSON object of the answer, or null.
    std::string detail; ///< Explanation for people.
};

/** Sends requests to the first VM that decides. */
class OperatorClient {
public:
    /** @param vms host:port of operator listeners, in order. @param timeout Bound of all requests together, from now on. */
    OperatorClient(std::vector<std::string> vms, std::string token, Milliseconds timeout);

    /** Sends a request. @param body JSON text of a POST; empty for a GET. */
    OperatorAnswer send(const std::string& path, const std::string& body, ResendRule rule = ResendRule::UntilDecided);

    TimePoint deadline() const { return this->end; } ///< When the time of all requests is over.

private:
    /** One request to one VM. */
    struct Attempt {
        OperatorAnswer answer; ///< Its answer.
        bool sent = false; ///< Whether a connection was opened.
    };
    Attempt sendTo(const std::string& vm, const std::string& path, const std::string& body, Milliseconds timeout) const;

    std::vector<std::string> vms; ///< In order of use; the one that answered moves to the front.
    std::string token; ///< Bearer token.
    Milliseconds timeout; ///< Bound of all requests together.
    TimePoint end; ///< When it is reached.
};

} // namespace kingcup
