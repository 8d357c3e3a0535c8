/** @file UpstreamLoop.h One event loop of the upstream client. */
#pragma once

#include "UpstreamAttempt.h"
#include "kingcup/UpstreamClient.h"

#include <atomic>
#include <curl/curl.h>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <vector>

namespace kingcup {

/** A libcurl multi handle driven by epoll on its own thread. */
class UpstreamLoop {
public:
    /** Kinds of commands, one for each of start(), cancel(), resume() and resumeBody() of the client. */
    enum class Action {
        Start, ///< Start `attempt`.
        Cancel, ///< Cancel the attempt.
        Resume, ///< Continue receiving.
        ResumeBody, ///< Continue sending.
    };

    /** Command for the loop's thread. */
    struct Command {
        Action action = Action::Start; ///< Kind of the command.
        UpstreamClient::AttemptHandle handle = 0; ///< Attempt that the command applies to.
        std::unique_ptr<UpstreamAttempt> attempt; ///< Attempt to start; null for other actions.
    };

    /** @param maxIdle Limit of idle kept-alive connections. @param openAttempts Counter shared by all loops. */
    UpstreamLoop(uint32_t maxIdle, std::atomic<uint64_t>& openAttempts);
    ~UpstreamLoop();
    UpstreamLoop(const UpstreamLoop&) = delete;
    UpstreamLoop& operator=(const UpstreamLoop&) = delete;

    /** Queues a command for the thread. Returns false and leaves the command unchanged if the loop was stopped. */
    bool post(Command& command);

    /** Cancels all attempts and joins the thread. */
    void stop();

private:
    // Callbacks of libcurl; `self` is the loop.
    static int onSocket(CURL* easy, curl_socket_t socket, int what, void* self, void* known);
    static int onTimer(CURLM* multi, long timeoutMs, void* self);

    /** Runs until stop(). */
    void run();

    /** Waits for sockets, commands or the timer, and passes socket events to libcurl. */
    void pollOnce();

    /** Returns the timeout for epoll_wait() in milliseconds. */
    int timeoutMs() const;

    /** Runs libcurl's timeout handling if its timer has expired. */
    void runTimer();

    /** Runs the posted commands. */
    void runCommands();

    /** Runs one command. */
    void runCommand(Command& command);

    /** Starts an attempt. */
    void startAttempt(std::unique_ptr<UpstreamAttempt> attempt);

    /** Ends the attempts whose transfers libcurl reports as finished. */
    void endFinishedAttempts();

    /** Starts the transfer of an attempt again, if libcurl chose a connection that had been idle for too long. Returns whether it did. */
    bool restartOnNewConnection(UpstreamAttempt& attempt);

    /** Removes an attempt and its transfer from the loop. The caller of this function recycles the transfer handle. */
    std::unique_ptr<UpstreamAttempt> removeAttempt(UpstreamClient::AttemptHandle handle);

    /** Ends an attempt with the outcome Cancelled. */
    void cancelAttempt(UpstreamClient::AttemptHandle handle);

    /** Resets a transfer handle for reuse by a later attempt, or frees it if enough are kept. */
    void recycleHandle(CURL* easy);

    CURLM* multi = nullptr; ///< Transfers and idle connections.
    int epollDescriptor = -1; ///< epoll instance for the sockets of the transfers and for the eventfd.
    int wakeDescriptor = -1; ///< eventfd for commands and stop().
    std::optional<TimePoint> timer; ///< Expiry of the libcurl timer, if it is set.
    std::unordered_map<UpstreamClient::AttemptHandle, std::unique_ptr<UpstreamAttempt>> attempts; ///< Running attempts by handle.
    KeptConnections keptConnections; ///< Connections of this loop.
    std::vector<CURL*> idleHandles; ///< Transfer handles for reuse.
    std::atomic<uint64_t>& openAttempts; ///< Counter of the client.
    std::mutex mutex; ///< Guards the fields below.
    std::vector<Command> commands; ///< Posted commands that have not run yet.
    bool isStopRequested = false; ///< Whether stop() was called.
    std::thread thread; ///< Runs run().
};

} // namespace kingcup
