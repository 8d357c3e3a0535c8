/** @file ConnectionWatcher.h Notices callers that close their connection while libmicrohttpd does not watch it. */
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
    bool peerGone = false; ///< The caller closed its side, or was refused as a slow sender.
    std::function<void()> goneHook; ///< Called on the watcher's thread when the caller closes its side; empty between requests.
    std::function<void(TimePoint)> sweepHook; ///< Called by the periodic sweep while a request is open.
    uint64_t idleBytes = 0; ///< Bytes received when no request was in progress.
    bool requestEnded = false; ///< A request ended since the last sweep; idleBytes is outdated.
    TimePoint headerSince {}; ///< When a sweep first found an incomplete header; default: none.
};

/** Waits for FIN and RST on the sockets of all connections, on a thread with its own epoll set. */
class ConnectionWatcher {
public:
    /** @param slowSenderTimeout Longest time for a header. @param slowHook Called for each sender that takes longer. */
    ConnectionWatcher(Milliseconds slowSenderTimeout, std::function<void()> slowHook);
    ~ConnectionWatcher();
    ConnectionWatcher(const ConnectionWatcher&) = delete;
    ConnectionWatcher& operator=(const ConnectionWatcher&) = delete;

    /** Starts watching a socket. */
    std::shared_ptr<CallerConnection> add(int socket);

    /** Stops watching. The socket must still be open. */
    void remove(uint64_t id);

    /** Runs a task on the watcher's thread. */
    void post(std::function<void()> task);

    /** Runs the posted tasks and joins the thread. */
    void stop();

private:
    /** Waits for events until stop(). */
    void run();

    /** Tells the connection of an event that its caller is gone. */
    void handleGone(uint64_t id);

    /** Runs the posted tasks. */
    void runTasks();

    /** Looks for slow senders on all connections. */
    void sweep(TimePoint now);

    /** Refuses the sender of a header that is incomplete for too long. Returns whether it did. */
    bool refuseSlowHeader(CallerConnection& connection, TimePoint now) const;

    /** Returns a watched connection, or null. */
    std::shared_ptr<CallerConnection> find(uint64_t id);

    Milliseconds slowSenderTimeout; ///< Longest time for a header.
    std::function<void()> slowHook; ///< Called for each slow sender.
    TimePoint nextSweep {}; ///< When to look for slow senders again.
    int epoll = -1; ///< Edge-triggered set of sockets and the wakeup.
    int wakeup = -1; ///< eventfd for tasks and stop().
    std::atomic<bool> stopping = false; ///< Set by stop().
    std::mutex mutex; ///< Guards the fields below.
    uint64_t lastId = 0; ///< 0 names the wakeup.
    std::unordered_map<uint64_t, std::shared_ptr<CallerConnection>> connections; ///< By id.
    std::vector<std::function<void()>> tasks; ///< Posted.
    std::thread thread; ///< Runs run().
};

} // namespace kingcup
