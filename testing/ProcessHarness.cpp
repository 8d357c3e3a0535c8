/** @file ProcessHarness.cpp Starts, signals and awaits real processes. */
#include "testing/ProcessHarness.h"

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace kingcup::testing {

namespace {

constexpr std::chrono::milliseconds pollInterval { 10 }; ///< Between two looks at a condition.
constexpr Milliseconds killLimit { 10000 }; ///< A killed process ends sooner.

} // namespace

Process::Process(std::vector<std::string> givenArguments, std::string givenOutputFile)
    : arguments(std::move(givenArguments))
    , outputFile(std::move(givenOutputFile))
{
}

Process::~Process()
{
    this->kill();
}

bool Process::start()
{
    std::vector<char*> argv;
    for (std::string& argument : this->arguments)
        argv.push_back(argument.data());
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, this->outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    this->exitStatus.reset();
    int result = ::posix_spawn(&this->childPid, argv[0], &actions, nullptr, argv.data(), environ);
    ::posix_spawn_file_actions_destroy(&actions);
    if (result != 0)
        this->childPid = -1;
    return result == 0;
}

void Process::signal(int number) const
{
    if (this->childPid > 0)
        ::kill(this->childPid, number);
}

void Process::kill()
{
    this->signal(SIGKILL);
    this->wait(killLimit);
}

void Process::freeze() const
{
    this->signal(SIGSTOP);
}

void Process::thaw() const
{
    this->signal(SIGCONT);
}

std::optional<int> Process::wait(Milliseconds limit)
{
    waitUntil(limit, [this] { return !this->running(); });
    return this->exitStatus;
}

bool Process::running()
{
    if (this->childPid <= 0)
        return false;
    int status = 0;
    if (::waitpid(this->childPid, &status, WNOHANG) == 0)
        return true;
    this->exitStatus = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    this->childPid = -1;
    return false;
}

std::string Process::output() const
{
    return readFile(this->outputFile);
}

CommandResult runCommand(const std::vector<std::string>& arguments, const std::string& folder, Milliseconds limit)
{
    static std::atomic<uint64_t> commands = 0;
    std::string outputFile = folder + "/command-" + std::to_string(++commands) + ".out";
    Process process(arguments, outputFile);
    if (!process.start())
        return { -1, "cannot start " + arguments.front() };
    std::optional<int> status = process.wait(limit);
    return { status.value_or(-1), process.output() };
}

bool waitUntil(Milliseconds limit, const std::function<bool()>& condition)
{
    TimePoint end = MillisecondClock::now() + limit;
    while (!condition()) {
        if (MillisecondClock::now() >= end)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

void writeFile(const std::string& path, const std::string& text)
{
    std::ofstream stream(path, std::ios::binary | std::ios::trunc);
    stream << text;
    stream.close();
    ::chmod(path.c_str(), 0600);
}

std::string readFile(const std::string& path)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

} // namespace kingcup::testing
