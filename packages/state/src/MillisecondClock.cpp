/** @file MillisecondClock.cpp Reads the clocks of the machine. */
#include "kingcup/MillisecondClock.h"

#include <ctime>

namespace kingcup {

MillisecondClock::time_point MillisecondClock::now()
{
    // The steady clock of the C++ library stands still while the machine is suspended, and a lease must not outlive that.
    timespec sinceOrigin {};
    clock_gettime(CLOCK_BOOTTIME, &sinceOrigin);
    return time_point(std::chrono::seconds(sinceOrigin.tv_sec) + std::chrono::nanoseconds(sinceOrigin.tv_nsec));
}

int64_t MillisecondClock::wallTimeMs()
{
    auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace kingcup
