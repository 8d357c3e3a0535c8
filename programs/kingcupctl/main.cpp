/** @file main.cpp Entry point of kingcupctl: parses the flags and runs the command. */
#include "Commands.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <algorithm>
#include <curl/curl.h>
#include <iostream>

ABSL_FLAG(std::vector<std::string>, vm, {}, "operator listeners as host:port[,host:port...]; the next one is tried when one does not answer");
ABSL_FLAG(std::string, token_file, "", "file with the operators' bearer token");
ABSL_FLAG(std::vector<std::string>, logs, {}, "explain: log files of the VMs, as FILE[,FILE...]");
ABSL_FLAG(bool, json, false, "print answers as JSON instead of tables");
ABSL_FLAG(bool, wait, false, "manifest apply: wait until the manifest is in force on every entry VM or the timeout expires");
ABSL_FLAG(double, timeout_ms, 10000, "time limit of the whole command in milliseconds");

using namespace kingcup;

namespace {

/** Prints the help text on commands, exit codes and flags. */
int printHelp()
{
    std::cout << usageText() << "\nflags:\n";
    for (const char* name : { "vm", "token_file", "logs", "json", "wait", "timeout_ms" }) {
        const absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
        std::cout << "--" << name << "  " << flag->Help() << " (default: \"" << flag->DefaultValue() << "\")\n";
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    // Abseil's own --help exits with 1 and lists neither commands nor exit codes, so help is handled before its parser runs.
    auto isHelpArgument = [](std::string_view argument) { return argument == "--help" || argument == "-h" || argument == "help"; };
    if (argc < 2 || std::any_of(argv + 1, argv + argc, isHelpArgument))
        return printHelp();
    std::vector<char*> positionalArguments = absl::ParseCommandLine(argc, argv);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    CommandOptions options;
    options.vmAddresses = absl::GetFlag(FLAGS_vm);
    options.tokenFile = absl::GetFlag(FLAGS_token_file);
    options.logFiles = absl::GetFlag(FLAGS_logs);
    options.hasJsonOutput = absl::GetFlag(FLAGS_json);
    options.waitsUntilInForce = absl::GetFlag(FLAGS_wait);
    options.timeout = Milliseconds(absl::GetFlag(FLAGS_timeout_ms));
    std::vector<std::string> words(positionalArguments.begin() + 1, positionalArguments.end());
    return static_cast<int>(runCommand(options, words));
}
