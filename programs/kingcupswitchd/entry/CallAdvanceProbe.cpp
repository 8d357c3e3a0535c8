/** @file CallAdvanceProbe.cpp Probes targets while the body of a request is still arriving, so that the request can be sent as soon as it is complete. */
#include "Call.h"

namespace kingcup {

namespace {

constexpr size_t maxAdvanceProbes = 3;
constexpr Milliseconds advanceProbeLifetime { 25 }; ///< Requests of other entry VMs and the speed of its machine change the load of a target within tens of milliseconds.

} // namespace

/** Probes a target unless one has been found or a probe is pending. */
void Call::probeInAdvance()
{
    bool isWanted = this->gateway.probesDuringBody && this->match.route && !this->match.service->healthPath.empty() && !this->isBodyReady;
    AdvanceProbe& advance = this->advanceProbe;
    if (!isWanted || advance.isPending || advance.load || advance.addresses.size() >= maxAdvanceProbes)
        return;
    TimePoint now = MillisecondClock::now();
    std::optional<Pick> pick = this->gateway.hasPathToTargets(now) ? this->match.runtime->router.pick(advance.addresses, now) : std::nullopt;
    if (!pick)
        return;
    if (pick->reason.candidates < 2 || !this->takeProbe(*pick, now)) {
        this->match.runtime->router.abandon(*pick, now);
        return;
    }
    advance.isPending = true;
    advance.addresses.push_back(pick->address);
    auto self = this->shared_from_this();
    UpstreamRequest probe = this->createProbe(*pick, now);
    probe.onHead = [self, pick = *pick](const HttpAnswerHead& head) {
        self->executor.post([self, pick, head] { self->handleAdvanceAnswer(pick, head); });
    };
    probe.onEnd = [self, pick = *pick, relay = probe.relay](const UpstreamResult& result) {
        self->gateway.recordExchange(pick.address, relay, result);
        self->executor.post([self, pick] { self->endAdvanceProbe(pick); });
    };
    this->gateway.upstream.start(std::move(probe));
}

/** Handles the head of the answer to a probe. A target with a free slot on a machine of usual speed is kept for the request. */
void Call::handleAdvanceAnswer(const Pick& pick, const HttpAnswerHead& head)
{
    constexpr int statusOk = 200;
    TimePoint now = MillisecondClock::now();
    TargetNotice notice = this->gateway.parseNotice(head);
    this->recordTargetNotice(pick, notice, now);
    if (notice.coldLeft)
        this->match.runtime->router.recordCold(pick.address, pick.incarnation, *notice.coldLeft, now);
    std::optional<std::string_view> value = head.headers.find(this->gateway.edge.headers.load);
    bool isUsable = !notice.isUnavailable() && !this->isMisdirectedAnswer(head) && head.status == statusOk && value;
    std::optional<LoadReport> load = isUsable ? this->gateway.edge.parseLoad(*value) : std::nullopt;
    if (!load)
        return;
    this->match.runtime->recordLoad(*load, now);
    this->match.runtime->router.recordReport(pick.address, *load, Milliseconds(0), now);
    if (!TargetSearch::isAcceptableAtOnce(TargetSearch::costOf(*load) * pick.reason.coldFactor))
        return;
    this->advanceProbe.load = load;
    this->advanceProbe.pick = pick;
    this->advanceProbe.answeredAt = now;
}

/** Releases the probed target. Without a result another one is probed. */
void Call::endAdvanceProbe(const Pick& pick)
{
    this->match.runtime->router.abandon(pick, MillisecondClock::now());
    this->advanceProbe.isPending = false;
    if (!this->hasEnded)
        this->probeInAdvance();
}

/** Sends an attempt to the target that was found in advance. Returns false if there is none, or if its answer is too old. */
bool Call::sendToProbedTarget(const AttemptPointer& attempt)
{
    TimePoint now = MillisecondClock::now();
    std::optional<LoadReport> load = std::exchange(this->advanceProbe.load, std::nullopt);
    if (!load || now > this->advanceProbe.answeredAt + advanceProbeLifetime)
        return false;
    const Pick& probed = this->advanceProbe.pick;
    if (probed.address != attempt->pick.address) {
        const std::string& service = this->match.service->name;
        std::optional<Pick> pick = this->match.runtime->router.pickTarget(probed.address, probed.incarnation, now);
        if (!pick)
            return false;
        if (!this->gateway.containment.recordStart(service, this->fingerprint, pick->address)) {
            this->gateway.containment.recordEnd(service, this->fingerprint, pick->address);
            this->match.runtime->router.abandon(*pick, now);
            return false;
        }
        this->gateway.containment.recordEnd(service, this->fingerprint, attempt->pick.address);
        this->match.runtime->router.abandon(attempt->pick, now);
        attempt->pick = *pick;
    }
    TargetSearchRound& round = *attempt->searchRound;
    size_t position = round.search.addTarget(now);
    round.picks.push_back(attempt->pick);
    round.probeHandles.push_back(0);
    attempt->probeCount = this->advanceProbe.addresses.size();
    this->performSearchStep(attempt, round.search.recordAnswer(position, *load, attempt->pick.reason.coldFactor, now));
    return true;
}

} // namespace kingcup
