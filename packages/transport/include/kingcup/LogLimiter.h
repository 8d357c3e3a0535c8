/** @file LogLimiter.h Rate limits of log lines per event and per process. */
#pragma once

#include "kingcup/MillisecondClock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace kingcup {

/** Rate limits of log lines. */
struct LogLimits {
    double eventPerSecond = 100; ///< Sustained rate of one event, in lines per second.
    double eventBurst = 400; ///< Largest burst of one event, in lines.
    double processPerSecond = 300; ///< Sustained rate of all events together, in lines per second.
    double processBurst = 1200; ///< Largest burst of all events together, in lines.
};

/** Number of lines of one event that the limiter suppressed. */
struct SuppressedLines {
    std::string event; ///< Event name of the lines.
    uint64_t count = 0; ///< Lines since the last report.
};

/** Token-bucket rate limiter that counts the lines it suppresses. Not thread-safe. */
class LogLimiter {
public:
    explicit LogLimiter(LogLimits limits = {});

    /** Consumes a token for one line. Returns false, and counts the line as suppressed, if a limit is reached. */
    bool tryAcquire(std::string_view event, TimePoint now);

    /** Returns and resets the counts of suppressed lines; empty if the last report is less than a second old. */
    std::vector<SuppressedLines> takeSuppressed(TimePoint now);

private:
    /** Token bucket of one event or of the whole process. */
    struct Bucket {
        double tokens = 0; ///< Number of lines that may be written at once.
        TimePoint refillTime {}; ///< Time of the last refill; TimePoint {} before the first.
        uint64_t suppressed = 0; ///< Lines suppressed since the last report.
    };
    static bool refill(Bucket& bucket, double perSecond, double burst, TimePoint now);

    LogLimits limits; ///< Configured limits.
    Bucket processBucket; ///< Bucket shared by all events.
    std::map<std::string, Bucket, std::less<>> eventBuckets; ///< Buckets by event name.
    TimePoint nextReport {}; ///< Earliest time of the next report of suppressed lines.
};

} // namespace kingcup
