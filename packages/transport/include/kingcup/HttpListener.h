/** @file HttpListener.h HTTP/1.1 server on libmicrohttpd with suspended connections: no thread per request. */
#pragma once

#include "kingcup/HttpTypes.h"
#include "kingcup/MillisecondClock.h"
#include "kingcup/ResultCode.h"

#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace kingcup {

/** Address and resource limits of a listener. */
struct HttpListenerOptions {
    std::string address; ///< host:port; port 0 selects a free port.
    uint32_t threads = 2; ///< Number of event loop threads.
    uint32_t maxConnections = 4000; ///< Further connections are refused.
    uint64_t maxHeaderBytes = 16u << 10; ///< Requests with a larger header are answered with 431.
    uint64_t maxBodyBytes = 64u << 20; ///< Requests with a larger body are answered with 413.
    size_t bodyBufferBytes = 256u << 10; ///< Buffered body bytes at which reading from the caller pauses.
    size_t answerBufferBytes = 256u << 10; ///< Buffered answer bytes at which write() returns false.
    Milliseconds slowSenderTimeout { 10000 }; ///< Longest time for a header, and longest pause within a body.
};

/**
 * One request and its answer. Thread-safe; owned through shared pointers. Hooks may be called on any thread, never while
 * a lock of the listener is held, and never after the closed hook.
 */
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequestHead& head() const = 0; ///< Start line and header fields of the request.

    /** Returns whether the caller has closed its side, also if no hook was called yet, as in a process that was suspended meanwhile. */
    virtual bool hasCallerLeft() = 0;

    /** Result of readBody(). */
    enum class BodyState {
        More, ///< Bytes were returned and more may follow.
        Pending, ///< No bytes are available yet; the readable hook is called once there are.
        End, ///< The body is complete.
        Failed, ///< The caller disconnected, stalled, or sent a malformed or too large body.
    };

    /** Moves up to `limit` body bytes into `bytes`. Freed buffer space resumes reading from the caller. */
    virtual BodyState readBody(std::string& bytes, size_t limit) = 0;

    /** Discards the rest of the body, which readBody() then reports as failed. Needed if a streamed answer is started and the body is not read to its end, since such an answer is sent after the body. */
    virtual void discardBody() = 0;

    /** Sets the hook that is called when readBody() can return new bytes, the end or an error. */
    virtual void setReadableHook(std::function<void()> hook) = 0;

    /** Sets the hook that is called once at the end of the exchange: true after the last byte was sent, false after a disconnect. */
    virtual void setClosedHook(std::function<void(bool completed)> hook) = 0;

    /** Sets the hook that is called when the listener is about to close the connection of an exchange that has not ended. It may still answer. */
    virtual void setCutOffHook(std::function<void()> hook) = 0;

    /** Sends a complete answer. Returns false, without effect, if an answer was started before or the exchange has ended. */
    virtual bool answer(HttpAnswerHead head, std::string body) = 0;

    /** Starts a streamed answer. Returns false if an answer was started before or the exchange has ended. */
    virtual bool startAnswer(HttpAnswerHead head) = 0;

    /** Appends to a streamed answer. All bytes are accepted; false means that the buffer is full and the writer has to wait for the writable hook. */
    virtual bool write(std::string_view bytes) = 0;

    /** Sets the hook that is called when a full answer buffer has drained to half its limit. */
    virtual void setWritableHook(std::function<void()> hook) = 0;

    /** Completes a streamed answer. An answer whose size differs from its announced length is aborted instead. */
    virtual void finish() = 0;

    /** Aborts the answer by a connection reset, so that the caller cannot mistake it for a complete one. */
    virtual void abort() = 0;
};

/** Accepts connections and passes each request to the handler once its header is complete and valid. */
class HttpListener {
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    /** Called for each request that the listener itself refuses; used for metrics. */
    using RefusedHook = std::function<void(ResultCode)>;

    HttpListener(HttpListenerOptions options, Handler handler, RefusedHook refusedHook = {});
    ~HttpListener();

    /** Starts listening. Error: ListenFailed. */
    std::error_code start();

    /** Returns the bound port; 0 before start(). */
    uint16_t port() const;

    /** Adds `Connection: close` to all answers from now on. */
    void announceClose();

    /** Closes the listening socket; established connections remain open. */
    void stopAccepting();

    /** Returns the number of requests in progress. */
    uint32_t openExchangeCount() const;

    /** Waits until no request is in progress. Returns false on timeout. */
    bool waitUntilIdle(Milliseconds limit);

    /** Calls the cut-off hooks of all requests in progress, which may still be answered until stop(). */
    void announceCutOff();

    /** Closes all connections and joins the threads. */
    void stop();

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace kingcup
