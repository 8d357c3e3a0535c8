/** @file DaemonMain.h The whole life of a daemon process, for the programs that install an edge. */
#pragma once

#include "Edge.h"

namespace kingcup {

/** Parses the command line, runs the roles of the settings until a signal stops them and returns the exit code. */
int daemonMain(int argumentCount, char** arguments, Edge edge);

} // namespace kingcup
