/** @file ConnectionWatcher.cpp Epoll loop that detects disconnected callers and slow senders. */
#include "ConnectionWatcher.h"

#include "RefusalAnswer.h"

#include <algorithm>
#include <cmath>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace kingcup {

namespace {

constexpr int eventsPerWait = 256;
constexpr Milliseconds minSweepInterval { 20 };

/** Adds a descriptor to an epoll set. */
void watch(int epoll, int descriptor, uint32_t events, uint64_t id)
{
    epoll_event event {};
    event.events = events;
    event.data.u64 = id;
    epoll_ctl(epoll, EPOLL_CTL_ADD, descriptor, &event);
}

/** Returns the time between sweeps, which bounds how late after its timeout a slow sender is refused. */
Milliseconds sweepInterval(Milliseconds slowSenderTimeout)
{
    return std::max(minSweepInterval, slowSenderTimeout / 4);
}

/** Returns the number of bytes that a TCP socket has received, including acknowledged but unread ones. */
uint64_t receivedBytes(int socket)
{
    tcp_info info {};
    socklen_t size = sizeof(info);
    getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size);
    return info.tcpi_bytes_received;
}

} // namespace

ConnectionWatcher::ConnectionWatcher(Milliseconds headerTimeout, std::function<void()> slowSenderHook)
    : slowSenderTimeout(headerTimeout)
    , slowHook(std::move(slowSenderHook))
    , nextSweep(MillisecondClock::now() + sweepInterval(headerTimeout))
    , epoll(epoll_create1(EPOLL_CLOEXEC))
    , wakeup(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    watch(this->epoll, this->wakeup, EPOLLIN | EPOLLET, 0);
    this->thread = std::thread([this] { this->run(); });
}

ConnectionWatcher::~ConnectionWatcher()
{
    this->stop();
    close(this->wakeup);
    close(this->epoll);
}

std::shared_ptr<CallerConnection> ConnectionWatcher::add(int socket)
{
    auto connection = std::make_shared<CallerConnection>();
    connection->socket = socket;
    {
        std::lock_guard lock(this->mutex);
        connection->id = ++this->lastId;
        this->connections[connection->id] = connection;
    }
    watch(this->epoll, socket, EPOLLRDHUP | EPOLLET, connection->id);
    return connection;
}

void ConnectionWatcher::remove(uint64_t id)
{
    std::shared_ptr<CallerConnection> connection = this->find(id);
    if (!connection)
        return;
    {
        std::lock_guard connectionLock(connection->mutex);
        epoll_ctl(this->epoll, EPOLL_CTL_DEL, std::exchange(connection->socket, -1), nullptr);
    }
    std::lock_guard lock(this->mutex);
    this->connections.erase(id);
}

void ConnectionWatcher::post(std::function<void()> task)
{
    {
        std::lock_guard lock(this->mutex);
        this->tasks.push_back(std::move(task));
    }
    eventfd_write(this->wakeup, 1);
}

void ConnectionWatcher::stop()
{
    this->isStopping = true;
    eventfd_write(this->wakeup, 1);
    if (this->thread.joinable() && this->thread.get_id() != std::this_thread::get_id())
        this->thread.join();
    this->runTasks();
}

void ConnectionWatcher::run()
{
    epoll_event events[eventsPerWait];
    while (!this->isStopping) {
        int limitMs = std::max(0, static_cast<int>(std::ceil((this->nextSweep - MillisecondClock::now()).count())));
        int count = epoll_wait(this->epoll, events, eventsPerWait, limitMs);
        for (int index = 0; index < count; ++index) {
            if (events[index].data.u64 != 0)
                this->handleDisconnect(events[index].data.u64);
        }
        this->runTasks();
        TimePoint now = MillisecondClock::now();
        if (now >= this->nextSweep)
            this->sweep(now);
    }
}

void ConnectionWatcher::sweep(TimePoint now)
{
    this->nextSweep = now + sweepInterval(this->slowSenderTimeout);
    std::vector<std::shared_ptr<CallerConnection>> watched;
    {
        std::lock_guard lock(this->mutex);
        for (const auto& [id, connection] : this->connections)
            watched.push_back(connection);
    }
    for (const std::shared_ptr<CallerConnection>& connection : watched) {
        std::unique_lock lock(connection->mutex);
        bool isRefused = !connection->disconnectHook && this->refuseSlowSender(*connection, now);
        std::function<void(TimePoint)> hook = connection->sweepHook;
        lock.unlock();
        if (isRefused && this->slowHook)
            this->slowHook();
        if (hook)
            hook(now);
    }
}

bool ConnectionWatcher::refuseSlowSender(CallerConnection& connection, TimePoint now) const
{
    if (connection.socket < 0 || connection.isPeerClosed)
        return false;
    uint64_t received = receivedBytes(connection.socket);
    if (std::exchange(connection.hasRequestEnded, false))
        connection.idleBytes = received;
    bool isIncomplete = received != connection.idleBytes;
    if (!isIncomplete || connection.incompleteHeaderSince == TimePoint {}) {
        connection.incompleteHeaderSince = isIncomplete ? now : TimePoint {};
        return false;
    }
    if (now - connection.incompleteHeaderSince < this->slowSenderTimeout)
        return false;
    // Prevents the request from reaching the handler, even if the rest of its header arrives now.
    connection.isPeerClosed = true;
    sendRefusal(connection.socket, ResultCode::SlowSender);
    shutdown(connection.socket, SHUT_RDWR);
    return true;
}

void ConnectionWatcher::handleDisconnect(uint64_t id)
{
    std::shared_ptr<CallerConnection> connection = this->find(id);
    if (!connection)
        return;
    std::function<void()> hook;
    {
        std::lock_guard lock(connection->mutex);
        connection->isPeerClosed = true;
        hook = connection->disconnectHook;
    }
    if (hook)
        hook();
}

void ConnectionWatcher::runTasks()
{
    std::vector<std::function<void()>> pending;
    {
        std::lock_guard lock(this->mutex);
        pending.swap(this->tasks);
    }
    for (std::function<void()>& task : pending)
        task();
}

std::shared_ptr<CallerConnection> ConnectionWatcher::find(uint64_t id)
{
    std::lock_guard lock(this->mutex);
    auto found = this->connections.find(id);
    return found == this->connections.end() ? nullptr : found->second;
}

} // namespace kingcup
