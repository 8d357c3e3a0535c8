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
    /** What start(), cancel(), resume() and resumeBody() ask for. */
    enum class Action {
        Start, ///< Start `attempt`.
        Cancel, ///< End it.
        Resume, ///< Go on receiving.
        ResumeBody, ///< Go on sending.
    };

    /** A request to the loop's thread. */
    struct Command {
        Action action = Action::Start; ///< What to do.
        UpstreamClient::AttemptHandle handle = 0; ///< With which attempt.
        std::unique_ptr<UpstreamAttempt> attempt; ///< For Start.
    };

    /** @param maxIdle Kept-alive connections. @param openAttempts Counter shared by all loops. */
    UpstreamLoop(uint32_t maxIdle, std::atomic<uint64_t>& openAttempts);
    ~UpstreamLoop();
    UpstreamLoop(const UpstreamLoop&) = delete;
    UpstreamLoop& operator=(const UpstreamLoop&) = delete;

    /** Hands a command to the thread. Returns false, with the command untouched, once the loop was stopped. */
    bool post(Command& command);

    /** Cancels all attempts and joins the thread. */
    void stop();

private:
    // Callbacks of libcurl; `self` is the loop.
    static int onSocket(CURL* easy, curl_socket_t socket, int what, void* self, void* known);
    static int onTimer(CURLM* multi, long timeoutMs, void* self);

    /** Runs until stop(). */
    void run();

    /** Waits for sockets, commands or the timer, and lets libcurl act on them. */
    void waitOnce();

    /** Returns the timeout for epoll_wait() in milliseconds. */
    int timeoutMs() const;

    /** Lets libcurl act if its timer is due. */
    void runTimer();

    /** Runs the posted commands. */
    void runCommands();

    /** Runs one command. */
    void runCommand(Command& command);

    /** Starts an attempt. */
    void startAttempt(std::unique_ptr<UpstreamAttempt> attempt);

    /** Ends the attempts that libcurl reports as done. */
    void endDone();

    /** Takes an attempt out of the loop and keeps its transfer handle for others. */
    std::unique_ptr<UpstreamAttempt> release(UpstreamClient::AttemptHandle handle);

    /** Ends an attempt early. */
    void cancelAttempt(UpstreamClient::AttemptHandle handle);

    /** Keeps a transfer handle for another attempt. */
    void keepHandle(CURL* easy);

    CURLM* multi = nullptr; ///< Transfers and idle connections.
    int epoll = -1; ///< Sockets of the transfers and the wakeup.
    int wakeup = -1; ///< eventfd for commands and stop().
    std::optional<TimePoint> timer; ///< When libcurl wants to act.
    std::unordered_map<UpstreamClient::AttemptHandle, std::unique_ptr<UpstreamAttempt>> attempts; ///< Running.
    std::vector<CURL*> idleHandles; ///< For reuse.
    std::atomic<uint64_t>& openAttempts; ///< Of the client.
    std::mutex mutex; ///< Guards the fields below.
    std::vector<Command> commands; ///< Posted.
    bool stopped = false; ///< stop() was called.
    std::thread thread; ///< Runs run().
};

} // namespace kingcup
