/** @file RelaySelector.cpp Choice and pauses of relays. */
#include "kingcup/RelaySelector.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace kingcup {

namespace {

constexpr Milliseconds failurePause { 1000 }; ///< About the time in which control tells of a change of the relays.
constexpr int maxSilences = 2; ///< One alone may be due to its target.

} // namespace

void RelaySelector::setRelays(std::vector<wire::RelayOffer> offers)
{
    std::vector<Relay> next;
    for (wire::RelayOffer& offer : offers) {
        auto isSame = [&](const Relay& known) { return known.offer.address() == offer.address() && known.offer.token() == offer.token(); };
        auto known = std::find_if(this->relays.begin(), this->relays.end(), isSame);
        Relay& relay = next.emplace_back(known == this->relays.end() ? Relay() : std::move(*known));
        relay.offer = std::move(offer);
    }
    this->relays = std::move(next);
}

const wire::RelayOffer* RelaySelector::select(const std::string& target, TimePoint now) const
{
    const Relay* best = nullptr;
    std::pair<bool, uint64_t> bestRank;
    for (const Relay& relay : this->relays) {
        if (now < relay.pausedUntil)
            continue;
        uint64_t seed = XXH3_64bits(relay.offer.vm().data(), relay.offer.vm().size());
        std::pair<bool, uint64_t> rank { !relay.offer.control(), XXH3_64bits_withSeed(target.data(), target.size(), seed) };
        if (!best || rank > bestRank) {
            best = &relay;
            bestRank = rank;
        }
    }
    return best ? &best->offer : nullptr;
}

void RelaySelector::recordResult(const std::string& relayAddress, RelayResult result, TimePoint now)
{
    auto relay = std::find_if(this->relays.begin(), this->relays.end(), [&](const Relay& known) { return known.offer.address() == relayAddress; });
    if (relay == this->relays.end())
        return;
    relay->silences = result == RelayResult::Unreachable ? relay->silences + 1 : 0;
    if (result == RelayResult::Refused || relay->silences >= maxSilences) {
        relay->silences = 0;
        relay->pausedUntil = now + failurePause;
    }
}

} // namespace kingcup
