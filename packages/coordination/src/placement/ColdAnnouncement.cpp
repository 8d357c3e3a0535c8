/** @file ColdAnnouncement.cpp Compares announced and recorded cold times. */
#include "kingcup/ColdAnnouncement.h"

namespace kingcup {

namespace {

constexpr uint64_t minAnnouncedMs = 300; ///< A cold time that ends earlier is over by the time that it is committed and distributed.
constexpr uint64_t minRatio = 2; ///< Announced to recorded time left. A target that always announces the same time is then recorded at most once in half of that time.

} // namespace

bool isColdAgain(uint64_t coldLeftMs, uint64_t recordedUntilMs, uint64_t logTimeMs)
{
    uint64_t recordedLeftMs = recordedUntilMs > logTimeMs ? recordedUntilMs - logTimeMs : 0;
    return coldLeftMs > minAnnouncedMs && coldLeftMs > minRatio * recordedLeftMs;
}

} // namespace kingcup
