/** @file RelayGate.h Decides whose connections this VM relays, and to which targets. */
#pragma once

#include "kingcup/MillisecondClock.h"
#include "kingcup/RelayListener.h"
#include "kingcup/Settings.h"

#include <atomic>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kingcup.pb.h"

namespace kingcup {

/** State of the relay listener that the roles of a process set. Thread-safe. */
class RelayGate {
public:
    /** Generates the token of this process. */
    explicit RelayGate(const Settings& settings);

    /** Replaces the targets to which connections are relayed. */
    void setTargets(std::vector<std::string> addresses);

    /** Sets whether this VM serves, apart from the state of the processor. */
    void setServing(bool serves) { this->isServing.store(serves); }

    /** Records that this process runs. After a pause or a delay it refuses new connections for a time. */
    void recordTick(TimePoint now);

    /** Returns the offer for control; empty while this VM relays nothing. */
    std::optional<wire::RelayOffer> offer() const;

    /** Decides on a request to relay. */
    RelayDecision decide(std::string_view token, const std::string& target) const;

private:
    bool isOpen() const;

    wire::RelayOffer ownOffer; ///< Offer of this process, which never changes; without an address if it relays nothing.
    std::string tokenText; ///< Token as peers send it.
    std::atomic<bool> isServing { false }; ///< Whether this VM serves.
    std::atomic<double> lastTickMs; ///< Time of the last tick.
    std::atomic<double> delayedUntilMs { 0 }; ///< Time until which new connections are refused after a delay.
    mutable std::mutex mutex; ///< Guards the targets.
    std::vector<std::string> targets; ///< Addresses, ordered.
};

/** Returns a token as it is sent in a request to relay. */
std::string relayTokenText(std::string_view token);

} // namespace kingcup
