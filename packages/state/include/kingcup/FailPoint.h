/** @file FailPoint.h Named points in the protocols at which a test can kill the process. */
#pragma once

#include <string_view>

namespace kingcup {

/**
 * Kills this process with SIGKILL if the fail point is armed. The environment variable KINGCUP_FAIL_POINT_FILE holds the
 * path of a file whose first line is the name of the armed fail point. The first process that reaches the fail point removes
 * the file and is killed. Does nothing if the variable is not set.
 * @param name Unique name, for example "claim.granted".
 */
void checkFailPoint(std::string_view name);

} // namespace kingcup
