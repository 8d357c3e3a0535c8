/** @file LogLimiter.h Bounds the rate of log lines by event and for the whole process. */
#pragma once

#include "kingcup/MillisecondClock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace kingcup {

/** Rates of log lines. */
struct LogLimits {
    double eventPerSecond = 100; ///< Lines of one event.
    double eventBurst = 400; ///< Lines of one event at once.
    double processPerSecond = 300; ///< Lines of all events.
    double processBurst = 1200; ///< Lines of all events at once.
};

/** Lines of one event that were left out. */
struct SuppressedLines {
    std::string event; ///< Name.
    uint64_t count = 0; ///< Lines since the last report.
};

/** Decides which lines are written, and counts the others. Not thread-safe. */
class LogLimiter {
public:
    explicit LogLimiter(LogLimits limits = {});

    /** Returns whether a line may be written. */
    bool take(std::string_view event, TimePoint now);

    /** Returns what was left out since the last report, at most once a second. */
    std::vector<SuppressedLines> takeSuppressed(TimePoint now);

private:
    /** Tokens of an event or the process. */
    struct Bucket {
        double tokens = 0; ///< Lines that may be written.
        TimePoint filled {}; ///< When they were last counted.
        uint64_t suppressed = 0; ///< Lines left out since the last report.
    };
    static bool hasToken(Bucket& bucket, double perSecond, double burst, TimePoint now);

    LogLimits limits; ///< Rates.
    Bucket process; ///< Of all events.
    std::map<std::string, Bucket, std::less<>> events; ///< By name.
    TimePoint nextReport {}; ///< When left out lines may be reported.
};

} // namespace kingcup
