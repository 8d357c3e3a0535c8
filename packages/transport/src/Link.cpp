/** @file Link.cpp Links over ZeroMQ: one thread owns all sockets, other threads post tasks to it. */
#include "kingcup/Link.h"

#include "ZapHandler.h"

#include <array>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.hpp>

namespace kingcup {

namespace {

constexpr int heartbeatIntervalMs = 500;
constexpr int heartbeatTimeoutMs = 2000; // A link whose peer vanished without closing it is reopened after this time.
constexpr int unacknowledgedLimitMs = 2000; // Equal to the heartbeat timeout.
constexpr int handshakeTimeoutMs = 2000;
constexpr int lingerMs = 200;
constexpr size_t encodedKeyLength = 40;

/** Sets the options common to ROUTER and DEALER sockets. */
void setCommonOptions(zmq::socket_t& socket, const LinkHubOptions& options)
{
    socket.set(zmq::sockopt::linger, lingerMs);
    socket.set(zmq::sockopt::sndhwm, options.queueLength);
    socket.set(zmq::sockopt::rcvhwm, options.queueLength);
    socket.set(zmq::sockopt::maxmsgsize, static_cast<int64_t>(options.maxMessageBytes));
    socket.set(zmq::sockopt::heartbeat_ivl, heartbeatIntervalMs);
    socket.set(zmq::sockopt::heartbeat_timeout, heartbeatTimeoutMs);
    socket.set(zmq::sockopt::handshake_ivl, handshakeTimeoutMs);
    // A peer that lost power acknowledges nothing; without this limit the kernel would retransmit for minutes.
    socket.set(zmq::sockopt::tcp_maxrt, unacknowledgedLimitMs);
    if (!options.isSecured)
        return;
    socket.set(zmq::sockopt::curve_publickey, options.keys.publicKey);
    socket.set(zmq::sockopt::curve_secretkey, options.keys.secretKey);
}

/** Returns the public key that the ZAP handler attached to a message; empty if there is none. */
std::string authenticatedKey(const zmq::message_t& message)
{
    const char* user = zmq_msg_gets(const_cast<zmq_msg_t*>(message.handle()), "User-Id");
    return user ? user : "";
}

} // namespace

LinkKeys makeLinkKeys()
{
    std::array<char, encodedKeyLength + 1> publicKey {};
    std::array<char, encodedKeyLength + 1> secretKey {};
    zmq_curve_keypair(publicKey.data(), secretKey.data());
    return { publicKey.data(), secretKey.data() };
}

/** Sockets, thread and queue of a hub. */
struct LinkHub::State {
    LinkHubOptions options; ///< Options passed to the constructor.
    MessageHandler messageHandler; ///< Callback for valid messages.
    TickHandler tickHandler; ///< Periodic callback.
    Milliseconds tickInterval { 10 }; ///< Time between two calls of the tick handler.
    zmq::context_t context { 1 }; ///< Own context, so that each hub has its own ZAP handler.
    std::unique_ptr<ZapHandler> zap; ///< Decides which public keys may connect.
    std::unique_ptr<zmq::socket_t> router; ///< Listening socket, if any.
    std::map<uint32_t, zmq::socket_t> dealers; ///< Connections by control VM id.
    std::map<uint32_t, std::string> peerKeys; ///< Public keys by control VM id.
    int wakeDescriptor = -1; ///< eventfd that interrupts the poll.
    std::mutex mutex; ///< Guards the queue.
    std::deque<std::function<void()>> tasks; ///< Posted tasks that have not run yet.
    std::atomic<bool> isStopping { false }; ///< Set by stop() to end the thread.
    std::atomic<uint64_t> sentMessages { 0 }; ///< Counter.
    std::atomic<uint64_t> sentBytes { 0 }; ///< Counter.
    std::atomic<uint64_t> receivedMessages { 0 }; ///< Counter.
    std::atomic<uint64_t> receivedBytes { 0 }; ///< Counter.
    std::atomic<uint64_t> droppedMessages { 0 }; ///< Counter.
    std::thread thread; ///< Owns the sockets while it runs.

    void open();
    void connectPeer(const LinkPeer& peer);
    void run();
    void poll(Milliseconds timeout);
    void runTasks();
    void receivePending(zmq::socket_t& socket, uint32_t peerVm);
    void receive(const LinkOrigin& origin, const zmq::message_t& payload, const std::string& key);
    bool isSenderAuthentic(const wire::Envelope& envelope, const std::string& key) const;
    void sendEnvelope(zmq::socket_t& socket, const std::string& route, wire::Envelope& envelope);
};

/** Creates, secures and connects all sockets. Throws zmq::error_t. */
void LinkHub::State::open()
{
    if (this->options.isSecured)
        this->zap = std::make_unique<ZapHandler>(this->context, this->options.allowedKeys);
    if (!this->options.listen.empty()) {
        this->router = std::make_unique<zmq::socket_t>(this->context, zmq::socket_type::router);
        setCommonOptions(*this->router, this->options);
        if (this->options.isSecured) {
            this->router->set(zmq::sockopt::curve_server, true);
            this->router->set(zmq::sockopt::zap_domain, "kingcup");
        }
        this->router->bind("tcp://" + this->options.listen);
    }
    for (const LinkPeer& peer : this->options.peers)
        this->connectPeer(peer);
}

/** Opens the connection to a control VM, unless there is one. Throws zmq::error_t. */
void LinkHub::State::connectPeer(const LinkPeer& peer)
{
    if (this->dealers.contains(peer.vm))
        return;
    zmq::socket_t dealer(this->context, zmq::socket_type::dealer);
    setCommonOptions(dealer, this->options);
    // Messages for a peer without a connection are dropped, because they would be stale after a reconnect.
    dealer.set(zmq::sockopt::immediate, true);
    dealer.set(zmq::sockopt::reconnect_ivl, static_cast<int>(this->options.minReconnectInterval.count()));
    dealer.set(zmq::sockopt::reconnect_ivl_max, static_cast<int>(this->options.maxReconnectInterval.count()));
    dealer.set(zmq::sockopt::connect_timeout, static_cast<int>(this->options.connectTimeout.count()));
    if (this->options.isSecured)
        dealer.set(zmq::sockopt::curve_serverkey, peer.publicKey);
    dealer.connect("tcp://" + peer.address);
    this->dealers.emplace(peer.vm, std::move(dealer));
    this->peerKeys.emplace(peer.vm, peer.publicKey);
}

/** Main loop of the thread. */
void LinkHub::State::run()
{
    TimePoint nextTick = MillisecondClock::now();
    while (!this->isStopping.load()) {
        TimePoint now = MillisecondClock::now();
        if (now >= nextTick) {
            this->tickHandler();
            nextTick = now + this->tickInterval;
        }
        this->poll(nextTick - now);
        this->runTasks();
    }
    this->runTasks();
}

/** Waits for messages, tasks or the timeout, and handles the messages. */
void LinkHub::State::poll(Milliseconds timeout)
{
    std::vector<zmq::pollitem_t> items;
    items.push_back({ nullptr, this->wakeDescriptor, ZMQ_POLLIN, 0 });
    if (this->zap)
        items.push_back({ this->zap->handle(), 0, ZMQ_POLLIN, 0 });
    if (this->router)
        items.push_back({ this->router->handle(), 0, ZMQ_POLLIN, 0 });
    for (auto& [vm, dealer] : this->dealers)
        items.push_back({ dealer.handle(), 0, ZMQ_POLLIN, 0 });
    auto wholeMs = std::chrono::milliseconds(std::max<int64_t>(1, static_cast<int64_t>(timeout.count())));
    if (zmq::poll(items, wholeMs) == 0)
        return;
    if (items[0].revents) {
        uint64_t count = 0;
        [[maybe_unused]] ssize_t bytes = read(this->wakeDescriptor, &count, sizeof(count));
    }
    if (this->zap)
        this->zap->answerRequests();
    if (this->router)
        this->receivePending(*this->router, 0);
    for (auto& [vm, dealer] : this->dealers)
        this->receivePending(dealer, vm);
}

/** Runs the tasks that other threads posted. */
void LinkHub::State::runTasks()
{
    std::deque<std::function<void()>> ready;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        ready.swap(this->tasks);
    }
    for (std::function<void()>& task : ready)
        task();
}

/** Receives the pending messages of one socket. @param peerVm Control VM of a DEALER socket; 0 for the ROUTER socket. */
void LinkHub::State::receivePending(zmq::socket_t& socket, uint32_t peerVm)
{
    constexpr int maxMessagesPerPoll = 1000; // One busy socket must not starve the others.
    for (int count = 0; count < maxMessagesPerPoll; count++) {
        zmq::message_t first;
        if (!socket.recv(first, zmq::recv_flags::dontwait))
            return;
        if (peerVm) {
            this->receive({ "", peerVm }, first, this->peerKeys[peerVm]);
            continue;
        }
        zmq::message_t payload;
        if (!first.more() || !socket.recv(payload, zmq::recv_flags::dontwait))
            continue;
        bool hasExtraFrames = payload.more();
        for (zmq::message_t rest; payload.more() && socket.recv(rest, zmq::recv_flags::dontwait) && rest.more();) { }
        if (!hasExtraFrames)
            this->receive({ first.to_string(), 0 }, payload, authenticatedKey(payload));
    }
}

/** Decodes and validates one message and passes it to the message handler. */
void LinkHub::State::receive(const LinkOrigin& origin, const zmq::message_t& payload, const std::string& key)
{
    this->receivedMessages++;
    this->receivedBytes += payload.size();
    wire::Envelope envelope;
    bool decoded = envelope.ParseFromArray(payload.data(), static_cast<int>(payload.size()));
    if (!decoded || envelope.deployment_id() != this->options.deployment || !this->isSenderAuthentic(envelope, key)) {
        this->droppedMessages++;
        return;
    }
    this->messageHandler(origin, std::move(envelope));
}

/** Returns whether the sender is authentic: a message from a control VM must be authenticated with that VM's key. */
bool LinkHub::State::isSenderAuthentic(const wire::Envelope& envelope, const std::string& key) const
{
    if (!envelope.sender_vm() || !this->options.isSecured)
        return true;
    auto peer = this->peerKeys.find(envelope.sender_vm());
    return peer != this->peerKeys.end() && peer->second == key;
}

/** Encodes and sends one message; drops it if the peer's queue is full. */
void LinkHub::State::sendEnvelope(zmq::socket_t& socket, const std::string& route, wire::Envelope& envelope)
{
    envelope.set_deployment_id(this->options.deployment);
    envelope.set_sender(this->options.sender);
    envelope.set_sender_vm(this->options.senderVm);
    envelope.set_sender_incarnation(this->options.senderIncarnation);
    std::string bytes = envelope.SerializeAsString();
    try {
        if (!route.empty() && !socket.send(zmq::buffer(route), zmq::send_flags::sndmore | zmq::send_flags::dontwait)) {
            this->droppedMessages++;
            return;
        }
        if (!socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait)) {
            this->droppedMessages++;
            return;
        }
    } catch (const zmq::error_t&) {
        this->droppedMessages++;
        return;
    }
    this->sentMessages++;
    this->sentBytes += bytes.size();
}

LinkHub::LinkHub(LinkHubOptions options, MessageHandler messageHandler, TickHandler tickHandler, Milliseconds tickInterval)
    : state(std::make_unique<State>())
{
    this->state->options = std::move(options);
    this->state->messageHandler = std::move(messageHandler);
    this->state->tickHandler = std::move(tickHandler);
    this->state->tickInterval = tickInterval;
}

LinkHub::~LinkHub()
{
    this->stop();
}

std::error_code LinkHub::start()
{
    this->state->wakeDescriptor = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    try {
        this->state->open();
    } catch (const zmq::error_t&) {
        return ResultCode::LinkFailed;
    }
    this->state->thread = std::thread([state = this->state.get()] { state->run(); });
    return {};
}

void LinkHub::send(uint32_t vm, wire::Envelope envelope)
{
    this->post([state = this->state.get(), vm, envelope = std::move(envelope)]() mutable {
        auto dealer = state->dealers.find(vm);
        if (dealer == state->dealers.end()) {
            state->droppedMessages++;
            return;
        }
        state->sendEnvelope(dealer->second, "", envelope);
    });
}

void LinkHub::connect(LinkPeer peer)
{
    this->post([state = this->state.get(), peer = std::move(peer)] {
        try {
            state->connectPeer(peer);
        } catch (const zmq::error_t&) {
            state->droppedMessages++;
        }
    });
}

void LinkHub::reply(const LinkOrigin& origin, wire::Envelope envelope)
{
    if (origin.route.empty()) {
        this->send(origin.peerVm, std::move(envelope));
        return;
    }
    this->post([state = this->state.get(), route = origin.route, envelope = std::move(envelope)]() mutable {
        if (state->router)
            state->sendEnvelope(*state->router, route, envelope);
    });
}

void LinkHub::post(std::function<void()> task)
{
    {
        std::lock_guard<std::mutex> lock(this->state->mutex);
        this->state->tasks.push_back(std::move(task));
    }
    uint64_t one = 1;
    [[maybe_unused]] ssize_t bytes = write(this->state->wakeDescriptor, &one, sizeof(one));
}

void LinkHub::stop()
{
    if (!this->state->thread.joinable())
        return;
    this->state->isStopping.store(true);
    this->post([] {});
    this->state->thread.join();
    this->state->dealers.clear();
    this->state->router.reset();
    this->state->zap.reset();
    close(this->state->wakeDescriptor);
    this->state->wakeDescriptor = -1;
}

LinkCounters LinkHub::counters() const
{
    return {
        this->state->sentMessages.load(),
        this->state->sentBytes.load(),
        this->state->receivedMessages.load(),
        this->state->receivedBytes.load(),
        this->state->droppedMessages.load(),
    };
}

} // namespace kingcup
