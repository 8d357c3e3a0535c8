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

/** Bounds of a listener. */
struct HttpListenerOptions {
    std::string address; ///< host:port; port 0 takes a free one.
    uint32_t threads = 2; ///< Event loops.
    uint32_t maxConnections = 4000; ///< More are refused.
    uint64_t maxHeaderBytes = 16u << 10; ///< Larger headers get 431.
    uint64_t maxBodyBytes = 64u << 20; ///< Larger bodies get 413.
    size_t bodyBufferBytes = 256u << 10; ///< Body bytes held before the caller's sending is paused.
    size_t answerBufferBytes = 256u << 10; ///< Answer bytes held before write() asks to pause.
    Milliseconds slowSenderTimeout { 10000 }; ///< Longest pause of a sender.
};

/**
 * One request that is being served. Thread-safe; kept alive by shared pointers. All hooks are called on any thread,
 * never while a lock of the listener is held, and never after onClosed.
 */
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequestHead& head() const = 0; ///< Request.

    /** What readBody() returned. */
    enum class BodyState {
        More, ///< Bytes were given, more may come.
        Wait, ///< Nothing now; the readable hook is called when there is.
        End, ///< The body is complete.
        Broken, ///< The caller went away or sent a malformed or too long body.
    };

    /** Takes up to `limit` bytes of the body. Taking bytes lets the caller go on sending. */
    virtual BodyState readBody(std::string& bytes, size_t limit) = 0;

    /** Sets the hook that is called when readBody() has something new. */
    virtual void setReadableHook(std::function<void()> hook) = 0;

    /** Sets the hook that is called once when the exchange is over: after the last byte (true) or when the caller went away (false). */
    virtual void setClosedHook(std::function<void(bool completed)> hook) = 0;

    /** Sends a whole answer. Only the first answer of an exchange counts; returns false if there was one. */
    virtual bool answer(HttpAnswerHead head, std::string body) = 0;

    /** Starts a streamed answer. */
    virtual bool startAnswer(HttpAnswerHead head) = 0;

    /** Appends to a streamed answer. Returns false when the buffer is full: wait for the writable hook before sending more. Bytes given are always taken. */
    virtual bool write(std::string_view bytes) = 0;

    /** Sets the hook that is called when a full buffer has drained. */
    virtual void setWritableHook(std::function<void()> hook) = 0;

    /** Ends a streamed answer cleanly. */
    virtual void finish() = 0;

    /** Ends a streamed answer with an error that the caller sees: the connection is reset, never a clean end. */
    virtual void abort() = 0;
};

/** Accepts connections and hands over requests as soon as their header is complete and well-formed. */
class HttpListener {
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    /** Told of requests that the listener itself refused, for metrics. */
    using RefusedHook = std::function<void(ResultCode)>;

    HttpListener(HttpListenerOptions options, Handler handler, RefusedHook refusedHook = {});
    ~HttpListener();

    /** Starts listening. Error: ListenFailed. */
    std::error_code start();

    /** Returns the port listened on. */
    uint16_t port() const;

    /** Adds `Connection: close` to every further answer. */
    void announceClose();

    /** Closes the listening socket; connections go on. */
    void stopAccepting();

    /** Returns the requests that are not answered completely. */
    uint32_t openExchanges() const;

    /** Waits until no exchange is open. Returns false when the limit passed first. */
    bool waitIdle(Milliseconds limit);

    /** Closes all connections and joins the threads. */
    void stop();

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace kingcup
