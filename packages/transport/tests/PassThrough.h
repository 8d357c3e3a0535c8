/** @file PassThrough.h A minimal forwarder: each request of a listener becomes one attempt on a target. */
#pragma once

#include "kingcup/HttpListener.h"
#include "kingcup/UpstreamClient.h"

#include <atomic>
#include <memory>
#include <string>

namespace kingcup::testing {

/** Listener and client joined by streaming in both directions. */
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
    UpstreamClient client; ///< Towards the target.
    HttpListener listener; ///< Towards callers.
    bool started = false; ///< Whether the listener listens.

private:
    static constexpr uint64_t wholeAnswerLimit = 64u << 10; ///< Shorter answers are buffered in full.

    /** An answer that is buffered in full. */
    struct WholeAnswer {
        bool used = false; ///< Otherwise the answer is streamed.
        HttpAnswerHead head; ///< From onHead.
        std::string body; ///< From onData.
    };

    /** Starts the attempt of one request. */
    void forward(const std::shared_ptr<HttpExchange>& exchange)
    {
        auto handle = std::make_shared<std::atomic<UpstreamClient::AttemptHandle>>(0);
        auto closed = std::make_shared<std::atomic<bool>>(false);
        UpstreamRequest request;
        request.address = this->target;
        request.method = exchange->head().method;
        request.target = exchange->head().target;
        request.headers = exchange->head().headers;
        request.isRepeatable = request.method == "GET";
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
        if (*closed) // The closed hook may have run before the handle was known.
            this->client.cancel(*handle);
    }

    /** Gives body bytes of the caller to the client. */
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

    /** Ends the caller's answer as the attempt ended. */
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
