/** @file Commands.h The commands of kingcupctl. */
#pragma once

#include "ExitCode.h"
#include "kingcup/MillisecondClock.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace kingcup {

/** Flags that all commands share. */
struct CommandOptions {
    std::vector<std::string> vms; ///< host:port of operator listeners.
    std::string tokenFile; ///< File with the operators' token.
    std::vector<std::string> logFiles; ///< explain: log files of the VMs.
    bool json = false; ///< Print the JSON answer.
    bool wait = false; ///< manifest apply: wait until in force everywhere.
    Milliseconds timeout { 10000 }; ///< Bound of the whole command.
};

/** One command. */
struct CommandRow {
    std::string_view name; ///< First words.
    std::string_view argument; ///< Name of its argument; empty: none.
    std::string_view text; ///< What it does.
    ExitCode (*run)(const CommandOptions& options, const std::string& argument); ///< Runs it.
};

/** Returns the table of commands. */
std::span<const CommandRow> commandTable();

/** Finds and runs the command that the words name. */
ExitCode runCommand(const CommandOptions& options, const std::vector<std::string>& words);

/** Returns the text of --help. */
std::string usageText();

} // namespace kingcup
