/** @file Commands.h Commands of kingcupctl and their lookup by name. */
#pragma once

#include "ExitCode.h"
#include "kingcup/MillisecondClock.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace kingcup {

/** Values of the command line flags. Fields whose comment starts with a command apply to that command only. */
struct CommandOptions {
    std::vector<std::string> vmAddresses; ///< Operator listeners as host:port, in the order in which they are tried.
    std::string tokenFile; ///< Path of the file with the operators' bearer token.
    std::vector<std::string> logFiles; ///< explain: paths of the VMs' log files.
    bool hasJsonOutput = false; ///< Whether answers are printed as JSON instead of tables.
    bool waitsUntilInForce = false; ///< manifest apply: whether to wait until the manifest is in force on every entry VM.
    Milliseconds timeout { 10000 }; ///< Time limit of the whole command; must be positive.
};

/** One command of the tool. */
struct CommandRow {
    std::string_view name; ///< Words that select the command, separated by one space.
    std::string_view argumentName; ///< Placeholder of its argument in the help text; empty if it takes none.
    std::string_view description; ///< Effect, as printed by --help.
    ExitCode (*run)(const CommandOptions& options, const std::string& argument); ///< Prints the results to stdout and errors to stderr. The argument is empty if the command takes none.
};

/** Returns all commands in the order in which --help lists them. */
std::span<const CommandRow> commandTable();

/** Runs the command that the positional arguments name. Returns ExitCode::UsageError if there is no such command or the timeout is not positive. */
ExitCode runCommand(const CommandOptions& options, const std::vector<std::string>& words);

/** Returns the help text on commands and exit codes, without the flags. */
std::string usageText();

} // namespace kingcup
