/** @file TargetStates.h Names of target states and log fields of targets. */
#pragma once

#include "kingcup/EnumNames.h"

#include "kingcup.pb.h"

#include <nlohmann/json.hpp>

namespace kingcup {

constexpr EnumName<wire::TargetState> targetStateNames[] = {
    { wire::TARGET_STARTING, "starting" },
    { wire::TARGET_SERVING, "serving" },
    { wire::TARGET_DRAINING, "draining" },
    { wire::TARGET_GONE, "gone" },
};

/** Returns the log fields that identify a target and its state. */
inline nlohmann::json targetFields(const wire::TargetRecord& target)
{
    return { { "service", target.service() }, { "target", target.address() }, { "instance", target.instance() }, { "incarnation", target.incarnation() },
        { "state", nameOf(targetStateNames, target.state()) } };
}

} // namespace kingcup
