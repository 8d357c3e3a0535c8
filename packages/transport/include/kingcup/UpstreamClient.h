/** @file UpstreamClient.h HTTP/1.1 client for requests to targets, based on libcurl's multi interface. */
#pragma once

#include "kingcup/EnumNames.h"
#include "kingcup/HttpTypes.h"
#include "kingcup/MillisecondClock.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace kingcup {

/** Outcome of an attempt on a target. */
enum class UpstreamOutcome {
    Complete, ///< The complete answer was received.
    ConnectFailed, ///< No connection was established; no byte was sent.
    ConnectionLost, ///< The connection was lost before the first complete line of an answer.
    Truncated, ///< The connection was lost before the end of the answer.
    TimedOut, ///< The deadline passed.
    Cancelled, ///< Ended by cancel(), by stop() or because the request body failed.
    Invalid, ///< The answer is not valid HTTP.
};

constexpr EnumName<UpstreamOutcome> upstreamOutcomeNames[] = {
    { UpstreamOutcome::Complete, "complete" },
    { UpstreamOutcome::ConnectFailed, "connect_failed" },
    { UpstreamOutcome::ConnectionLost, "connection_lost" },
    { UpstreamOutcome::Truncated, "truncated" },
    { UpstreamOutcome::TimedOut, "timed_out" },
    { UpstreamOutcome::Cancelled, "cancelled" },
    { UpstreamOutcome::Invalid, "invalid" },
};

/** Failure on the way through a relay, before the request was sent. */
enum class RelayFailure {
    None, ///< No relay was used, it connected to the target, or the target did not take the connection.
    Refused, ///< The relay refused.
    Unreachable, ///< The relay gave no answer.
};

/** VM that relays a connection to a target. */
struct RelayHop {
    std::string address; ///< host:port of its relay listener.
    std::string token; ///< Token of its process.
};

/** Result of an attempt. */
struct UpstreamResult {
    UpstreamOutcome outcome = UpstreamOutcome::ConnectFailed; ///< Outcome of the attempt.
    bool maybeSent = false; ///< Whether any byte of the request may have reached the target. False guarantees that none did.
    Milliseconds timeToFirstByte { 0 }; ///< Time from the start to the first byte of the answer; 0 if none arrived.
    Milliseconds duration { 0 }; ///< Whole duration.
    bool newConnection = false; ///< Whether a connection was opened for the attempt.
    bool isConnected = false; ///< Whether there was a connection to the target.
    RelayFailure relayFailure = RelayFailure::None; ///< Failure of the relay, which says nothing about the target.
};

/** One attempt to run a request on a target. */
struct UpstreamRequest {
    std::string address; ///< host:port.
    std::optional<RelayHop> relay; ///< VM through which the target is reached; empty: directly.
    std::string method; ///< HTTP method.
    std::string target; ///< Path with query.
    HttpHeaders headers; ///< End-to-end fields.
    std::shared_ptr<const std::string> body; ///< Whole body, or null.
    std::function<int(char* buffer, size_t size)> bodySource; ///< Source of a streamed body: returns the number of bytes written, 0 at the end, bodyPause or bodyAbort. Used when `body` is null and `hasBody` is set.
    bool hasBody = false; ///< Whether a body is sent.
    std::optional<uint64_t> bodyLength; ///< Length of a streamed body in bytes; empty for chunked encoding.
    bool connectsOnly = false; ///< Whether a new connection is opened and closed again, without a request. The attempt is complete once it is established.
    bool isRepeatable = false; ///< Whether the request may be executed more than once. If not, it is sent once, on a new connection or as `maxConnectionIdle` permits.
    Milliseconds maxConnectionIdle { 0 }; ///< A request that must not be repeated may use a kept connection whose latest exchange ended at most this long ago, since targets drop idle connections without notice; 0: a new connection only.
    Milliseconds connectTimeout { 1000 }; ///< Time limit for opening a connection.
    TimePoint deadline {}; ///< Time at which the attempt is ended; TimePoint {} for none.
    uint64_t maxHeaderBytes = 64u << 10; ///< Size limit of the answer header.
    bool acceptsUnframedAnswer = false; ///< Whether the end of the connection may delimit an answer without length; a connection reset makes the answer truncated.
    std::function<bool()> maySend; ///< Optional check right before the request is sent on an established connection, on the event-loop thread; if it returns false, nothing is sent and the attempt is cancelled.
    std::function<bool(const HttpAnswerHead&)> isExpectedAnswer; ///< Optional check whether the answer belongs to this request; if it returns false, the answer is invalid and the connection is closed.
    std::function<bool(const HttpAnswerHead&)> mayKeepConnection; ///< Optional check whether the connection may be used again after this answer; if it returns false, the connection is closed after it.

    std::function<void(const HttpAnswerHead&)> onHead; ///< Called with the header of the final answer; interim answers (1xx) are skipped.
    std::function<bool(std::string_view)> onData; ///< Called with body bytes, which it always consumes; returning false pauses receiving until resume().
    std::function<void(const UpstreamResult&)> onEnd; ///< Called exactly once, last, also after cancel().
};

constexpr int bodyPause = -1; ///< No body bytes are available yet; resumeBody() continues.
constexpr int bodyAbort = -2; ///< The caller's body ended prematurely; the attempt is cancelled.

/** Runs attempts on several event-loop threads. Thread-safe. */
class UpstreamClient {
public:
    /** @param threads Number of event loops, at least 1. @param maxIdlePerThread Limit of idle kept-alive connections per thread. */
    UpstreamClient(uint32_t threads, uint32_t maxIdlePerThread);
    ~UpstreamClient();

    using AttemptHandle = uint64_t; ///< Identifies an attempt; 0 for none.

    /** Starts an attempt. The callbacks run on one event-loop thread, the same for all callbacks of one attempt. */
    AttemptHandle start(UpstreamRequest request);

    /** Ends an attempt; onEnd is called with Cancelled. The connection is closed, which signals the cancellation to the target. */
    void cancel(AttemptHandle handle);

    /** Continues receiving after onData returned false. */
    void resume(AttemptHandle handle);

    /** Continues sending after bodySource returned bodyPause. */
    void resumeBody(AttemptHandle handle);

    /** Returns the number of attempts that were started and have not ended. */
    uint64_t openAttempts() const;

    /** Cancels all attempts and joins the threads. */
    void stop();

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace kingcup
