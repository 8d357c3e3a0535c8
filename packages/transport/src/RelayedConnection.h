/** @file RelayedConnection.h One relayed connection: a CONNECT request, then bytes in both directions. */
#pragma once

#include "kingcup/MillisecondClock.h"
#include "kingcup/RelayListener.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace kingcup {

/** Both sockets of a relayed connection and the bytes between them. Not thread-safe. */
class RelayedConnection {
public:
    /** Phases in their order. */
    enum class Phase {
        Request, ///< The CONNECT request is being read.
        Connecting, ///< The connection to the target is being established.
        Open, ///< Bytes are passed.
        Closing, ///< All bytes were passed or a refusal was sent; the requesting VM is expected to close.
        Ended, ///< Both sockets are to be closed.
    };

    /** Takes over an accepted socket. */
    RelayedConnection(int client, TimePoint now);
    ~RelayedConnection();
    RelayedConnection(const RelayedConnection&) = delete;
    RelayedConnection& operator=(const RelayedConnection&) = delete;

    /** Handles events of the socket of the requesting VM. */
    void handleClientEvents(uint32_t events, const RelayListener::Authorizer& authorizer, TimePoint now);

    /** Handles events of the socket of the target. */
    void handleTargetEvents(uint32_t events, TimePoint now);

    /** Ends the connection, or refuses it, if the time of its phase has passed. */
    void checkTimeout(const RelayListenerOptions& options, TimePoint now);

    uint32_t clientInterest() const; ///< Epoll events to wait for on the client socket.
    uint32_t targetInterest() const; ///< Epoll events to wait for on the target socket.
    int clientSocket() const { return this->client.socket; } ///< Socket of the requesting VM.
    int targetSocket() const { return this->target.socket; } ///< Socket of the target; -1 before Connecting.
    Phase phase() const { return this->currentPhase; } ///< Current phase.
    TimePoint lastActivity() const { return this->activityTime; } ///< Time at which bytes were passed last, or the phase began.

    /** Returns whether an answer is awaited or bytes were passed a moment ago. */
    bool isBusy(TimePoint now) const;

private:
    /** One end of the connection. */
    struct End {
        int socket = -1; ///< Descriptor; -1: none.
        std::string outgoing; ///< Bytes for this end that its socket did not take yet.
        bool hasClosed = false; ///< Whether this end sends no more bytes.
    };
    void readRequest(const RelayListener::Authorizer& authorizer, TimePoint now);
    void handleRequest(const RelayListener::Authorizer& authorizer, TimePoint now);
    void connectTarget(const std::string& address, TimePoint now);
    void finishConnecting(TimePoint now);
    void refuse(std::string_view statusLine, TimePoint now);
    bool passBytes(End& from, End& to, TimePoint now);
    void passBothDirections(TimePoint now);
    void closeAfterError(uint32_t events, TimePoint now);
    void closeTarget();
    void close(bool isOrderly, TimePoint now);
    void setPhase(Phase phase, TimePoint now);
    uint32_t interestOf(const End& end, const End& other) const;

    Phase currentPhase = Phase::Request;
    End client; ///< Requesting VM.
    End target;
    std::string request; ///< Bytes of the CONNECT request.
    TimePoint activityTime; ///< Time at which bytes were passed last, or the phase began.
    bool isAnswerAwaited = false; ///< Whether the last bytes came from the requesting VM.
};

} // namespace kingcup
