/** @file ServedExchange.cpp Request processing and life cycle of an exchange. */
#include "ServedExchange.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <utility>

namespace kingcup {

namespace {

/** Largest number of body bytes that are received and discarded after an early answer. */
constexpr uint64_t maxDrainedBytes = 1u << 20;

} // namespace

ServedExchange::ServedExchange(std::shared_ptr<ExchangeContext> exchangeContext, MHD_Connection* usedConnection, std::shared_ptr<CallerConnection> usedCaller)
    : context(std::move(exchangeContext))
    , caller(std::move(usedCaller))
    , connection(usedConnection)
{
    std::lock_guard lock(this->context->mutex);
    ++this->context->open;
}

ServedExchange::~ServedExchange() = default;

HttpExchange::BodyState ServedExchange::readBody(std::string& bytes, size_t limit)
{
    Lock lock(this->mutex);
    if (this->bodyBroken || (this->over && !this->bodyEnded))
        return BodyState::Broken;
    if (this->body.size() == 0)
        return this->bodyEnded ? BodyState::End : BodyState::Wait;
    bytes.resize(std::min(limit, this->body.size()));
    this->body.take(bytes.data(), bytes.size());
    if (!this->bodyEnded && this->body.size() < this->context->options.bodyBufferBytes)
        this->resume();
    return BodyState::More;
}

void ServedExchange::setReadableHook(std::function<void()> hook)
{
    Lock lock(this->mutex);
    this->readableHook.swap(hook);
    lock.unlock();
}

void ServedExchange::setWritableHook(std::function<void()> hook)
{
    Lock lock(this->mutex);
    this->writableHook.swap(hook);
    lock.unlock();
}

void ServedExchange::setClosedHook(std::function<void(bool completed)> hook)
{
    Lock lock(this->mutex);
    this->closedHook.swap(hook);
    if (!this->over)
        return;
    // A hook that is set after the end runs on the watcher's thread, because the calling thread may hold a lock.
    this->due.closed = true;
    this->context->watcher->post([self = this->shared_from_this()] {
        Lock taskLock(self->mutex);
        self->callHooks(taskLock);
    });
}

void ServedExchange::callHooks(Lock& lock)
{
    if (this->callingHooks)
        return;
    this->callingHooks = true;
    while (std::function<void()> hook = this->nextHook()) {
        lock.unlock();
        hook();
        hook = nullptr;
        lock.lock();
    }
    this->callingHooks = false;
}

std::function<void()> ServedExchange::nextHook()
{
    if (this->due.closed) {
        this->due = {};
        // The other hooks are released together with the closed hook, because they usually own a reference to this exchange.
        return [hook = std::move(this->closedHook), wasCompleted = this->completed, readable = std::move(this->readableHook), writable = std::move(this->writableHook)] {
            if (hook)
                hook(wasCompleted);
        };
    }
    if (std::exchange(this->due.readable, false) && this->readableHook)
        return this->readableHook;
    if (std::exchange(this->due.writable, false) && this->writableHook)
        return this->writableHook;
    return {};
}

void ServedExchange::resume()
{
    if (!this->connection || !std::exchange(this->suspended, false))
        return;
    this->bodyTime = MillisecondClock::now();
    MHD_resume_connection(this->connection);
}

void ServedExchange::suspend()
{
    MHD_suspend_connection(this->connection);
    this->suspended = true;
}

void ServedExchange::markOver(bool wasCompleted)
{
    if (std::exchange(this->over, true))
        return;
    this->completed = wasCompleted;
    this->due.closed = true;
    this->body.clear();
    this->stream.clear();
}

void ServedExchange::reset()
{
    // connect() with AF_UNSPEC makes Linux send RST at once. Closing the socket would send FIN first, which is a valid end
    // of a body that is delimited by the end of the connection.
    sockaddr none {};
    none.sa_family = AF_UNSPEC;
    // It fails only if the connection was already reset.
    (void)connect(this->caller->socket, &none, sizeof(none));
}

bool ServedExchange::onHead(const RawHead& raw)
{
    const MHD_ConnectionInfo* address = MHD_get_connection_info(this->connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    char text[INET6_ADDRSTRLEN] = "";
    if (address && address->client_addr->sa_family == AF_INET)
        inet_ntop(AF_INET, &reinterpret_cast<const sockaddr_in*>(address->client_addr)->sin_addr, text, sizeof(text));
    else if (address && address->client_addr->sa_family == AF_INET6)
        inet_ntop(AF_INET6, &reinterpret_cast<const sockaddr_in6*>(address->client_addr)->sin6_addr, text, sizeof(text));
    this->requestHead.peer = text;
    ResultCode code = raw.size > this->context->options.maxHeaderBytes
        ? ResultCode::HeaderTooLarge
        : checkRequestHead(raw, this->context->options.maxBodyBytes, this->requestHead, this->framing);
    bool hasBody = this->framing.chunked || this->framing.contentLength.value_or(0) > 0;
    Lock lock(this->mutex);
    this->bodyEnded = !hasBody;
    this->bodyTime = MillisecondClock::now();
    if (code == ResultCode::Ok)
        return true;
    this->refuse(code);
    lock.unlock();
    this->reportRefusal(code);
    return false;
}

bool ServedExchange::watchCaller()
{
    std::lock_guard lock(this->caller->mutex);
    this->caller->goneHook = [weak = this->weak_from_this()] {
        if (auto self = weak.lock())
            self->onGone(false);
    };
    this->caller->sweepHook = [weak = this->weak_from_this()](TimePoint now) {
        if (auto self = weak.lock())
            self->onSweep(now);
    };
    this->caller->headerSince = {};
    return !this->caller->peerGone;
}

MHD_Result ServedExchange::onHandedOver()
{
    Lock lock(this->mutex);
    this->handedOver = true;
    if (this->gone || this->context->stopping)
        return MHD_NO;
    // An early answer spares the caller from sending its body. Without a body, the next access callback queues the answer.
    bool answered = this->answerState != AnswerState::None;
    return answered && (this->refused || !this->bodyEnded) ? this->queueAnswer() : MHD_YES;
}

MHD_Result ServedExchange::onBody(const char* bytes, size_t* size)
{
    Lock lock(this->mutex);
    if (this->gone)
        return MHD_NO;
    if (*size > 0) {
        bool wasBroken = this->bodyBroken;
        MHD_Result result = this->takeBody(bytes, size);
        bool brokenNow = this->bodyBroken && !wasBroken;
        this->callHooks(lock);
        lock.unlock();
        if (brokenNow)
            this->reportRefusal(ResultCode::BodyTooLarge);
        return result;
    }
    if (this->sentEarly)
        return MHD_NO;
    if (!std::exchange(this->bodyEnded, true))
        this->due.readable = true;
    this->callHooks(lock);
    if (this->gone)
        return MHD_NO;
    if (this->answerState != AnswerState::None)
        return this->queueAnswer();
    this->suspend();
    return MHD_YES;
}

MHD_Result ServedExchange::takeBody(const char* bytes, size_t* size)
{
    std::string_view received(bytes, std::exchange(*size, 0));
    this->bodyBytes += received.size();
    this->bodyTime = MillisecondClock::now();
    if (this->sentEarly) {
        // Closing at once would make the kernel send RST, which can discard the answer before the caller reads it.
        this->drainedBytes += received.size();
        return this->drainedBytes <= maxDrainedBytes ? MHD_YES : MHD_NO;
    }
    if (this->bodyBytes > this->context->options.maxBodyBytes && !std::exchange(this->bodyBroken, true)) {
        this->due.readable = true;
        this->refuse(ResultCode::BodyTooLarge);
        this->sendEarlyAnswer();
    }
    bool unwanted = this->bodyBroken || this->answerState != AnswerState::None;
    if (unwanted)
        return this->bodyBytes <= this->context->options.maxBodyBytes || this->sentEarly ? MHD_YES : MHD_NO;
    this->due.readable = true;
    this->body.append(received);
    // libmicrohttpd reports the end of the body in a later callback. An answer in between must not be treated as early,
    // because an early answer closes the connection.
    this->bodyEnded = this->bodyBytes == this->framing.contentLength;
    if (!this->bodyEnded && this->body.size() >= this->context->options.bodyBufferBytes)
        this->suspend();
    return MHD_YES;
}

void ServedExchange::onCompleted(MHD_RequestTerminationCode reason)
{
    {
        std::lock_guard callerLock(this->caller->mutex);
        this->caller->goneHook = nullptr;
        this->caller->sweepHook = nullptr;
        this->caller->requestEnded = true;
    }
    Lock lock(this->mutex);
    this->connection = nullptr;
    bool slow = reason == MHD_REQUEST_TERMINATED_TIMEOUT_REACHED && !(this->headSeen && this->bodyEnded);
    bool refusedByDaemon = reason == MHD_REQUEST_TERMINATED_COMPLETED_OK && !this->headSeen;
    this->markOver((reason == MHD_REQUEST_TERMINATED_COMPLETED_OK && this->queued) || this->sentEarly);
    this->due.readable = false;
    this->callHooks(lock);
    lock.unlock();
    if (slow || refusedByDaemon)
        this->reportRefusal(slow ? ResultCode::SlowSender : ResultCode::BadRequest);
    std::lock_guard contextLock(this->context->mutex);
    if (--this->context->open == 0)
        this->context->idle.notify_all();
}

void ServedExchange::onSweep(TimePoint now)
{
    Lock lock(this->mutex);
    bool waitsForBody = !this->bodyEnded && !this->bodyBroken && !this->suspended && !this->over;
    if (!waitsForBody || now - this->bodyTime < this->context->options.slowSenderTimeout)
        return;
    this->bodyBroken = true;
    this->due.readable = true;
    this->callHooks(lock);
    lock.unlock();
    this->reportRefusal(ResultCode::SlowSender);
}

void ServedExchange::reportRefusal(ResultCode code) const
{
    if (this->context->refusedHook)
        this->context->refusedHook(code);
}

void ServedExchange::onGone(bool force)
{
    Lock lock(this->mutex);
    bool answered = this->answerState == AnswerState::Whole || this->answerState == AnswerState::Finished;
    // Once the answer is complete, libmicrohttpd itself detects whether it could be sent.
    if (this->over || (answered && !force))
        return;
    this->gone = true;
    this->markOver(false);
    this->resume();
    this->callHooks(lock);
}

} // namespace kingcup
