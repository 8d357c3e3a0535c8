/** @file ProcessHarness.h Starts, signals and awaits real processes. Used by test code only; the product starts no process. */
#pragma once

#include "kingcup/MillisecondClock.h"
#include "testing/ScratchFolder.h"

#include <cstdlib>
#include <functional>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace kingcup::testing {

/** One child process; it is killed when its harness goes away. */
class Process {
public:
    /** @param arguments Program and its arguments. @param outputFile Receives standard output and error. */
    Process(std::vector<std::string> arguments, std::string outputFile);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    /** Starts it, or starts it again after its end. Returns false when the program cannot be started. */
    bool start();

    /** Sends a signal. */
    void signal(int number) const;

    void kill(); ///< Kills it and waits for its end.
    void freeze() const; ///< Stops it with SIGSTOP.
    void thaw() const; ///< Continues it with SIGCONT.

    /** Waits for its end. Returns the exit status, 128 plus the signal that ended it, or nothing when the limit passed. */
    std::optional<int> wait(Milliseconds limit);

    bool running(); ///< Whether it has been started and has not ended.
    pid_t pid() const { return this->childPid; } ///< Process id, or -1.
    std::string output() const; ///< All it has written.

private:
    std::vector<std::string> arguments; ///< Program and its arguments.
    std::string outputFile; ///< Receives its output.
    pid_t childPid = -1; ///< Process id while it runs.
    std::optional<int> exitStatus; ///< How it ended.
};

/** What a finished program did. */
struct CommandResult {
    int status = -1; ///< Exit status; -1: it did not end in time.
    std::string output; ///< Standard output and error.
};

/** Sets an environment variable for the processes that a test starts. */
class ScopedEnvironment {
public:
    ScopedEnvironment(std::string name, const std::string& value)
        : name(std::move(name))
    {
        setenv(this->name.c_str(), value.c_str(), 1);
    }
    ~ScopedEnvironment() { unsetenv(this->name.c_str()); }

private:
    std::string name; ///< Variable.
};

/** Runs a program to its end. @param folder Receives its output file. */
CommandResult runCommand(const std::vector<std::string>& arguments, const std::string& folder, Milliseconds limit);

/** Waits for a condition. Returns false when the limit passed first. */
bool waitUntil(Milliseconds limit, const std::function<bool()>& condition);

/** Writes a file that only its owner may read. */
void writeFile(const std::string& path, const std::string& text);

/** Reads a whole file; empty when there is none. */
std::string readFile(const std::string& path);

} // namespace kingcup::testing
