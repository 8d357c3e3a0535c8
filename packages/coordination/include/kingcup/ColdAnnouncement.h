/** @file ColdAnnouncement.h Decides whether the cold time in the announcement of a known target is recorded and distributed. */
#pragma once

#include <cstdint>

namespace kingcup {

/**
 * Returns whether a target has become cold again since its record was made. Announcements arrive every 1.5 s from each of a few hundred targets, and each
 * recorded one is a command of the log. While a target stays cold, its announcements differ from the record by their delay only, which is no reason to
 * record another one.
 * @param coldLeftMs Time for which it stays cold, as announced. @param recordedUntilMs End of the recorded cold time, in log time. @param logTimeMs Time of the announcement, in log time.
 */
bool isColdAgain(uint64_t coldLeftMs, uint64_t recordedUntilMs, uint64_t logTimeMs);

} // namespace kingcup
