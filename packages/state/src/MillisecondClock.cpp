/** @file MillisecondClock.cpp Reads the clocks of the operating system. */
#include "kingcup/MillisecondClock.h"

#include <ctime>

namespace kingcup {

MillisecondClock::time_point MillisecondClock::now()
{
    // std::chrono::steady_clock stops while the machine is suspended; a lease has to expire during that time.
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
