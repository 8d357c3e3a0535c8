/** @file Prober.cpp Implementation of probing. */
#include "Prober.h"

#include "kingcup/HttpRules.h"

namespace kingcup {

namespace {

constexpr Milliseconds roundInterval { 50 };
constexpr size_t candidatesPerRound = 2; ///< Of one service.
constexpr size_t probeBytes = 400; ///< Request and answer with their headers.
constexpr Milliseconds probeTimeout { 1000 };

} // namespace

Prober::Prober(Gateway& gateway)
    : gateway(gateway)
{
}

void Prober::start()
{
    this->gateway.timers.schedule(MillisecondClock::now() + roundInterval, [this] {
        this->round();
        this->start();
    });
}

/** Refreshes the limits and offers the least observed targets of each service to the budget. Without a lease the share of this VM is unknown, so it does not probe. */
void Prober::round()
{
    TimePoint now = MillisecondClock::now();
    for (const RequestTableRow& row : this->gateway.services())
        row.runtime->refreshLimits(*row.service, now);
    if (!this->gateway.leaseValid() || this->gateway.stopping.load())
        return;
    for (const RequestTableRow& row : this->gateway.services()) {
        // Targets of routes are asked right before a request is sent.
        if (row.service->kinds.empty())
            continue;
        for (const std::string& address : row.runtime->router.leastRecentlyReported(candidatesPerRound, now)) {
            if (row.runtime->takeProbe(address, probeBytes, now))
                this->probe(row.runtime, row.service->name, address);
        }
    }
}

void Prober::probe(const std::shared_ptr<ServiceRuntime>& runtime, const std::string& service, const std::string& address)
{
    UpstreamRequest request;
    request.address = address;
    request.method = "GET";
    request.target = "/load";
    request.isRepeatable = true;
    request.connectTimeout = probeTimeout;
    request.deadline = MillisecondClock::now() + probeTimeout;
    request.headers.add("Host", address);
    request.onHead = [runtime, address](const HttpAnswerHead& head) {
        std::optional<std::string_view> value = head.headers.find(headerLoad);
        std::optional<LoadReport> load = value ? parseLoadReport(*value) : std::nullopt;
        if (load)
            runtime->router.recordReport(address, *load, Milliseconds(0), MillisecondClock::now());
    };
    request.onData = [](std::string_view) { return true; };
    request.onEnd = [](const UpstreamResult&) {};
    this->gateway.upstream.start(std::move(request));
    this->gateway.metrics.incrementCounter("kingcup_probes_total", service);
}

} // namespace kingcup
