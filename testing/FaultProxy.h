/** @file FaultProxy.h A TCP proxy that drops, delays, cuts and counts. */
#pragma once

#include "kingcup/MillisecondClock.h"
#include "testing/Socket.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <thread>

namespace kingcup::testing {

/** Which direction is partitioned. Bytes are held back, as TCP does with unacknowledged ones, and flow again when the mode changes. */
enum class ProxyMode {
    Pass, ///< Nothing is held.
    DropToServer, ///< Bytes towards the server do not arrive.
    DropToClient, ///< Bytes towards the client do not arrive.
    DropBoth, ///< No bytes arrive; new connections reach nobody.
};

/** Forwards connections to one server, with one thread. */
class FaultProxy {
public:
    /** @param listen host:port to accept on. @param server host:port to forward to. */
    FaultProxy(std::string listen, std::string server);
    ~FaultProxy();

    bool start(); ///< Starts to accept. Returns false when the address is taken.
    void stop(); ///< Closes everything and joins the thread.

    void setMode(ProxyMode mode); ///< Sets the partition.
    void setDelay(Milliseconds delay); ///< Delays bytes in each direction.
    void cutAfter(int64_t bytes); ///< Resets the connection that passes this many further bytes towards the client; negative: never.
    void closeConnections(); ///< Resets all connections.

    const std::string& address() const { return this->listenAddress; } ///< Address it accepts on.
    uint64_t bytesToServer() const { return this->toServerBytes; } ///< Bytes forwarded.
    uint64_t bytesToClient() const { return this->toClientBytes; } ///< Bytes forwarded.
    uint64_t connections() const { return this->acceptedConnections; } ///< Connections accepted so far.
    uint64_t cuts() const { return this->cutConnections; } ///< Connections reset by cutAfter().

private:
    /** Bytes on their way. */
    struct Chunk {
        TimePoint due {}; ///< When they may be forwarded.
        std::string bytes; ///< The bytes.
    };

    /** One direction of a connection. */
    struct Direction {
        std::deque<Chunk> chunks; ///< Bytes on their way.
        size_t held = 0; ///< Number of bytes in `chunks`.
        bool ended = false; ///< Whether the sender has closed.
    };

    /** A forwarded connection. */
    struct Pair {
        Socket client; ///< Towards the client.
        Socket server; ///< Towards the server; invalid until the partition ends.
        Direction toServer; ///< Client to server.
        Direction toClient; ///< Server to client.
        bool broken = false; ///< To be reset.
    };

    void loop();
    void acceptClient();
    void serve(Pair& pair);
    void receive(const Socket& from, Direction& direction, bool readable) const;
    void forward(const Socket& to, Direction& direction, std::atomic<uint64_t>& counter, bool cuttable, Pair& pair);
    int waitTime() const;
    bool holds(ProxyMode direction) const;
    void wake() const;

    std::string listenAddress; ///< Address it accepts on.
    std::string serverAddress; ///< Address it forwards to.
    Socket listener; ///< Listening socket.
    Socket wakeUp; ///< Event descriptor that interrupts the wait.
    std::thread thread; ///< Forwards.
    std::list<Pair> pairs; ///< Open connections; used by the thread only.
    std::atomic<bool> stopping = false; ///< Whether stop() was called.
    std::atomic<ProxyMode> mode = ProxyMode::Pass; ///< Partition.
    std::atomic<double> delayMs = 0; ///< Delay in each direction.
    std::atomic<int64_t> cutBudget = -1; ///< Bytes left until the cut; negative: none.
    std::atomic<bool> closeRequested = false; ///< Whether all connections are to be reset.
    std::atomic<uint64_t> toServerBytes = 0; ///< Counter.
    std::atomic<uint64_t> toClientBytes = 0; ///< Counter.
    std::atomic<uint64_t> acceptedConnections = 0; ///< Counter.
    std::atomic<uint64_t> cutConnections = 0; ///< Counter.
};

} // namespace kingcup::testing
