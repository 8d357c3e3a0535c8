/** @file DaemonMain.h Main function of the daemon, shared by the programs that differ only in their external interface. */
#pragma once

#include "Edge.h"

namespace kingcup {

/** Parses the command line, runs the roles that the settings enable until a stop signal arrives, and returns the exit code. @param edge External interface. */
int daemonMain(int argumentCount, char** arguments, Edge edge);

} // namespace kingcup
