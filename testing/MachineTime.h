/** @file MachineTime.h The time stamps of histories. */
#pragma once

#include "kingcup/MillisecondClock.h"

namespace kingcup::testing {

/** Returns the monotonic time in milliseconds, which all processes of a machine share. */
inline double machineTimeMs()
{
    return MillisecondClock::now().time_since_epoch().count();
}

} // namespace kingcup::testing
