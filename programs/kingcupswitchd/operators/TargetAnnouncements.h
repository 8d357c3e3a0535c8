/** @file TargetAnnouncements.h Collects the announcements of targets and sends them to the leader in batches. */
#pragma once

#include "LeaderClient.h"

#include "kingcup/MillisecondClock.h"
#include "kingcup/ResultCode.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace kingcup {

/** Parses an announcement. Returns the text of the error when it is malformed. */
std::variant<wire::TargetLoad, std::string> parseAnnouncement(std::string_view json);

/** Keeps the newest announcement of each target until the next batch. Thread-safe. */
class TargetAnnouncements {
public:
    /** Given the observations of other VMs that an answer of the leader brings. */
    using DigestHook = std::function<void(const std::vector<wire::TargetLoad>&)>;

    TargetAnnouncements(LeaderClient& leader, DigestHook digestHook);

    /** Told whether control has taken an announcement. Called once, on any thread. */
    using Done = std::function<void(bool taken)>;

    /**
     * Takes an announcement. One that changes a target's state or incarnation is sent at once; `done` is then called when
     * control has taken it. A repetition is confirmed at once while control answers.
     */
    void add(wire::TargetLoad load, const Done& done);

    /** Has control record that a target drains or goes; `done` is called once that is committed. */
    void addDeparture(wire::TargetRecord target, std::function<void(ResultCode)> done);

    /** Sends a batch when one is due. */
    void tick(TimePoint now);

private:
    struct Waiting {
        wire::TargetLoad load; ///< Newest announcement.
        TimePoint received {}; ///< When it came.
    };
    /** What was announced of a target. */
    struct SentState {
        uint64_t incarnation = 0; ///< Incarnation; 0: not stated.
        std::string instance; ///< Name of the incarnation.
        wire::TargetState state = wire::TARGET_STARTING; ///< State.
        bool operator==(const SentState&) const = default;
    };

    using Key = std::pair<std::string, std::string>; ///< Service and address.

    void send(TimePoint now);
    void answered(const std::vector<Key>& keys, const std::vector<Done>& confirmations, bool taken);

    LeaderClient& leader; ///< Sends.
    DigestHook digestHook; ///< See above.
    std::mutex mutex; ///< Guards all below.
    std::map<Key, Waiting> waiting; ///< By service and address.
    std::map<Key, SentState> sent; ///< State sent last.
    std::vector<Done> confirmations; ///< Of announcements that wait for the next batch.
    TimePoint lastTaken {}; ///< When control last took a batch.
    TimePoint nextBatch {}; ///< When the next batch is due.
    bool urgent = false; ///< The next tick sends at once.
};

} // namespace kingcup
