/** @file FaultProxy.cpp Forwards TCP connections with faults. */
#include "testing/FaultProxy.h"

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace kingcup::testing {

namespace {

constexpr size_t maxHeldBytes = 1u << 20; ///< More makes the proxy stop reading.
constexpr size_t receiveBytes = 64u << 10; ///< Size of one read.
constexpr int idleWaitMs = 100; ///< Longest wait without an event.
constexpr Milliseconds connectLimit { 1000 };

/** Returns whether a failed call should be tried again later. */
bool temporary(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

} // namespace

FaultProxy::FaultProxy(std::string listen, std::string server)
    : listenAddress(std::move(listen))
    , serverAddress(std::move(server))
    , wakeUp(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
}

FaultProxy::~FaultProxy()
{
    this->stop();
}

bool FaultProxy::start()
{
    this->listener = listenOn(this->listenAddress);
    if (!this->listener.valid())
        return false;
    this->listenAddress = localAddress(this->listener);
    this->thread = std::thread([this] { this->loop(); });
    return true;
}

void FaultProxy::stop()
{
    this->stopping = true;
    this->wake();
    if (this->thread.joinable())
        this->thread.join();
    this->pairs.clear();
    this->listener.close();
}

void FaultProxy::setMode(ProxyMode newMode)
{
    this->mode = newMode;
    this->wake();
}

void FaultProxy::setDelay(Milliseconds delay)
{
    this->delayMs = delay.count();
}

void FaultProxy::cutAfter(int64_t bytes)
{
    this->cutBudget = bytes;
}

void FaultProxy::closeConnections()
{
    this->closeRequested = true;
    this->wake();
}

/** Interrupts the wait of the thread. */
void FaultProxy::wake() const
{
    uint64_t one = 1;
    if (::write(this->wakeUp.handle(), &one, sizeof one) < 0)
        return; // The counter is full, so the thread wakes up anyway.
}

/** Returns whether a direction is held back. */
bool FaultProxy::holds(ProxyMode direction) const
{
    ProxyMode current = this->mode;
    return current == direction || current == ProxyMode::DropBoth;
}

/** Forwards until the proxy stops. */
void FaultProxy::loop()
{
    std::vector<pollfd> waiting;
    while (!this->stopping) {
        waiting = { { this->listener.handle(), POLLIN, 0 }, { this->wakeUp.handle(), POLLIN, 0 } };
        for (const Pair& pair : this->pairs) {
            bool readClient = !this->holds(ProxyMode::DropToServer) && !pair.toServer.ended && pair.toServer.held < maxHeldBytes;
            bool readServer = !this->holds(ProxyMode::DropToClient) && !pair.toClient.ended && pair.toClient.held < maxHeldBytes;
            waiting.push_back({ readClient ? pair.client.handle() : -1, POLLIN, 0 });
            waiting.push_back({ readServer ? pair.server.handle() : -1, POLLIN, 0 });
        }
        ::poll(waiting.data(), waiting.size(), this->waitTime());
        uint64_t ignored = 0;
        if (waiting[1].revents != 0 && ::read(this->wakeUp.handle(), &ignored, sizeof ignored) < 0)
            continue;
        if (this->closeRequested.exchange(false)) {
            for (Pair& pair : this->pairs)
                pair.broken = true;
        }
        size_t position = 2;
        for (Pair& pair : this->pairs) {
            this->receive(pair.client, pair.toServer, waiting[position++].revents != 0);
            this->receive(pair.server, pair.toClient, waiting[position++].revents != 0);
            this->serve(pair);
        }
        this->pairs.remove_if([](Pair& pair) {
            if (pair.broken) {
                pair.client.reset();
                pair.server.reset();
            }
            return pair.broken || !pair.client.valid();
        });
        if (waiting[0].revents != 0)
            this->acceptClient();
    }
}

/** Returns how long the thread may wait, in milliseconds. */
int FaultProxy::waitTime() const
{
    double wait = idleWaitMs;
    TimePoint now = MillisecondClock::now();
    for (const Pair& pair : this->pairs) {
        for (const Direction* direction : { &pair.toServer, &pair.toClient }) {
            if (!direction->chunks.empty())
                wait = std::min(wait, std::max(1.0, std::ceil((direction->chunks.front().due - now).count())));
        }
    }
    return static_cast<int>(wait);
}

/** Accepts a client. */
void FaultProxy::acceptClient()
{
    Socket client = acceptFrom(this->listener);
    if (!client.valid())
        return;
    ++this->acceptedConnections;
    this->pairs.emplace_back().client = std::move(client);
    this->serve(this->pairs.back());
}

/** Connects to the server when there is no partition, and forwards what is due. */
void FaultProxy::serve(Pair& pair)
{
    if (!pair.server.valid() && this->mode != ProxyMode::DropBoth) {
        pair.server = connectTo(this->serverAddress, connectLimit);
        pair.broken = pair.broken || !pair.server.valid();
    }
    if (pair.broken || !pair.server.valid())
        return;
    if (!this->holds(ProxyMode::DropToServer))
        this->forward(pair.server, pair.toServer, this->toServerBytes, false, pair);
    if (!this->holds(ProxyMode::DropToClient))
        this->forward(pair.client, pair.toClient, this->toClientBytes, true, pair);
    bool clientDone = pair.toServer.ended && pair.toServer.chunks.empty();
    bool serverDone = pair.toClient.ended && pair.toClient.chunks.empty();
    if (clientDone || serverDone) {
        pair.client.close();
        pair.server.close();
    }
}

/** Takes bytes from one side. */
void FaultProxy::receive(const Socket& from, Direction& direction, bool readable) const
{
    if (!readable || !from.valid())
        return;
    std::string bytes(receiveBytes, '\0');
    ssize_t received = ::recv(from.handle(), bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (received < 0 && temporary(errno))
        return;
    if (received <= 0) {
        direction.ended = true;
        return;
    }
    bytes.resize(static_cast<size_t>(received));
    direction.held += bytes.size();
    direction.chunks.push_back({ MillisecondClock::now() + Milliseconds(this->delayMs), std::move(bytes) });
}

/** Passes on the bytes that are due. @param cuttable Whether cutAfter() applies. */
void FaultProxy::forward(const Socket& to, Direction& direction, std::atomic<uint64_t>& counter, bool cuttable, Pair& pair)
{
    TimePoint now = MillisecondClock::now();
    while (!direction.chunks.empty() && direction.chunks.front().due <= now) {
        std::string& bytes = direction.chunks.front().bytes;
        int64_t budget = cuttable ? this->cutBudget.load() : -1;
        bool cut = budget >= 0 && static_cast<uint64_t>(budget) < bytes.size();
        size_t wanted = cut ? static_cast<size_t>(budget) : bytes.size();
        ssize_t sent = ::send(to.handle(), bytes.data(), wanted, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent < 0 && temporary(errno))
            return;
        if (sent < 0 || cut) {
            this->cutConnections += cut;
            this->cutBudget = cut ? -1 : this->cutBudget.load();
            pair.broken = true;
            return;
        }
        if (budget >= 0)
            this->cutBudget = budget - sent;
        counter += static_cast<uint64_t>(sent);
        direction.held -= static_cast<size_t>(sent);
        bytes.erase(0, static_cast<size_t>(sent));
        if (bytes.empty())
            direction.chunks.pop_front();
    }
}

} // namespace kingcup::testing
