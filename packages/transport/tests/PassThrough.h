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
        , listener(std::move(options), [this](std::shared_ptr<HttpExchange> exchange) { this->forward(exchange); })
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
        request.repeatable = request.method == "GET";
        request.bodyLength = exchange->head().contentLength;
        request.hasBody = request.bodyLength.value_or(0) > 0 || exchange->head().headers.find("Transfer-Encoding").has_value();
        request.bodySource = [exchange](char* buffer, size_t size) { return takeBody(*exchange, buffer, size); };
        request.onHead = [exchange](const HttpAnswerHead& head) { exchange->startAnswer(head); };
        request.onData = [exchange](std::string_view bytes) { return exchange->write(bytes); };
        request.onEnd = [exchange](const UpstreamResult& result) { endAnswer(*exchange, result); };
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
    static void endAnswer(HttpExchange& exchange, const UpstreamResult& result)
    {
        if (result.outcome == UpstreamOutcome::Complete) {
            exchange.finish();
            return;
        }
        if (!exchange.answer({ 502, {}, std::nullopt }, "no answer\n"))
            exchange.abort();
    }
};

} // namespace kingcup::testing
