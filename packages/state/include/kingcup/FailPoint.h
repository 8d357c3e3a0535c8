/** @file FailPoint.h Named points in the protocols at which a test can kill the process. */
#pragma once

#include <string_view>

namespace kingcup {

/**
 * Kills this process with SIGKILL when a test has armed the point. A point is armed by the file that the environment
 * variable KINGCUP_FAIL_POINT_FILE names: it holds the name of one point, and the first process that passes that point
 * removes the file and dies. Without the variable this does nothing.
 * @param name Unique name, like "claim.granted".
 */
void failPoint(std::string_view name);

} // namespace kingcup
