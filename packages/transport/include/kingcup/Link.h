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

/** Makes a new pair of keys. */
LinkKeys makeLinkKeys();

/** A peer to connect to. */
struct LinkPeer {
    uint32_t vm = 0; ///< Control VM id.
    std::string address; ///< host:port.
    std::string publicKey; ///< Its CURVE public key, 40 characters.
};

/** Options of a hub. */
struct LinkHubOptions {
    bool secured = true; ///< Whether links use CURVE; without it anybody who can connect is trusted.
    std::string deployment; ///< Messages of other deployments are dropped.
    std::string sender; ///< Own VM name.
    uint32_t senderVm = 0; ///< Own control VM id; 0 for entry VMs.
    uint64_t senderIncarnation = 0; ///< Own incarnation.
    LinkKeys keys; ///< Own keys.
    std::string listen; ///< host:port of the ROUTER socket; empty: none.
    std::vector<std::string> allowedKeys; ///< Public keys that may connect.
    std::vector<LinkPeer> peers; ///< DEALER connections.
    int queueLength = 2000; ///< Messages held per peer; more are dropped.
    size_t maxMessageBytes = 16u << 20; ///< Larger messages are dropped and close the connection.
};

/** Names the sender of a received message, for its answer. */
struct LinkOrigin {
    std::string route; ///< Routing id of the ROUTER socket; empty for messages from a DEALER connection.
    uint32_t peerVm = 0; ///< Control VM id of the DEALER connection.
};

/** Counters of a hub, in messages and encoded bytes. */
struct LinkCounters {
    uint64_t sentMessages = 0; ///< Sent.
    uint64_t sentBytes = 0; ///< Sent.
    uint64_t receivedMessages = 0; ///< Received.
    uint64_t receivedBytes = 0; ///< Received.
    uint64_t dropped = 0; ///< Not sent because the queue was full, or malformed.
};

/** All links of one process. One thread does the I/O and calls the hooks; sending is thread-safe. */
class LinkHub {
public:
    /** Called on the thread of the hub. */
    using Receiver = std::function<void(const LinkOrigin&, wire::Envelope)>;
    /** Called on the thread of the hub about every `interval`; tasks given to post() run there too. */
    using Ticker = std::function<void()>;

    LinkHub(LinkHubOptions options, Receiver receiver, Ticker ticker, Milliseconds interval);
    ~LinkHub();

    /** Opens the sockets and starts the thread. Error: LinkFailed. */
    std::error_code start();

    /** Sends to a control VM. Deployment and sender are filled in. */
    void send(uint32_t vm, wire::Envelope envelope);

    /** Connects to a further control VM, unless there is a connection to it. */
    void connect(LinkPeer peer);

    /** Answers the sender of a received message. */
    void reply(const LinkOrigin& origin, wire::Envelope envelope);

    /** Runs a task on the thread of the hub. */
    void post(std::function<void()> task);

    /** Closes the sockets and joins the thread. Tasks that were posted before still run. */
    void stop();

    LinkCounters counters() const; ///< Counters since the start.

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace kingcup
