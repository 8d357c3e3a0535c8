/** @file RelayDirectory.cpp Offers of relays and their distribution over the entry VMs. */
#include "kingcup/RelayDirectory.h"

#include <algorithm>
#include <xxhash.h>

namespace kingcup {

namespace {

constexpr size_t ownZoneRelays = 4;
constexpr size_t entryRelays = 8; ///< Relays with the role entry, those of the own zone included.
constexpr size_t controlRelays = 3;
constexpr Milliseconds expiryInterval { 100 };
constexpr Milliseconds selectionLifetime { 10000 }; ///< Of the selection of a VM that asks no more.

bool isSameOffer(const wire::RelayOffer& one, const wire::RelayOffer& other)
{
    return one.address() == other.address() && one.token() == other.token() && one.availability_zone() == other.availability_zone() && one.control() == other.control();
}

uint64_t hashOf(const std::string& text, uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace

RelayDirectory::RelayDirectory(Milliseconds offerLifetime)
    : offerLifetime(offerLifetime)
{
}

void RelayDirectory::clear()
{
    this->offers.clear();
    this->selections.clear();
    this->offersVersion++;
}

void RelayDirectory::record(const wire::RelayOffer& offer, TimePoint now)
{
    Offer& stored = this->offers[offer.vm()];
    if (!isSameOffer(stored.relay, offer)) {
        stored.relay = offer;
        this->offersVersion++;
    }
    stored.end = now + this->offerLifetime;
}

void RelayDirectory::remove(const std::string& vm)
{
    this->offersVersion += this->offers.erase(vm);
}

void RelayDirectory::removeEnded(TimePoint now)
{
    if (now < this->nextExpiry)
        return;
    this->nextExpiry = now + expiryInterval;
    this->offersVersion += std::erase_if(this->offers, [now](const auto& entry) { return entry.second.end <= now; });
    std::erase_if(this->selections, [now](const auto& entry) { return entry.second.usedAt + selectionLifetime <= now; });
}

const RelaySelection& RelayDirectory::select(const std::string& vm, const std::string& availabilityZone, TimePoint now)
{
    this->removeEnded(now);
    CachedSelection& cached = this->selections[vm];
    cached.usedAt = now;
    if (cached.offersVersion != this->offersVersion) {
        cached.selection = this->makeSelection(vm, availabilityZone);
        cached.offersVersion = this->offersVersion;
    }
    return cached.selection;
}

/** Takes the offers with the highest rendezvous hashes, so that the loss of a relay spreads its users over all others. */
RelaySelection RelayDirectory::makeSelection(const std::string& vm, const std::string& availabilityZone) const
{
    std::vector<std::pair<uint64_t, const wire::RelayOffer*>> ranked;
    uint64_t seed = hashOf(vm, 0);
    for (const auto& [name, offer] : this->offers) {
        if (name != vm)
            ranked.emplace_back(hashOf(name, seed), &offer.relay);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    RelaySelection selection;
    auto take = [&](size_t limit, auto&& isWanted) {
        for (const auto& entry : ranked) {
            const wire::RelayOffer& offer = *entry.second;
            bool isTaken = std::any_of(selection.relays.begin(), selection.relays.end(), [&](const wire::RelayOffer& taken) { return taken.vm() == offer.vm(); });
            if (limit > 0 && !isTaken && isWanted(offer)) {
                selection.relays.push_back(offer);
                --limit;
            }
        }
    };
    take(ownZoneRelays, [&](const wire::RelayOffer& offer) { return !offer.control() && offer.availability_zone() == availabilityZone; });
    take(entryRelays - selection.relays.size(), [](const wire::RelayOffer& offer) { return !offer.control(); });
    take(controlRelays, [](const wire::RelayOffer& offer) { return offer.control(); });
    uint64_t version = 1;
    for (const wire::RelayOffer& relay : selection.relays)
        version = hashOf(relay.SerializeAsString(), version);
    selection.version = std::max<uint64_t>(version, 1);
    return selection;
}

} // namespace kingcup
