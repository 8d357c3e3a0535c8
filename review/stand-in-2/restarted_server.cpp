/** @file restarted_server.cpp A server crashes, starts again under its id at another address, and leaves later. */
#include "CaseKit.h"

using namespace review;

namespace {

constexpr double drain = 2; ///< Bound `Drain`.
constexpr double watchSeconds = 8; ///< Time for which the server goes on serving after its leave was acknowledged.
constexpr size_t clientsPerFront = 4;

int play(Provider& provider, Record& record)
{
    std::vector<std::unique_ptr<Server>> servers;
    if (std::string error = startAll(provider, servers, desiredState(7), record); !error.empty()) {
        record.write(error);
        return exitNotRun;
    }
    constexpr int firstPort = 8229;
    auto first = std::make_unique<Server>(provider.network + ".201", firstPort, "ledger", "i-7f3a91c2", record);
    if (!first->start())
        return exitNotRun;
    first->beat(provider);
    sleepFor(3);
    std::unique_ptr<Server> second;
    if (hasTrouble()) {
        record.write("server i-7f3a91c2 crashes");
        first->stop();
        sleepFor(1.5);
        second = std::make_unique<Server>(provider.network + ".202", firstPort, "ledger", "i-7f3a91c2", record);
        if (!second->start())
            return exitNotRun;
        record.write("server i-7f3a91c2 starts again at " + second->address());
        second->beat(provider);
        sleepFor(3);
    }
    Server& leaving = second ? *second : *first;
    std::atomic<bool> isDone { false };
    std::atomic<int> lost { 0 };
    std::vector<std::thread> clients;
    for (size_t number = 0; number < clientsPerFront * provider.fronts.size(); ++number) {
        clients.emplace_back([&, machine = provider.fronts[number % provider.fronts.size()].get()] {
            while (!isDone) {
                std::string attempt = newAttempt();
                Message answer = sendRequest(*machine, "POST", "/post/1", attempt, 1500, "hours=2");
                lost += answer.status == 200 || answer.status == 503 ? 0 : 1;
                record.write("client: " + attempt + " to " + machine->name + ": " + std::to_string(answer.status));
                sleepFor(0.02);
            }
        });
    }
    sleepFor(2);
    size_t runsBefore = leaving.runs().size();
    leaving.stopBeating();
    bool isAcknowledged = leaving.leave(provider);
    double acknowledgedAt = now();
    record.write("server i-7f3a91c2 at " + leaving.address() + ": instances.leave " + (isAcknowledged ? "acknowledged" : "not acknowledged"));
    sleepFor(watchSeconds);
    int lostBefore = lost;
    leaving.stop();
    record.write("server i-7f3a91c2 at " + leaving.address() + " exits");
    sleepFor(2);
    isDone = true;
    for (std::thread& client : clients)
        client.join();
    int late = 0;
    for (const Run& run : leaving.runs())
        late += run.time > acknowledgedAt + drain ? 1 : 0;
    record.write("requests that the server ran before it left: " + std::to_string(runsBefore) + "; later than Drain after its leave was acknowledged: " + std::to_string(late) + "; requests without an answer or with another than 200 and 503 after its exit: " + std::to_string(lost - lostBefore));
    for (auto& server : servers)
        server->stopBeating();
    if (!isAcknowledged || !runsBefore)
        return exitNotRun;
    return late ? exitBroken : exitHeld;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    return runCase(argumentCount, arguments, 2, { { "Bounds.RetryBudgetRatio", "0.2" }, { "Bounds.RetrySlack", "60" }, { "Bounds.RetryWindow", "10" }, { "Bounds.ProbesPerS", "60" }, { "Bounds.Grace", "6" } }, play);
}
