/** @file RelayGate.cpp Implementation of the gate of the relay listener. */
#include "RelayGate.h"

#include "kingcup/ConstantTime.h"

#include <absl/strings/escaping.h>
#include <algorithm>
#include <random>

namespace kingcup {

namespace {

constexpr size_t tokenBytes = 16;
constexpr Milliseconds maxTickDelay { 250 }; ///< A process that is later than this has too little processor time, or was paused.
constexpr Milliseconds delayPause { 1000 };

std::string makeToken()
{
    std::random_device device;
    std::string token;
    while (token.size() < tokenBytes)
        token.push_back(static_cast<char>(device()));
    return token;
}

double toMs(TimePoint time)
{
    return time.time_since_epoch().count();
}

} // namespace

std::string relayTokenText(std::string_view token)
{
    return absl::BytesToHexString(absl::string_view(token.data(), token.size()));
}

RelayGate::RelayGate(const Settings& settings)
    : lastTickMs(toMs(MillisecondClock::now()))
{
    this->ownOffer.set_vm(settings.vm);
    this->ownOffer.set_availability_zone(settings.availabilityZone);
    this->ownOffer.set_address(settings.relayListener);
    this->ownOffer.set_token(makeToken());
    this->ownOffer.set_control(!settings.entry);
    this->tokenText = relayTokenText(this->ownOffer.token());
}

void RelayGate::setTargets(std::vector<std::string> addresses)
{
    std::sort(addresses.begin(), addresses.end());
    std::lock_guard<std::mutex> lock(this->mutex);
    this->targets = std::move(addresses);
}

void RelayGate::recordTick(TimePoint now)
{
    double previousMs = this->lastTickMs.exchange(toMs(now));
    if (toMs(now) - previousMs > maxTickDelay.count())
        this->delayedUntilMs.store(toMs(now + delayPause));
}

bool RelayGate::isOpen() const
{
    double nowMs = toMs(MillisecondClock::now());
    bool isDelayed = nowMs - this->lastTickMs.load() > maxTickDelay.count() || nowMs < this->delayedUntilMs.load();
    return this->isServing.load() && !isDelayed;
}

std::optional<wire::RelayOffer> RelayGate::offer() const
{
    if (this->ownOffer.address().empty() || !this->isOpen())
        return std::nullopt;
    return this->ownOffer;
}

RelayDecision RelayGate::decide(std::string_view token, const std::string& target) const
{
    if (!isEqualInConstantTime(token, this->tokenText))
        return RelayDecision::WrongToken;
    if (!this->isOpen())
        return RelayDecision::NotServing;
    std::lock_guard<std::mutex> lock(this->mutex);
    return std::binary_search(this->targets.begin(), this->targets.end(), target) ? RelayDecision::Accept : RelayDecision::UnknownTarget;
}

} // namespace kingcup
