/** @file ServedAnswer.cpp Answer processing of an exchange. */
#include "HttpText.h"
#include "RefusalAnswer.h"
#include "ServedExchange.h"

#include <sys/socket.h>

#include <algorithm>

namespace kingcup {

namespace {

/** Buffer size that libmicrohttpd allocates for each streamed answer. */
constexpr size_t streamBlockBytes = 32u << 10;

/** Largest body of an early answer, small enough for the socket buffer to accept it at once. */
constexpr size_t maxEarlyAnswerBytes = 16u << 10;

/** Most bytes of a streamed answer that are buffered while the request body is still being received. */
constexpr size_t maxEarlyStreamBytes = 4u << 20;

/** Content reader callback for a streamed answer. */
ssize_t readStream(void* exchange, uint64_t, char* buffer, size_t limit)
{
    return (*static_cast<std::shared_ptr<ServedExchange>*>(exchange))->onRead(buffer, limit);
}

/** Releases the reference of a streamed answer to its exchange. */
void freeStream(void* exchange)
{
    delete static_cast<std::shared_ptr<ServedExchange>*>(exchange);
}

/** Frees the body of a complete answer. */
void freeBody(void* body)
{
    delete static_cast<std::string*>(body);
}

/** Adds the end-to-end fields of an answer. libmicrohttpd adds the framing fields. */
void addFields(MHD_Response* response, const HttpHeaders& headers)
{
    std::string_view connectionValue = headers.find("Connection").value_or("");
    for (const HttpHeader& field : headers.fields) {
        if (isHopByHop(field.name, connectionValue) || equalsIgnoreCase(field.name, "Content-Length"))
            continue;
        // libmicrohttpd rejects tabs, which are equivalent to spaces.
        std::string value = field.value;
        std::replace(value.begin(), value.end(), '\t', ' ');
        MHD_add_response_header(response, field.name.c_str(), value.c_str());
    }
}

} // namespace

bool ServedExchange::answer(HttpAnswerHead head, std::string bodyText)
{
    Lock lock(this->mutex);
    if (this->isOver || this->answerState != AnswerState::None)
        return false;
    this->answerHead = std::move(head);
    this->answerBody = std::move(bodyText);
    this->answerState = AnswerState::Complete;
    this->dropBody();
    this->sendEarlyAnswer();
    this->resume();
    return true;
}

bool ServedExchange::startAnswer(HttpAnswerHead head)
{
    Lock lock(this->mutex);
    if (this->isOver || this->answerState != AnswerState::None)
        return false;
    this->answerHead = std::move(head);
    this->answerState = AnswerState::Streaming;
    if (this->suspendReason == SuspendReason::Answer)
        this->resume();
    return true;
}

bool ServedExchange::write(std::string_view bytes)
{
    Lock lock(this->mutex);
    if (this->isOver || this->answerState != AnswerState::Streaming)
        return true;
    this->stream.append(bytes);
    this->streamBytes += bytes.size();
    if (this->isQueued)
        this->resume();
    // Bytes that were on their way when the writer was told to wait may come after the buffer has been drained a little. The writer still waits then.
    // An early answer is sent only after the body, and its target may read the rest of that only after it has sent the whole answer.
    size_t bufferBytes = this->isQueued || this->isBodyComplete ? this->context->options.answerBufferBytes : std::max(maxEarlyStreamBytes, this->context->options.answerBufferBytes);
    this->isWriterWaiting = this->isWriterWaiting || this->stream.size() >= bufferBytes;
    return !this->isWriterWaiting;
}

void ServedExchange::finish()
{
    Lock lock(this->mutex);
    if (this->isOver || this->answerState != AnswerState::Streaming)
        return;
    bool isComplete = this->streamBytes == this->answerHead.contentLength.value_or(this->streamBytes);
    bool isBodyless = this->requestHead.method == "HEAD" || isBodylessStatus(this->answerHead.status);
    this->answerState = isComplete || isBodyless ? AnswerState::Finished : AnswerState::AbortedAfterHeader;
    this->dropBody();
    this->resume();
}

void ServedExchange::abort()
{
    Lock lock(this->mutex);
    if (this->isOver || this->answerState == AnswerState::Complete || this->answerState == AnswerState::Finished)
        return;
    // Without the header, the caller would see only a closed connection, as if the request had never been accepted.
    bool hasHeader = this->answerState == AnswerState::Streaming || this->answerState == AnswerState::AbortedAfterHeader;
    this->answerState = hasHeader ? AnswerState::AbortedAfterHeader : AnswerState::Aborted;
    this->dropBody();
    if (this->isHeaderSent && this->connection)
        this->resetConnection();
    this->resume();
}

ssize_t ServedExchange::onRead(char* buffer, size_t limit)
{
    Lock lock(this->mutex);
    this->isHeaderSent = true;
    bool isAborted = this->answerState == AnswerState::Aborted || this->answerState == AnswerState::AbortedAfterHeader;
    if (this->isDisconnected || isAborted) {
        this->resetConnection();
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (this->stream.size() == 0) {
        if (this->answerState == AnswerState::Finished)
            return MHD_CONTENT_READER_END_OF_STREAM;
        this->suspend(SuspendReason::AnswerBytes);
        return 0;
    }
    size_t count = this->stream.take(buffer, limit);
    if (this->isWriterWaiting && this->stream.size() <= this->context->options.answerBufferBytes / 2) {
        this->isWriterWaiting = false;
        this->dueHooks.isWritableDue = true;
        this->callHooks(lock);
    }
    return static_cast<ssize_t>(count);
}

void ServedExchange::refuse(ResultCode code)
{
    if (this->answerState != AnswerState::None)
        return;
    this->answerHead = refusalHead(code);
    this->answerBody = refusalBody(code);
    this->answerState = AnswerState::Complete;
    this->isRefused = true;
}

bool ServedExchange::canSendEarlyAnswer() const
{
    bool isWaitingForBody = this->connection && this->hasHandlerReturned && !this->isBodyComplete && !this->isQueued;
    // A caller that sent Expect must receive its interim answer first.
    bool isInterimAnswerSent = this->bodyBytes > 0 || !this->requestHead.headers.find("Expect");
    return isWaitingForBody && isInterimAnswerSent && this->answerState == AnswerState::Complete && this->answerBody.size() <= maxEarlyAnswerBytes;
}

void ServedExchange::sendEarlyAnswer()
{
    if (!this->canSendEarlyAnswer())
        return;
    this->isSentEarly = sendDirectly(this->caller->socket, serializeClosingAnswer(this->answerHead, this->answerBody));
    if (this->isSentEarly)
        shutdown(this->caller->socket, SHUT_WR);
    else
        this->resetConnection();
}

MHD_Response* ServedExchange::createResponse()
{
    bool isHeadRequest = this->requestHead.method == "HEAD";
    bool isComplete = this->answerState == AnswerState::Complete && !(isHeadRequest && this->answerHead.contentLength);
    if (isComplete) {
        auto bodyText = std::make_unique<std::string>(std::move(this->answerBody));
        MHD_Response* response = MHD_create_response_from_buffer_with_free_callback_cls(bodyText->size(), bodyText->data(), freeBody, bodyText.get());
        if (response)
            (void)bodyText.release();
        return response;
    }
    uint64_t size = this->answerHead.contentLength.value_or(MHD_SIZE_UNKNOWN);
    auto self = std::make_unique<std::shared_ptr<ServedExchange>>(this->shared_from_this());
    MHD_Response* response = MHD_create_response_from_callback(size, streamBlockBytes, readStream, self.get(), freeStream);
    if (response)
        (void)self.release();
    return response;
}

MHD_Result ServedExchange::queueAnswer()
{
    if (this->answerState == AnswerState::Aborted) {
        this->resetConnection();
        return MHD_NO;
    }
    MHD_Response* response = this->createResponse();
    if (!response)
        return MHD_NO;
    addFields(response, this->answerHead.headers);
    if (this->context->announcesClose || this->isRefused)
        MHD_add_response_header(response, "Connection", "close");
    this->isQueued = true;
    MHD_Result result = MHD_queue_response(this->connection, static_cast<unsigned>(this->answerHead.status), response);
    MHD_destroy_response(response);
    return result;
}

} // namespace kingcup
