/** @file UpstreamClient.h HTTP/1.1 client towards targets on libcurl's multi interface. */
#pragma once

#include "kingcup/EnumNames.h"
#include "kingcup/HttpTypes.h"
#include "kingcup/MillisecondClock.h"

#include <functional>
#include <memory>
#include <string>

namespace kingcup {

/** How an attempt on a target ended. */
enum class UpstreamOutcome {
    Complete, ///< The whole answer arrived.
    ConnectFailed, ///< No connection; no byte was sent.
    ConnectionLost, ///< Lost before the first complete line of an answer.
    Truncated, ///< Lost within the answer.
    TimedOut, ///< The deadline passed.
    Cancelled, ///< By cancel().
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

/** Result of an attempt. */
struct UpstreamResult {
    UpstreamOutcome outcome = UpstreamOutcome::ConnectFailed; ///< How it ended.
    bool maybeSent = false; ///< Whether any byte of the request may have reached the target. False is a promise.
    Milliseconds firstByte { 0 }; ///< From the start to the first byte of the answer.
    Milliseconds total { 0 }; ///< Whole duration.
    bool newConnection = false; ///< Whether a connection was opened for it.
};

/** One attempt to run a request on a target. */
struct UpstreamRequest {
    std::string address; ///< host:port.
    std::string method; ///< HTTP method.
    std::string target; ///< Path with query.
    HttpHeaders headers; ///< End-to-end fields.
    std::shared_ptr<const std::string> body; ///< Whole body, or null.
    std::function<int(char* buffer, size_t size)> bodySource; ///< Streamed body: bytes, 0 at the end, bodyPause or bodyAbort. Used when `body` is null and `hasBody` is set.
    bool hasBody = false; ///< Whether a body is sent.
    std::optional<uint64_t> bodyLength; ///< Of a streamed body; absent: chunked.
    bool repeatable = false; ///< False: never sent twice, on a fresh connection only.
    Milliseconds connectTimeout { 1000 }; ///< For opening a connection.
    TimePoint deadline {}; ///< End of the attempt.
    uint64_t maxHeaderBytes = 64u << 10; ///< Largest answer header.
    bool takesUnframedAnswer = false; ///< Whether an answer without length may end with its connection; one that is reset is truncated.
    std::function<bool(const HttpAnswerHead&)> acceptsAnswer; ///< Whether the answer belongs to this request; otherwise it is invalid and its connection is closed.

    std::function<void(const HttpAnswerHead&)> onHead; ///< Final answer's header (1xx are skipped).
    std::function<bool(std::string_view)> onData; ///< Body bytes; returning false pauses after taking them, until resume().
    std::function<void(const UpstreamResult&)> onEnd; ///< Called exactly once, last, also after cancel().
};

constexpr int bodyPause = -1; ///< No body bytes now; resumeBody() continues.
constexpr int bodyAbort = -2; ///< The caller's body broke off; the attempt ends.

/** Runs attempts on several event-loop threads. Thread-safe. */
class UpstreamClient {
public:
    /** @param threads Event loops. @param maxIdlePerThread Kept-alive connections per thread. */
    UpstreamClient(uint32_t threads, uint32_t maxIdlePerThread);
    ~UpstreamClient();

    using AttemptHandle = uint64_t; ///< Names an attempt; 0: none.

    /** Starts an attempt. The hooks run on one event-loop thread, the same for all hooks of one attempt. */
    AttemptHandle start(UpstreamRequest request);

    /** Ends an attempt; onEnd is called with Cancelled. The connection is closed, which tells the target. */
    void cancel(AttemptHandle handle);

    /** Goes on receiving after onData returned false. */
    void resume(AttemptHandle handle);

    /** Goes on sending after bodySource returned bodyPause. */
    void resumeBody(AttemptHandle handle);

    /** Returns the connections that are open now. */
    uint64_t openAttempts() const;

    /** Cancels everything and joins the threads. */
    void stop();

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace kingcup
