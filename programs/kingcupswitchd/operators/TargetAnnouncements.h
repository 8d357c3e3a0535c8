/** @file TargetAnnouncements.h Batches the announcements of targets and sends them to the leader. */
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

/** Parses an announcement. Returns an error message if it is malformed. */
std::variant<wire::TargetLoad, std::string> parseAnnouncement(std::string_view json);

/** Stores the newest announcement of each target until the next batch is sent to the leader. Thread-safe. */
class TargetAnnouncements {
public:
    /** Receives the observations of other VMs that an answer of the leader contains. Called on the hub's thread. */
    using DigestHook = std::function<void(const std::vector<wire::TargetLoad>&)>;

    TargetAnnouncements(LeaderClient& leaderClient, DigestHook digestHook);

    /** Receives whether the leader accepted an announcement. Called once, on any thread. */
    using Done = std::function<void(bool isAccepted)>;

    /**
     * Adds an announcement to the next batch. If it changes the state, instance or incarnation of a target, the batch is sent
     * at the next tick, and `done` is called after the leader's answer or a timeout. A repetition is confirmed immediately if the
     * leader has accepted a batch recently; otherwise it is handled like a change.
     */
    void add(wire::TargetLoad load, const Done& done);

    /** Sends the leader a command that records a target as draining or gone. `done` receives the result after the commit, or CommandTimeout. */
    void addDeparture(wire::TargetRecord target, std::function<void(ResultCode)> done);

    /** Sends a batch if one is due and there are announcements. */
    void tick(TimePoint now);

private:
    struct PendingAnnouncement {
        wire::TargetLoad load; ///< Announcement with the highest incarnation; the newest if equal.
        TimePoint receivedTime {}; ///< Time of receipt.
    };
    /** Announced fields of a target; a change of any of them is sent without delay. */
    struct AnnouncedState {
        uint64_t incarnation = 0; ///< Number that increases with each restart of the target; 0 if not stated.
        std::string instance; ///< Name of the instance; empty if not stated.
        wire::TargetState state = wire::TARGET_STARTING; ///< Announced state of the target.
        bool operator==(const AnnouncedState&) const = default;
    };

    using Key = std::pair<std::string, std::string>; ///< Service and address.

    void sendBatch(TimePoint now);
    void handleBatchAnswer(const std::vector<Key>& keys, const std::vector<Done>& callbacks, bool isAccepted);

    LeaderClient& leaderClient; ///< Sends batches and commands.
    DigestHook digestHook; ///< Receives the observations of other VMs.
    std::mutex mutex; ///< Guards all members below.
    std::map<Key, PendingAnnouncement> pendingAnnouncements; ///< Announcements for the next batch.
    std::map<Key, AnnouncedState> sentStates; ///< State that was last sent of each target, unless the leader did not accept it.
    std::vector<Done> pendingCallbacks; ///< Callbacks of the announcements in the next batch.
    TimePoint lastAcceptedTime {}; ///< Time at which the leader last accepted a batch.
    TimePoint nextBatchTime {}; ///< Time of the next regular batch.
    bool isBatchUrgent = false; ///< Whether the next tick sends a batch before the regular time.
};

} // namespace kingcup
