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

/** What all exchanges of a listener share. */
struct ExchangeContext {
    HttpListenerOptions options; ///< Bounds.
    HttpListener::RefusedHook refusedHook; ///< May be empty.
    std::shared_ptr<ConnectionWatcher> watcher; ///< Runs late closed hooks.
    std::atomic<bool> closing = false; ///< Answers carry Connection: close.
    std::atomic<bool> stopping = false; ///< Requests are dropped.
    std::mutex mutex; ///< Guards the count for the condition.
    std::condition_variable idle; ///< Signalled when `open` becomes 0.
    uint32_t open = 0; ///< Exchanges that are not over.
};

/** Exchange on top of a suspended connection. The on...() functions are called by the listener on libmicrohttpd's thread. */
class ServedExchange : public HttpExchange, public std::enable_shared_from_this<ServedExchange> {
public:
    ServedExchange(std::shared_ptr<ExchangeContext> context, MHD_Connection* connection, std::shared_ptr<CallerConnection> caller);
    ~ServedExchange() override;

    const HttpRequestHead& head() const override { return this->requestHead; }
    BodyState readBody(std::string& bytes, size_t limit) override;
    void setReadableHook(std::function<void()> hook) override;
    void setClosedHook(std::function<void(bool completed)> hook) override;
    bool answer(HttpAnswerHead head, std::string body) override;
    bool startAnswer(HttpAnswerHead head) override;
    bool write(std::string_view bytes) override;
    void setWritableHook(std::function<void()> hook) override;
    void finish() override;
    void abort() override;

    /** Takes over the checked header. @return Whether the exchange goes to the handler; otherwise it was refused. */
    bool onHead(const RawHead& raw);

    /** Lets the watcher report that the caller closed. Returns false if it did already. */
    bool watchCaller();

    /** Ends the body if the caller has paused too long. */
    void onSweep(TimePoint now);

    /** Continues after the handler has seen the request. */
    MHD_Result onHandedOver();

    /** Takes body bytes, or the end of the body if there are none. */
    MHD_Result onBody(const char* bytes, size_t* size);

    /** Gives bytes of a streamed answer. */
    ssize_t onRead(char* buffer, size_t limit);

    /** Ends the exchange: libmicrohttpd no longer uses the connection for it. */
    void onCompleted(MHD_RequestTerminationCode reason);

    /** Ends the exchange because the caller closed its side or the listener stops. @param force Also when the whole answer was given. */
    void onGone(bool force);

    std::string targetText; ///< Undecoded target, kept from before libmicrohttpd splits it.
    bool headSeen = false; ///< The first call for this request was handled.
    const char* targetStart = nullptr; ///< Its place in the receive buffer.

private:
    /** How far the answer is. */
    enum class AnswerState {
        None, ///< Not started.
        Whole, ///< answer() was called.
        Streaming, ///< startAnswer() was called.
        Finished, ///< finish() was called.
        Aborted, ///< abort() was called.
        AbortedAfterHeader, ///< abort() was called after startAnswer(); the header is still sent.
    };

    /** Hooks that are due. */
    struct DueHooks {
        bool readable = false; ///< Call the readable hook.
        bool writable = false; ///< Call the writable hook.
        bool closed = false; ///< Call the closed hook.
    };

    using Lock = std::unique_lock<std::mutex>;

    /** Calls the hooks that are due, one at a time and without a lock. */
    void callHooks(Lock& lock);

    /** Takes the next hook that is due, or an empty function. */
    std::function<void()> nextHook();

    /** Lets libmicrohttpd go on with the connection. */
    void resume();

    /** Leaves the connection alone until resume(). */
    void suspend();

    /** Marks the end for the hooks. */
    void markOver(bool completed);

    /** Sends a whole answer before the body has ended, which libmicrohttpd cannot do. */
    void sendEarlyAnswer();

    /** Returns whether the answer can be sent by sendEarlyAnswer(). */
    bool maySendEarly() const;

    /** Closes the connection with RST, so that the caller cannot take what it has for complete. */
    void reset();

    /** Refuses the request with an answer of the listener, unless there is an answer. */
    void refuse(ResultCode code);

    /** Reports the refusal to the listener's user. Called without the lock. */
    void reportRefusal(ResultCode code) const;

    /** Gives the answer to libmicrohttpd. */
    MHD_Result queueAnswer();

    /** Makes the response of libmicrohttpd for the current answer. */
    MHD_Response* makeResponse();

    /** Takes body bytes into the buffer. */
    MHD_Result takeBody(const char* bytes, size_t* size);

    std::shared_ptr<ExchangeContext> context; ///< Of the listener.
    std::shared_ptr<CallerConnection> caller; ///< Connection.
    HttpRequestHead requestHead; ///< Set before the handler sees it.
    BodyFraming framing; ///< Of the request.

    std::mutex mutex; ///< Guards the fields below.
    MHD_Connection* connection; ///< Null once the exchange is over.
    bool suspended = false; ///< libmicrohttpd leaves the connection alone.
    bool gone = false; ///< The caller is gone or the listener stops.
    bool over = false; ///< The closed hook is due or was called.
    bool completed = false; ///< The whole answer was sent.
    bool handedOver = false; ///< onHandedOver() was called.
    bool refused = false; ///< The listener itself answers.
    bool sentEarly = false; ///< The answer was sent by sendEarlyAnswer().
    bool queued = false; ///< The answer was given to libmicrohttpd.
    bool headerSent = false; ///< libmicrohttpd has sent the header of a streamed answer: it asks for the body.

    ByteQueue body; ///< Received, not yet read.
    uint64_t bodyBytes = 0; ///< Received so far.
    bool bodyEnded = false; ///< All of it was received.
    bool bodyBroken = false; ///< It exceeds its limit or stalls.
    TimePoint bodyTime {}; ///< When the caller could last send body bytes or did so.
    uint64_t drainedBytes = 0; ///< Discarded after an early answer.

    AnswerState answerState = AnswerState::None; ///< Progress.
    HttpAnswerHead answerHead; ///< Of the answer.
    std::string answerBody; ///< Of a whole answer.
    ByteQueue stream; ///< Written, not yet sent.
    uint64_t streamBytes = 0; ///< Written so far.
    bool writerWaits = false; ///< write() returned false.

    std::function<void()> readableHook; ///< May be empty.
    std::function<void()> writableHook; ///< May be empty.
    std::function<void(bool)> closedHook; ///< May be empty.
    DueHooks due; ///< Not called yet.
    bool callingHooks = false; ///< A thread is in callHooks().
};

} // namespace kingcup
