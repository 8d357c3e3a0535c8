/** @file CallPlacement.cpp The search for a target that can work now. */
#include "Call.h"

#include "kingcup/JsonLog.h"

#include <algorithm>
#include <cmath>

namespace kingcup {

namespace {

constexpr size_t probeBytes = 400; ///< Request and answer with their headers.
constexpr size_t unprobedTries = 8; ///< Targets whose budget is asked before one is used without a probe.
constexpr double searchShare = 0.125; ///< Part of the objective that a search may take while the usual time of the work is not known.
constexpr double workShare = 1.25; ///< Usual times of work that must fit between the latest start and the objective.
constexpr Milliseconds probeTimeout { 100 };
constexpr double shortestRetryMs = 20; ///< Below this, a caller would come back before anything has changed.

} // namespace

/** Returns whether targets of this service tell their load when asked, and the request is worth a search. */
bool Call::searchesTarget(const AttemptPointer& attempt) const
{
    return this->match.route && !this->match.service->healthPath.empty() && !attempt->resumeOffset && attempt->pick.reason.candidates > 1;
}

TargetSearchLimits Call::searchLimits() const
{
    const Kind& kind = *this->match.kind;
    TargetSearchLimits limits;
    limits.usualServiceTime = this->match.runtime->usualTime(kind.name, MillisecondClock::now());
    limits.objectiveEnd = std::min(this->arrived + kind.objective, this->deadline);
    if (limits.usualServiceTime)
        limits.latestStart = limits.objectiveEnd - *limits.usualServiceTime * workShare;
    else
        limits.latestStart = this->arrived + kind.objective * searchShare;
    return limits;
}

/** Starts the search with the target that was picked by what is known. */
void Call::beginSearch(const AttemptPointer& attempt)
{
    attempt->search = std::make_shared<CallSearch>(this->searchLimits());
    this->askTarget(attempt, attempt->pick);
}

/** Asks a target for its load, or takes it as it is when the budget for measuring has nothing left. */
void Call::askTarget(const AttemptPointer& attempt, const Pick& pick)
{
    TimePoint now = MillisecondClock::now();
    CallSearch& search = *attempt->search;
    size_t position = search.search.addTarget(now);
    search.picks.push_back(pick);
    search.probes.push_back(0);
    if (!this->match.runtime->takeProbe(pick.address, probeBytes, now)) {
        bool triesOther = search.picks.size() < unprobedTries;
        search.search.skipProbe(position, this->match.runtime->typicalLoad(now));
        this->stepSearch(attempt, triesOther ? search.search.nextStep(now) : search.search.markExhausted(now));
        return;
    }
    auto self = this->shared_from_this();
    UpstreamRequest probe;
    probe.address = pick.address;
    probe.method = "GET";
    probe.target = this->match.service->healthPath;
    probe.isRepeatable = true;
    probe.connectTimeout = probeTimeout;
    probe.deadline = now + probeTimeout;
    probe.headers = probeHeaders(this->gateway.edge.headers, pick.address, pick.instance);
    std::shared_ptr<CallSearch> round = attempt->search;
    probe.onHead = [self, attempt, round, position](const HttpAnswerHead& head) {
        std::optional<std::string_view> value = head.headers.find(self->gateway.edge.headers.load);
        std::optional<LoadReport> load = value ? self->gateway.edge.parseLoad(*value) : std::nullopt;
        constexpr int statusOk = 200;
        if (head.status != statusOk)
            load.reset();
        bool misdirected = self->isRejectedByInstance(head);
        self->serial.post([self, attempt, round, position, load, misdirected] {
            if (misdirected)
                self->instanceGone(attempt, round->picks[position]);
            self->targetAnswered(attempt, round, position, load);
        });
    };
    probe.onData = [](std::string_view) { return true; };
    probe.onEnd = [self, attempt, round, position](const UpstreamResult& result) {
        if (result.outcome != UpstreamOutcome::Complete)
            self->serial.post([self, attempt, round, position] { self->targetAnswered(attempt, round, position, std::nullopt); });
    };
    attempt->probes++;
    this->gateway.metrics.incrementCounter("kingcup_probes_total", this->match.service->name);
    search.probes.back() = this->gateway.upstream.start(std::move(probe));
    this->stepSearch(attempt, search.search.nextStep(now));
}

/** Picks a further target and asks it. */
void Call::askNextTarget(const AttemptPointer& attempt)
{
    TimePoint now = MillisecondClock::now();
    ContainmentVerdict verdict = this->gateway.containment.verdict(this->match.service->name, this->fingerprint, this->gateway.logTimeMs());
    std::optional<Pick> pick = verdict == ContainmentVerdict::Refuse ? std::nullopt : this->pickTarget(verdict, now);
    if (pick)
        this->askTarget(attempt, *pick);
    else
        this->stepSearch(attempt, attempt->search->search.markExhausted(now));
}

/** Takes what a target told. @param load Empty when it gave no usable answer. */
void Call::targetAnswered(const AttemptPointer& attempt, const std::shared_ptr<CallSearch>& round, size_t position, const std::optional<LoadReport>& load)
{
    TimePoint now = MillisecondClock::now();
    CallSearch& search = *round;
    if (load) {
        this->match.runtime->recordLoad(*load, now);
        this->match.runtime->router.recordReport(search.picks[position].address, *load, Milliseconds(0), now);
    }
    // An answer may come after its round.
    if (attempt->search != round)
        return;
    this->stepSearch(attempt, load ? search.search.recordAnswer(position, *load, search.picks[position].reason.coldFactor, now) : search.search.recordFailure(position, now));
}

/** Carries out a step of the search. */
void Call::stepSearch(const AttemptPointer& attempt, SearchStep step)
{
    if (!attempt->search)
        return;
    CallSearch& search = *attempt->search;
    this->gateway.timers.cancel(search.timer);
    search.timer = 0;
    switch (step) {
    case SearchStep::Wait:
        search.timer = this->gateway.timers.schedule(search.search.nextEventTime(MillisecondClock::now()), [self = this->shared_from_this(), attempt] {
            self->serial.post([self, attempt] {
                if (attempt->search)
                    self->stepSearch(attempt, attempt->search->search.nextStep(MillisecondClock::now()));
            });
        });
        return;
    case SearchStep::Probe:
        this->askNextTarget(attempt);
        return;
    case SearchStep::NextRound:
        this->searchAgain(attempt);
        return;
    case SearchStep::Send:
        attempt->searchCost = search.search.bestCost();
        this->endSearch(attempt, search.search.best());
        this->send(attempt);
        return;
    case SearchStep::Refuse:
        this->refuseForLoad(attempt, search.search.bestCost());
        return;
    }
}

/** Starts another round, in which every target may be asked again. */
void Call::searchAgain(const AttemptPointer& attempt)
{
    this->releasePicks(*attempt->search, std::nullopt);
    attempt->search = std::make_shared<CallSearch>(this->searchLimits(), attempt->search->search.unprobedRounds());
    attempt->searchRounds++;
    this->askNextTarget(attempt);
}

/** Gives back the targets that were not chosen. */
void Call::releasePicks(CallSearch& search, std::optional<size_t> chosen)
{
    TimePoint now = MillisecondClock::now();
    for (size_t position = 0; position < search.picks.size(); position++) {
        if (position == chosen)
            continue;
        this->gateway.containment.recordEnd(this->match.service->name, this->fingerprint, search.picks[position].address);
        this->match.runtime->router.finish(search.picks[position], AttemptOutcome::Cancelled, Milliseconds(0), now);
    }
}

/** Ends a search: the targets that were not chosen are given back. @param chosen Position of the target that gets the request; empty: none. */
void Call::endSearch(const AttemptPointer& attempt, std::optional<size_t> chosen)
{
    std::shared_ptr<CallSearch> search = std::move(attempt->search);
    attempt->search.reset();
    this->gateway.timers.cancel(search->timer);
    this->releasePicks(*search, chosen);
    if (chosen)
        attempt->pick = search->picks[*chosen];
    else
        attempt->ended = true;
}

/** Refuses a request that would wait for longer than its answer is of use. It was sent nowhere. */
void Call::refuseForLoad(const AttemptPointer& attempt, double cost)
{
    TimePoint now = MillisecondClock::now();
    TargetSearchLimits limits = this->searchLimits();
    Milliseconds usual = limits.usualServiceTime.value_or(Milliseconds(0));
    Milliseconds left = limits.objectiveEnd - now;
    Milliseconds excess = usual * cost - left;
    logLine(LogLevel::Info, "call_refused_for_load",
        { { "request", this->parameters.requestId }, { "call", this->id }, { "service", this->match.service->name }, { "probes", attempt->probes }, { "rounds", attempt->searchRounds },
            { "bestCost", cost }, { "usualMs", std::round(usual.count()) }, { "leftMs", std::round(left.count()) } });
    this->endSearch(attempt, std::nullopt);
    this->overloaded = true;
    this->lastFailure.code = ResultCode::QueueFull;
    if (this->anyActive())
        return;
    if (this->anySent) {
        this->refuse(this->match.kind->repeatable ? ResultCode::ConnectionLost : this->lastFailure.code, Milliseconds(0));
        return;
    }
    this->refuse(ResultCode::QueueFull, Milliseconds(std::max(excess.count(), shortestRetryMs)));
}

} // namespace kingcup
