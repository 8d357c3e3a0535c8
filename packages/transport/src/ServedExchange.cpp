/** @file ServedExchange.cpp Request processing and life cycle of an exchange. */
#include "ServedExchange.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace kingcup {

namespace {

/** Largest number of body bytes that are received and discarded after an early answer. */
constexpr uint64_t maxDrainedBytes = 1u << 20;

} // namespace

ServedExchange::ServedExchange(std::shared_ptr<ExchangeContext> exchangeContext, MHD_Connection* mhdConnection, std::shared_ptr<CallerConnection> callerConnection)
    : context(std::move(exchangeContext))
    , caller(std::move(callerConnection))
    , connection(mhdConnection)
{
    std::lock_guard lock(this->context->mutex);
    ++this->context->openExchangeCount;
}

ServedExchange::~ServedExchange() = default;

bool ServedExchange::hasCallerLeft()
{
    Lock lock(this->mutex);
    if (!this->connection || this->isDisconnected)
        return true;
    pollfd polled { this->caller->socket, POLLRDHUP, 0 };
    return poll(&polled, 1, 0) > 0;
}

HttpExchange::BodyState ServedExchange::readBody(std::string& bytes, size_t limit)
{
    Lock lock(this->mutex);
    if (this->hasBodyFailed || this->isBodyDropped)
        return BodyState::Failed;
    if (this->body.size() == 0)
        return this->isBodyComplete ? BodyState::End : BodyState::Pending;
    bytes.resize(std::min(limit, this->body.size()));
    this->body.take(bytes.data(), bytes.size());
    if (this->suspendReason == SuspendReason::BodySpace && this->body.size() < this->context->options.bodyBufferBytes)
        this->resume();
    return BodyState::More;
}

void ServedExchange::discardBody()
{
    Lock lock(this->mutex);
    this->dropBody();
    this->resume();
}

void ServedExchange::dropBody()
{
    this->isBodyDropped = this->isBodyDropped || !this->isBodyComplete || this->body.size() > 0;
    this->body.clear();
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

void ServedExchange::setCutOffHook(std::function<void()> hook)
{
    Lock lock(this->mutex);
    this->cutOffHook.swap(hook);
    lock.unlock();
}

void ServedExchange::setClosedHook(std::function<void(bool completed)> hook)
{
    Lock lock(this->mutex);
    this->closedHook.swap(hook);
    if (!this->isOver)
        return;
    // A hook that is set after the end runs on the watcher's thread, because the calling thread may hold a lock.
    this->dueHooks.isClosedDue = true;
    this->context->watcher->post([self = this->shared_from_this()] {
        Lock taskLock(self->mutex);
        self->callHooks(taskLock);
    });
}

void ServedExchange::callHooks(Lock& lock)
{
    if (this->isCallingHooks)
        return;
    this->isCallingHooks = true;
    while (std::function<void()> hook = this->takeDueHook()) {
        lock.unlock();
        hook();
        hook = nullptr;
        lock.lock();
    }
    this->isCallingHooks = false;
}

std::function<void()> ServedExchange::takeDueHook()
{
    if (this->dueHooks.isClosedDue) {
        this->dueHooks = {};
        // The other hooks are released together with the closed hook, because they usually own a reference to this exchange.
        return [hook = std::move(this->closedHook), wasCompleted = this->isCompleted, readable = std::move(this->readableHook), writable = std::move(this->writableHook), cutOff = std::move(this->cutOffHook)] {
            if (hook)
                hook(wasCompleted);
        };
    }
    if (std::exchange(this->dueHooks.isCutOffDue, false) && this->cutOffHook)
        return this->cutOffHook;
    if (std::exchange(this->dueHooks.isReadableDue, false) && this->readableHook)
        return this->readableHook;
    if (std::exchange(this->dueHooks.isWritableDue, false) && this->writableHook)
        return this->writableHook;
    return {};
}

void ServedExchange::resume()
{
    if (!this->connection || std::exchange(this->suspendReason, SuspendReason::None) == SuspendReason::None)
        return;
    this->bodyTimeoutStart = MillisecondClock::now();
    MHD_resume_connection(this->connection);
}

void ServedExchange::suspend(SuspendReason reason)
{
    // libmicrohttpd passes on chunks that it has read already, also after a suspension. A second one would corrupt its lists.
    if (std::exchange(this->suspendReason, reason) == SuspendReason::None)
        MHD_suspend_connection(this->connection);
}

void ServedExchange::markEnded(bool wasCompleted)
{
    if (std::exchange(this->isOver, true))
        return;
    this->isCompleted = wasCompleted;
    this->dueHooks.isClosedDue = true;
    this->dropBody();
    this->stream.clear();
}

void ServedExchange::resetConnection()
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
    this->isBodyComplete = !hasBody;
    this->bodyTimeoutStart = MillisecondClock::now();
    if (code == ResultCode::Ok)
        return true;
    this->refuse(code);
    lock.unlock();
    this->reportRefusal(code);
    return false;
}

bool ServedExchange::registerCallerHooks()
{
    std::lock_guard lock(this->caller->mutex);
    this->caller->disconnectHook = [weak = this->weak_from_this()] {
        if (auto self = weak.lock())
            self->onDisconnected(false);
    };
    this->caller->sweepHook = [weak = this->weak_from_this()](TimePoint now) {
        if (auto self = weak.lock())
            self->onSweep(now);
    };
    this->caller->incompleteHeaderSince = {};
    return !this->caller->isPeerClosed;
}

MHD_Result ServedExchange::onHandlerReturned()
{
    Lock lock(this->mutex);
    this->hasHandlerReturned = true;
    if (this->isDisconnected || this->context->isStopping)
        return MHD_NO;
    // An early answer spares the caller from sending its body. Without a body, the next access callback queues the answer.
    bool isAnswered = this->answerState != AnswerState::None;
    return isAnswered && (this->isRefused || !this->isBodyComplete) ? this->queueAnswer() : MHD_YES;
}

MHD_Result ServedExchange::onBody(const char* bytes, size_t* size)
{
    Lock lock(this->mutex);
    if (this->isDisconnected)
        return MHD_NO;
    if (*size > 0) {
        bool hadFailed = this->hasBodyFailed;
        MHD_Result result = this->bufferBody(bytes, size);
        bool hasJustFailed = this->hasBodyFailed && !hadFailed;
        this->callHooks(lock);
        lock.unlock();
        if (hasJustFailed)
            this->reportRefusal(ResultCode::BodyTooLarge);
        return result;
    }
    if (this->isSentEarly)
        return MHD_NO;
    if (!std::exchange(this->isBodyComplete, true))
        this->dueHooks.isReadableDue = true;
    this->callHooks(lock);
    if (this->isDisconnected)
        return MHD_NO;
    if (this->answerState != AnswerState::None)
        return this->queueAnswer();
    this->suspend(SuspendReason::Answer);
    return MHD_YES;
}

MHD_Result ServedExchange::bufferBody(const char* bytes, size_t* size)
{
    std::string_view received(bytes, std::exchange(*size, 0));
    this->bodyBytes += received.size();
    this->bodyTimeoutStart = MillisecondClock::now();
    if (this->isSentEarly) {
        // Closing at once would make the kernel send RST, which can discard the answer before the caller reads it.
        this->drainedBytes += received.size();
        return this->drainedBytes <= maxDrainedBytes ? MHD_YES : MHD_NO;
    }
    if (this->bodyBytes > this->context->options.maxBodyBytes && !std::exchange(this->hasBodyFailed, true)) {
        this->dueHooks.isReadableDue = true;
        this->refuse(ResultCode::BodyTooLarge);
        this->sendEarlyAnswer();
    }
    if (this->hasBodyFailed || this->isBodyDropped)
        return this->bodyBytes <= this->context->options.maxBodyBytes || this->isSentEarly ? MHD_YES : MHD_NO;
    this->dueHooks.isReadableDue = true;
    this->body.append(received);
    // libmicrohttpd reports the end of the body in a later callback. An answer in between must not be treated as early,
    // because an early answer closes the connection.
    this->isBodyComplete = this->bodyBytes == this->framing.contentLength;
    if (!this->isBodyComplete && this->body.size() >= this->context->options.bodyBufferBytes)
        this->suspend(SuspendReason::BodySpace);
    return MHD_YES;
}

void ServedExchange::onCompleted(MHD_RequestTerminationCode reason)
{
    {
        std::lock_guard callerLock(this->caller->mutex);
        this->caller->disconnectHook = nullptr;
        this->caller->sweepHook = nullptr;
        this->caller->hasRequestEnded = true;
    }
    Lock lock(this->mutex);
    this->connection = nullptr;
    bool isSlowSender = reason == MHD_REQUEST_TERMINATED_TIMEOUT_REACHED && !(this->isHeadHandled && this->isBodyComplete);
    bool isRefusedByDaemon = reason == MHD_REQUEST_TERMINATED_COMPLETED_OK && !this->isHeadHandled;
    this->markEnded((reason == MHD_REQUEST_TERMINATED_COMPLETED_OK && this->isQueued) || this->isSentEarly);
    this->dueHooks.isReadableDue = false;
    this->callHooks(lock);
    lock.unlock();
    if (isSlowSender || isRefusedByDaemon)
        this->reportRefusal(isSlowSender ? ResultCode::SlowSender : ResultCode::BadRequest);
    std::lock_guard contextLock(this->context->mutex);
    if (--this->context->openExchangeCount == 0)
        this->context->becameIdle.notify_all();
}

void ServedExchange::onSweep(TimePoint now)
{
    Lock lock(this->mutex);
    bool isWaitingForBody = !this->isBodyComplete && !this->hasBodyFailed && this->suspendReason == SuspendReason::None && !this->isOver;
    if (!isWaitingForBody || now - this->bodyTimeoutStart < this->context->options.slowSenderTimeout)
        return;
    this->hasBodyFailed = true;
    this->dueHooks.isReadableDue = true;
    this->callHooks(lock);
    lock.unlock();
    this->reportRefusal(ResultCode::SlowSender);
}

void ServedExchange::reportRefusal(ResultCode code) const
{
    if (this->context->refusedHook)
        this->context->refusedHook(code);
}

void ServedExchange::onCutOff()
{
    Lock lock(this->mutex);
    bool isAnswered = this->answerState == AnswerState::Complete || this->answerState == AnswerState::Finished;
    if (this->isOver || isAnswered)
        return;
    this->dueHooks.isCutOffDue = true;
    this->callHooks(lock);
}

void ServedExchange::onDisconnected(bool force)
{
    Lock lock(this->mutex);
    bool isAnswered = this->answerState == AnswerState::Complete || this->answerState == AnswerState::Finished;
    // Once the answer is complete, libmicrohttpd itself detects whether it could be sent.
    if (this->isOver || (isAnswered && !force))
        return;
    this->isDisconnected = true;
    this->markEnded(false);
    this->resume();
    this->callHooks(lock);
}

} // namespace kingcup
