/** @file MillisecondClock.cpp Reads the clocks of the machine. */
#include "kingcup/MillisecondClock.h"

namespace kingcup {

MillisecondClock::time_point MillisecondClock::now()
{
    auto sinceOrigin = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(sinceOrigin));
}

int64_t MillisecondClock::wallTimeMs()
{
    auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace kingcup
