/** @file FailPoint.cpp Implementation of fail points. */
#include "kingcup/FailPoint.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <string>
#include <unistd.h>

namespace kingcup {

void checkFailPoint(std::string_view name)
{
    static const char* const file = std::getenv("KINGCUP_FAIL_POINT_FILE");
    if (!file)
        return;
    std::string armed;
    std::ifstream stream(file);
    if (!std::getline(stream, armed) || armed != name)
        return;
    // If several processes reach the fail point at the same time, only the one that removes the file is killed.
    if (unlink(file) == 0)
        kill(getpid(), SIGKILL);
}

} // namespace kingcup
