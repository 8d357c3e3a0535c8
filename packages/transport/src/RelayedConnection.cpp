/** @file RelayedConnection.cpp State machine of a relayed connection. */
#include "RelayedConnection.h"

#include "SocketAddress.h"
#include "SocketOptions.h"

#include "kingcup/HttpTypes.h"

#include <algorithm>
#include <cerrno>
#include <optional>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace kingcup {

namespace {

constexpr size_t chunkBytes = 16u << 10;
constexpr int chunksPerEvent = 4; ///< One busy connection must not starve the others.
constexpr size_t maxRequestBytes = 1024;
constexpr Milliseconds closingTimeout { 2000 };
constexpr Milliseconds busyTime { 500 }; ///< Longer than the pauses within an answer.
constexpr Milliseconds silenceIdle { 3000 };
constexpr Milliseconds silenceLimit { 5000 };

constexpr std::string_view established = "HTTP/1.1 200 OK\r\n\r\n";
constexpr std::string_view wrongToken = "HTTP/1.1 407 Proxy Authentication Required";
constexpr std::string_view unknownTarget = "HTTP/1.1 403 Forbidden";
constexpr std::string_view badRequest = "HTTP/1.1 400 Bad Request";
constexpr std::string_view targetUnreachable = "HTTP/1.1 502 Bad Gateway";
constexpr std::string_view notServing = "HTTP/1.1 503 Service Unavailable";
constexpr std::string_view targetTimeout = "HTTP/1.1 504 Gateway Timeout";

/** Returns the token of a request; empty if there is none. */
std::string_view tokenOf(std::string_view head)
{
    constexpr std::string_view prefix = "Proxy-Authorization: Bearer ";
    constexpr std::string_view lineEnd = "\r\n";
    for (size_t start = 0; start < head.size();) {
        std::string_view line = head.substr(start, head.find(lineEnd, start) - start);
        if (equalsIgnoreCase(line.substr(0, prefix.size()), prefix))
            return line.substr(prefix.size());
        start += line.size() + lineEnd.size();
    }
    return {};
}

/** Returns the target of a CONNECT request; empty if it is another request. */
std::string targetOf(std::string_view head)
{
    constexpr std::string_view method = "CONNECT ";
    size_t end = head.find(' ', method.size());
    return head.starts_with(method) && end != std::string_view::npos ? std::string(head.substr(method.size(), end - method.size())) : "";
}

void prepareSocket(int socket)
{
    disableNagle(socket);
    limitSilence(socket, silenceIdle, silenceLimit);
    // If this process is killed, the end of the connection must not look like the end of an answer.
    setResetOnClose(socket, true);
}

/** Returns whether an operation on a non-blocking socket has failed for good. */
bool hasFailed(ssize_t result)
{
    return result < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
}

} // namespace

RelayedConnection::RelayedConnection(int clientSocket, TimePoint now)
    : activityTime(now)
{
    this->client.socket = clientSocket;
    prepareSocket(clientSocket);
}

RelayedConnection::~RelayedConnection()
{
    if (this->client.socket >= 0)
        ::close(this->client.socket);
    if (this->target.socket >= 0)
        ::close(this->target.socket);
}

void RelayedConnection::setPhase(Phase phase, TimePoint now)
{
    this->currentPhase = phase;
    this->activityTime = now;
}

void RelayedConnection::handleClientEvents(uint32_t events, const RelayListener::Authorizer& authorizer, TimePoint now)
{
    switch (this->currentPhase) {
    case Phase::Request:
        this->readRequest(authorizer, now);
        return;
    case Phase::Connecting:
        // Nothing is sent before the connection is established, so this is the end of the requesting VM's side.
        if (events & (EPOLLHUP | EPOLLERR | EPOLLRDHUP))
            this->setPhase(Phase::Ended, now);
        return;
    case Phase::Open:
    case Phase::Closing:
        this->passBothDirections(now);
        this->closeAfterError(events, now);
        return;
    case Phase::Ended:
        return;
    }
}

void RelayedConnection::handleTargetEvents(uint32_t events, TimePoint now)
{
    if (this->currentPhase == Phase::Connecting) {
        this->finishConnecting(now);
    } else if (this->currentPhase == Phase::Open) {
        this->passBothDirections(now);
        this->closeAfterError(events, now);
    }
}

/** Ends the connection after an error of a socket that was not read, because the other end takes no bytes. */
void RelayedConnection::closeAfterError(uint32_t events, TimePoint now)
{
    if ((events & EPOLLERR) && this->currentPhase == Phase::Open)
        this->close(false, now);
}

void RelayedConnection::readRequest(const RelayListener::Authorizer& authorizer, TimePoint now)
{
    char buffer[maxRequestBytes];
    ssize_t count = ::recv(this->client.socket, buffer, maxRequestBytes - this->request.size(), MSG_DONTWAIT);
    if (count == 0 || hasFailed(count)) {
        this->setPhase(Phase::Ended, now);
        return;
    }
    this->request.append(buffer, static_cast<size_t>(std::max<ssize_t>(count, 0)));
    if (this->request.ends_with("\r\n\r\n"))
        this->handleRequest(authorizer, now);
    else if (this->request.size() == maxRequestBytes)
        this->refuse(badRequest, now);
}

void RelayedConnection::handleRequest(const RelayListener::Authorizer& authorizer, TimePoint now)
{
    std::string address = targetOf(this->request);
    if (address.empty()) {
        this->refuse(badRequest, now);
        return;
    }
    switch (authorizer(tokenOf(this->request), address)) {
    case RelayDecision::Accept:
        this->connectTarget(address, now);
        return;
    case RelayDecision::WrongToken:
        this->refuse(wrongToken, now);
        return;
    case RelayDecision::UnknownTarget:
        this->refuse(unknownTarget, now);
        return;
    case RelayDecision::NotServing:
        this->refuse(notServing, now);
        return;
    }
}

void RelayedConnection::connectTarget(const std::string& address, TimePoint now)
{
    std::optional<SocketAddress> parsed = SocketAddress::parse(address);
    if (!parsed) {
        this->refuse(unknownTarget, now);
        return;
    }
    this->target.socket = ::socket(parsed->family(), SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (this->target.socket < 0) {
        this->refuse(notServing, now);
        return;
    }
    prepareSocket(this->target.socket);
    this->setPhase(Phase::Connecting, now);
    if (::connect(this->target.socket, parsed->data(), parsed->size()) != 0 && errno != EINPROGRESS)
        this->refuse(targetUnreachable, now);
}

void RelayedConnection::finishConnecting(TimePoint now)
{
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(this->target.socket, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        this->refuse(targetUnreachable, now);
        return;
    }
    this->setPhase(Phase::Open, now);
    this->client.outgoing = established;
    this->passBothDirections(now);
}

/** Sends a refusal and closes the connection. */
void RelayedConnection::refuse(std::string_view statusLine, TimePoint now)
{
    this->client.outgoing = std::string(statusLine) + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    this->closeTarget();
    this->setPhase(Phase::Open, now);
    this->passBothDirections(now);
}

void RelayedConnection::passBothDirections(TimePoint now)
{
    if (!this->passBytes(this->target, this->client, now) || !this->passBytes(this->client, this->target, now)) {
        this->close(false, now);
        return;
    }
    if (this->client.hasClosed)
        this->close(true, now);
    else if (this->target.hasClosed && this->client.outgoing.empty() && this->currentPhase == Phase::Open) {
        setResetOnClose(this->client.socket, false);
        ::shutdown(this->client.socket, SHUT_WR);
        this->closeTarget();
        this->setPhase(Phase::Closing, now);
    }
}

/** Passes bytes from one end to the other until one of the sockets would block. Returns false if a socket has failed. */
bool RelayedConnection::passBytes(End& from, End& to, TimePoint now)
{
    char buffer[chunkBytes];
    for (int chunk = 0; chunk < chunksPerEvent; ++chunk) {
        if (to.outgoing.empty() && !from.hasClosed && from.socket >= 0) {
            ssize_t count = ::recv(from.socket, buffer, sizeof(buffer), MSG_DONTWAIT);
            if (hasFailed(count))
                return false;
            from.hasClosed = count == 0;
            // After its own end, the target takes no more bytes; those of a late request are dropped.
            bool isDiscarded = this->currentPhase == Phase::Closing;
            if (count > 0 && !isDiscarded) {
                to.outgoing.assign(buffer, static_cast<size_t>(count));
                this->activityTime = now;
                this->isAnswerAwaited = &from == &this->client;
            }
        }
        if (to.outgoing.empty() || to.socket < 0)
            return true;
        ssize_t sent = ::send(to.socket, to.outgoing.data(), to.outgoing.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (hasFailed(sent))
            return false;
        to.outgoing.erase(0, static_cast<size_t>(std::max<ssize_t>(sent, 0)));
        if (!to.outgoing.empty())
            return true;
    }
    return true;
}

/** Closes the socket of the target, which sends nothing more. */
void RelayedConnection::closeTarget()
{
    this->target.hasClosed = true;
    this->target.outgoing.clear();
    if (this->target.socket < 0)
        return;
    setResetOnClose(this->target.socket, false);
    ::close(std::exchange(this->target.socket, -1));
}

/** Ends the connection. @param isOrderly Whether the target sees an orderly close; otherwise both ends see a reset. */
void RelayedConnection::close(bool isOrderly, TimePoint now)
{
    if (this->target.socket >= 0)
        setResetOnClose(this->target.socket, !isOrderly);
    setResetOnClose(this->client.socket, !isOrderly);
    this->setPhase(Phase::Ended, now);
}

void RelayedConnection::checkTimeout(const RelayListenerOptions& options, TimePoint now)
{
    Milliseconds age = now - this->activityTime;
    switch (this->currentPhase) {
    case Phase::Request:
        if (age >= options.requestTimeout)
            this->setPhase(Phase::Ended, now);
        return;
    case Phase::Connecting:
        if (age >= options.connectTimeout)
            this->refuse(targetTimeout, now);
        return;
    case Phase::Open:
        // An answer without length may only pause. So the requesting VM sees a reset, while the target sees the same as at the end of a kept connection.
        if (age >= options.idleTimeout && !this->isBusy(now) && this->client.outgoing.empty()) {
            this->closeTarget();
            this->close(false, now);
        }
        return;
    case Phase::Closing:
        if (age >= closingTimeout)
            this->setPhase(Phase::Ended, now);
        return;
    case Phase::Ended:
        return;
    }
}

bool RelayedConnection::isBusy(TimePoint now) const
{
    return this->currentPhase == Phase::Open && (this->isAnswerAwaited || now - this->activityTime < busyTime);
}

uint32_t RelayedConnection::clientInterest() const
{
    if (this->currentPhase == Phase::Request || this->currentPhase == Phase::Closing)
        return EPOLLIN;
    if (this->currentPhase == Phase::Connecting)
        return EPOLLRDHUP;
    return this->interestOf(this->client, this->target);
}

uint32_t RelayedConnection::targetInterest() const
{
    if (this->currentPhase == Phase::Connecting)
        return EPOLLOUT;
    return this->currentPhase == Phase::Open && !this->target.hasClosed ? this->interestOf(this->target, this->client) : 0;
}

/** Returns the events to wait for: room for outgoing bytes, and bytes unless the other end has not taken the last ones. */
uint32_t RelayedConnection::interestOf(const End& end, const End& other) const
{
    bool reads = !end.hasClosed && other.outgoing.empty();
    return (reads ? EPOLLIN : 0u) | (end.outgoing.empty() ? 0u : EPOLLOUT);
}

} // namespace kingcup
