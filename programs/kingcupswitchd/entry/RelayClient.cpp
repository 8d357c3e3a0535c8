/** @file RelayClient.cpp Implementation of the client of relays. */
#include "RelayClient.h"

#include "RelayGate.h"

#include "kingcup/JsonLog.h"

namespace kingcup {

void RelayClient::receiveRelays(const wire::SessionAnswer& answer)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    if (!answer.relay_version() || answer.relay_version() == this->heldVersion)
        return;
    this->heldVersion = answer.relay_version();
    this->selector.setRelays({ answer.relays().begin(), answer.relays().end() });
}

uint64_t RelayClient::version() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->heldVersion;
}

std::optional<RelayHop> RelayClient::hopTo(const std::string& target) const
{
    if (!this->paths.isCut())
        return std::nullopt;
    std::lock_guard<std::mutex> lock(this->mutex);
    const wire::RelayOffer* relay = this->selector.select(target, MillisecondClock::now());
    return relay ? std::optional(RelayHop { relay->address(), relayTokenText(relay->token()) }) : std::nullopt;
}

bool RelayClient::hasRelay(TimePoint now) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->selector.select("", now);
}

void RelayClient::recordResult(const RelayHop& relay, const UpstreamResult& result)
{
    if (result.outcome == UpstreamOutcome::Cancelled)
        return;
    RelayResult relayResult = RelayResult::Connected;
    if (result.relayFailure != RelayFailure::None)
        relayResult = result.relayFailure == RelayFailure::Refused ? RelayResult::Refused : RelayResult::Unreachable;
    std::lock_guard<std::mutex> lock(this->mutex);
    this->selector.recordResult(relay.address, relayResult, MillisecondClock::now());
}

} // namespace kingcup
