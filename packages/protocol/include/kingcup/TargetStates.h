/** @file TargetStates.h Names of the states of targets. */
#pragma once

#include "kingcup/EnumNames.h"

#include "kingcup.pb.h"

namespace kingcup {

constexpr EnumName<wire::TargetState> targetStateNames[] = {
    { wire::TARGET_STARTING, "starting" },
    { wire::TARGET_SERVING, "serving" },
    { wire::TARGET_DRAINING, "draining" },
    { wire::TARGET_GONE, "gone" },
};

} // namespace kingcup
