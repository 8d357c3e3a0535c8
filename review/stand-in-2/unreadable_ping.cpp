/** @file unreadable_ping.cpp Another writer sends pings that cannot be read. */
#include "CaseKit.h"

using namespace review;

namespace {

constexpr double memoryLimitMb = 256; ///< MemoryMb of a core machine.
constexpr size_t pingBytes = 8u << 20;
constexpr int endsThatCount = 3; ///< Ends of its own on one machine that count as a fault.
constexpr size_t machinesThatCount = 3; ///< Half of five core machines, rounded up.

/** Ends processes whose memory exceeds the limit, as the provider does, and starts them again after a short delay. */
class MemoryGuard {
public:
    MemoryGuard(Provider& provider, Record& record)
        : provider(provider)
        , record(record)
        , ends(provider.cores.size(), 0)
        , thread([this] { this->run(); })
    {
    }

    ~MemoryGuard()
    {
        this->isStopping = true;
        this->thread.join();
    }

    /** Returns the number of machines whose process ended often enough to count as a fault. */
    size_t faultyMachines() const
    {
        size_t count = 0;
        for (int endCount : this->ends)
            count += endCount >= endsThatCount ? 1 : 0;
        return count;
    }

private:
    void run()
    {
        while (!this->isStopping) {
            for (size_t position = 0; position < this->provider.cores.size(); ++position)
                this->check(position);
            sleepFor(0.02);
        }
    }

    void check(size_t position)
    {
        Machine& machine = *this->provider.cores[position];
        if (machine.isRunning() && machine.residentMb() <= memoryLimitMb)
            return;
        this->record.write(machine.name + " uses " + std::to_string(static_cast<int>(machine.residentMb())) + " MB of " + std::to_string(static_cast<int>(memoryLimitMb)) + " MB and is ended");
        machine.end(SIGKILL);
        this->ends[position]++;
        sleepFor(0.2);
        this->provider.start(machine);
    }

    Provider& provider;
    Record& record;
    std::vector<int> ends;
    std::atomic<bool> isStopping { false };
    std::thread thread;
};

int play(Provider& provider, Record& record)
{
    std::vector<std::unique_ptr<Server>> servers;
    if (std::string error = startAll(provider, servers, desiredState(7), record); !error.empty()) {
        record.write(error);
        return exitNotRun;
    }
    MemoryGuard guard(provider, record);
    constexpr int rounds = 6;
    constexpr double roundInterval = 10;
    for (int round = 0; round < rounds; ++round) {
        double roundEnd = now() + roundInterval;
        if (hasTrouble()) {
            std::string body(pingBytes, '[');
            for (auto& machine : provider.cores) {
                Message answer = exchange(machine->ip, controlPort, makeRequest("POST", "/v1/targets/announce?id=w-1", machine->ip, "Content-Type: application/json\r\n", body), 1);
                record.write("other writer: ping of " + std::to_string(body.size()) + " bytes to " + machine->name + ": " + (answer.status ? std::to_string(answer.status) : "no answer"));
            }
        }
        while (now() < roundEnd)
            sleepFor(0.05);
    }
    int acknowledged = 0;
    int unacknowledged = 0;
    for (auto& server : servers) {
        server->stopBeating();
        acknowledged += server->acknowledged;
        unacknowledged += server->unacknowledged;
    }
    record.write("machines of the core whose process ended three times or more: " + std::to_string(guard.faultyMachines()) + "; pings of sound servers acknowledged: " + std::to_string(acknowledged) + ", not acknowledged by any machine: " + std::to_string(unacknowledged));
    return guard.faultyMachines() >= machinesThatCount ? exitBroken : exitHeld;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    return runCase(argumentCount, arguments, 1, { { "Bounds.RetryBudgetRatio", "0.2" }, { "Bounds.RetrySlack", "60" }, { "Bounds.RetryWindow", "10" }, { "Bounds.ProbesPerS", "60" }, { "Bounds.Grace", "6" } }, play);
}
