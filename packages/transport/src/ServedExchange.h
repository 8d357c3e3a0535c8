/** @file ServedExchange.h One request on a libmicrohttpd connection. */
#pragma once

#include "ByteQueue.h"
#include "ConnectionWatcher.h"
#include "HttpFraming.h"
#include "kingcup/HttpListener.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <microhttpd.h>
#include <mutex>

namespace kingcup {

/** State shared by all exchanges of a listener. */
struct ExchangeContext {
    HttpListenerOptions options; ///< Resource limits.
    HttpListener::RefusedHook refusedHook; ///< May be empty.
    std::shared_ptr<ConnectionWatcher> watcher; ///< Runs closed hooks that are set after the end of their exchange.
    std::atomic<bool> announcesClose = false; ///< Whether answers carry `Connection: close`.
    std::atomic<bool> isStopping = false; ///< Whether requests are dropped.
    std::mutex mutex; ///< Guards `openExchangeCount`.
    std::condition_variable becameIdle; ///< Signalled when `openExchangeCount` becomes 0.
    uint32_t openExchangeCount = 0; ///< Number of exchanges in progress.
};

/** Exchange on a libmicrohttpd connection, suspended while it waits. libmicrohttpd's threads call the on...() functions, except onSweep() and onDisconnected(). */
class ServedExchange : public HttpExchange, public std::enable_shared_from_this<ServedExchange> {
public:
    ServedExchange(std::shared_ptr<ExchangeContext> context, MHD_Connection* connection, std::shared_ptr<CallerConnection> caller);
    ~ServedExchange() override;

    const HttpRequestHead& head() const override { return this->requestHead; }
    bool hasCallerLeft() override;
    BodyState readBody(std::string& bytes, size_t limit) override;
    void discardBody() override;
    void setReadableHook(std::function<void()> hook) override;
    void setClosedHook(std::function<void(bool completed)> hook) override;
    void setCutOffHook(std::function<void()> hook) override;
    bool answer(HttpAnswerHead head, std::string body) override;
    bool startAnswer(HttpAnswerHead head) override;
    bool write(std::string_view bytes) override;
    void setWritableHook(std::function<void()> hook) override;
    void finish() override;
    void abort() override;

    /** Validates and stores the header. @return Whether to call the handler; otherwise the request was refused. */
    bool onHead(const RawHead& raw);

    /** Registers the hooks for disconnects and sweeps. Returns false if the caller has already disconnected. */
    bool registerCallerHooks();

    /** Fails the body if the caller has exceeded the slow sender timeout. */
    void onSweep(TimePoint now);

    /** Continues after the handler has returned: queues an answer that is ready before the body has ended. */
    MHD_Result onHandlerReturned();

    /** Processes body bytes; a size of 0 marks the end of the body. Sets the size to 0. */
    MHD_Result onBody(const char* bytes, size_t* size);

    /** Copies bytes of a streamed answer into the buffer of libmicrohttpd. */
    ssize_t onRead(char* buffer, size_t limit);

    /** Ends the exchange: libmicrohttpd no longer uses the connection for it. */
    void onCompleted(MHD_RequestTerminationCode reason);

    /** Ends the exchange because the caller closed its side or the listener stops. @param force Whether to end it even if its answer is complete. */
    void onDisconnected(bool force);

    /** Calls the cut-off hook, unless the exchange has ended or its answer is complete. */
    void onCutOff();

    std::string targetText; ///< Percent-encoded target, copied before libmicrohttpd splits it.
    bool isHeadHandled = false; ///< Whether the first access callback of this request was handled.
    const char* targetStart = nullptr; ///< Start of the target in the receive buffer.

private:
    /** Progress of the answer. */
    enum class AnswerState {
        None, ///< Not started.
        Complete, ///< answer() was called.
        Streaming, ///< startAnswer() was called.
        Finished, ///< finish() was called.
        Aborted, ///< abort() was called.
        AbortedAfterHeader, ///< abort() was called after startAnswer(); the header is still sent.
    };

    /** What a connection waits for while it is suspended in libmicrohttpd. */
    enum class SuspendReason {
        None, ///< It is not suspended.
        BodySpace, ///< The body buffer is full.
        Answer, ///< The request is complete and has no answer yet.
        AnswerBytes, ///< All bytes of a streamed answer that were written are sent.
    };

    /** Hooks that have to be called. */
    struct DueHooks {
        bool isReadableDue = false; ///< Call the readable hook.
        bool isWritableDue = false; ///< Call the writable hook.
        bool isCutOffDue = false; ///< Call the cut-off hook.
        bool isClosedDue = false; ///< Call the closed hook.
    };

    using Lock = std::unique_lock<std::mutex>;

    /** Calls the pending hooks, one at a time and with the lock released. */
    void callHooks(Lock& lock);

    /** Removes and returns the next pending hook, or an empty function. */
    std::function<void()> takeDueHook();

    /** Frees the body buffer and lets readBody() fail unless the whole body was read. A part must never look like the whole body. */
    void dropBody();

    /** Resumes the connection in libmicrohttpd if it is suspended. The only place that does, like suspend(). */
    void resume();

    /** Suspends the connection in libmicrohttpd until resume(). */
    void suspend(SuspendReason reason);

    /** Marks the exchange as ended and its closed hook as pending, and frees the buffers. */
    void markEnded(bool completed);

    /** Sends a complete answer before the request body has ended, which libmicrohttpd cannot do. */
    void sendEarlyAnswer();

    /** Returns whether the answer can be sent by sendEarlyAnswer(). */
    bool canSendEarlyAnswer() const;

    /** Closes the connection with RST, so that the caller cannot mistake a partial answer for a complete one. */
    void resetConnection();

    /** Sets an error answer of the listener, unless an answer was started before. */
    void refuse(ResultCode code);

    /** Calls the refused hook. Must be called without the lock. */
    void reportRefusal(ResultCode code) const;

    /** Queues the answer in libmicrohttpd. */
    MHD_Result queueAnswer();

    /** Creates libmicrohttpd's response object for the current answer. */
    MHD_Response* createResponse();

    /** Appends body bytes to the buffer, or discards them if the body is no longer needed. */
    MHD_Result bufferBody(const char* bytes, size_t* size);

    std::shared_ptr<ExchangeContext> context; ///< State shared with the listener.
    std::shared_ptr<CallerConnection> caller; ///< Watched connection of the caller.
    HttpRequestHead requestHead; ///< Set before the handler is called.
    BodyFraming framing; ///< Framing of the request body.

    std::mutex mutex; ///< Guards the fields below.
    MHD_Connection* connection; ///< Null once the exchange is over.
    SuspendReason suspendReason = SuspendReason::None; ///< What the connection waits for in libmicrohttpd.
    bool isDisconnected = false; ///< Whether the caller has disconnected or the listener stops.
    bool isOver = false; ///< Whether the closed hook is pending or was called.
    bool isCompleted = false; ///< Whether the complete answer was sent.
    bool hasHandlerReturned = false; ///< Whether onHandlerReturned() was called.
    bool isRefused = false; ///< Whether the listener itself refused the request.
    bool isSentEarly = false; ///< Whether sendEarlyAnswer() sent the answer.
    bool isQueued = false; ///< Whether the answer was queued in libmicrohttpd.
    bool isHeaderSent = false; ///< Whether the header of a streamed answer was sent; set when libmicrohttpd first reads the body.

    ByteQueue body; ///< Body bytes received but not read.
    uint64_t bodyBytes = 0; ///< Number of body bytes received.
    bool isBodyComplete = false; ///< Whether the whole body was received.
    bool isBodyDropped = false; ///< Whether a part of the body is missing because nobody needs it.
    bool hasBodyFailed = false; ///< Whether the body exceeds its limit or has stalled.
    TimePoint bodyTimeoutStart {}; ///< Start of the slow sender timeout: time of the header, the last body bytes or the last resume.
    uint64_t drainedBytes = 0; ///< Number of body bytes discarded after an early answer.

    AnswerState answerState = AnswerState::None; ///< Progress of the answer.
    HttpAnswerHead answerHead; ///< Status and header fields of the answer.
    std::string answerBody; ///< Body of a complete answer.
    ByteQueue stream; ///< Answer bytes written but not sent.
    uint64_t streamBytes = 0; ///< Number of answer bytes written.
    bool isWriterWaiting = false; ///< Whether write() returned false and the writable hook is outstanding.

    std::function<void()> readableHook; ///< May be empty.
    std::function<void()> writableHook; ///< May be empty.
    std::function<void()> cutOffHook; ///< May be empty.
    std::function<void(bool)> closedHook; ///< May be empty.
    DueHooks dueHooks; ///< Pending hooks.
    bool isCallingHooks = false; ///< Whether a thread is in callHooks().
};

} // namespace kingcup
