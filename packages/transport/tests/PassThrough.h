/** @file PassThrough.h Minimal proxy for tests: forwards each request of a listener to a target in one attempt. */
#pragma once

#include "kingcup/HttpListener.h"
#include "kingcup/UpstreamClient.h"

#include <atomic>
#include <memory>
#include <string>

namespace kingcup::testing {

/** Proxy that streams bodies between a listener and a client in both directions. */
class PassThrough {
public:
    PassThrough(HttpListenerOptions options, std::string targetAddress, uint32_t clientThreads = 2)
        : target(std::move(targetAddress))
        , client(clientThreads, 256)
        , listener(std::move(options), [this](const std::shared_ptr<HttpExchange>& exchange) { this->forward(exchange); })
    {
        this->started = !this->listener.start();
    }

    ~PassThrough()
    {
        this->listener.stop();
        this->client.stop();
    }

    std::string target; ///< host:port.
    UpstreamClient client; ///< Sends requests to the target.
    HttpListener listener; ///< Accepts requests from callers.
    bool started = false; ///< Whether the listener was started.

private:
    static constexpr uint64_t wholeAnswerLimit = 64u << 10; ///< Shorter answers are buffered in full.

    /** An answer that is buffered in full. */
    struct WholeAnswer {
        bool used = false; ///< Whether the answer is buffered rather than streamed.
        HttpAnswerHead head; ///< Status and header fields of the answer.
        std::string body; ///< Body received so far.
    };

    /** Forwards one request to the target. */
    void forward(const std::shared_ptr<HttpExchange>& exchange)
    {
        auto handle = std::make_shared<std::atomic<UpstreamClient::AttemptHandle>>(0);
        auto closed = std::make_shared<std::atomic<bool>>(false);
        UpstreamRequest request;
        request.address = this->target;
        request.method = exchange->head().method;
        request.target = exchange->head().target;
        request.headers = exchange->head().headers;
        request.repeatable = request.method == "GET";
        request.bodyLength = exchange->head().contentLength;
        request.hasBody = request.bodyLength.value_or(0) > 0 || exchange->head().headers.find("Transfer-Encoding").has_value();
        request.bodySource = [exchange](char* buffer, size_t size) { return takeBody(*exchange, buffer, size); };
        auto whole = std::make_shared<WholeAnswer>();
        request.onHead = [exchange, whole](const HttpAnswerHead& head) {
            whole->used = head.contentLength.value_or(wholeAnswerLimit) < wholeAnswerLimit;
            whole->head = head;
            if (!whole->used)
                exchange->startAnswer(head);
        };
        request.onData = [exchange, whole](std::string_view bytes) {
            whole->body += whole->used ? bytes : "";
            return whole->used || exchange->write(bytes);
        };
        request.onEnd = [exchange, whole](const UpstreamResult& result) { endAnswer(*exchange, *whole, result); };
        exchange->setClosedHook([this, handle, closed](bool completed) {
            *closed = true;
            if (!completed)
                this->client.cancel(*handle);
        });
        exchange->setWritableHook([this, handle] { this->client.resume(*handle); });
        exchange->setReadableHook([this, handle] { this->client.resumeBody(*handle); });
        *handle = this->client.start(std::move(request));
        if (*closed) // The closed hook may have run before the handle was stored.
            this->client.cancel(*handle);
    }

    /** Copies body bytes of the caller into the client's buffer. */
    static int takeBody(HttpExchange& exchange, char* buffer, size_t size)
    {
        std::string bytes;
        switch (exchange.readBody(bytes, size)) {
        case HttpExchange::BodyState::More:
            return static_cast<int>(bytes.copy(buffer, size));
        case HttpExchange::BodyState::Wait:
            return bodyPause;
        case HttpExchange::BodyState::End:
            return 0;
        case HttpExchange::BodyState::Broken:
            break;
        }
        return bodyAbort;
    }

    /** Completes or aborts the caller's answer according to the result of the attempt. */
    static void endAnswer(HttpExchange& exchange, WholeAnswer& whole, const UpstreamResult& result)
    {
        bool complete = result.outcome == UpstreamOutcome::Complete;
        if (complete && whole.used)
            exchange.answer(std::move(whole.head), std::move(whole.body));
        else if (complete)
            exchange.finish();
        if (complete)
            return;
        if (!exchange.answer({ 502, {}, std::nullopt }, "no answer\n"))
            exchange.abort();
    }
};

} // namespace kingcup::testing
