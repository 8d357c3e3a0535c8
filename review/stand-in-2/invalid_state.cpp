/** @file invalid_state.cpp An invalid desired state is sent until it gets a clear answer. */
#include "CaseKit.h"

using namespace review;

namespace {

constexpr int routesOfInvalidState = 1000000; ///< 3 MB of routes without any field.
constexpr double largeBodyLimit = 4; ///< Time that the operator gives a control machine for the large body.
constexpr double contact = 3; ///< Bound `Contact`: the operator reads at the end for at least as long.

/** Reads the desired state from all control machines in turn; returns how many reads were answered 200. */
int readDesiredState(Provider& provider, double duration, Record& record)
{
    int answered = 0;
    size_t position = 0;
    for (double end = now() + duration; now() < end; sleepFor(0.1)) {
        Machine& machine = *provider.cores[position++ % provider.cores.size()];
        Message answer = exchange(machine.ip, controlPort, makeRequest("GET", "/v1/manifest", machine.ip, "", ""), 1);
        record.write("operator: config.get from " + machine.name + ": " + (answer.status ? std::to_string(answer.status) : "no answer"));
        answered += answer.status == 200 ? 1 : 0;
    }
    return answered;
}

/** Sends a request to each front machine; returns how many were answered 200. */
int countServed(Provider& provider, Record& record)
{
    int served = 0;
    for (auto& front : provider.fronts) {
        for (const char* path : { "/read/1", "/post/1" }) {
            std::string attempt = newAttempt();
            Message answer = sendRequest(*front, path[1] == 'r' ? "GET" : "POST", path, attempt, 1500);
            record.write("client: " + attempt + " " + path + " to " + front->name + ": " + std::to_string(answer.status));
            served += answer.status == 200 ? 1 : 0;
        }
    }
    return served;
}

int play(Provider& provider, Record& record)
{
    std::vector<std::unique_ptr<Server>> servers;
    if (std::string error = startAll(provider, servers, desiredState(7), record); !error.empty()) {
        record.write(error);
        return exitNotRun;
    }
    if (readDesiredState(provider, 1, record) == 0 || countServed(provider, record) == 0)
        return exitNotRun;
    if (hasTrouble()) {
        std::string routes = "{}";
        for (int number = 1; number < routesOfInvalidState; ++number)
            routes += ",{}";
        int status = putDesiredState(provider, "{\"number\":8,\"routes\":[" + routes + "],\"services\":[]}", 5 * largeBodyLimit, largeBodyLimit, record);
        record.write("the invalid desired state got " + (status ? std::to_string(status) : std::string("no clear answer")));
    }
    // Longer than a server may be silent at control before it counts as gone.
    constexpr double restOfDay = 66;
    for (double end = now() + restOfDay; now() < end; sleepFor(2))
        countServed(provider, record);
    int answered = readDesiredState(provider, 3 * contact, record);
    int served = countServed(provider, record);
    int acknowledged = 0;
    for (auto& server : servers)
        acknowledged += server->acknowledged;
    record.write("at the end: " + std::to_string(answered) + " reads of the desired state were answered, " + std::to_string(served) + " of " + std::to_string(2 * provider.fronts.size()) + " requests were served; announcements acknowledged in all: " + std::to_string(acknowledged));
    for (auto& server : servers)
        server->stopBeating();
    return answered == 0 ? exitBroken : exitHeld;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    return runCase(argumentCount, arguments, 2, { { "Bounds.RetryBudgetRatio", "0.2" }, { "Bounds.RetrySlack", "60" }, { "Bounds.RetryWindow", "10" }, { "Bounds.ProbesPerS", "60" }, { "Bounds.Grace", "6" } }, play);
}
