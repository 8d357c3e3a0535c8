/** @file ConnectionWatcher.h Detects callers that disconnect while libmicrohttpd has suspended their connection. */
#pragma once

#include "kingcup/MillisecondClock.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

namespace kingcup {

/** One connection of a caller, from accept to close. */
struct CallerConnection {
    int socket = -1; ///< Owned by libmicrohttpd.
    uint64_t id = 0; ///< Never reused, unlike the socket.
    std::mutex mutex; ///< Guards the fields below.
    bool isPeerClosed = false; ///< Whether the caller closed its side or was refused as a slow sender.
    std::function<void()> disconnectHook; ///< Called on the watcher's thread when the caller closes its side; empty between requests.
    std::function<void(TimePoint)> sweepHook; ///< Called by the periodic sweep while a request is open.
    uint64_t idleBytes = 0; ///< Bytes received when no request was in progress.
    bool hasRequestEnded = false; ///< Whether a request ended since the last sweep, so that idleBytes is outdated.
    TimePoint incompleteHeaderSince {}; ///< Time at which a sweep first found an incomplete header; default value if there is none.
};

/** Waits for FIN and RST on all sockets, on a thread with its own epoll set, and periodically sweeps for slow senders. */
class ConnectionWatcher {
public:
    /** @param slowSenderTimeout Longest time for a header. @param slowHook Called for each caller that exceeds it. */
    ConnectionWatcher(Milliseconds slowSenderTimeout, std::function<void()> slowHook);
    ~ConnectionWatcher();
    ConnectionWatcher(const ConnectionWatcher&) = delete;
    ConnectionWatcher& operator=(const ConnectionWatcher&) = delete;

    /** Starts watching a socket. */
    std::shared_ptr<CallerConnection> add(int socket);

    /** Stops watching a socket, which must still be open. */
    void remove(uint64_t id);

    /** Runs a task on the watcher's thread. */
    void post(std::function<void()> task);

    /** Runs the posted tasks and joins the thread. */
    void stop();

private:
    /** Waits for events until stop(). */
    void run();

    /** Marks the connection as closed by the caller and calls its hook. */
    void handleDisconnect(uint64_t id);

    /** Runs the posted tasks. */
    void runTasks();

    /** Checks all connections for slow senders and calls their sweep hooks. */
    void sweep(TimePoint now);

    /** Refuses the caller if its header has been incomplete for longer than the timeout. Returns whether it was refused. */
    bool refuseSlowSender(CallerConnection& connection, TimePoint now) const;

    /** Returns a watched connection, or null. */
    std::shared_ptr<CallerConnection> find(uint64_t id);

    Milliseconds slowSenderTimeout; ///< Longest time for a header.
    std::function<void()> slowHook; ///< Called for each slow sender.
    TimePoint nextSweep {}; ///< Time of the next sweep.
    int epoll = -1; ///< Edge-triggered epoll set of the sockets and the wakeup.
    int wakeup = -1; ///< Event descriptor that is signalled by post() and stop().
    std::atomic<bool> isStopping = false; ///< Set by stop().
    std::mutex mutex; ///< Guards the fields below.
    uint64_t lastId = 0; ///< Last id assigned; 0 stands for the wakeup.
    std::unordered_map<uint64_t, std::shared_ptr<CallerConnection>> connections; ///< Watched connections by id.
    std::vector<std::function<void()>> tasks; ///< Posted tasks that were not run yet.
    std::thread thread; ///< Runs run().
};

} // namespace kingcup
