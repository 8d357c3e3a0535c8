/** @file HttpListener.cpp Runs the libmicrohttpd daemon and maps its requests to exchanges. */
#include "kingcup/HttpListener.h"

#include "ConnectionWatcher.h"
#include "ServedExchange.h"
#include "SocketAddress.h"

#include <cmath>
#include <netinet/in.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <unordered_set>
#include <utility>

namespace kingcup {

namespace {

/** Length of the queue of connections that wait for accept(). */
constexpr int maxPendingConnections = 4096;

/** Memory pool per connection in addition to the request header: holds parsed fields and the header of the answer. */
constexpr size_t poolExtraBytes = 32u << 10;

using ExchangePointer = std::shared_ptr<ServedExchange>;
using CallerPointer = std::shared_ptr<CallerConnection>;

/** Returns the watcher's entry for a connection. */
CallerPointer callerConnection(MHD_Connection* connection)
{
    const MHD_ConnectionInfo* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return *static_cast<CallerPointer*>(info->socket_context);
}

/** Adds one header field to a RawHead. */
MHD_Result addRawField(void* raw, MHD_ValueKind, const char* name, size_t nameSize, const char* value, size_t valueSize)
{
    std::string_view valueText = value ? std::string_view(value, valueSize) : std::string_view();
    static_cast<RawHead*>(raw)->fields.emplace_back(std::string_view(name, nameSize), valueText);
    return MHD_YES;
}

/** Unescape callback that leaves the URI unchanged, because targets are forwarded percent-encoded. */
size_t keepPercentEncoding(void*, MHD_Connection*, char* text)
{
    return std::char_traits<char>::length(text);
}

} // namespace

/** The daemon and the state that its callbacks use. */
struct HttpListener::State : ExchangeContext {
    HttpListener::Handler handler; ///< Called for each accepted request.
    MHD_Daemon* daemon = nullptr; ///< Null before start() and after stop().
    int socket = -1; ///< Listening socket, -1 once closed.
    int acceptorStopEvent = -1; ///< Event descriptor that stops the acceptor.
    std::thread acceptor; ///< Accepts connections and hands them to the daemon.
    uint16_t port = 0; ///< Bound port.
    std::unordered_set<ServedExchange*> exchanges; ///< Open exchanges, guarded by `mutex`.
    std::weak_ptr<State> self; ///< Passed to the exchanges as their shared context.

    bool listen();

    bool startDaemon();

    /** Stops the acceptor and closes the listening socket. */
    void stopAccepting();

    /** Accepts connections until stopAccepting() is called. */
    void runAcceptor();

    /** Accepts one connection. Returns false when none is waiting or accept() failed. */
    bool acceptConnection();

    /** Creates the exchange for a received request line. The caller owns the result. */
    ExchangePointer* openExchange(const char* target, MHD_Connection* connection);

    /** Handles the first access callback of a request, when its header is complete. */
    MHD_Result beginRequest(const ExchangePointer& exchange, const RawHead& raw);

    /** Returns the exchanges in progress. */
    std::vector<ExchangePointer> openExchanges();

    /** Ends all exchanges, so that no connection stays suspended. */
    void endExchanges();
};

/** Callbacks of libmicrohttpd; `state` is the listener's state. A template because that type is private. */
template <typename State>
struct DaemonCallbacks {
    static void* target(void* state, const char* uri, MHD_Connection* connection)
    {
        return static_cast<State*>(state)->openExchange(uri, connection);
    }

    static MHD_Result access(void* state, MHD_Connection* connection, const char*, const char* method, const char* version, const char* bytes, size_t* size, void** request)
    {
        auto* exchange = static_cast<ExchangePointer*>(*request);
        if (!exchange)
            return MHD_NO;
        if ((*exchange)->isHeadHandled)
            return (*exchange)->onBody(bytes, size);
        RawHead raw;
        raw.method = method;
        raw.version = version;
        raw.target = (*exchange)->targetText;
        raw.targetStart = (*exchange)->targetStart;
        raw.size = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE)->header_size;
        MHD_get_connection_values_n(connection, MHD_HEADER_KIND, addRawField, &raw);
        return static_cast<State*>(state)->beginRequest(*exchange, raw);
    }

    static void completed(void* state, MHD_Connection*, void** request, MHD_RequestTerminationCode reason)
    {
        std::unique_ptr<ExchangePointer> exchange(static_cast<ExchangePointer*>(std::exchange(*request, nullptr)));
        if (!exchange)
            return;
        {
            std::lock_guard lock(static_cast<State*>(state)->mutex);
            static_cast<State*>(state)->exchanges.erase(exchange->get());
        }
        (*exchange)->onCompleted(reason);
    }

    static void connectionChanged(void* state, MHD_Connection* connection, void** socketContext, MHD_ConnectionNotificationCode change)
    {
        ConnectionWatcher& watcher = *static_cast<State*>(state)->watcher;
        if (change == MHD_CONNECTION_NOTIFY_STARTED) {
            int socket = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
            *socketContext = new CallerPointer(watcher.add(socket));
            return;
        }
        std::unique_ptr<CallerPointer> caller(static_cast<CallerPointer*>(std::exchange(*socketContext, nullptr)));
        if (caller)
            watcher.remove((*caller)->id);
    }
};

bool HttpListener::State::listen()
{
    std::optional<SocketAddress> address = SocketAddress::parse(this->options.address);
    if (!address)
        return false;
    this->socket = ::socket(address->family(), SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    int on = 1;
    setsockopt(this->socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    bool isListening = bind(this->socket, address->data(), address->size()) == 0 && ::listen(this->socket, maxPendingConnections) == 0;
    if (!isListening) {
        close(std::exchange(this->socket, -1));
        return false;
    }
    this->port = SocketAddress::ofSocket(this->socket).port();
    return true;
}

bool HttpListener::State::startDaemon()
{
    // In libmicrohttpd 0.9.75, MHD_quiesce_daemon races with the event loops for the listening socket and terminates the
    // process. The daemon therefore has no listening socket.
    unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC | MHD_USE_NO_LISTEN_SOCKET;
    auto timeoutSeconds = static_cast<unsigned>(std::ceil(this->options.slowSenderTimeout.count() / 1000)) + 1;
    size_t poolBytes = 2 * this->options.maxHeaderBytes + poolExtraBytes;
    unsigned poolThreads = this->options.threads > 1 ? this->options.threads : 0;
    this->daemon = MHD_start_daemon(flags, 0, nullptr, nullptr, &DaemonCallbacks<State>::access, this,
        MHD_OPTION_THREAD_POOL_SIZE, poolThreads,
        MHD_OPTION_CONNECTION_LIMIT, static_cast<unsigned>(this->options.maxConnections),
        MHD_OPTION_CONNECTION_TIMEOUT, timeoutSeconds,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, poolBytes,
        MHD_OPTION_STRICT_FOR_CLIENT, 1,
        MHD_OPTION_UNESCAPE_CALLBACK, &keepPercentEncoding, nullptr,
        MHD_OPTION_URI_LOG_CALLBACK, &DaemonCallbacks<State>::target, this,
        MHD_OPTION_NOTIFY_COMPLETED, &DaemonCallbacks<State>::completed, this,
        MHD_OPTION_NOTIFY_CONNECTION, &DaemonCallbacks<State>::connectionChanged, this,
        MHD_OPTION_END);
    if (!this->daemon)
        return false;
    this->acceptorStopEvent = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    this->acceptor = std::thread([this] { this->runAcceptor(); });
    return true;
}

ExchangePointer* HttpListener::State::openExchange(const char* target, MHD_Connection* connection)
{
    auto exchange = std::make_shared<ServedExchange>(this->self.lock(), connection, callerConnection(connection));
    exchange->targetText = target;
    exchange->targetStart = target;
    std::lock_guard lock(this->mutex);
    this->exchanges.insert(exchange.get());
    return new ExchangePointer(std::move(exchange));
}

MHD_Result HttpListener::State::beginRequest(const ExchangePointer& exchange, const RawHead& raw)
{
    exchange->isHeadHandled = true;
    bool isAccepted = exchange->onHead(raw);
    // A request must not be carried out late for a caller that has given up and may have sent another since. The watcher may not have seen its end yet.
    if (isAccepted && (!exchange->registerCallerHooks() || exchange->hasCallerLeft()))
        return MHD_NO;
    if (isAccepted && !this->isStopping)
        this->handler(exchange);
    return exchange->onHandlerReturned();
}

std::vector<ExchangePointer> HttpListener::State::openExchanges()
{
    std::vector<ExchangePointer> open;
    std::lock_guard lock(this->mutex);
    for (ServedExchange* exchange : this->exchanges)
        open.push_back(exchange->shared_from_this());
    return open;
}

void HttpListener::State::endExchanges()
{
    for (const ExchangePointer& exchange : this->openExchanges())
        exchange->onDisconnected(true);
}

void HttpListener::State::stopAccepting()
{
    if (!this->acceptor.joinable())
        return;
    uint64_t one = 1;
    [[maybe_unused]] ssize_t bytes = write(this->acceptorStopEvent, &one, sizeof(one));
    this->acceptor.join();
    // Connections in the queue are reset when the socket is closed, and their callers may have sent requests.
    while (this->acceptConnection()) { }
    close(std::exchange(this->acceptorStopEvent, -1));
    close(std::exchange(this->socket, -1));
}

void HttpListener::State::runAcceptor()
{
    constexpr int retryMs = 10; // Delay after a failed accept, for example when no descriptors are free.
    pollfd polled[] = { { this->acceptorStopEvent, POLLIN, 0 }, { this->socket, POLLIN, 0 } };
    for (;;) {
        poll(polled, std::size(polled), -1);
        if (polled[0].revents)
            return;
        while (this->acceptConnection()) { }
        if (errno != EAGAIN && errno != EWOULDBLOCK && poll(polled, 1, retryMs) > 0)
            return;
    }
}

bool HttpListener::State::acceptConnection()
{
    sockaddr_storage address {};
    socklen_t length = sizeof(address);
    int connection = accept4(this->socket, reinterpret_cast<sockaddr*>(&address), &length, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (connection < 0)
        return false;
    // The daemon closes the connection if it rejects it.
    MHD_add_connection(this->daemon, connection, reinterpret_cast<sockaddr*>(&address), length);
    return true;
}

HttpListener::HttpListener(HttpListenerOptions options, Handler handler, RefusedHook refusedHook)
    : state(std::make_shared<State>())
{
    this->state->options = std::move(options);
    this->state->handler = std::move(handler);
    this->state->refusedHook = std::move(refusedHook);
    this->state->watcher = std::make_shared<ConnectionWatcher>(this->state->options.slowSenderTimeout, [hook = this->state->refusedHook] {
        if (hook)
            hook(ResultCode::SlowSender);
    });
    this->state->self = this->state;
}

HttpListener::~HttpListener()
{
    this->stop();
}

std::error_code HttpListener::start()
{
    bool isStarted = this->state->listen() && this->state->startDaemon();
    return isStarted ? std::error_code() : make_error_code(ResultCode::ListenFailed);
}

uint16_t HttpListener::port() const
{
    return this->state->port;
}

void HttpListener::announceClose()
{
    this->state->announcesClose = true;
}

void HttpListener::stopAccepting()
{
    this->state->stopAccepting();
}

uint32_t HttpListener::openExchangeCount() const
{
    std::lock_guard lock(this->state->mutex);
    return this->state->openExchangeCount;
}

bool HttpListener::waitUntilIdle(Milliseconds limit)
{
    std::unique_lock lock(this->state->mutex);
    return this->state->becameIdle.wait_for(lock, limit, [this] { return this->state->openExchangeCount == 0; });
}

void HttpListener::announceCutOff()
{
    for (const ExchangePointer& exchange : this->state->openExchanges())
        exchange->onCutOff();
}

void HttpListener::stop()
{
    this->state->isStopping = true;
    this->state->stopAccepting();
    this->state->endExchanges();
    if (MHD_Daemon* daemon = std::exchange(this->state->daemon, nullptr))
        MHD_stop_daemon(daemon);
    this->state->watcher->stop();
}

} // namespace kingcup
