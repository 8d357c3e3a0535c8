/** @file UpstreamLoop.cpp Event loop that drives libcurl's multi interface with epoll. */
#include "UpstreamLoop.h"

#include <cmath>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace kingcup {

namespace {

constexpr int maxEventsPerWait = 128;
constexpr size_t maxIdleHandles = 256;

/** Returns the epoll events for libcurl's CURL_POLL_ value. */
uint32_t eventsOf(int what)
{
    return (what & CURL_POLL_IN ? EPOLLIN : 0u) | (what & CURL_POLL_OUT ? EPOLLOUT : 0u);
}

/** Returns libcurl's CURL_CSELECT_ value for epoll events. */
int selectMaskOf(uint32_t events)
{
    return (events & (EPOLLIN | EPOLLHUP) ? CURL_CSELECT_IN : 0) | (events & EPOLLOUT ? CURL_CSELECT_OUT : 0) | (events & EPOLLERR ? CURL_CSELECT_ERR : 0);
}

} // namespace

UpstreamLoop::UpstreamLoop(uint32_t maxIdle, std::atomic<uint64_t>& clientOpenAttempts)
    : multi(curl_multi_init())
    , epollDescriptor(epoll_create1(EPOLL_CLOEXEC))
    , wakeDescriptor(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
    , openAttempts(clientOpenAttempts)
{
    curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, &UpstreamLoop::onSocket);
    curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, &UpstreamLoop::onTimer);
    curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, static_cast<long>(maxIdle));
    curl_multi_setopt(this->multi, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
    epoll_event event {};
    event.events = EPOLLIN;
    event.data.fd = this->wakeDescriptor;
    epoll_ctl(this->epollDescriptor, EPOLL_CTL_ADD, this->wakeDescriptor, &event);
    this->thread = std::thread([this] { this->run(); });
}

UpstreamLoop::~UpstreamLoop()
{
    this->stop();
    for (CURL* easy : this->idleHandles)
        curl_easy_cleanup(easy);
    curl_multi_cleanup(this->multi);
    close(this->wakeDescriptor);
    close(this->epollDescriptor);
}

bool UpstreamLoop::post(Command& command)
{
    bool isFirst = false;
    {
        std::lock_guard lock(this->mutex);
        if (this->isStopRequested)
            return false;
        isFirst = this->commands.empty();
        this->commands.push_back(std::move(command));
    }
    if (isFirst)
        eventfd_write(this->wakeDescriptor, 1);
    return true;
}

void UpstreamLoop::stop()
{
    {
        std::lock_guard lock(this->mutex);
        this->isStopRequested = true;
    }
    eventfd_write(this->wakeDescriptor, 1);
    if (this->thread.joinable() && this->thread.get_id() != std::this_thread::get_id())
        this->thread.join();
}

void UpstreamLoop::run()
{
    auto isStopped = [this] {
        std::lock_guard lock(this->mutex);
        return this->isStopRequested;
    };
    while (!isStopped()) {
        this->pollOnce();
        this->runTimer();
        this->endFinishedAttempts();
        this->runCommands();
    }
    this->runCommands();
    while (!this->attempts.empty())
        this->cancelAttempt(this->attempts.begin()->first);
}

void UpstreamLoop::pollOnce()
{
    epoll_event events[maxEventsPerWait];
    int count = epoll_wait(this->epollDescriptor, events, maxEventsPerWait, this->timeoutMs());
    int running = 0;
    for (int index = 0; index < count; ++index) {
        int descriptor = events[index].data.fd;
        eventfd_t ignored = 0;
        if (descriptor == this->wakeDescriptor)
            eventfd_read(this->wakeDescriptor, &ignored);
        else
            curl_multi_socket_action(this->multi, descriptor, selectMaskOf(events[index].events), &running);
    }
}

int UpstreamLoop::timeoutMs() const
{
    if (!this->timer)
        return -1;
    return std::max(0, static_cast<int>(std::ceil((*this->timer - MillisecondClock::now()).count())));
}

void UpstreamLoop::runTimer()
{
    int running = 0;
    while (this->timer && MillisecondClock::now() >= *this->timer) {
        this->timer.reset();
        curl_multi_socket_action(this->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }
}

void UpstreamLoop::runCommands()
{
    std::vector<Command> taken;
    {
        std::lock_guard lock(this->mutex);
        taken.swap(this->commands);
    }
    for (Command& command : taken)
        this->runCommand(command);
}

void UpstreamLoop::runCommand(Command& command)
{
    if (command.action == Action::Start) {
        this->startAttempt(std::move(command.attempt));
        return;
    }
    auto found = this->attempts.find(command.handle);
    if (found == this->attempts.end())
        return;
    if (command.action == Action::Resume)
        found->second->resumeReceiving();
    else if (command.action == Action::ResumeBody)
        found->second->resumeSending();
    else
        this->cancelAttempt(command.handle);
}

void UpstreamLoop::startAttempt(std::unique_ptr<UpstreamAttempt> attempt)
{
    CURL* easy = nullptr;
    if (this->idleHandles.empty()) {
        easy = curl_easy_init();
    } else {
        easy = this->idleHandles.back();
        this->idleHandles.pop_back();
    }
    if (!attempt->prepare(easy, this->keptConnections)) {
        --this->openAttempts;
        attempt->end(CURLE_OPERATION_TIMEDOUT);
        this->recycleHandle(easy);
        return;
    }
    this->attempts[attempt->handle()] = std::move(attempt);
    curl_multi_add_handle(this->multi, easy);
}

void UpstreamLoop::endFinishedAttempts()
{
    int remaining = 0;
    while (CURLMsg* message = curl_multi_info_read(this->multi, &remaining)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        CURLcode code = message->data.result;
        UpstreamAttempt* attempt = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &attempt);
        if (this->restartOnNewConnection(*attempt))
            continue;
        CURL* easy = attempt->easyHandle();
        std::unique_ptr<UpstreamAttempt> ended = this->removeAttempt(attempt->handle());
        ended->end(code);
        this->recycleHandle(easy);
    }
}

bool UpstreamLoop::restartOnNewConnection(UpstreamAttempt& attempt)
{
    if (!attempt.needsNewConnection())
        return false;
    curl_multi_remove_handle(this->multi, attempt.easyHandle());
    if (attempt.prepareNewConnection()) {
        curl_multi_add_handle(this->multi, attempt.easyHandle());
        return true;
    }
    CURL* easy = attempt.easyHandle();
    auto node = this->attempts.extract(attempt.handle());
    --this->openAttempts;
    node.mapped()->end(CURLE_OPERATION_TIMEDOUT);
    this->recycleHandle(easy);
    return true;
}

std::unique_ptr<UpstreamAttempt> UpstreamLoop::removeAttempt(UpstreamClient::AttemptHandle handle)
{
    auto node = this->attempts.extract(handle);
    curl_multi_remove_handle(this->multi, node.mapped()->easyHandle());
    --this->openAttempts;
    return std::move(node.mapped());
}

void UpstreamLoop::cancelAttempt(UpstreamClient::AttemptHandle handle)
{
    std::unique_ptr<UpstreamAttempt> attempt = this->removeAttempt(handle);
    CURL* easy = attempt->easyHandle();
    attempt->endWith(UpstreamOutcome::Cancelled);
    this->recycleHandle(easy);
}

void UpstreamLoop::recycleHandle(CURL* easy)
{
    if (this->idleHandles.size() >= maxIdleHandles) {
        curl_easy_cleanup(easy);
        return;
    }
    curl_easy_reset(easy);
    this->idleHandles.push_back(easy);
}

int UpstreamLoop::onSocket(CURL*, curl_socket_t socket, int what, void* self, void* known)
{
    auto* loop = static_cast<UpstreamLoop*>(self);
    if (what == CURL_POLL_REMOVE) {
        epoll_ctl(loop->epollDescriptor, EPOLL_CTL_DEL, socket, nullptr);
        return 0;
    }
    epoll_event event {};
    event.events = eventsOf(what);
    event.data.fd = socket;
    epoll_ctl(loop->epollDescriptor, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, socket, &event);
    curl_multi_assign(loop->multi, socket, loop);
    return 0;
}

int UpstreamLoop::onTimer(CURLM*, long timeoutMs, void* self)
{
    auto* loop = static_cast<UpstreamLoop*>(self);
    if (timeoutMs < 0)
        loop->timer.reset();
    else
        loop->timer = MillisecondClock::now() + Milliseconds(static_cast<double>(timeoutMs));
    return 0;
}

} // namespace kingcup
