/** @file ConnectionWatcher.cpp The epoll loop that waits for callers to close. */
#include "ConnectionWatcher.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace kingcup {

namespace {

constexpr int eventsPerWait = 256;

/** Adds a descriptor to an epoll set. */
void watch(int epoll, int descriptor, uint32_t events, uint64_t id)
{
    epoll_event event {};
    event.events = events;
    event.data.u64 = id;
    epoll_ctl(epoll, EPOLL_CTL_ADD, descriptor, &event);
}

} // namespace

ConnectionWatcher::ConnectionWatcher()
    : epoll(epoll_create1(EPOLL_CLOEXEC))
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
    epoll_ctl(this->epoll, EPOLL_CTL_DEL, connection->socket, nullptr);
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
    this->stopping = true;
    eventfd_write(this->wakeup, 1);
    if (this->thread.joinable() && this->thread.get_id() != std::this_thread::get_id())
        this->thread.join();
    this->runTasks();
}

void ConnectionWatcher::run()
{
    epoll_event events[eventsPerWait];
    while (!this->stopping) {
        int count = epoll_wait(this->epoll, events, eventsPerWait, -1);
        for (int index = 0; index < count; ++index) {
            if (events[index].data.u64 != 0)
                this->handleGone(events[index].data.u64);
        }
        this->runTasks();
    }
}

void ConnectionWatcher::handleGone(uint64_t id)
{
    std::shared_ptr<CallerConnection> connection = this->find(id);
    if (!connection)
        return;
    std::function<void()> hook;
    {
        std::lock_guard lock(connection->mutex);
        connection->peerGone = true;
        hook = connection->goneHook;
    }
    if (hook)
        hook();
}

void ConnectionWatcher::runTasks()
{
    std::vector<std::function<void()>> taken;
    {
        std::lock_guard lock(this->mutex);
        taken.swap(this->tasks);
    }
    for (std::function<void()>& task : taken)
        task();
}

std::shared_ptr<CallerConnection> ConnectionWatcher::find(uint64_t id)
{
    std::lock_guard lock(this->mutex);
    auto found = this->connections.find(id);
    return found == this->connections.end() ? nullptr : found->second;
}

} // namespace kingcup
