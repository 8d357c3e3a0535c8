/** @file TestProxy.h Minimal proxy for tests: forwards each request of a listener to a target in one attempt. */
#pragma once

#include "kingcup/HttpListener.h"
#include "kingcup/UpstreamClient.h"

#include <atomic>
#include <memory>
#include <string>

namespace kingcup::testing {

/** Proxy that streams bodies between a listener and a client in both directions. */
class TestProxy {
public:
    TestProxy(HttpListenerOptions options, std::string targetAddress, uint32_t clientThreads = 2)
        : target(std::move(targetAddress))
        , client(clientThreads, 256)
        , listener(std::move(options), [this](const std::shared_ptr<HttpExchange>& exchange) { this->forward(exchange); })
    {
        this->isStarted = !this->listener.start();
    }

    ~TestProxy()
    {
        this->listener.stop();
        this->client.stop();
    }

    std::string target; ///< host:port.
    UpstreamClient client; ///< Sends requests to the target.
    HttpListener listener; ///< Accepts requests from callers.
    bool isStarted = false; ///< Whether the listener was started.

private:
    static constexpr uint64_t maxBufferedAnswerBytes = 64u << 10; ///< Shorter answers are buffered in full.

    /** An answer that is buffered in full. */
    struct BufferedAnswer {
        bool isBuffered = false; ///< Whether the answer is buffered rather than streamed.
        HttpAnswerHead head; ///< Status and header fields of the answer.
        std::string body; ///< Body received so far.
    };

    /** Forwards one request to the target. */
    void forward(const std::shared_ptr<HttpExchange>& exchange)
    {
        auto handle = std::make_shared<std::atomic<UpstreamClient::AttemptHandle>>(0);
        auto isClosed = std::make_shared<std::atomic<bool>>(false);
        UpstreamRequest request;
        request.address = this->target;
        request.method = exchange->head().method;
        request.target = exchange->head().target;
        request.headers = exchange->head().headers;
        request.isRepeatable = request.method == "GET";
        request.bodyLength = exchange->head().contentLength;
        request.hasBody = request.bodyLength.value_or(0) > 0 || exchange->head().headers.find("Transfer-Encoding").has_value();
        request.bodySource = [exchange](char* buffer, size_t size) { return readBody(*exchange, buffer, size); };
        auto answer = std::make_shared<BufferedAnswer>();
        request.onHead = [exchange, answer](const HttpAnswerHead& head) {
            answer->isBuffered = head.contentLength.value_or(maxBufferedAnswerBytes) < maxBufferedAnswerBytes;
            answer->head = head;
            if (!answer->isBuffered)
                exchange->startAnswer(head);
        };
        request.onData = [exchange, answer](std::string_view bytes) {
            answer->body += answer->isBuffered ? bytes : "";
            return answer->isBuffered || exchange->write(bytes);
        };
        request.onEnd = [exchange, answer](const UpstreamResult& result) { endAnswer(*exchange, *answer, result); };
        exchange->setClosedHook([this, handle, isClosed](bool completed) {
            *isClosed = true;
            if (!completed)
                this->client.cancel(*handle);
        });
        exchange->setWritableHook([this, handle] { this->client.resume(*handle); });
        exchange->setReadableHook([this, handle] { this->client.resumeBody(*handle); });
        *handle = this->client.start(std::move(request));
        if (*isClosed) // The closed hook may have run before the handle was stored.
            this->client.cancel(*handle);
    }

    /** Copies body bytes of the caller into the client's buffer. */
    static int readBody(HttpExchange& exchange, char* buffer, size_t size)
    {
        std::string bytes;
        switch (exchange.readBody(bytes, size)) {
        case HttpExchange::BodyState::More:
            return static_cast<int>(bytes.copy(buffer, size));
        case HttpExchange::BodyState::Pending:
            return bodyPause;
        case HttpExchange::BodyState::End:
            return 0;
        case HttpExchange::BodyState::Failed:
            break;
        }
        return bodyAbort;
    }

    /** Completes or aborts the caller's answer according to the result of the attempt. */
    static void endAnswer(HttpExchange& exchange, BufferedAnswer& answer, const UpstreamResult& result)
    {
        bool isComplete = result.outcome == UpstreamOutcome::Complete;
        if (isComplete && answer.isBuffered)
            exchange.answer(std::move(answer.head), std::move(answer.body));
        else if (isComplete)
            exchange.finish();
        if (isComplete)
            return;
        if (!exchange.answer({ 502, {}, std::nullopt }, "no answer\n"))
            exchange.abort();
    }
};

} // namespace kingcup::testing
