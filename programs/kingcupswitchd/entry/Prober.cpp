/** @file Prober.cpp Implementation of the prober. */
#include "Prober.h"

#include "CallHeaders.h"

#include "kingcup/HttpRules.h"
#include "kingcup/JsonLog.h"

namespace kingcup {

namespace {

constexpr Milliseconds roundInterval { 50 };
constexpr size_t targetsPerRound = 2; ///< Largest number of targets of one service that are probed in a round.
constexpr size_t probeBytes = 400; ///< Estimated size of a request and its answer with their headers.
constexpr Milliseconds probeTimeout { 1000 };

} // namespace

Prober::Prober(Gateway& gateway)
    : gateway(gateway)
{
}

void Prober::start()
{
    this->gateway.timers.schedule(MillisecondClock::now() + roundInterval, [this] {
        this->probeTargets();
        this->start();
    });
}

/** Refreshes the concurrency limits and probes the least recently observed targets of each service as far as the budget allows. Without a lease the share of this VM in the budget is unknown, so it sends no probes. */
void Prober::probeTargets()
{
    TimePoint now = MillisecondClock::now();
    for (const RequestTableRow& row : this->gateway.services())
        row.runtime->refreshLimits(*row.service, now);
    this->gateway.paths.startDueChecks();
    if (!this->gateway.isLeaseValid() || this->gateway.isStopping.load())
        return;
    for (const RequestTableRow& row : this->gateway.services()) {
        // Services without kinds are reached through routes only; their targets are probed right before a request is sent.
        if (row.service->kinds.empty())
            continue;
        for (const std::string& address : row.runtime->router.leastRecentlyReported(targetsPerRound, now)) {
            if (row.runtime->takeProbe(address, probeBytes, now))
                this->sendProbe(row, address);
        }
    }
}

void Prober::sendProbe(const RequestTableRow& row, const std::string& address)
{
    UpstreamRequest request;
    request.address = address;
    request.relay = this->gateway.relays.hopTo(address);
    request.method = "GET";
    request.target = "/load";
    request.isRepeatable = true;
    request.connectTimeout = probeTimeout;
    request.deadline = MillisecondClock::now() + probeTimeout;
    request.headers.add("Host", address);
    request.isExpectedAnswer = [this](const HttpAnswerHead& head) { return isProbeAnswer(head, this->gateway.edge.headers); };
    request.mayKeepConnection = [this](const HttpAnswerHead& head) { return mayKeepConnection(head, this->gateway.edge.headers, head.status >= firstRedirectStatus); };
    std::optional<uint64_t> incarnation = row.runtime->router.incarnationOf(address);
    request.onHead = [this, row, address, incarnation](const HttpAnswerHead& head) {
        TimePoint now = MillisecondClock::now();
        TargetNotice notice = this->gateway.parseNotice(head);
        if (incarnation && this->gateway.recordTargetNotice(row, address, *incarnation, notice, now))
            logLine(LogLevel::Info, "target_leaving", { { "service", row.service->name }, { "target", address } });
        if (incarnation && notice.coldLeft)
            row.runtime->router.recordCold(address, *incarnation, *notice.coldLeft, now);
        std::optional<std::string_view> value = head.headers.find(headerLoad);
        std::optional<LoadReport> load = value ? parseLoadReport(*value) : std::nullopt;
        if (load)
            row.runtime->router.recordReport(address, *load, Milliseconds(0), now);
    };
    request.onData = [](std::string_view) { return true; };
    request.onEnd = [this, address, relay = request.relay](const UpstreamResult& result) { this->gateway.recordExchange(address, relay, result); };
    this->gateway.upstream.start(std::move(request));
    this->gateway.metrics.incrementCounter("kingcup_probes_total", row.service->name);
}

} // namespace kingcup
