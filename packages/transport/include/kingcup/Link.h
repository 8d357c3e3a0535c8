/** @file Link.h Authenticated links between processes: ZeroMQ ROUTER and DEALER sockets with CURVE. */
#pragma once

#include "kingcup/MillisecondClock.h"
#include "kingcup/ResultCode.h"

#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "kingcup.pb.h"

namespace kingcup {

/** CURVE keys of this process, in Z85. */
struct LinkKeys {
    std::string publicKey; ///< 40 characters.
    std::string secretKey; ///< 40 characters.
};

/** Generates a new key pair. */
LinkKeys makeLinkKeys();

/** A peer to connect to. */
struct LinkPeer {
    uint32_t vm = 0; ///< Control VM id.
    std::string address; ///< host:port.
    std::string publicKey; ///< CURVE public key of the peer, 40 characters.
};

/** Options of a LinkHub. */
struct LinkHubOptions {
    bool isSecured = true; ///< Whether links use CURVE; without it every connecting process is trusted.
    std::string deployment; ///< Messages of other deployments are dropped.
    std::string sender; ///< Own VM name.
    uint32_t senderVm = 0; ///< Own control VM id; 0 for entry VMs.
    uint64_t senderIncarnation = 0; ///< Own incarnation.
    LinkKeys keys; ///< Own keys.
    std::string listen; ///< host:port of the ROUTER socket; empty if this process does not listen.
    std::vector<std::string> allowedKeys; ///< Public keys that may connect.
    std::vector<LinkPeer> peers; ///< Control VMs to connect to, each through a DEALER socket.
    Milliseconds connectTimeout { 150 }; ///< Time after which a connection that is not established is tried again. A starting peer does not answer the first SYN, and TCP retransmits it only after a second.
    Milliseconds minReconnectInterval { 50 }; ///< Pause before the second such try; each further one is twice as long as the one before.
    Milliseconds maxReconnectInterval { 400 }; ///< Longest pause.
    int queueLength = 2000; ///< Send and receive queue per peer, in messages; messages beyond it are dropped.
    size_t maxMessageBytes = 32u << 20; ///< Larger messages are dropped and close the connection.
};

/** Identifies the sender of a received message, so that an answer can be routed back. */
struct LinkOrigin {
    std::string route; ///< Routing id of the ROUTER socket; empty for messages from a DEALER connection.
    uint32_t peerVm = 0; ///< Control VM id of the DEALER connection; 0 for messages from the ROUTER socket.
};

/** Traffic counters of a LinkHub, in messages and encoded bytes. */
struct LinkCounters {
    uint64_t sentMessages = 0; ///< Messages handed to ZeroMQ.
    uint64_t sentBytes = 0; ///< Encoded size of the sent messages.
    uint64_t receivedMessages = 0; ///< Includes messages that were rejected after receipt.
    uint64_t receivedBytes = 0; ///< Encoded size of the received messages.
    uint64_t droppedMessages = 0; ///< Messages that could not be sent, and received messages that were rejected.
};

/** All links of one process. One thread does the I/O and calls the callbacks; sending is thread-safe. */
class LinkHub {
public:
    /** Called for each valid message, on the hub's thread. */
    using MessageHandler = std::function<void(const LinkOrigin&, wire::Envelope)>;
    /** Called on the hub's thread about every `tickInterval`; tasks given to post() run there too. */
    using TickHandler = std::function<void()>;

    LinkHub(LinkHubOptions options, MessageHandler messageHandler, TickHandler tickHandler, Milliseconds tickInterval);
    ~LinkHub();

    /** Opens the sockets and starts the thread. Error: LinkFailed. */
    std::error_code start();

    /** Sends a message to a control VM. Sets the deployment and sender fields. Drops the message if there is no connection to it. */
    void send(uint32_t vm, wire::Envelope envelope);

    /** Adds a connection to a control VM; has no effect if one exists. */
    void connect(LinkPeer peer);

    /** Sends an answer to the sender of a received message. */
    void reply(const LinkOrigin& origin, wire::Envelope envelope);

    /** Queues a task for the hub's thread. */
    void post(std::function<void()> task);

    /** Closes the sockets and joins the thread. Tasks posted before the call still run. */
    void stop();

    LinkCounters counters() const; ///< Values since start().

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace kingcup
