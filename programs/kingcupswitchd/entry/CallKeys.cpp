/** @file CallKeys.cpp The API key of a call: its check on arrival and before each send. */
#include "Call.h"

namespace kingcup {

namespace {

constexpr const char* refusalsMetric = "kingcup_key_refusals_total";

} // namespace

/**
 * Checks the API key against the keys in force and the key lease, and sets the organisation of the match. Returns Ok, or the result
 * code of the refusal, which is counted.
 */
ResultCode Call::checkKey()
{
    TimePoint leaseEnd = this->gateway.keyLeaseEnd();
    this->keys = this->gateway.keys();
    if (this->keys->isKeyRequired() && !this->apiKey)
        this->apiKey = parseApiKey(this->exchange->head().headers);
    bool isPublic = this->match.route && this->match.route->isPublic;
    KeyDecision decision = checkApiKey(*this->keys, this->apiKey, isPublic, MillisecondClock::now() < leaseEnd);
    switch (decision.refusal) {
    case KeyRefusal::None:
        this->match.organisation = std::move(decision.organisation);
        return ResultCode::Ok;
    case KeyRefusal::Lease:
        this->gateway.metrics.incrementCounter(refusalsMetric, "lease");
        return ResultCode::Isolated;
    case KeyRefusal::Unknown:
        break;
    }
    this->gateway.metrics.incrementCounter(refusalsMetric, this->match.organisation ? "withdrawn" : "unknown");
    return ResultCode::ApiKeyUnknown;
}

/** Returns a check of the key that runs when the connection to the target is established, which may take a while; empty if the request needs no key. */
std::function<bool()> Call::createSendCheck() const
{
    bool isPublic = this->match.route && this->match.route->isPublic;
    if (isPublic || !this->keys->isKeyRequired())
        return {};
    return [&gateway = this->gateway, key = this->apiKey] {
        TimePoint leaseEnd = gateway.keyLeaseEnd();
        std::shared_ptr<const KeyTable> keys = gateway.keys();
        return checkApiKey(*keys, key, false, MillisecondClock::now() < leaseEnd).refusal == KeyRefusal::None;
    };
}

/** Returns the fingerprint for the claim of the idempotency key. It depends on the organisation, so that none gets the recorded answer of another one. */
Fingerprint Call::claimFingerprint() const
{
    if (!this->match.organisation)
        return this->fingerprint;
    const HttpRequestHead& head = this->exchange->head();
    return requestFingerprint(this->match.service->name + "\n" + this->match.organisation->name, head.method, head.target, *this->body);
}

} // namespace kingcup
