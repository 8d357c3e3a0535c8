/** @file RelayListener.cpp Epoll loop of the relayed connections. */
#include "kingcup/RelayListener.h"

#include "RelayedConnection.h"
#include "SocketAddress.h"

#include "kingcup/ResultCode.h"

#include <algorithm>
#include <atomic>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace kingcup {

namespace {

constexpr int maxEventsPerWait = 64;
constexpr int maxPendingConnections = 1024;
constexpr int sweepIntervalMs = 50; ///< Bounds how late a timeout is noticed while there are connections.

/** Events of the descriptors that belong to no connection have these ids; connections have higher ones. */
enum SpecialId : uint64_t {
    ListenerId,
    WakeId,
    FirstConnectionId,
};

constexpr uint64_t sidesPerConnection = 2; ///< The id of an event is that of its connection times two, plus one for the target's side.

} // namespace

/** Sockets and thread of a listener. */
struct RelayListener::State {
    /** A connection and the epoll events that its sockets are registered for. */
    struct Entry {
        std::unique_ptr<RelayedConnection> connection;
        std::optional<uint32_t> clientEvents; ///< Empty before the registration.
        std::optional<uint32_t> targetEvents; ///< Empty before the registration.
    };

    RelayListenerOptions options;
    Authorizer authorizer;
    int socket = -1; ///< Listening socket.
    int epoll = -1;
    int wakeup = -1; ///< eventfd that interrupts the wait.
    uint16_t port = 0; ///< Bound port.
    std::atomic<bool> isAccepting { true }; ///< Whether new connections are relayed.
    std::atomic<bool> isStopping { false };
    std::atomic<uint32_t> openCount { 0 }; ///< Number of connections.
    std::atomic<uint32_t> busyCount { 0 }; ///< Number of busy connections at the last sweep.
    uint64_t lastId = FirstConnectionId;
    std::unordered_map<uint64_t, Entry> connections; ///< Connections by id; used by the thread only.
    std::thread thread;

    bool listen();
    void run();
    void handleEvent(const epoll_event& event, TimePoint now);
    void acceptConnections(TimePoint now);
    bool makeRoom(TimePoint now);
    void sweep(TimePoint now);
    void settle(uint64_t id);
    void registerSocket(int descriptor, uint64_t id, std::optional<uint32_t>& registered, uint32_t wanted) const;
};

bool RelayListener::State::listen()
{
    std::optional<SocketAddress> address = SocketAddress::parse(this->options.address);
    if (!address)
        return false;
    this->socket = ::socket(address->family(), SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    int on = 1;
    setsockopt(this->socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(this->socket, address->data(), address->size()) != 0 || ::listen(this->socket, maxPendingConnections) != 0)
        return false;
    this->port = SocketAddress::ofSocket(this->socket).port();
    this->epoll = epoll_create1(EPOLL_CLOEXEC);
    this->wakeup = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    std::optional<uint32_t> none;
    this->registerSocket(this->socket, ListenerId, none, EPOLLIN);
    none.reset();
    this->registerSocket(this->wakeup, WakeId, none, EPOLLIN);
    return true;
}

/** Registers a descriptor for events, or changes its registration. */
void RelayListener::State::registerSocket(int descriptor, uint64_t id, std::optional<uint32_t>& registered, uint32_t wanted) const
{
    if (registered == wanted)
        return;
    epoll_event event {};
    event.events = wanted;
    event.data.u64 = id;
    epoll_ctl(this->epoll, registered ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, descriptor, &event);
    registered = wanted;
}

void RelayListener::State::run()
{
    epoll_event events[maxEventsPerWait];
    TimePoint nextSweep {};
    while (!this->isStopping.load()) {
        int count = epoll_wait(this->epoll, events, maxEventsPerWait, this->connections.empty() ? -1 : sweepIntervalMs);
        TimePoint now = MillisecondClock::now();
        for (int index = 0; index < count; ++index)
            this->handleEvent(events[index], now);
        // A stop must not miss a request that has just arrived on an open connection.
        if (now >= nextSweep || !this->isAccepting.load()) {
            this->sweep(now);
            nextSweep = now + Milliseconds(sweepIntervalMs);
        }
    }
    this->connections.clear();
    this->openCount.store(0);
    this->busyCount.store(0);
}

void RelayListener::State::handleEvent(const epoll_event& event, TimePoint now)
{
    if (event.data.u64 == ListenerId) {
        this->acceptConnections(now);
        return;
    }
    uint64_t id = event.data.u64 / sidesPerConnection;
    auto found = this->connections.find(id);
    if (event.data.u64 == WakeId || found == this->connections.end())
        return;
    if (event.data.u64 % sidesPerConnection == 0)
        found->second.connection->handleClientEvents(event.events, this->authorizer, now);
    else
        found->second.connection->handleTargetEvents(event.events, now);
    this->settle(id);
}

/** Updates the registrations of a connection after an event, or removes it if it has ended. */
void RelayListener::State::settle(uint64_t id)
{
    auto found = this->connections.find(id);
    Entry& entry = found->second;
    RelayedConnection& connection = *entry.connection;
    if (connection.phase() == RelayedConnection::Phase::Ended) {
        this->connections.erase(found);
        this->openCount.store(static_cast<uint32_t>(this->connections.size()));
        return;
    }
    this->registerSocket(connection.clientSocket(), id * sidesPerConnection, entry.clientEvents, connection.clientInterest());
    if (connection.targetSocket() >= 0)
        this->registerSocket(connection.targetSocket(), id * sidesPerConnection + 1, entry.targetEvents, connection.targetInterest());
}

void RelayListener::State::acceptConnections(TimePoint now)
{
    for (;;) {
        int accepted = accept4(this->socket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted < 0)
            return;
        if (!this->makeRoom(now)) {
            ::close(accepted);
            continue;
        }
        uint64_t id = ++this->lastId;
        this->connections[id].connection = std::make_unique<RelayedConnection>(accepted, now);
        this->openCount.store(static_cast<uint32_t>(this->connections.size()));
        this->settle(id);
    }
}

/** Closes the longest idle connection if there are too many. Returns false if all of them are busy. */
bool RelayListener::State::makeRoom(TimePoint now)
{
    if (this->connections.size() < this->options.maxConnections)
        return true;
    auto oldest = this->connections.end();
    for (auto entry = this->connections.begin(); entry != this->connections.end(); ++entry) {
        bool isIdle = entry->second.connection->phase() == RelayedConnection::Phase::Open && !entry->second.connection->isBusy(now);
        if (isIdle && (oldest == this->connections.end() || entry->second.connection->lastActivity() < oldest->second.connection->lastActivity()))
            oldest = entry;
    }
    if (oldest == this->connections.end())
        return false;
    this->connections.erase(oldest);
    return true;
}

/** Ends connections whose time has passed, while stopping also idle ones, and counts the busy ones. */
void RelayListener::State::sweep(TimePoint now)
{
    RelayListenerOptions limits = this->options;
    if (!this->isAccepting.load())
        limits.idleTimeout = Milliseconds(0);
    std::vector<uint64_t> ids;
    uint32_t busy = 0;
    for (auto& [id, entry] : this->connections) {
        RelayedConnection::Phase phase = entry.connection->phase();
        entry.connection->checkTimeout(limits, now);
        busy += entry.connection->isBusy(now) ? 1 : 0;
        if (entry.connection->phase() != phase)
            ids.push_back(id);
    }
    for (uint64_t id : ids)
        this->settle(id);
    this->busyCount.store(busy);
}

RelayListener::RelayListener(RelayListenerOptions options, Authorizer authorizer)
    : state(std::make_unique<State>())
{
    this->state->options = std::move(options);
    this->state->authorizer = [state = this->state.get(), authorizer = std::move(authorizer)](std::string_view token, const std::string& target) {
        RelayDecision decision = authorizer(token, target);
        return decision == RelayDecision::Accept && !state->isAccepting.load() ? RelayDecision::NotServing : decision;
    };
}

RelayListener::~RelayListener()
{
    this->stop();
}

std::error_code RelayListener::start()
{
    if (!this->state->listen())
        return ResultCode::ListenFailed;
    this->state->thread = std::thread([state = this->state.get()] { state->run(); });
    return {};
}

uint16_t RelayListener::port() const
{
    return this->state->port;
}

void RelayListener::stopAccepting()
{
    this->state->isAccepting.store(false);
}

uint32_t RelayListener::openConnections() const
{
    return this->state->openCount.load();
}

uint32_t RelayListener::busyConnections() const
{
    return this->state->busyCount.load();
}

void RelayListener::stop()
{
    this->state->isStopping.store(true);
    if (this->state->thread.joinable()) {
        eventfd_write(this->state->wakeup, 1);
        this->state->thread.join();
    }
    for (int* descriptor : { &this->state->socket, &this->state->epoll, &this->state->wakeup }) {
        if (*descriptor >= 0)
            close(std::exchange(*descriptor, -1));
    }
}

} // namespace kingcup
