/** @file DaemonMain.cpp Command line, signals and exit codes of a daemon process. */
#include "DaemonMain.h"

#include "Process.h"
#include "SettingsFile.h"

#include "kingcup/JsonLog.h"

#include <atomic>
#include <csignal>
#include <iostream>
#include <thread>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <pthread.h>

ABSL_FLAG(std::string, settings, "", "Path of the settings file (JSON).");
ABSL_FLAG(bool, check, false, "Check the settings and exit.");

namespace kingcup {

namespace {

constexpr int exitOk = 0;
constexpr int exitUsage = 2;
constexpr int exitStartFailed = 3;
constexpr int exitCallsAborted = 4;
constexpr timespec diskFullRetryInterval { 0, 200000000 }; ///< Between two attempts to start on a full disk.
constexpr timespec settingsCheckInterval { 1, 0 }; ///< The settings file is also reread when it changes without a SIGHUP.

/** Blocks SIGTERM, SIGINT and SIGHUP in this thread and all threads it creates, so that sigwait can receive them. Ignores SIGPIPE. */
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    return signals;
}

/** Rereads the settings. Invalid settings are logged and ignored. */
void reload(SettingsFile& file, Process& process)
{
    auto result = file.read();
    if (const std::string* error = std::get_if<std::string>(&result)) {
        logLine(LogLevel::Error, "settings_refused", { { "error", *error } });
        return;
    }
    process.reload(std::get<Settings>(result));
    logLine(LogLevel::Info, "settings_reloaded");
}

/** Reloads the settings on SIGHUP or when the file changes; returns on SIGTERM or SIGINT. */
void waitForStop(SettingsFile& file, Process& process, const sigset_t& signals)
{
    for (;;) {
        int received = sigtimedwait(&signals, nullptr, &settingsCheckInterval);
        if (received == SIGTERM || received == SIGINT)
            return;
        if (received == SIGHUP || file.hasChanged())
            reload(file, process);
    }
}

/** Starts a process. While the disk has no room for its data folder, tries again until a stop signal arrives, which sets isStopped. */
std::error_code startOnceDiskHasRoom(Process& process, const sigset_t& signals, bool& isStopped)
{
    std::error_code error = process.start();
    if (error == ResultCode::DiskFull)
        logLine(LogLevel::Warning, "start_delayed", { { "error", error.message() } });
    while (error == ResultCode::DiskFull && !isStopped) {
        int received = sigtimedwait(&signals, nullptr, &diskFullRetryInterval);
        isStopped = received == SIGTERM || received == SIGINT;
        if (!isStopped)
            error = process.start();
    }
    return error;
}

/** Waits for a stop signal, then stops gracefully; a second stop signal aborts the wait for calls in flight. Returns the exit code. */
int runUntilStopped(SettingsFile& file, Process& process, const sigset_t& signals)
{
    static std::atomic<bool> isAborted { false };
    waitForStop(file, process, signals);
    std::thread abortWaiter([&signals] {
        int received = 0;
        do {
            sigwait(&signals, &received);
        } while (received == SIGHUP);
        isAborted.store(true);
    });
    abortWaiter.detach();
    bool isClean = process.stop(isAborted);
    return isClean ? exitOk : exitCallsAborted;
}

} // namespace

int daemonMain(int argumentCount, char** arguments, Edge edge)
{
    // Signals are blocked before anything else: a stop signal right after the start must stop the process gracefully, not kill it.
    sigset_t signals = blockStopSignals();
    absl::SetProgramUsageMessage("kingcupswitchd --settings FILE\n\nExit codes: 0 stopped cleanly, 2 invalid settings, 3 start failed, 4 calls in flight were aborted at the stop.");
    absl::ParseCommandLine(argumentCount, arguments);
    SettingsFile file(absl::GetFlag(FLAGS_settings));
    auto result = file.read();
    if (const std::string* error = std::get_if<std::string>(&result)) {
        std::cerr << "kingcupswitchd: " << *error << "\n";
        return exitUsage;
    }
    if (absl::GetFlag(FLAGS_check))
        return exitOk;
    const Settings& settings = std::get<Settings>(result);
    openLog(settings.logFile, settings.vm);
    int exitCode = exitStartFailed;
    {
        Process process(settings, std::move(edge));
        bool isStopped = false;
        std::error_code error = startOnceDiskHasRoom(process, signals, isStopped);
        if (isStopped) {
            exitCode = exitOk;
        } else if (error) {
            logLine(LogLevel::Error, "start_failed", { { "code", error.value() }, { "error", error.message() } });
            std::cerr << "kingcupswitchd: " << error.value() << " " << error.message() << "\n";
            closeLog();
            std::_Exit(exitStartFailed);
        } else {
            exitCode = runUntilStopped(file, process, signals);
        }
    }
    closeLog();
    return exitCode;
}

} // namespace kingcup
