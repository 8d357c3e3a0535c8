/** @file OperatorClient.h HTTP client for the operator listeners of the VMs. */
#pragma once

#include "kingcup/MillisecondClock.h"
#include "kingcup/ResultCode.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace kingcup {

/** Condition under which a request is sent again, to the next VM. */
enum class ResendRule {
    UntilDecided, ///< After a missing answer or an answer that allows a retry, until the timeout expires.
    OnlyIfUnsent, ///< Only if no connection was opened, so that the request cannot have taken effect.
};

/** Answer of an operator listener. */
struct OperatorAnswer {
    ResultCode code = ResultCode::Unreachable; ///< Result code; Unreachable if the answer is missing or holds no known code.
    std::string vmAddress; ///< Operator listener of the last attempt, as host:port; empty if there was none.
    nlohmann::json body; ///< JSON object of the answer; null if no object was received.
    std::string detail; ///< Explanation of the result, as plain text.
};

/** Sends each request to the VMs in turn until one of them decides. */
class OperatorClient {
public:
    /**
     * @param vmAddresses Operator listeners as host:port, in the order in which they are tried; at least one.
     * @param token Bearer token of the operators.
     * @param timeout Time limit of all requests together, counted from the construction.
     */
    OperatorClient(std::vector<std::string> vmAddresses, std::string token, Milliseconds timeout);

    /**
     * Sends a request and returns the answer of the last attempt. Blocks until a VM decides, the rule forbids another attempt, or the timeout expires.
     * @param body JSON text of a POST; empty for a GET.
     */
    OperatorAnswer send(const std::string& path, const std::string& body, ResendRule rule = ResendRule::UntilDecided);

    TimePoint deadline() const { return this->endTime; } ///< Time at which the timeout expires.

private:
    /** Result of one request to one VM. */
    struct Attempt {
        OperatorAnswer answer;
        bool hasConnected = false; ///< Whether a connection was opened, so that the VM may have received the request.
    };
    Attempt sendTo(const std::string& vmAddress, const std::string& path, const std::string& body, Milliseconds timeout) const;

    std::vector<std::string> vmAddresses; ///< Operator listeners as host:port in the order of attempts, which starts at the one that decided last.
    std::string token;
    Milliseconds timeout; ///< Time limit of all requests together.
    TimePoint endTime; ///< Time at which the timeout expires.
};

} // namespace kingcup
