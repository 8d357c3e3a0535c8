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

    /** Takes an announcement. One that changes a target's state or incarnation is sent at once. */
    void add(wire::TargetLoad load);

    /** Sends a batch when one is due. */
    void tick(TimePoint now);

private:
    struct Waiting {
        wire::TargetLoad load; ///< Newest announcement.
        TimePoint received {}; ///< When it came.
    };
    void send(TimePoint now);

    LeaderClient& leader; ///< Sends.
    DigestHook digestHook; ///< See above.
    std::mutex mutex; ///< Guards all below.
    std::map<std::pair<std::string, std::string>, Waiting> waiting; ///< By service and address.
    std::map<std::pair<std::string, std::string>, std::pair<uint64_t, wire::TargetState>> sent; ///< Incarnation and state sent last.
    TimePoint nextBatch {}; ///< When the next batch is due.
    bool urgent = false; ///< The next tick sends at once.
};

} // namespace kingcup
