/** @file RelayListener.h Relays connections of other VMs to targets, as the server of HTTP CONNECT requests. */
#pragma once

#include "kingcup/MillisecondClock.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace kingcup {

/** Address and limits of a relay listener. */
struct RelayListenerOptions {
    std::string address; ///< host:port; port 0 selects a free port.
    uint32_t maxConnections = 512; ///< Relayed connections at once. Beyond it the longest idle one is closed; if none is idle, new ones are refused.
    Milliseconds requestTimeout { 1000 }; ///< Longest time for the CONNECT request.
    Milliseconds connectTimeout { 80 }; ///< Longest time to connect to the target; shorter than the timeouts of the requesting VM, which can tell a silent target from a silent relay then.
    Milliseconds idleTimeout { 10000 }; ///< A connection on which nothing is awaited is closed after this time.
};

/** Decision on a CONNECT request. */
enum class RelayDecision {
    Accept, ///< The connection is relayed.
    WrongToken, ///< The request lacks the token of this process.
    UnknownTarget, ///< The address is not that of a target.
    NotServing, ///< This VM relays nothing at the moment.
};

/**
 * Accepts connections, reads one CONNECT request from each, connects to the target and passes bytes in both directions
 * unchanged. It does not read them, so all rules for requests stay with the VM that sends them. One thread. A connection that the
 * target or this process breaks off reaches the requesting VM as a reset, so that it cannot be mistaken for the end of an answer.
 */
class RelayListener {
public:
    /** Called on the listener's thread. @param token Token of the request; empty if there is none. @param target host:port. */
    using Authorizer = std::function<RelayDecision(std::string_view token, const std::string& target)>;

    RelayListener(RelayListenerOptions options, Authorizer authorizer);
    ~RelayListener();

    /** Starts listening. Error: ListenFailed. */
    std::error_code start();

    uint16_t port() const; ///< Bound port; 0 before start().

    /** Refuses new connections from now on and closes those on which nothing is awaited. */
    void stopAccepting();

    /** Returns the number of relayed connections. */
    uint32_t openConnections() const;

    /** Returns the number of relayed connections on which an answer is awaited or bytes were passed a moment ago. */
    uint32_t busyConnections() const;

    /** Resets all connections and joins the thread. */
    void stop();

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace kingcup
