/** @file main.cpp Entry point of kingcupswitchd. */
#include "Process.h"

#include "kingcup/JsonLog.h"

#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_cat.h>
#include <pthread.h>

ABSL_FLAG(std::string, settings, "", "Path of the settings file (JSON).");
ABSL_FLAG(bool, check, false, "Only check the settings, then exit.");

namespace {

constexpr int exitOk = 0;
constexpr int exitUsage = 2;
constexpr int exitStartFailed = 3;
constexpr int exitCutOff = 4;

/** Reads the settings named on the command line. Prints what is wrong and returns false on errors. */
bool readSettings(kingcup::Settings& settings)
{
    std::ifstream stream(absl::GetFlag(FLAGS_settings));
    if (!stream) {
        std::cerr << "kingcupswitchd: cannot read the settings file '" << absl::GetFlag(FLAGS_settings) << "'\n";
        return false;
    }
    std::stringstream text;
    text << stream.rdbuf();
    auto parsed = kingcup::parseSettings(text.str());
    if (const kingcup::DocumentError* error = std::get_if<kingcup::DocumentError>(&parsed)) {
        std::cerr << "kingcupswitchd: " << static_cast<int>(error->code) << " " << kingcup::resultCodeRow(error->code).name << " at '" << error->pointer << "': " << error->text << "\n";
        return false;
    }
    settings = std::get<kingcup::Settings>(std::move(parsed));
    return true;
}

/** Blocks the signals that end the process in all threads, so that one thread can wait for them. */
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    return signals;
}

/** Waits for a signal, then stops; a second signal ends the wait for calls in flight. */
int runUntilStopped(kingcup::Process& process, const sigset_t& signals)
{
    static std::atomic<bool> aborted { false };
    int received = 0;
    sigwait(&signals, &received);
    std::thread second([&signals] {
        int again = 0;
        sigwait(&signals, &again);
        aborted.store(true);
    });
    second.detach();
    bool clean = process.stop(aborted);
    return clean ? exitOk : exitCutOff;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    absl::SetProgramUsageMessage("kingcupswitchd --settings FILE\n\nExit codes: 0 stopped cleanly, 2 wrong settings, 3 start failed, 4 calls were cut off.");
    absl::ParseCommandLine(argumentCount, arguments);
    kingcup::Settings settings;
    if (!readSettings(settings))
        return exitUsage;
    if (absl::GetFlag(FLAGS_check))
        return exitOk;
    sigset_t signals = blockStopSignals();
    kingcup::openLog(settings.logFile, settings.vm);
    int exitCode = exitStartFailed;
    {
        kingcup::Process process(settings);
        if (std::error_code error = process.start()) {
            kingcup::logLine(kingcup::LogLevel::Error, "start_failed", { { "code", error.value() }, { "error", error.message() } });
            std::cerr << "kingcupswitchd: " << error.value() << " " << error.message() << "\n";
            kingcup::closeLog();
            std::_Exit(exitStartFailed);
        }
        exitCode = runUntilStopped(process, signals);
    }
    kingcup::closeLog();
    return exitCode;
}
